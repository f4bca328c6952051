package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// A few daemons, the readers, watch the platform's list of upstreams and send the changes to the others, mostly in their own
// data centre, since each call to the store is billed. A daemon without a reader watches the list itself.

// minReaders is how many daemons read the list at least: one of them may fail while another one starts.
const minReaders = 3

// The times of messages about the list.
const (
	readerWatchInterval     = 150 * time.Millisecond  // at most seven calls per second by a reader; a repair takes two seconds
	ownWatchInterval        = time.Second             // of a daemon that waits for a reader, as all do when they start together
	listRequestInterval     = 400 * time.Millisecond  // a leaving upstream must get no new work after two seconds
	subscriberTimeout       = 3 * time.Second         // a reader removes daemons that sent no request for this long
	sourceTimeout           = 1200 * time.Millisecond // two replies may be lost
	listUpdateInterval      = 75 * time.Millisecond   // combines bursts of changes; a repair takes two seconds
	minSourceSwitchInterval = 500 * time.Millisecond  // time for a new source to reply
)

// listSync is the state of a daemon as a reader of the list, and as a subscriber of another reader.
type listSync struct {
	watchesStore   bool          // this daemon watches the list itself
	watchInterval  time.Duration // the minimum time between two reads of changes, 0 for no watch
	watch          storeWatch
	start          uint64               // identifies this start of the daemon
	revision       uint64               // of the last update sent
	subscribers    map[string]time.Time // time of their last request
	pendingChanged map[replica.ID]bool  // not sent yet
	pendingGone    map[replica.ID]bool
	updateSentAt   time.Time
	changedIn      map[replica.ID]uint64 // revision of the last update that has the entry, by upstream
	goneIn         map[replica.ID]uint64 // the same for entries that were removed
	oldestRevision uint64                // of which the later changes are still known

	source         string // the reader that this daemon subscribes to
	sourceStart    uint64 // identifies the start of source
	sourceRevision uint64 // of the last update applied
	receivedAt     time.Time
	requestedAt    time.Time
	switchedAt     time.Time // when the source was last replaced, as it could not read the list
	synced         bool      // the complete list was received from source
}

func newListSync(now time.Time) listSync {
	return listSync{
		start: uint64(now.UnixNano()), subscribers: map[string]time.Time{},
		pendingChanged: map[replica.ID]bool{}, pendingGone: map[replica.ID]bool{},
		changedIn: map[replica.ID]uint64{}, goneIn: map[replica.ID]uint64{},
	}
}

// maxRememberedGone limits how many removed entries a reader remembers for the subscribers that missed an update.
const maxRememberedGone = 1024 // more than the largest known fleet loses within an update interval

// forgetGone drops the removed entries when there are too many. Subscribers that missed one then get the complete list.
func (l *listSync) forgetGone() {
	if len(l.goneIn) > maxRememberedGone {
		clear(l.goneIn)
		l.oldestRevision = l.revision
	}
}

// addChanges records changes for the next update to subscribers.
func (l *listSync) addChanges(changed []Upstream, gone []replica.ID) {
	for _, u := range changed {
		l.pendingChanged[u.instance.ID()] = true
		delete(l.pendingGone, u.instance.ID())
	}
	for _, id := range gone {
		l.pendingGone[id] = true
		delete(l.pendingChanged, id)
	}
}

// refreshListSync starts or stops the watch of the list, requests updates from the source and sends updates to
// subscribers.
func (s *State) refreshListSync(now time.Time) {
	switch {
	case s.members.isReader:
		s.watchUpstreams(readerWatchInterval)
	case s.members.storeUnreachable || !s.hasSource(now):
		s.watchUpstreams(ownWatchInterval)
	default:
		s.watchUpstreams(0)
	}
	s.watchConfig(now)
	if !s.members.isReader {
		s.requestList(now)
	}
	s.sendListUpdates(now)
}

// maxWatchingFleet is the largest fleet in which every daemon watches the configuration in the store.
const maxWatchingFleet = 10 // in a larger one the calls of idle watches cost more than forwarding by the readers

// watchConfig decides whether this daemon watches the configuration in the store or gets it from its reader.
func (s *State) watchConfig(now time.Time) {
	enabled := s.members.fleetSize <= maxWatchingFleet || s.members.isReader || !s.hasSource(now)
	s.reducePeer(now, peer.NewStoreWatchChanged(enabled))
}

// pushConfig sends the configuration to the subscribers when this daemon adopts it.
func (s *State) pushConfig(now time.Time) {
	if !s.listSync.watchesStore || s.members.fleetSize <= maxWatchingFleet {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.listSync.subscribers)) {
		s.reducePeer(now, peer.NewDocumentPushRequested(name, configDocument))
	}
}

// hasSource reports whether this daemon gets updates of the list from a reader.
func (s *State) hasSource(now time.Time) bool {
	return s.listSync.synced && now.Sub(s.listSync.receivedAt) <= sourceTimeout
}

// watchUpstreams starts the watch of the list with an interval between two reads, or stops it if the interval is 0.
func (s *State) watchUpstreams(interval time.Duration) {
	if s.listSync.watchInterval != interval {
		s.listSync.watchInterval, s.listSync.watchesStore = interval, interval > 0
		s.listSync.watch, s.evacuations.watch = storeWatch{}, storeWatch{}
		s.emit(WatchUpstreams{interval})
	}
}

// requestList requests the changes since the last update from the source, and selects another reader if the source does
// not reply.
func (s *State) requestList(now time.Time) {
	sync := &s.listSync
	if len(s.members.readers) == 0 || now.Sub(sync.requestedAt) < listRequestInterval {
		return
	}
	isLost := now.Sub(sync.receivedAt) > sourceTimeout
	if !slices.Contains(s.members.readers, sync.source) || isLost && now.Sub(sync.requestedAt) >= minSourceSwitchInterval {
		sync.source = s.pickReader(isLost)
		sync.sourceStart, sync.sourceRevision, sync.synced = 0, 0, false
	}
	s.askSource(now)
}

// askSource requests the changes since the last update from the source.
func (s *State) askSource(now time.Time) {
	sync := &s.listSync
	sync.requestedAt = now
	s.sendListMessage(now, sync.source,
		listMessage{isRequest: true, readerStart: sync.sourceStart, toRevision: sync.sourceRevision})
}

// switchSource requests the list from another reader, as the source can't read it. If none can, readers are tried in turn.
func (s *State) switchSource(now time.Time) {
	sync := &s.listSync
	others := slices.DeleteFunc(slices.Clone(s.members.readers), func(name string) bool { return name == sync.source })
	if len(others) == 0 || now.Sub(sync.switchedAt) < minSourceSwitchInterval {
		return
	}
	sync.switchedAt = now
	sync.source = others[s.random.IntN(len(others))]
	sync.sourceStart, sync.sourceRevision = 0, 0 // it has a source still, and need not watch the store itself
	s.askSource(now)
}

// pickReader returns a random reader in the own data centre. It returns any reader if there is none, or if the last one did
// not reply.
func (s *State) pickReader(isLost bool) string {
	readers := s.members.nearReaders
	if len(readers) == 0 || isLost && s.listSync.source != "" {
		readers = s.members.readers
	}
	return readers[s.random.IntN(len(readers))]
}

func (s *State) sendListMessage(now time.Time, name string, message listMessage) {
	s.sendListMessages(now, []string{name}, message)
}

// sendListMessages encodes a message once and sends it to several daemons.
func (s *State) sendListMessages(now time.Time, names []string, message listMessage) {
	if !message.isRequest {
		message.evacuations = s.evacuations.report(now)
	}
	data, err := message.toSend(now).encode()
	if err != nil {
		s.emit(Problem{"list message not encoded", err.Error()})
		return
	}
	for _, name := range names {
		s.reducePeer(now, peer.NewDirectMessageRequested(name, listTopic, data))
	}
}

// receiveListMessage handles a message of another daemon about the list.
func (s *State) receiveListMessage(now time.Time, message peer.DeliverDirectMessage) {
	list, err := decodeListMessage(message.Data())
	if err != nil {
		s.emit(Problem{"list message from " + message.From() + " not decoded", err.Error()})
		return
	}
	if list.isRequest {
		s.replyToSubscriber(now, message.From(), list)
		return
	}
	s.evacuationsReceived(now, list.evacuations)
	if message.From() == s.listSync.source {
		s.applyListUpdate(now, list)
	}
}

// replyToSubscriber answers a request for updates of the list.
func (s *State) replyToSubscriber(now time.Time, name string, request listMessage) {
	sync := &s.listSync
	isComplete := s.listing.known && (s.evacuations.known || s.settings.evacuationGrace == 0)
	if !isComplete || !sync.watchesStore {
		return
	}
	sync.subscribers[name] = now
	s.sendListMessage(now, name, s.listReply(request))
}

// listReply returns the changes since the last update that a subscriber has, or the complete list.
func (s *State) listReply(request listMessage) listMessage {
	sync := &s.listSync
	reply := listMessage{
		readerStart: sync.start, fromRevision: sync.revision, toRevision: sync.revision,
		unavailable: s.listing.unavailable || s.members.storeUnreachable || !sync.watch.replacedAt.IsZero(),
	}
	if reply.unavailable {
		reply.complete, reply.readerStart = true, request.readerStart
		reply.fromRevision, reply.toRevision = request.toRevision, request.toRevision
		return reply
	}
	since := request.toRevision
	reply.complete = request.readerStart != sync.start || since < sync.oldestRevision || since > sync.revision
	if !reply.complete {
		reply.fromRevision = since
	}
	for _, id := range slices.Sorted(maps.Keys(s.listing.entries)) {
		if reply.complete || sync.changedIn[id] > since {
			reply.changed = append(reply.changed, s.listing.entries[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sync.goneIn)) {
		if !reply.complete && sync.goneIn[id] > since {
			reply.gone = append(reply.gone, id)
		}
	}
	return reply
}

// applyListUpdate applies an update of the source; if an earlier update was lost, it requests the changes since the last
// one. Updates cross the replies to requests, so one may repeat changes that were applied already.
func (s *State) applyListUpdate(now time.Time, update listMessage) {
	sync := &s.listSync
	if s.members.isReader {
		return // a late reply to a request from before this daemon became a reader
	}
	isSameStart := update.readerStart == sync.sourceStart
	if !update.complete && (!isSameStart || update.fromRevision > sync.sourceRevision) {
		s.askSource(now)
		return
	}
	if isSameStart && sync.synced && update.toRevision < sync.sourceRevision {
		return // overtaken by a later update
	}
	sync.receivedAt = now
	if sync.watchesStore && !s.members.storeUnreachable && !update.complete {
		// The daemon's own watch is newer if it is answered. If it is not, the changes are requested again after it has stopped.
		return
	}
	if update.unavailable {
		sync.synced, s.listing.unavailable = true, true
		s.switchSource(now)
		return
	}
	sync.sourceStart, sync.sourceRevision, sync.synced = update.readerStart, update.toRevision, true
	list := Listed{upstreams: update.changed, gone: update.gone, complete: update.complete}
	changed, gone := s.listing.apply(now, list, absentGraceOtherReader)
	s.applyListChanges(now, changed, gone)
	s.refreshReady()
}

// sendListUpdates sends the pending changes to all subscribers.
func (s *State) sendListUpdates(now time.Time) {
	sync := &s.listSync
	if !sync.watchesStore || len(sync.pendingChanged)+len(sync.pendingGone) == 0 ||
		now.Sub(sync.updateSentAt) < listUpdateInterval {
		return
	}
	sync.updateSentAt = now
	sync.revision++
	update := listMessage{
		readerStart: sync.start, fromRevision: sync.revision - 1, toRevision: sync.revision,
		gone: slices.Sorted(maps.Keys(sync.pendingGone)),
	}
	for _, id := range slices.Sorted(maps.Keys(sync.pendingChanged)) {
		update.changed = append(update.changed, s.listing.entries[id])
		sync.changedIn[id] = sync.revision
		delete(sync.goneIn, id)
	}
	for _, id := range update.gone {
		sync.goneIn[id] = sync.revision
		delete(sync.changedIn, id)
	}
	sync.forgetGone()
	clear(sync.pendingChanged)
	clear(sync.pendingGone)
	s.sendListMessages(now, s.currentSubscribers(now), update)
}

// currentSubscribers returns the sorted names of the subscribers, and removes those that sent no request lately.
func (s *State) currentSubscribers(now time.Time) []string {
	subscribers := s.listSync.subscribers
	maps.DeleteFunc(subscribers, func(_ string, requestedAt time.Time) bool { return now.Sub(requestedAt) > subscriberTimeout })
	return slices.Sorted(maps.Keys(subscribers))
}
