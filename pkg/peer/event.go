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

// LinkOpened says that a link to a peer is open.
type LinkOpened struct{ name, address string }

// NewLinkOpened returns the event that a link to the peer called name at address (host:port) is open.
func NewLinkOpened(name, address string) LinkOpened { return LinkOpened{name, address} }

// LinkClosed says that a link to a peer broke or could not be opened.
type LinkClosed struct{ name, address string }

// NewLinkClosed returns the event that there is no link to the peer at address (host:port); name is empty if it never answered.
func NewLinkClosed(name, address string) LinkClosed { return LinkClosed{name, address} }

// Name returns the name of the peer, empty if it never answered.
func (c LinkClosed) Name() string { return c.name }

// Probed says what a probe by this daemon saw.
type Probed struct{ result instance.ProbeResult }

// NewProbed returns the event that a probe asked for by Probe ended with sighting, alive or a miss.
func NewProbed(sighting instance.ProbeResult) Probed { return Probed{sighting} }

// DocumentPublished says that a document was accepted by the store.
type DocumentPublished struct{ document Document }

// NewDocumentPublished returns the event that document is accepted in the store.
func NewDocumentPublished(document Document) DocumentPublished { return DocumentPublished{document} }

// FactShared says that this daemon has a soft fact to tell all peers.
type FactShared struct {
	topic, key string
	value      []byte
	expiry     time.Time
}

// NewFactShared returns the event that value is to be known everywhere under topic and key until expiry; a later Shared of
// the same topic and key by this daemon replaces it, and an empty value withdraws it.
func NewFactShared(topic, key string, value []byte, expiry time.Time) FactShared {
	return FactShared{topic, key, value, expiry}
}

// DirectMessageRequested asks for something to be told to one peer alone.
type DirectMessageRequested struct {
	name, topic string
	data        []byte
}

// NewDirectMessageRequested returns the event that data is to be told to the peer called name; it is lost if the peer is out of reach.
func NewDirectMessageRequested(name, topic string, data []byte) DirectMessageRequested {
	return DirectMessageRequested{name, topic, data}
}

// StoreWatchChanged says whether this daemon is to watch the documents that it follows in the store, rather than to hear of them.
type StoreWatchChanged struct{ enabled bool }

// NewStoreWatchChanged returns the event that this daemon is to watch its documents in the store, or not to.
func NewStoreWatchChanged(on bool) StoreWatchChanged { return StoreWatchChanged{on} }

// DocumentPushRequested asks for a document to be sent to one peer at once.
type DocumentPushRequested struct{ name, document string }

// NewDocumentPushRequested returns the event that the peer called name is to get the document that is in force here under that name.
func NewDocumentPushRequested(name, document string) DocumentPushRequested {
	return DocumentPushRequested{name, document}
}

// Leaving says that this daemon is about to stop and takes no new callers.
type Leaving struct{}

// NewLeaving returns the event that this daemon is about to stop.
func NewLeaving() Leaving { return Leaving{} }

// LeaveCancelled says that the planned stop of this daemon is taken back.
type LeaveCancelled struct{}

// NewLeaveCancelled returns the event that this daemon takes new callers again.
func NewLeaveCancelled() LeaveCancelled { return LeaveCancelled{} }

// StoreCompleted says what became of a Store effect.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that the store answered a request of this part with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// Ticked says that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Listed) isEvent() {}

func (Received) isEvent() {}

func (LinkOpened) isEvent() {}

func (LinkClosed) isEvent() {}

func (Probed) isEvent() {}

func (DocumentPublished) isEvent() {}

func (FactShared) isEvent() {}

func (DirectMessageRequested) isEvent() {}

func (StoreWatchChanged) isEvent() {}

func (DocumentPushRequested) isEvent() {}

func (Leaving) isEvent() {}

func (LeaveCancelled) isEvent() {}

func (StoreCompleted) isEvent() {}

func (Ticked) isEvent() {}
