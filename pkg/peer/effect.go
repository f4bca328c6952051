package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is something that the driver or another part has to do.
type Effect interface{ isEffect() }

// Send asks for a message to be sent to a peer.
type Send struct {
	name    string
	address string
	message Message
}

// Name returns the name of the peer, empty for a seed that has not answered yet.
func (s Send) Name() string { return s.name }

// Address returns where the peer listens, as host:port.
func (s Send) Address() string { return s.address }

// Message returns what is to be sent.
func (s Send) Message() Message { return s.message }

// Probe asks for one look at an upstream.
type Probe struct{ upstream Upstream }

// Upstream returns what is to be looked at.
func (p Probe) Upstream() Upstream { return p.upstream }

// ApplyProbeResult says that this daemon now believes a sighting, alive or a miss.
type ApplyProbeResult struct{ result instance.ProbeResult }

// Result returns what is believed; its time is by this daemon's clock.
func (s ApplyProbeResult) Result() instance.ProbeResult { return s.result }

// Adopt says that a document is in force here from now on; its revision is higher than any before.
type Adopt struct{ document Document }

// Document returns the document that is in force.
func (a Adopt) Document() Document { return a.document }

// LearnFact says that a soft fact of a peer is newly known here.
type LearnFact struct {
	topic, key string
	origin     string
	value      []byte
	expiry     time.Time
}

// Topic returns what kind of fact it is.
func (l LearnFact) Topic() string { return l.topic }

// Key returns what the fact is about.
func (l LearnFact) Key() string { return l.key }

// Origin returns the name of the daemon that shared the fact.
func (l LearnFact) Origin() string { return l.origin }

// Value returns the fact itself, empty when its origin withdrew it.
func (l LearnFact) Value() []byte { return l.value }

// Expiry returns the time, by this daemon's clock, after which the fact is void.
func (l LearnFact) Expiry() time.Time { return l.expiry }

// DeliverDirectMessage says that a peer told this daemon something.
type DeliverDirectMessage struct {
	from, topic string
	data        []byte
}

// From returns the name of the peer.
func (t DeliverDirectMessage) From() string { return t.from }

// Topic returns what it is about.
func (t DeliverDirectMessage) Topic() string { return t.topic }

// Data returns what was told.
func (t DeliverDirectMessage) Data() []byte { return t.data }

// Members says that the live members are other ones than before, or one of them began to leave.
type Members struct{ members []Member }

// Members returns all live members in the order of their names, this daemon among them.
func (m Members) Members() []Member { return m.members }

// Store asks for a read or a watch of a document in the store.
type Store struct{ request object.Request }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// StopWatches asks for the watches of documents in the store to end.
type StopWatches struct{}

// ResetLinks asks for all links to be closed and all that they hold to be dropped, since this daemon stood still.
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
