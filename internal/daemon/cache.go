package daemon

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
)

// maxCacheReads limits the concurrent reads of cache events; pkg/engine requests skipped reads again.
const maxCacheReads = 4

// readCacheFunc reads the cache events that follow event number after from the engine at address, and the engine's boot
// ID.
type readCacheFunc func(ctx context.Context, address string, after uint64) (instance.BootID, []upstream.CacheEvent, error)

// cacheReader reads from engines which blocks they cache and feeds them to pkg/engine.
type cacheReader struct {
	readEvents readCacheFunc
	feed       func(engine.Event) error
	slots      chan struct{} // one element for each running read
}

func newCacheReader(readEvents readCacheFunc, feed func(engine.Event) error) *cacheReader {
	return &cacheReader{readEvents: readEvents, feed: feed, slots: make(chan struct{}, maxCacheReads)}
}

// read feeds the cache events of a replica that follow the last known one.
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

// resync feeds the complete list of the blocks that a replica caches.
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

// tryStart runs work in a goroutine, or skips it if maxCacheReads run already.
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
	klog.V(1).InfoS("daemon: Cannot read cache events; retrying at the next read",
		"replica", string(replica), "err", err.Error())
}

// cacheReports returns the events of one read; without cache events one event still carries the engine's boot ID.
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

// cachedBlocks returns the number of the last event and the blocks that are cached after all events, the oldest first.
func cachedBlocks(events []upstream.CacheEvent) (uint64, []uint64) {
	var last uint64
	var stored []uint64
	numberByBlock := make(map[uint64]uint64, len(events))
	for _, event := range events {
		last = event.Number()
		if !event.Stored() {
			delete(numberByBlock, event.Block())
			continue
		}
		numberByBlock[event.Block()] = last
	}
	for _, event := range events {
		if numberByBlock[event.Block()] == event.Number() {
			stored = append(stored, event.Block())
		}
	}
	return last, stored
}
