package reducer

import "time"

// Settings is what one start of a daemon knows about itself.
type Settings struct {
	name        string
	incarnation string
	dataCentre  string
	caller      string
	peer        string
	seeds       []string
	seed        uint64
	heartbeat   time.Duration
	probe       time.Duration
	list        time.Duration
	rate        int64
	pull        int64
}

// NewSettings returns the identity of the daemon called name in dataCentre; start is new at each start of the process,
// and seed begins its random draws.
func NewSettings(name, start, dataCentre string, seed uint64) Settings {
	return Settings{name: name, incarnation: start, dataCentre: dataCentre, seed: seed}
}

// WithAddresses returns the identity with the addresses (host:port) that callers and peers reach the daemon at.
func (i Settings) WithAddresses(caller, peer string) Settings {
	i.caller, i.peer = caller, peer
	return i
}

// WithSeeds returns the identity with the addresses (host:port) of peers to meet first.
func (i Settings) WithSeeds(seeds ...string) Settings {
	i.seeds = seeds
	return i
}

// WithIntervals returns the identity with the intervals of heartbeats to peers, of probes, and of reads of the instance
// list by those daemons that bring it to the others, 0 for the defaults.
func (i Settings) WithIntervals(heartbeat, probe, list time.Duration) Settings {
	i.heartbeat, i.probe, i.list = heartbeat, probe, list
	return i
}

// WithWeightStore returns the identity with the rate of the weight store and the most that one loading instance takes,
// both in bytes a second, 0 for the defaults.
func (i Settings) WithWeightStore(rate, pull int64) Settings {
	i.rate, i.pull = rate, pull
	return i
}

// Name returns the name of the daemon.
func (i Settings) Name() string { return i.name }

// StartID returns the identity of this start of the daemon.
func (i Settings) StartID() string { return i.name + "-" + i.incarnation }

// DataCentre returns where the daemon runs.
func (i Settings) DataCentre() string { return i.dataCentre }

// UpstreamID returns the name under which the process of a plain service at address (host:port) is watched.
func UpstreamID(service, address string) string { return service + "/" + address }
