package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// Event is something that happened to this part of a daemon.
type Event interface{ isEvent() }

// Configured says that the daemon learnt its settings; all before it is ignored.
type Configured struct{ settings Settings }

// NewConfigured returns the event that the daemon runs by settings from now on.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// Listed says which upstreams there are; it replaces the list before it.
type Listed struct{ upstreams []Upstream }

// NewListed returns the event that upstreams are all the upstreams to be watched.
func NewListed(upstreams []Upstream) Listed { return Listed{upstreams} }

// Received says that a message came from a peer.
type Received struct {
	from    string
	message Message
	size    int
}

// NewReceived returns the event that message, of size bytes on the wire, came over the link of the peer called from.
func NewReceived(from string, message Message, size int) Received {
	return Received{from, message, size}
}

// From returns the name of the peer whose link the message came over.
func (r Received) From() string { return r.from }

// Message returns what came.
func (r Received) Message() Message { return r.message }

// Dialled says that a link to a peer is open.
type Dialled struct{ name, address string }

// NewDialled returns the event that a link to the peer called name at address (host:port) is open.
func NewDialled(name, address string) Dialled { return Dialled{name, address} }

// Closed says that a link to a peer broke or could not be opened.
type Closed struct{ name, address string }

// NewClosed returns the event that there is no link to the peer at address (host:port); name is empty if it never answered.
func NewClosed(name, address string) Closed { return Closed{name, address} }

// Name returns the name of the peer, empty if it never answered.
func (c Closed) Name() string { return c.name }

// Probed says what a probe by this daemon saw.
type Probed struct{ sighting instance.ProbeResult }

// NewProbed returns the event that a probe asked for by Probe ended with sighting, alive or a miss.
func NewProbed(sighting instance.ProbeResult) Probed { return Probed{sighting} }

// Published says that a document was accepted by the store.
type Published struct{ document Document }

// NewPublished returns the event that document is accepted in the store.
func NewPublished(document Document) Published { return Published{document} }

// Shared says that this daemon has a soft fact to tell all peers.
type Shared struct {
	topic, key string
	value      []byte
	expiry     time.Time
}

// NewShared returns the event that value is to be known everywhere under topic and key until expiry; a later Shared of
// the same topic and key by this daemon replaces it, and an empty value withdraws it.
func NewShared(topic, key string, value []byte, expiry time.Time) Shared {
	return Shared{topic, key, value, expiry}
}

// Tell asks for something to be told to one peer alone.
type Tell struct {
	name, topic string
	data        []byte
}

// NewTell returns the event that data is to be told to the peer called name; it is lost if the peer is out of reach.
func NewTell(name, topic string, data []byte) Tell { return Tell{name, topic, data} }

// Watching says whether this daemon is to watch the documents that it follows in the store, rather than to hear of them.
type Watching struct{ on bool }

// NewWatching returns the event that this daemon is to watch its documents in the store, or not to.
func NewWatching(on bool) Watching { return Watching{on} }

// Push asks for a document to be sent to one peer at once.
type Push struct{ name, document string }

// NewPush returns the event that the peer called name is to get the document that is in force here under that name.
func NewPush(name, document string) Push { return Push{name, document} }

// Leaving says that this daemon is about to stop and takes no new callers.
type Leaving struct{}

// NewLeaving returns the event that this daemon is about to stop.
func NewLeaving() Leaving { return Leaving{} }

// Returning says that the planned stop of this daemon is taken back.
type Returning struct{}

// NewReturning returns the event that this daemon takes new callers again.
func NewReturning() Returning { return Returning{} }

// Resulted says what became of a Store effect.
type Resulted struct{ result object.Result }

// NewResulted returns the event that the store answered a request of this part with result.
func NewResulted(result object.Result) Resulted { return Resulted{result} }

// Ticked says that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Listed) isEvent() {}

func (Received) isEvent() {}

func (Dialled) isEvent() {}

func (Closed) isEvent() {}

func (Probed) isEvent() {}

func (Published) isEvent() {}

func (Shared) isEvent() {}

func (Tell) isEvent() {}

func (Watching) isEvent() {}

func (Push) isEvent() {}

func (Leaving) isEvent() {}

func (Returning) isEvent() {}

func (Resulted) isEvent() {}

func (Ticked) isEvent() {}
