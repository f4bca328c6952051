package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is an action that the driver or another package has to carry out.
type Effect interface{ isEffect() }

// Send requests a message to be sent to a peer.
type Send struct {
	name    string
	address string
	message Message
}

// Name returns the name of the peer, empty for a seed that has not answered yet.
func (s Send) Name() string { return s.name }

// Address returns where the peer listens, as host:port.
func (s Send) Address() string { return s.address }

// Message returns the message to send.
func (s Send) Message() Message { return s.message }

// Probe requests one probe of an upstream.
type Probe struct{ upstream Upstream }

// Upstream returns the upstream to probe.
func (p Probe) Upstream() Upstream { return p.upstream }

// ApplyProbeResult reports the probe result that now determines the health of an upstream on this daemon.
type ApplyProbeResult struct{ result instance.ProbeResult }

// Result returns the probe result; its time is by this daemon's clock.
func (a ApplyProbeResult) Result() instance.ProbeResult { return a.result }

// Adopt puts a document in force on this daemon. Its revision is higher than any before.
type Adopt struct {
	document Document
	source   string
	storeAge time.Duration
}

// Document returns the document to put in force.
func (a Adopt) Document() Document { return a.document }

// Source returns the name of the peer that sent the document, or StoreSource.
func (a Adopt) Source() string { return a.source }

// StoreAge returns how long ago the store last answered a read or the watch of the document, 0 if it never did.
func (a Adopt) StoreAge() time.Duration { return a.storeAge }

// StoreSource is the source of a document that was read from the store.
const StoreSource = "store"

// LearnFact reports a new or changed fact of a peer.
type LearnFact struct {
	topic, key string
	origin     string
	value      []byte
	expiry     time.Time
}

// Topic returns the kind of the fact.
func (l LearnFact) Topic() string { return l.topic }

// Key returns the subject of the fact.
func (l LearnFact) Key() string { return l.key }

// Origin returns the name of the daemon that shared the fact.
func (l LearnFact) Origin() string { return l.origin }

// Value returns the value of the fact, empty when its origin withdrew it.
func (l LearnFact) Value() []byte { return l.value }

// Expiry returns the time, by this daemon's clock, after which the fact is no longer valid.
func (l LearnFact) Expiry() time.Time { return l.expiry }

// DeliverDirectMessage delivers a message that a peer sent to this daemon alone.
type DeliverDirectMessage struct {
	from, topic string
	data        []byte
}

// From returns the name of the sender.
func (d DeliverDirectMessage) From() string { return d.from }

// Topic returns the kind of the message.
func (d DeliverDirectMessage) Topic() string { return d.topic }

// Data returns the payload.
func (d DeliverDirectMessage) Data() []byte { return d.data }

// Members reports that the set of live members changed, or that one of them changed its addresses or began to leave.
type Members struct{ members []Member }

// Members returns all live members sorted by name, including this daemon.
func (m Members) Members() []Member { return m.members }

// Store requests a read or a watch of a document in the store.
type Store struct{ request object.Request }

// Request returns the request to make.
func (s Store) Request() object.Request { return s.request }

// StopWatches requests the end of all watches of documents in the store.
type StopWatches struct{}

// ResetLinks requests all links to be closed and their buffered data to be dropped, because this daemon was frozen.
type ResetLinks struct{}

func (Send) isEffect() {}

func (Probe) isEffect() {}

func (ApplyProbeResult) isEffect() {}

func (Adopt) isEffect() {}

func (LearnFact) isEffect() {}

func (DeliverDirectMessage) isEffect() {}

func (Members) isEffect() {}

func (Store) isEffect() {}

func (StopWatches) isEffect() {}

func (ResetLinks) isEffect() {}
