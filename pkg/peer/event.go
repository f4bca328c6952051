package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// Event is an input of State.Reduce.
type Event interface{ isEvent() }

// Configured sets the settings of the daemon. Events before it are ignored.
type Configured struct{ settings Settings }

// NewConfigured returns the event that sets the settings and discards all state.
func NewConfigured(settings Settings) Configured { return Configured{settings} }

// UpstreamsChanged replaces the list of upstreams.
type UpstreamsChanged struct{ upstreams []Upstream }

// NewUpstreamsChanged returns the event that sets the complete list of upstreams to watch.
func NewUpstreamsChanged(upstreams []Upstream) UpstreamsChanged { return UpstreamsChanged{upstreams} }

// SeedsChanged replaces the addresses of the peers to contact first.
type SeedsChanged struct{ seeds []string }

// NewSeedsChanged returns the event that the peers at seeds (host:port) are contacted from now on, if they are not live.
func NewSeedsChanged(seeds []string) SeedsChanged { return SeedsChanged{seeds} }

// Received reports a message from a peer.
type Received struct {
	from    string
	message Message
	size    int
}

// NewReceived returns the event that message, of size bytes on the wire, arrived over the link to the peer called from.
func NewReceived(from string, message Message, size int) Received {
	return Received{from, message, size}
}

// From returns the name of the peer at the other end of the link.
func (r Received) From() string { return r.from }

// Message returns the decoded message.
func (r Received) Message() Message { return r.message }

// LinkOpened reports that a link to a peer is open, whichever side dialled.
type LinkOpened struct{ name, address string }

// NewLinkOpened returns the event that a link to the peer called name at address (host:port) is open.
func NewLinkOpened(name, address string) LinkOpened { return LinkOpened{name, address} }

// LinkClosed reports that a link to a peer broke or could not be opened.
type LinkClosed struct{ name, address string }

// NewLinkClosed returns the event that there is no link to the peer at address (host:port). The name is empty if the peer
// never answered.
func NewLinkClosed(name, address string) LinkClosed { return LinkClosed{name, address} }

// Name returns the name of the peer, empty if it never answered.
func (c LinkClosed) Name() string { return c.name }

// Probed reports the result of a probe by this daemon.
type Probed struct{ result instance.ProbeResult }

// NewProbed returns the event that a probe requested by Probe succeeded or failed.
func NewProbed(result instance.ProbeResult) Probed { return Probed{result} }

// DocumentPublished reports that the store accepted a document.
type DocumentPublished struct{ document Document }

// NewDocumentPublished returns the event that the store accepted document.
func NewDocumentPublished(document Document) DocumentPublished { return DocumentPublished{document} }

// FactShared sets a fact of this daemon, which gossip distributes to all peers.
type FactShared struct {
	topic, key string
	value      []byte
	expiry     time.Time
}

// NewFactShared returns the event that sets value under topic and key on all daemons until expiry. A later event of this
// daemon with the same topic and key replaces it. An empty value withdraws it.
func NewFactShared(topic, key string, value []byte, expiry time.Time) FactShared {
	return FactShared{topic, key, value, expiry}
}

// DirectMessageRequested requests a message to a single peer.
type DirectMessageRequested struct {
	name, topic string
	data        []byte
}

// NewDirectMessageRequested returns the event that requests data to be sent to the peer called name. The message is
// dropped if the peer is unreachable.
func NewDirectMessageRequested(name, topic string, data []byte) DirectMessageRequested {
	return DirectMessageRequested{name, topic, data}
}

// StoreWatchChanged sets whether this daemon watches its documents in the store itself, or receives them by gossip alone.
type StoreWatchChanged struct{ enabled bool }

// NewStoreWatchChanged returns the event that enables or disables the watches of documents in the store.
func NewStoreWatchChanged(enabled bool) StoreWatchChanged { return StoreWatchChanged{enabled} }

// RereadRequested requests the documents to be read from the store again, since its watches may have missed a change.
type RereadRequested struct{}

// NewRereadRequested returns the event that restarts the reads and watches of all documents in the store. Those in force stay in
// force meanwhile.
func NewRereadRequested() RereadRequested { return RereadRequested{} }

// DocumentPushRequested requests a document to be sent to one peer immediately.
type DocumentPushRequested struct{ name, document string }

// NewDocumentPushRequested returns the event that requests the revision of document in force on this daemon to be sent to
// the peer called name.
func NewDocumentPushRequested(name, document string) DocumentPushRequested {
	return DocumentPushRequested{name, document}
}

// Leaving reports that this daemon is about to stop and accepts no new callers.
type Leaving struct{}

// NewLeaving returns the event that this daemon is about to stop.
func NewLeaving() Leaving { return Leaving{} }

// LeaveCancelled reports that the planned stop of this daemon is cancelled.
type LeaveCancelled struct{}

// NewLeaveCancelled returns the event that this daemon accepts new callers again.
func NewLeaveCancelled() LeaveCancelled { return LeaveCancelled{} }

// StoreCompleted reports the result of a Store effect.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that a store request of this package ended with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// Suspended reports that the instance was suspended while the clock of Reduce stood still.
type Suspended struct{ duration time.Duration }

// NewSuspended returns the event that the instance was suspended for duration, which the times of Reduce do not include.
func NewSuspended(duration time.Duration) Suspended { return Suspended{duration} }

// Ticked reports that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (UpstreamsChanged) isEvent() {}

func (Received) isEvent() {}

func (LinkOpened) isEvent() {}

func (LinkClosed) isEvent() {}

func (Probed) isEvent() {}

func (DocumentPublished) isEvent() {}

func (FactShared) isEvent() {}

func (DirectMessageRequested) isEvent() {}

func (StoreWatchChanged) isEvent() {}

func (RereadRequested) isEvent() {}

func (SeedsChanged) isEvent() {}

func (DocumentPushRequested) isEvent() {}

func (Leaving) isEvent() {}

func (LeaveCancelled) isEvent() {}

func (StoreCompleted) isEvent() {}

func (Suspended) isEvent() {}

func (Ticked) isEvent() {}
