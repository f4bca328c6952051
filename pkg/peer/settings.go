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
	name                string
	address             string
	callerAddress       string
	centre              string
	seed                uint64
	seeds               []string
	documents           []DocumentSource
	gossipInterval      time.Duration
	probeInterval       time.Duration
	watchersPerUpstream int
	rereadInterval      time.Duration
	maxBackoff          time.Duration
	readersPerCentre    int
}

// NewSettings returns the settings of the daemon called name in a data centre; it listens for peers on address and for
// callers on caller (host:port each), and draws its random choices from seed.
func NewSettings(name, address, caller, centre string, seed uint64) Settings {
	return Settings{name: name, address: address, callerAddress: caller, centre: centre, seed: seed}
}

// WithSeeds returns the settings with the addresses (host:port) of peers to meet first.
func (s Settings) WithSeeds(addresses ...string) Settings {
	s.seeds = addresses
	return s
}

// WithDocuments returns the settings with the documents that every daemon must hold; the first one is the configuration,
// whose revision each daemon reports as in force.
func (s Settings) WithDocuments(follows ...DocumentSource) Settings {
	s.documents = follows
	return s
}

// WithGossipInterval returns the settings with the interval of gossip; the driver sends Ticked at least that often.
func (s Settings) WithGossipInterval(interval time.Duration) Settings {
	s.gossipInterval = interval
	return s
}

// WithProbeInterval returns the settings with the interval between two probes of one upstream by one watcher.
func (s Settings) WithProbeInterval(interval time.Duration) Settings {
	s.probeInterval = interval
	return s
}

// WithWatchersPerUpstream returns the settings with the number of daemons that watch each upstream.
func (s Settings) WithWatchersPerUpstream(count int) Settings {
	s.watchersPerUpstream = count
	return s
}

// WithRereadInterval returns the settings with the mean interval between two reads of a document from the store by a daemon
// that does not watch it.
func (s Settings) WithRereadInterval(interval time.Duration) Settings {
	s.rereadInterval = interval
	return s
}

// WithMaxBackoff returns the settings with the longest wait before the store is asked again after it failed.
func (s Settings) WithMaxBackoff(longest time.Duration) Settings {
	s.maxBackoff = longest
	return s
}

// WithReadersPerCentre returns the settings with the number of daemons in each data centre that watch a document in the store.
func (s Settings) WithReadersPerCentre(count int) Settings {
	s.readersPerCentre = count
	return s
}

// ReadersPerCentre returns the number of daemons in each data centre that watch a document in the store.
func (s Settings) ReadersPerCentre() int {
	if s.readersPerCentre > 0 {
		return s.readersPerCentre
	}
	return defaultReaders
}

// MaxBackoff returns the longest wait before the store is asked again after it failed.
func (s Settings) MaxBackoff() time.Duration { return orDuration(s.maxBackoff, maxBackoff) }

// Name returns the name of the daemon.
func (s Settings) Name() string { return s.name }

// Address returns where the daemon listens for peers, as host:port.
func (s Settings) Address() string { return s.address }

// GossipInterval returns the interval of gossip.
func (s Settings) GossipInterval() time.Duration { return orDuration(s.gossipInterval, defaultTick) }

// ProbeInterval returns the interval between two probes of one upstream by one watcher.
func (s Settings) ProbeInterval() time.Duration { return orDuration(s.probeInterval, defaultProbe) }

// WatchersPerUpstream returns the number of daemons that watch each upstream.
func (s Settings) WatchersPerUpstream() int {
	if s.watchersPerUpstream > 0 {
		return s.watchersPerUpstream
	}
	return defaultWatchers
}

// RereadInterval returns the mean interval between two backstop reads of one document.
func (s Settings) RereadInterval() time.Duration { return orDuration(s.rereadInterval, defaultReread) }

func orDuration(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// DocumentSource names a document that every daemon holds, and where the store keeps it.
type DocumentSource struct {
	name          string
	key           object.Key
	revisionField string
}

// NewDocumentSource returns the wish to hold the document called name, kept at key; its revision is the number in the top-level
// JSON field called field.
func NewDocumentSource(name string, key object.Key, field string) DocumentSource {
	return DocumentSource{name, key, field}
}

// Name returns the name of the document among peers.
func (f DocumentSource) Name() string { return f.name }

// Key returns the object that holds the document.
func (f DocumentSource) Key() object.Key { return f.key }

// RevisionField returns the JSON field that holds the revision.
func (f DocumentSource) RevisionField() string { return f.revisionField }

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
