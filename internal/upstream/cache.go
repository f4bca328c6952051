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

// CacheEvent is one change of what an engine caches.
type CacheEvent struct {
	number uint64
	stored bool
	block  uint64
}

// Number returns the place of the event in the engine's log; a missing number is a gap.
func (e CacheEvent) Number() uint64 { return e.number }

// Stored reports whether the block was stored; otherwise it was removed.
func (e CacheEvent) Stored() bool { return e.stored }

// Block returns the hash of the prefix that ends with the block.
func (e CacheEvent) Block() uint64 { return e.block }

// CacheEvents reads the cache events after the one numbered after from the engine at address, and the engine's identity:
// numbers of another start do not continue.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (instance.BootID, []CacheEvent, error) {
	path := "/cache?after=" + strconv.FormatUint(after, 10)
	status, body, err := c.control(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return "", nil, trace.ConnectionProblem(err, "the cache events cannot be read")
	}
	if status != http.StatusOK {
		return "", nil, trace.ConnectionProblem(nil, "the cache events cannot be read: status %d", status)
	}
	var wire cacheWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return "", nil, trace.BadParameter("the cache events are malformed: %v", err)
	}
	var read []CacheEvent
	for _, each := range wire.Events {
		read = append(read, CacheEvent{each.Number, each.Verb == "store", each.Block})
	}
	return instance.BootID(wire.Boot), read, nil
}
