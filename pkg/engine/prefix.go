package engine

import (
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// prefixesMost is how many prefix blocks are remembered in each of two generations.
	prefixesMost = 1 << 15
	// holdersMost is how many replicas are remembered for each block.
	holdersMost = 2
)

// prefixes remembers which replicas cache which blocks of prompts, as far as events told.
type prefixes struct {
	young map[uint64]block
	old   map[uint64]block
}

// block is where one block is cached, the latest first.
type block [holdersMost]holder

// holder is a replica that caches a block; it is void once the replica's log has another epoch.
type holder struct {
	own   *upstream
	epoch uint32
}

func (h holder) isValid() bool { return h.own != nil && h.own.cache.epoch == h.epoch }

// cacheLog is the place in the sequence of a replica's cache events.
type cacheLog struct {
	boot     instance.BootID
	sequence uint64
	epoch    uint32
	lost     bool
	due      time.Time
}

// isOther reports whether events of boot come from another process than those known so far; then all that is known is
// void. An event without boot says nothing about it.
func (l *cacheLog) isOther(boot instance.BootID) bool {
	if boot == "" || boot == l.boot {
		return false
	}
	if l.boot == "" && l.sequence == 0 {
		l.boot = boot
		return false
	}
	if l.lost {
		return false
	}
	l.lost = true
	l.epoch++
	return true
}

// accept reports whether the event numbered sequence follows what is known; a gap voids all that is known.
func (l *cacheLog) accept(sequence uint64) (isNext, isGap bool) {
	if sequence <= l.sequence {
		return false, false
	}
	if l.lost {
		return false, false
	}
	if l.sequence != 0 && sequence != l.sequence+1 || l.sequence == 0 && sequence != 1 {
		l.lost = true
		l.epoch++
		return false, true
	}
	l.sequence = sequence
	return true, false
}

// restart takes in a whole list of the process boot as of sequence.
func (l *cacheLog) restart(boot instance.BootID, sequence uint64) {
	l.epoch++
	l.boot = boot
	l.sequence = sequence
	l.lost = false
}

func (p *prefixes) get(hash uint64) (block, bool) {
	if found, isYoung := p.young[hash]; isYoung {
		return found, true
	}
	found, isOld := p.old[hash]
	return found, isOld
}

func (p *prefixes) put(hash uint64, b block) {
	if p.young == nil || len(p.young) >= prefixesMost {
		p.old, p.young = p.young, make(map[uint64]block)
	}
	p.young[hash] = b
}

// store notes that own caches the block.
func (p *prefixes) store(hash uint64, own *upstream) {
	b, _ := p.get(hash)
	next := block{{own, own.cache.epoch}}
	place := 1
	for _, h := range b {
		if place < holdersMost && h.isValid() && h.own != own {
			next[place] = h
			place++
		}
	}
	p.put(hash, next)
}

// remove notes that own doesn't cache the block any more.
func (p *prefixes) remove(hash uint64, own *upstream) {
	b, isKnown := p.get(hash)
	if !isKnown {
		return
	}
	for i, h := range b {
		if h.own == own {
			b[i] = holder{}
		}
	}
	p.put(hash, b)
}

// find returns the replicas that cache the longest known part of prefix, and how large a part of it that is. A prefix
// is cached from its beginning, so the end of the cached part is found by halving.
func (p *prefixes) find(prefix []uint64) ([holdersMost]*upstream, float64) {
	cached := sort.Search(len(prefix), func(i int) bool {
		b, isKnown := p.get(prefix[i])
		return !isKnown || !b.isHeld()
	})
	var result [holdersMost]*upstream
	if cached == 0 {
		return result, 0
	}
	b, _ := p.get(prefix[cached-1])
	for i, h := range b {
		if h.isValid() {
			result[i] = h.own
		}
	}
	return result, float64(cached) / float64(len(prefix))
}

func (b block) isHeld() bool {
	for _, h := range b {
		if h.isValid() {
			return true
		}
	}
	return false
}
