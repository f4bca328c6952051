package reducer

import "time"

// Settings are the settings of one start of a daemon.
type Settings struct {
	name              string
	incarnation       string
	dataCentre        string
	callerAddress     string
	peerAddress       string
	seeds             []string
	seed              uint64
	heartbeatInterval time.Duration
	probeInterval     time.Duration
	listInterval      time.Duration
	maxTotalRate      int64
	maxInstanceRate   int64
}

// NewSettings returns the settings of the daemon called name in dataCentre; incarnation must be unique to each start of
// the process, and seed initialises its random sequences.
func NewSettings(name, incarnation, dataCentre string, seed uint64) Settings {
	return Settings{name: name, incarnation: incarnation, dataCentre: dataCentre, seed: seed}
}

// WithAddresses returns the settings with the addresses (host:port) for callers and for peers.
func (s Settings) WithAddresses(caller, peer string) Settings {
	s.callerAddress, s.peerAddress = caller, peer
	return s
}

// WithSeeds returns the settings with the addresses (host:port) of the peers to contact first.
func (s Settings) WithSeeds(seeds ...string) Settings {
	s.seeds = seeds
	return s
}

// WithIntervals returns the settings with the intervals of heartbeats to peers, of probes, and of reads of the instance
// list by the daemons that distribute it, 0 for the defaults.
func (s Settings) WithIntervals(heartbeat, probe, list time.Duration) Settings {
	s.heartbeatInterval, s.probeInterval, s.listInterval = heartbeat, probe, list
	return s
}

// WithWeightStore returns the settings with the total rate of the weight store and the highest rate for one loading
// instance, both in bytes per second, 0 for the defaults.
func (s Settings) WithWeightStore(maxTotalRate, maxInstanceRate int64) Settings {
	s.maxTotalRate, s.maxInstanceRate = maxTotalRate, maxInstanceRate
	return s
}

// Name returns the name of the daemon.
func (s Settings) Name() string { return s.name }

// StartID returns the name of the daemon joined with its incarnation; it is unique to each start of the process.
func (s Settings) StartID() string { return s.name + "-" + s.incarnation }

// DataCentre returns the data centre that the daemon runs in.
func (s Settings) DataCentre() string { return s.dataCentre }

// UpstreamID returns the ID under which the upstream of a plain service at address (host:port) is probed.
func UpstreamID(service, address string) string { return service + "/" + address }
