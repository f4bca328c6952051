package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
)

// cacheReads is how many engines are asked for cache events at once; the decisions ask again for what is left out.
const maxCacheReads = 4

// readCache reads the cache events after a number from the engine at address, and the engine's identity.
type readCacheFunc func(ctx context.Context, address string, after uint64) (instance.BootID, []upstream.CacheEvent, error)

// cache reads from engines what they cache and feeds it to the decisions.
type cacheReader struct {
	readEvents readCacheFunc
	feed       func(engine.Event) error
	slots      chan struct{}
}

func newCache(events readCacheFunc, feed func(engine.Event) error) *cacheReader {
	return &cacheReader{readEvents: events, feed: feed, slots: make(chan struct{}, maxCacheReads)}
}

// read feeds each event that follows what is known of a replica.
func (c *cacheReader) read(ctx context.Context, effect engine.ReadCacheEvents) {
	c.tryStart(func() {
		boot, events, err := c.readEvents(ctx, effect.Address(), effect.After())
		if err != nil {
			c.report(effect.Replica(), err)
			return
		}
		for _, event := range cacheReports(effect, boot, events) {
			if c.feed(event) != nil {
				return
			}
		}
	})
}

// resync feeds the whole list of what a replica caches.
func (c *cacheReader) resync(ctx context.Context, effect engine.ResyncCache) {
	c.tryStart(func() {
		boot, events, err := c.readEvents(ctx, effect.Address(), 0)
		if err != nil {
			c.report(effect.Replica(), err)
			return
		}
		number, stored := cachedBlocks(events)
		_ = c.feed(engine.NewCacheSnapshot(effect.Replica(), number, stored).WithBoot(boot))
	})
}

// start runs work beside the loop, or leaves it out when as much as allowed runs already.
func (c *cacheReader) tryStart(work func()) {
	select {
	case c.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.slots }()
		work()
	}()
}

func (c *cacheReader) report(replica instance.ReplicaID, err error) {
	klog.V(1).InfoS("daemon: Cache events could not be read.", "replica", string(replica), "err", err.Error())
}

// following returns the answer to a read; without events it still tells which process of the engine answered.
func cacheReports(effect engine.ReadCacheEvents, boot instance.BootID, events []upstream.CacheEvent) []engine.Event {
	if len(events) == 0 {
		return []engine.Event{engine.NewCacheReported(effect.Replica(), effect.After(), nil, nil).WithBoot(boot)}
	}
	var result []engine.Event
	for _, event := range events {
		stored, removed := []uint64{event.Block()}, []uint64(nil)
		if !event.Stored() {
			stored, removed = removed, stored
		}
		result = append(result, engine.NewCacheReported(effect.Replica(), event.Number(), stored, removed).WithBoot(boot))
	}
	return result
}

// fold returns the number of the last event and the blocks that remain after all of them, the oldest first.
func cachedBlocks(events []upstream.CacheEvent) (uint64, []uint64) {
	var last uint64
	var stored []uint64
	live := make(map[uint64]uint64, len(events))
	for _, event := range events {
		last = event.Number()
		if !event.Stored() {
			delete(live, event.Block())
			continue
		}
		live[event.Block()] = last
	}
	for _, event := range events {
		if live[event.Block()] == event.Number() {
			stored = append(stored, event.Block())
		}
	}
	return last, stored
}
