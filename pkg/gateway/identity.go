package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
)

// Settings is what a daemon is told about itself when it starts.
type Settings struct {
	name          string
	centre        string
	front         string
	address       string
	start         string
	seed          uint64
	seeds         []string
	bootstrap     bool
	config        object.Key
	field         string
	record        object.Key
	retryLimits   dispatch.RetryLimits
	shutdownDelay time.Duration
}

// NewSettings returns the identity of the daemon called name in a data centre; start is new at each start of the process.
func NewSettings(name, centre, start string, seed uint64) Settings {
	return Settings{name: name, centre: centre, start: start, seed: seed}
}

// WithAddresses returns the identity with the addresses (host:port) for callers and for peers.
func (i Settings) WithAddresses(front, peers string) Settings {
	i.front, i.address = front, peers
	return i
}

// WithSeeds returns the identity with the addresses (host:port) of peers to meet first.
func (i Settings) WithSeeds(seeds ...string) Settings {
	i.seeds = seeds
	return i
}

// WithBootstrap returns the identity with whether the whole system starts for the first time.
func (i Settings) WithBootstrap(first bool) Settings {
	i.bootstrap = first
	return i
}

// WithConfig returns the identity with the object that holds the configuration, and the field of its revision.
func (i Settings) WithConfig(key object.Key, field string) Settings {
	i.config, i.field = key, field
	return i
}

// WithRecord returns the identity with the object that holds the record of replicas.
func (i Settings) WithRecord(key object.Key) Settings {
	i.record = key
	return i
}

// WithRetryLimits returns the identity with the bound of retries of all daemons together.
func (i Settings) WithRetryLimits(retries dispatch.RetryLimits) Settings {
	i.retryLimits = retries
	return i
}

// WithShutdownDelay returns the identity with how long callers may still come after a stop begins.
func (i Settings) WithShutdownDelay(linger time.Duration) Settings {
	i.shutdownDelay = linger
	return i
}
