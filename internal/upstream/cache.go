package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/instance"
)

type cacheWire struct {
	Boot   string           `json:"boot"`
	Events []cacheEventWire `json:"events"`
}

type cacheEventWire struct {
	Number uint64 `json:"number"`
	Verb   string `json:"verb"`
	Block  uint64 `json:"block,string"`
}

// CacheEvent reports that an engine stored or removed a block of its prefix cache.
type CacheEvent struct {
	number uint64
	stored bool
	block  uint64
}

// Number returns the sequence number of the event in the engine's log. A missing number is a lost event.
func (e CacheEvent) Number() uint64 { return e.number }

// Stored reports whether the block was stored; otherwise it was removed.
func (e CacheEvent) Stored() bool { return e.stored }

// Block returns the hash of the prompt prefix that ends with the block.
func (e CacheEvent) Block() uint64 { return e.block }

// CacheEvents reads the cache events with numbers above after from the engine at address. It also returns the boot ID
// of the engine, as the numbers of different boots are unrelated.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (instance.BootID, []CacheEvent, error) {
	path := "/cache?after=" + strconv.FormatUint(after, 10)
	status, body, err := c.callControl(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return "", nil, trace.ConnectionProblem(err, "read cache events")
	}
	if status != http.StatusOK {
		return "", nil, trace.ConnectionProblem(nil, "read cache events: HTTP status %d", status)
	}
	var wire cacheWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return "", nil, trace.BadParameter("parse cache events: %v", err)
	}
	var events []CacheEvent
	for _, event := range wire.Events {
		events = append(events, CacheEvent{event.Number, event.Verb == "store", event.Block})
	}
	return instance.BootID(wire.Boot), events, nil
}
