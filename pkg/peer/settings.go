package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The defaults of Settings.
const (
	defaultGossipInterval      = 250 * time.Millisecond
	defaultProbeInterval       = 500 * time.Millisecond
	defaultWatchersPerUpstream = 3
	defaultReadersPerCentre    = 2
	defaultRereadInterval      = 5 * time.Minute
)

// Settings holds the identity of a daemon and the parameters of gossip.
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
	capacity            uint8
	relayPort           uint16
}

// NewSettings returns the settings of the daemon called name in a data centre. It listens for peers on address and for
// callers on callerAddress (host:port each). Its random numbers derive from seed.
func NewSettings(name, address, callerAddress, centre string, seed uint64) Settings {
	return Settings{name: name, address: address, callerAddress: callerAddress, centre: centre, seed: seed}
}

// WithSeeds returns the settings with the addresses (host:port) of the peers to contact first.
func (s Settings) WithSeeds(addresses ...string) Settings {
	s.seeds = addresses
	return s
}

// WithDocuments returns the settings with the documents that every daemon must have. The first one is the configuration,
// of which each daemon reports the revision in force.
func (s Settings) WithDocuments(sources ...DocumentSource) Settings {
	s.documents = sources
	return s
}

// WithCapacity returns the settings with the resource class of the daemon's instance, 0 if unknown; a higher class has more
// resources.
func (s Settings) WithCapacity(class uint8) Settings {
	s.capacity = class
	return s
}

// WithRelayPort returns the settings with the port at which the daemon accepts requests that it passes on for its peers, on the host of
// its address, 0 for none.
func (s Settings) WithRelayPort(port uint16) Settings {
	s.relayPort = port
	return s
}

// WithGossipInterval returns the settings with the gossip interval. The driver sends Ticked at least that often.
func (s Settings) WithGossipInterval(interval time.Duration) Settings {
	s.gossipInterval = interval
	return s
}

// WithProbeInterval returns the settings with the interval between two probes of an upstream by one watcher.
func (s Settings) WithProbeInterval(interval time.Duration) Settings {
	s.probeInterval = interval
	return s
}

// WithWatchersPerUpstream returns the settings with the number of daemons that watch each upstream.
func (s Settings) WithWatchersPerUpstream(count int) Settings {
	s.watchersPerUpstream = count
	return s
}

// WithRereadInterval returns the settings with the mean interval between two reads of a document from the store by a
// daemon that does not watch it.
func (s Settings) WithRereadInterval(interval time.Duration) Settings {
	s.rereadInterval = interval
	return s
}

// WithMaxBackoff returns the settings with the upper limit of the wait before a failed store request is retried.
func (s Settings) WithMaxBackoff(limit time.Duration) Settings {
	s.maxBackoff = limit
	return s
}

// WithReadersPerCentre returns the settings with the number of daemons in each data centre that watch a document in the
// store.
func (s Settings) WithReadersPerCentre(count int) Settings {
	s.readersPerCentre = count
	return s
}

// ReadersPerCentre returns the number of daemons in each data centre that watch a document in the store.
func (s Settings) ReadersPerCentre() int {
	if s.readersPerCentre > 0 {
		return s.readersPerCentre
	}
	return defaultReadersPerCentre
}

// MaxBackoff returns the longest wait before a failed store request is retried.
func (s Settings) MaxBackoff() time.Duration { return orDefault(s.maxBackoff, maxBackoff) }

// Name returns the name of the daemon.
func (s Settings) Name() string { return s.name }

// Address returns where the daemon listens for peers, as host:port.
func (s Settings) Address() string { return s.address }

// GossipInterval returns the gossip interval.
func (s Settings) GossipInterval() time.Duration {
	return orDefault(s.gossipInterval, defaultGossipInterval)
}

// ProbeInterval returns the interval between two probes of an upstream by one watcher.
func (s Settings) ProbeInterval() time.Duration {
	return orDefault(s.probeInterval, defaultProbeInterval)
}

// WatchersPerUpstream returns the number of daemons that watch each upstream.
func (s Settings) WatchersPerUpstream() int {
	if s.watchersPerUpstream > 0 {
		return s.watchersPerUpstream
	}
	return defaultWatchersPerUpstream
}

// RereadInterval returns the mean interval between two reads of a document by a daemon that does not watch it.
func (s Settings) RereadInterval() time.Duration {
	return orDefault(s.rereadInterval, defaultRereadInterval)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// DocumentSource names a document that every daemon must have and the object in the store that contains it.
type DocumentSource struct {
	name          string
	key           object.Key
	revisionField string
}

// NewDocumentSource returns the source of the document called name, stored at key. Its revision is the number in the
// top-level JSON field called revisionField.
func NewDocumentSource(name string, key object.Key, revisionField string) DocumentSource {
	return DocumentSource{name, key, revisionField}
}

// Name returns the name of the document among peers.
func (d DocumentSource) Name() string { return d.name }

// Key returns the key of the object that contains the document.
func (d DocumentSource) Key() object.Key { return d.key }

// RevisionField returns the JSON field that contains the revision.
func (d DocumentSource) RevisionField() string { return d.revisionField }

// Upstream is an instance or a plain service that the daemons probe.
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
