package standin

import (
	"sync"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Cluster is a set of engines. Through it, the lead of a replica reads the state of the other members.
type Cluster struct {
	mu        sync.Mutex
	engines   map[instance.ID]*Engine
	byAddress map[string]*Engine
	bootCount int
}

// Engine returns the engine called id, which the first call creates and starts.
func (c *Cluster) Engine(id instance.ID) *Engine {
	c.mu.Lock()
	engine, exists := c.engines[id]
	if !exists {
		if c.engines == nil {
			c.engines = map[instance.ID]*Engine{}
		}
		engine = newEngine(id, c)
		c.engines[id] = engine
	}
	c.mu.Unlock()
	if !exists {
		engine.Start()
	}
	return engine
}

// SetAddress sets the address (host:port) of the engine called id, by which orders name it as a member, and returns the
// engine.
func (c *Cluster) SetAddress(id instance.ID, address string) *Engine {
	engine := c.Engine(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]*Engine{}
	}
	c.byAddress[address] = engine
	return engine
}

// lookUp returns the engine whose address or ID is name, or nil.
func (c *Cluster) lookUp(name string) *Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if engine, exists := c.byAddress[name]; exists {
		return engine
	}
	return c.engines[instance.ID(name)]
}

// nextBoot returns a number that is unique to one start of an engine.
func (c *Cluster) nextBoot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootCount++
	return c.bootCount
}

// isAvailable reports whether there are members, and all of them run and are ready with the assignment.
func (c *Cluster) isAvailable(assignment instance.Assignment, members []string) bool {
	for _, name := range members {
		member := c.lookUp(name)
		if member == nil || !member.isReady(assignment) {
			return false
		}
	}
	return len(members) > 0
}
