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

// Do executes one request. The result is Refused only if the request certainly took no effect, and Lost if that is
// unknown. A Watch is refused, as it requires the method Watch.
func (c *Client) Do(ctx context.Context, request object.Request) object.Result {
	switch r := request.(type) {
	case object.Get:
		return c.get(ctx, r)
	case object.Put:
		return c.put(ctx, r)
	case object.Delete:
		return c.remove(ctx, r)
	}
	return object.NewRefused(request.Ref(), "unsupported request type")
}

func (c *Client) get(ctx context.Context, r object.Get) object.Result {
	result := c.call(ctx, http.MethodGet, objectPath(r.Key()), nil, maxObjectBytes)
	if result.err == nil && result.status == http.StatusNotFound {
		return object.NewAbsent(r.Ref())
	}
	if result.err == nil && result.status == http.StatusOK {
		if found, valid := decodeObject(result.body); valid {
			return object.NewFound(r.Ref(), object.Version(found.Metadata.ResourceVersion), found.Spec)
		}
	}
	return failureResult(r.Ref(), result)
}

func (c *Client) put(ctx context.Context, r object.Put) object.Result {
	if len(r.Data()) > object.MaxValueBytes {
		return object.NewRefused(r.Ref(), "value exceeds the size limit")
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
	result := c.call(ctx, method, path, body, maxObjectBytes)
	if result.err == nil {
		switch result.status {
		case http.StatusOK, http.StatusCreated:
			if stored, valid := decodeObject(result.body); valid {
				return object.NewStored(r.Ref(), object.Version(stored.Metadata.ResourceVersion))
			}
		case http.StatusConflict:
			return object.NewConflict(r.Ref())
		case http.StatusNotFound:
			// The object has been deleted since the expected version.
			if r.ExpectedVersion() != "" {
				return object.NewConflict(r.Ref())
			}
		}
	}
	return failureResult(r.Ref(), result)
}

func (c *Client) remove(ctx context.Context, r object.Delete) object.Result {
	body, err := json.Marshal(deleteWire{preconditionsWire{string(r.ExpectedVersion())}})
	if err != nil {
		return object.NewRefused(r.Ref(), err.Error())
	}
	result := c.call(ctx, http.MethodDelete, objectPath(r.Key()), body, maxObjectBytes)
	if result.err == nil {
		switch result.status {
		case http.StatusOK, http.StatusNotFound:
			return object.NewAbsent(r.Ref())
		case http.StatusConflict:
			return object.NewConflict(r.Ref())
		}
	}
	return failureResult(r.Ref(), result)
}

// decodeObject returns the object in body, and whether it is valid, which includes that it has a version.
func decodeObject(body []byte) (objectWire, bool) {
	var found objectWire
	if json.Unmarshal(body, &found) != nil {
		return objectWire{}, false
	}
	return found, found.Metadata.ResourceVersion != ""
}

// failureResult returns Refused if the call certainly took no effect, else Lost.
func failureResult(ref object.Ref, result callResult) object.Result {
	if !result.sent {
		return object.NewRefused(ref, result.reason())
	}
	if isRejected(result.status) {
		return object.NewRefused(ref, result.reason())
	}
	return object.NewLost(ref)
}

// isRejected reports whether a response with status means that the request certainly took no effect. A 408 or 5xx does
// not: it may come from a proxy that timed out.
func isRejected(status int) bool {
	switch status {
	case http.StatusRequestTimeout:
		return false
	default:
		return status >= http.StatusBadRequest && status < http.StatusInternalServerError
	}
}
