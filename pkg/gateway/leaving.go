package gateway

import (
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// An upstream that leaves says so in all its answers, which is often earlier than its entry in the list, and the only sign if
// it never registers that it leaves. The daemon that gets such an answer tells the others.

// leavingTopic is the topic of facts about upstreams that said that they leave.
const leavingTopic = "leaving"

// leavingFactTTL is how long the fact spreads. Daemons that have learnt it keep it for the rest of that start of the upstream.
const leavingFactTTL = 15 * time.Second // upstreams exit within seconds

// reportLeaving handles that an upstream said in an answer to this daemon that it leaves.
func (s *State) reportLeaving(now time.Time, id replica.ID) {
	incarnation := s.listing.entries[id].instance.Incarnation()
	if !s.markLeaving(now, id, incarnation, "its answer") {
		return
	}
	value := strconv.AppendInt(nil, incarnation, decimalBase)
	s.reducePeer(now, peer.NewFactShared(leavingTopic, string(id), value, now.Add(leavingFactTTL)))
}

// decimalBase is the base in which incarnations are formatted.
const decimalBase = 10

// receiveLeaving handles that a peer learnt that an upstream leaves.
func (s *State) receiveLeaving(now time.Time, fact peer.LearnFact) {
	incarnation, err := strconv.ParseInt(string(fact.Value()), decimalBase, 64)
	if err != nil {
		s.emit(Problem{"fact that an upstream leaves from " + fact.Origin() + " not decoded", fact.Key() + ": " + err.Error()})
		return
	}
	s.markLeaving(now, replica.ID(fact.Key()), incarnation, fact.Origin())
}

// markLeaving sends nothing new to an upstream from now on, and reports whether that is a change.
func (s *State) markLeaving(now time.Time, id replica.ID, incarnation int64, source string) bool {
	if !s.listing.leave(id, incarnation) {
		return false
	}
	s.emit(UpstreamLeaves{id, source})
	s.applyListChanges(now, []Upstream{s.listing.entries[id]}, nil)
	return true
}
