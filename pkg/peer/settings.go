package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The defaults of Settings.
const (
	defaultTick     = 250 * time.Millisecond
	defaultProbe    = 500 * time.Millisecond
	defaultWatchers = 3
	defaultReaders  = 2
	defaultReread   = 5 * time.Minute
)

// Settings is what a daemon is told about itself and its peers.
type Settings struct {
	name     string
	address  string
	caller   string
	centre   string
	seed     uint64
	seeds    []string
	follows  []Follow
	tick     time.Duration
	probe    time.Duration
	watchers int
	reread   time.Duration
	backoff  time.Duration
	readers  int
}

// NewSettings returns the settings of the daemon called name in a data centre; it listens for peers on address and for
// callers on caller (host:port each), and draws its random choices from seed.
func NewSettings(name, address, caller, centre string, seed uint64) Settings {
	return Settings{name: name, address: address, caller: caller, centre: centre, seed: seed}
}

// WithSeeds returns the settings with the addresses (host:port) of peers to meet first.
func (s Settings) WithSeeds(addresses ...string) Settings {
	s.seeds = addresses
	return s
}

// WithFollows returns the settings with the documents that every daemon must hold; the first one is the configuration,
// whose revision each daemon reports as in force.
func (s Settings) WithFollows(follows ...Follow) Settings {
	s.follows = follows
	return s
}

// WithTick returns the settings with the interval of gossip; the driver sends Ticked at least that often.
func (s Settings) WithTick(interval time.Duration) Settings {
	s.tick = interval
	return s
}

// WithProbe returns the settings with the interval between two probes of one upstream by one watcher.
func (s Settings) WithProbe(interval time.Duration) Settings {
	s.probe = interval
	return s
}

// WithWatchers returns the settings with the number of daemons that watch each upstream.
func (s Settings) WithWatchers(count int) Settings {
	s.watchers = count
	return s
}

// WithReread returns the settings with the mean interval between two reads of a document from the store by a daemon
// that does not watch it.
func (s Settings) WithReread(interval time.Duration) Settings {
	s.reread = interval
	return s
}

// WithBackoff returns the settings with the longest wait before the store is asked again after it failed.
func (s Settings) WithBackoff(longest time.Duration) Settings {
	s.backoff = longest
	return s
}

// WithReaders returns the settings with the number of daemons in each data centre that watch a document in the store.
func (s Settings) WithReaders(count int) Settings {
	s.readers = count
	return s
}

// Readers returns the number of daemons in each data centre that watch a document in the store.
func (s Settings) Readers() int {
	if s.readers > 0 {
		return s.readers
	}
	return defaultReaders
}

// Backoff returns the longest wait before the store is asked again after it failed.
func (s Settings) Backoff() time.Duration { return orDuration(s.backoff, maxBackoff) }

// Name returns the name of the daemon.
func (s Settings) Name() string { return s.name }

// Address returns where the daemon listens for peers, as host:port.
func (s Settings) Address() string { return s.address }

// Tick returns the interval of gossip.
func (s Settings) Tick() time.Duration { return orDuration(s.tick, defaultTick) }

// Probe returns the interval between two probes of one upstream by one watcher.
func (s Settings) Probe() time.Duration { return orDuration(s.probe, defaultProbe) }

// Watchers returns the number of daemons that watch each upstream.
func (s Settings) Watchers() int {
	if s.watchers > 0 {
		return s.watchers
	}
	return defaultWatchers
}

// Reread returns the mean interval between two backstop reads of one document.
func (s Settings) Reread() time.Duration { return orDuration(s.reread, defaultReread) }

func orDuration(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// Follow names a document that every daemon holds, and where the store keeps it.
type Follow struct {
	name  string
	key   object.Key
	field string
}

// NewFollow returns the wish to hold the document called name, kept at key; its revision is the number in the top-level
// JSON field called field.
func NewFollow(name string, key object.Key, field string) Follow { return Follow{name, key, field} }

// Name returns the name of the document among peers.
func (f Follow) Name() string { return f.name }

// Key returns the object that holds the document.
func (f Follow) Key() object.Key { return f.key }

// Field returns the JSON field that holds the revision.
func (f Follow) Field() string { return f.field }

// Upstream is one instance or plain service to be probed.
type Upstream struct {
	id      string
	address string
	centre  string
	domain  string
}

// NewUpstream returns the upstream called id at address (host:port) in a data centre and a fabric domain.
func NewUpstream(id, address, centre, domain string) Upstream {
	return Upstream{id, address, centre, domain}
}

// ID returns the name of the upstream.
func (u Upstream) ID() string { return u.id }

// Address returns where the upstream listens, as host:port.
func (u Upstream) Address() string { return u.address }

// Centre returns the data centre of the upstream.
func (u Upstream) Centre() string { return u.centre }

// Domain returns the fabric domain of the upstream.
func (u Upstream) Domain() string { return u.domain }
