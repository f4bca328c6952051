package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/azurepond/azurepond/pkg/object"
)

const objectsAPI = "azurepond.dev/v1"

// objectWire is one custom object.
type objectWire struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metaWire        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
}

type metaWire struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// deleteWire is the body of a conditional deletion.
type deleteWire struct {
	Preconditions preconditionsWire `json:"preconditions"`
}

type preconditionsWire struct {
	ResourceVersion string `json:"resourceVersion"`
}

// Do makes the call that request asks for and returns what became of it: Refused only if it certainly took no effect,
// Lost if that is unknown. A Watch is refused, since it needs the method Watch.
func (c *Client) Do(ctx context.Context, request object.Request) object.Result {
	switch r := request.(type) {
	case object.Get:
		return c.get(ctx, r)
	case object.Put:
		return c.put(ctx, r)
	case object.Delete:
		return c.remove(ctx, r)
	}
	return object.NewRefused(request.Ref(), "not a single call")
}

func (c *Client) get(ctx context.Context, r object.Get) object.Result {
	done := c.call(ctx, http.MethodGet, objectPath(r.Key()), nil, maxAnswer)
	if done.err == nil && done.status == http.StatusNotFound {
		return object.NewAbsent(r.Ref())
	}
	if done.err == nil && done.status == http.StatusOK {
		if found, valid := decode(done.body); valid {
			return object.NewFound(r.Ref(), object.Version(found.Metadata.ResourceVersion), found.Spec)
		}
	}
	return failed(r.Ref(), done)
}

func (c *Client) put(ctx context.Context, r object.Put) object.Result {
	if len(r.Data()) > object.MaxValueBytes {
		return object.NewRefused(r.Ref(), "the value is too large")
	}
	body, err := json.Marshal(objectWire{
		APIVersion: objectsAPI,
		Kind:       r.Key().Kind(),
		Metadata:   metaWire{Name: r.Key().Name(), ResourceVersion: string(r.ExpectedVersion())},
		Spec:       r.Data(),
	})
	if err != nil {
		return object.NewRefused(r.Ref(), err.Error())
	}
	method, path := http.MethodPut, objectPath(r.Key())
	if r.ExpectedVersion() == "" {
		method, path = http.MethodPost, collectionPath(r.Key())
	}
	done := c.call(ctx, method, path, body, maxAnswer)
	if done.err == nil {
		switch done.status {
		case http.StatusOK, http.StatusCreated:
			if stored, valid := decode(done.body); valid {
				return object.NewStored(r.Ref(), object.Version(stored.Metadata.ResourceVersion))
			}
		case http.StatusConflict:
			return object.NewConflict(r.Ref())
		case http.StatusNotFound:
			if r.ExpectedVersion() != "" {
				return object.NewConflict(r.Ref())
			}
		}
	}
	return failed(r.Ref(), done)
}

func (c *Client) remove(ctx context.Context, r object.Delete) object.Result {
	body, err := json.Marshal(deleteWire{preconditionsWire{string(r.ExpectedVersion())}})
	if err != nil {
		return object.NewRefused(r.Ref(), err.Error())
	}
	done := c.call(ctx, http.MethodDelete, objectPath(r.Key()), body, maxAnswer)
	if done.err == nil {
		switch done.status {
		case http.StatusOK, http.StatusNotFound:
			return object.NewAbsent(r.Ref())
		case http.StatusConflict:
			return object.NewConflict(r.Ref())
		}
	}
	return failed(r.Ref(), done)
}

// decode returns the object in body, and whether it has a version.
func decode(body []byte) (objectWire, bool) {
	var found objectWire
	if json.Unmarshal(body, &found) != nil {
		return objectWire{}, false
	}
	return found, found.Metadata.ResourceVersion != ""
}

// failed returns Refused for what certainly took no effect, else Lost.
func failed(ref object.Ref, done exchange) object.Result {
	if !done.sent {
		return object.NewRefused(ref, done.reason())
	}
	if turnedAway(done.status) {
		return object.NewRefused(ref, done.reason())
	}
	return object.NewLost(ref)
}

// turnedAway reports whether the platform certainly took no effect when it answered status; a 5xx may come from
// something between that gave up waiting.
func turnedAway(status int) bool {
	switch status {
	case http.StatusRequestTimeout:
		return false
	default:
		return status >= http.StatusBadRequest && status < http.StatusInternalServerError
	}
}
