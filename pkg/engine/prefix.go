package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// maxPrefixBlocks limits the prefix blocks that are stored in each of two generations.
	maxPrefixBlocks = 1 << 15
	// maxHolders limits the replicas that are stored for each block.
	maxHolders = 2
)

// prefixIndex maps prefix blocks to the replicas that cache them. It is built from calls sent and from cache events.
type prefixIndex struct {
	recent map[uint64]blockHolders
	older  map[uint64]blockHolders
}

// blockHolders are the replicas that cache one block, the latest first.
type blockHolders [maxHolders]holder

// holder is a replica that caches a block. It is invalid once the epoch of the replica's cache has changed.
type holder struct {
	replica *replicaState
	epoch   uint32
}

func (h holder) isValid() bool { return h.replica != nil && h.replica.cache.epoch == h.epoch }

// cachePosition is the position in the sequence of a replica's cache events.
type cachePosition struct {
	boot      instance.BootID
	sequence  uint64
	epoch     uint32
	outOfSync bool
	nextRead  time.Time
}

// detectRestart reports whether events of boot are from another process than the earlier ones, and then invalidates all
// blocks of the replica. It ignores events without a boot ID, and all events while the replica is out of sync.
func (p *cachePosition) detectRestart(boot instance.BootID) bool {
	if boot == "" || boot == p.boot {
		return false
	}
	if p.boot == "" && p.sequence == 0 {
		p.boot = boot
		return false
	}
	if p.outOfSync {
		return false
	}
	p.outOfSync = true
	p.epoch++
	return true
}

// accept reports whether the event with that sequence number is the next one. A gap invalidates all blocks of the
// replica.
func (p *cachePosition) accept(sequence uint64) (isNext, isGap bool) {
	if sequence <= p.sequence {
		return false, false
	}
	if p.outOfSync {
		return false, false
	}
	if p.sequence != 0 && sequence != p.sequence+1 || p.sequence == 0 && sequence != 1 {
		p.outOfSync = true
		p.epoch++
		return false, true
	}
	p.sequence = sequence
	return true, false
}

// reset sets the position to that of a snapshot of the process boot, and invalidates all earlier blocks of the replica.
func (p *cachePosition) reset(boot instance.BootID, sequence uint64) {
	p.epoch++
	p.boot = boot
	p.sequence = sequence
	p.outOfSync = false
}

func (p *prefixIndex) get(hash uint64) (blockHolders, bool) {
	if found, isRecent := p.recent[hash]; isRecent {
		return found, true
	}
	found, isOlder := p.older[hash]
	return found, isOlder
}

func (p *prefixIndex) put(hash uint64, b blockHolders) {
	if p.recent == nil || len(p.recent) >= maxPrefixBlocks {
		p.older, p.recent = p.recent, make(map[uint64]blockHolders)
	}
	p.recent[hash] = b
}

// store records that replica caches the block.
func (p *prefixIndex) store(hash uint64, replica *replicaState) {
	b, _ := p.get(hash)
	next := blockHolders{{replica, replica.cache.epoch}}
	count := 1
	for _, h := range b {
		if count < maxHolders && h.isValid() && h.replica != replica {
			next[count] = h
			count++
		}
	}
	p.put(hash, next)
}

// remove records that replica no longer caches the block.
func (p *prefixIndex) remove(hash uint64, replica *replicaState) {
	b, isKnown := p.get(hash)
	if !isKnown {
		return
	}
	for i, h := range b {
		if h.replica == replica {
			b[i] = holder{}
		}
	}
	p.put(hash, b)
}

// find returns the replicas that cache the longest known part of prefix, and the ratio of that part to prefix. A prefix
// is cached from its beginning, so a binary search finds the end of the cached part.
func (p *prefixIndex) find(prefix []uint64) ([maxHolders]*replicaState, float64) {
	cached := sort.Search(len(prefix), func(i int) bool {
		b, isKnown := p.get(prefix[i])
		return !isKnown || !b.isCached()
	})
	var result [maxHolders]*replicaState
	if cached == 0 {
		return result, 0
	}
	b, _ := p.get(prefix[cached-1])
	for i, h := range b {
		if h.isValid() {
			result[i] = h.replica
		}
	}
	return result, float64(cached) / float64(len(prefix))
}

func (b blockHolders) isCached() bool {
	for _, h := range b {
		if h.isValid() {
			return true
		}
	}
	return false
}
