package gateway

import (
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// An upstream that shuts down announces that in a header of its answers. This is often earlier than the change of its entry in the
// list, and some entries never change. The daemon that receives such an answer shares it with the others.

// leavingTopic is the topic of facts about upstreams that announced that they shut down.
const leavingTopic = "leaving"

// leavingFactTTL is the time to live of such a fact. A daemon that has received it keeps the upstream marked until its next start.
const leavingFactTTL = 15 * time.Second // upstreams exit within seconds

// reportLeaving marks an upstream that announced in an answer to this daemon that it shuts down, and shares that with the peers.
func (s *State) reportLeaving(now time.Time, id replica.ID) {
	incarnation := s.listing.entries[id].instance.Incarnation()
	if !s.markLeaving(now, id, incarnation, answerSource) {
		return
	}
	value := strconv.AppendInt(nil, incarnation, decimalBase)
	s.reducePeer(now, peer.NewFactShared(leavingTopic, string(id), value, now.Add(leavingFactTTL)))
}

// answerSource is the source of an UpstreamLeaving that comes from an answer to this daemon.
const answerSource = "answer"

// decimalBase is the base in which incarnations are formatted.
const decimalBase = 10

// receiveLeaving marks an upstream of which a peer reports that it shuts down.
func (s *State) receiveLeaving(now time.Time, fact peer.LearnFact) {
	incarnation, err := strconv.ParseInt(string(fact.Value()), decimalBase, 64)
	if err != nil {
		s.emit(Problem{"fact about a leaving upstream from " + fact.Origin() + " not decoded", fact.Key() + ": " + err.Error()})
		return
	}
	s.markLeaving(now, replica.ID(fact.Key()), incarnation, fact.Origin())
}

// markLeaving excludes an upstream from new work, and reports whether that is a change.
func (s *State) markLeaving(now time.Time, id replica.ID, incarnation int64, source string) bool {
	if !s.listing.leave(id, incarnation) {
		return false
	}
	s.emit(UpstreamLeaving{id, source})
	s.applyListChanges(now, []Upstream{s.listing.entries[id]}, nil)
	return true
}
