package gateway

import (
	"math"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// Settings are the settings of one daemon.
type Settings struct {
	name          string
	centre        string
	callerAddress string
	peerAddress   string
	incarnation   string
	seed          uint64
	seeds         []string
	bootstrap     bool
	capacity      uint8
	configKey     object.Key
	revisionField string
	recordKey     object.Key
	retryLimits   dispatch.RetryLimits
	shutdown      Shutdown
	watchWait     time.Duration
	relayPort     uint16
	region        string
	regions       map[string]string // by data centre
	coldBound     dispatch.ColdBound

	evacuationGrace time.Duration
}

// NewSettings returns the settings of the daemon called name in a data centre; incarnation must be unique to each start
// of the process.
func NewSettings(name, centre, incarnation string, seed uint64) Settings {
	return Settings{name: name, centre: centre, incarnation: incarnation, seed: seed}
}

// WithAddresses returns the settings with the addresses (host:port) for callers and for peers.
func (s Settings) WithAddresses(callers, peers string) Settings {
	s.callerAddress, s.peerAddress = callers, peers
	return s
}

// WithSeeds returns the settings with the addresses (host:port) of the peers to contact first.
func (s Settings) WithSeeds(seeds ...string) Settings {
	s.seeds = seeds
	return s
}

// The units of an instance's resources. The class is the binary logarithm of their product, and 0 below one unit.
const (
	processorUnit = 0.01 // cores
	linkUnit      = 1e6  // bits per second
)

// WithResources returns the settings with the processor time (cores) and the link (bits per second) of the daemon's
// instance. Daemons of a higher class are preferred as leaders, readers of the list and shard owners.
func (s Settings) WithResources(cores, link float64) Settings {
	s.capacity = uint8(min(quantity.Count(math.Log2(cores/processorUnit*link/linkUnit)), math.MaxUint8))
	return s
}

// WithBootstrap returns the settings with whether the whole system starts for the first time.
func (s Settings) WithBootstrap(bootstrap bool) Settings {
	s.bootstrap = bootstrap
	return s
}

// WithConfig returns the settings with the object that holds the configuration, and the field of its revision.
func (s Settings) WithConfig(key object.Key, revisionField string) Settings {
	s.configKey, s.revisionField = key, revisionField
	return s
}

// WithRecord returns the settings with the object that holds the record of replicas.
func (s Settings) WithRecord(key object.Key) Settings {
	s.recordKey = key
	return s
}

// WithWatchWait returns the settings with how long one call of a watch waits for a change in the store; 0 for watches whose
// calls are not answered regularly.
func (s Settings) WithWatchWait(wait time.Duration) Settings {
	s.watchWait = wait
	return s
}

// WithRelayPort returns the settings with the port, on the host of the address for peers, at which the daemon accepts requests that it
// passes on for its peers.
func (s Settings) WithRelayPort(port uint16) Settings {
	s.relayPort = port
	return s
}

// WithEvacuationGrace returns the settings with the time from when the evacuation of a data centre is announced until it is closed; 0 if
// evacuations have no effect.
func (s Settings) WithEvacuationGrace(grace time.Duration) Settings {
	s.evacuationGrace = grace
	return s
}

// WithRetryLimits returns the settings with the limits on retries of all daemons together.
func (s Settings) WithRetryLimits(limits dispatch.RetryLimits) Settings {
	s.retryLimits = limits
	return s
}

// WithColdBound returns the settings with the bound of the requests that a cold upstream may get in any one second.
func (s Settings) WithColdBound(bound dispatch.ColdBound) Settings {
	s.coldBound = bound
	return s
}

// WithShutdown returns the settings with the times of a graceful shutdown.
func (s Settings) WithShutdown(shutdown Shutdown) Settings {
	s.shutdown = shutdown
	return s
}
