package standin

import (
	"sync"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Cluster connects the engines of one stand-in cluster, so that a lead sees the state of the other members.
type Cluster struct {
	mu        sync.Mutex
	engines   map[instance.ID]*Engine
	byAddress map[string]*Engine
	boots     int
}

// Engine returns the engine called id, which it creates and starts at the first call.
func (f *Cluster) Engine(id instance.ID) *Engine {
	f.mu.Lock()
	known, exists := f.engines[id]
	if !exists {
		if f.engines == nil {
			f.engines = map[instance.ID]*Engine{}
		}
		known = newEngine(id, f)
		f.engines[id] = known
	}
	f.mu.Unlock()
	if !exists {
		known.Start()
	}
	return known
}

// SetAddress tells the fabric that the engine called id listens on address (host:port), by which orders name members.
func (f *Cluster) SetAddress(id instance.ID, address string) *Engine {
	engine := f.Engine(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byAddress == nil {
		f.byAddress = map[string]*Engine{}
	}
	f.byAddress[address] = engine
	return engine
}

// member returns the engine whose address or identity is name, or nil.
func (f *Cluster) member(name string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	if placed, exists := f.byAddress[name]; exists {
		return placed
	}
	return f.engines[instance.ID(name)]
}

// nextBoot returns a number that no other start of an engine has.
func (f *Cluster) nextBoot() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boots++
	return f.boots
}

// whole reports whether all members are up and ready with the assignment.
func (f *Cluster) whole(assignment instance.Assignment, members []string) bool {
	for _, name := range members {
		member := f.member(name)
		if member == nil || !member.holds(assignment) {
			return false
		}
	}
	return len(members) > 0
}
