package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
)

// Identity is what a daemon is told about itself when it starts.
type Identity struct {
	name    string
	centre  string
	front   string
	address string
	start   string
	seed    uint64
	seeds   []string
	first   bool
	config  object.Key
	field   string
	record  object.Key
	retries dispatch.Retries
	linger  time.Duration
}

// NewIdentity returns the identity of the daemon called name in a data centre; start is new at each start of the process.
func NewIdentity(name, centre, start string, seed uint64) Identity {
	return Identity{name: name, centre: centre, start: start, seed: seed}
}

// WithAddresses returns the identity with the addresses (host:port) for callers and for peers.
func (i Identity) WithAddresses(front, peers string) Identity {
	i.front, i.address = front, peers
	return i
}

// WithSeeds returns the identity with the addresses (host:port) of peers to meet first.
func (i Identity) WithSeeds(seeds ...string) Identity {
	i.seeds = seeds
	return i
}

// WithFirst returns the identity with whether the whole system starts for the first time.
func (i Identity) WithFirst(first bool) Identity {
	i.first = first
	return i
}

// WithConfig returns the identity with the object that holds the configuration, and the field of its revision.
func (i Identity) WithConfig(key object.Key, field string) Identity {
	i.config, i.field = key, field
	return i
}

// WithRecord returns the identity with the object that holds the record of replicas.
func (i Identity) WithRecord(key object.Key) Identity {
	i.record = key
	return i
}

// WithRetries returns the identity with the bound of retries of all daemons together.
func (i Identity) WithRetries(retries dispatch.Retries) Identity {
	i.retries = retries
	return i
}

// WithLinger returns the identity with how long callers may still come after a stop begins.
func (i Identity) WithLinger(linger time.Duration) Identity {
	i.linger = linger
	return i
}
