package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/object"
)

// watchTimeoutSeconds is the time after which the platform ends a watch. It bounds how long a broken watch goes
// undetected.
const watchTimeoutSeconds = "300"

// initialEventsEnd is the annotation of the bookmark that follows the initial state of a watch.
const initialEventsEnd = "k8s.io/initial-events-end"

// changeWire is one line of a watch.
type changeWire struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

type bookmarkWire struct {
	Metadata struct {
		Annotations map[string]string `json:"annotations"`
	} `json:"metadata"`
}

// Watch calls deliver with the current state of the object and then with each change, as Found or Absent, until the
// watch ends or ctx is cancelled. The last result is Refused if the watch was never opened, else Lost.
func (c *Client) Watch(ctx context.Context, request object.Watch, deliver func(object.Result)) {
	opened := c.runWatch(ctx, request, deliver)
	if opened {
		deliver(object.NewLost(request.Ref()))
		return
	}
	deliver(object.NewRefused(request.Ref(), "cannot open the watch"))
}

// runWatch runs a watch until it ends and reports whether it was opened.
func (c *Client) runWatch(ctx context.Context, request object.Watch, deliver func(object.Result)) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	query := url.Values{
		"watch":                {"true"},
		"fieldSelector":        {"metadata.name=" + request.Key().Name()},
		"sendInitialEvents":    {"true"},
		"resourceVersionMatch": {"NotOlderThan"},
		"allowWatchBookmarks":  {"true"},
		"timeoutSeconds":       {watchTimeoutSeconds},
	}
	// The timeout ends when the response begins: an open watch may last longer.
	openTimer := time.AfterFunc(c.timeout, cancel)
	httpRequest, err := c.newRequest(ctx, http.MethodGet, collectionPath(request.Key())+"?"+query.Encode(), nil)
	if err != nil {
		return false
	}
	response, _, err := transport.Send(c.roundTripper, httpRequest)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if !openTimer.Stop() {
		return false
	}
	if response.StatusCode != http.StatusOK {
		return false
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxObjectBytes)
	stateKnown := false
	for lines.Scan() {
		result := decodeChange(request.Ref(), lines.Bytes(), stateKnown)
		if result == nil {
			continue
		}
		stateKnown = true
		deliver(result)
	}
	return true
}

// decodeChange returns the result that one line of a watch reports, or nil. stateKnown tells whether an earlier line
// reported the state of the object.
func decodeChange(ref object.Ref, line []byte, stateKnown bool) object.Result {
	var wire changeWire
	if json.Unmarshal(line, &wire) != nil {
		return nil
	}
	switch wire.Type {
	case "ADDED", "MODIFIED":
		if found, valid := decodeObject(wire.Object); valid {
			return object.NewFound(ref, object.Version(found.Metadata.ResourceVersion), found.Spec)
		}
	case "DELETED":
		return object.NewAbsent(ref)
	case "BOOKMARK":
		// The initial state ends without a line on the object if the object does not exist.
		var bookmark bookmarkWire
		if json.Unmarshal(wire.Object, &bookmark) == nil &&
			bookmark.Metadata.Annotations[initialEventsEnd] == "true" && !stateKnown {
			return object.NewAbsent(ref)
		}
	}
	return nil
}
