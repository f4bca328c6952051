package replica

import (
	"cmp"
	"maps"
	"time"
)

// A replica is closed when a member is leaving, when its instances are needed elsewhere, or when a new leader finds it unrecorded. In all of
// these cases it is sound: the calls that run there may end, which takes as long as the longest of them. A replica that lost a member serves no
// call any more, and its calls are aborted at once, so that its instances are free sooner.

// leavingTime is for how long an instance that is leaving stays in its replica while the head has calls.
const leavingTime = 10 * time.Second // the platform's figure

// resumeDelay is for how long calls may end that can go on at another replica, where their prompts are read again. Most calls take no longer.
const resumeDelay = 1500 * time.Millisecond

// maxClosingTime returns how long the calls of a replica may run that is closed. All calls end by their deadlines, so a head that still has some
// later does not finish them.
func (s *State) maxClosingTime(now time.Time, key replicaEpoch) time.Duration {
	if s.isResumable && !s.isLeaving(now, key) {
		return resumeDelay
	}
	return max(leavingTime, s.longestCall)
}

// isLeaving reports whether a member of a replica is leaving.
func (s *State) isLeaving(now time.Time, key replicaEpoch) bool {
	if s.countUnlisted(now, key) > 0 {
		return true
	}
	for _, n := range s.nodes {
		if n.leaving && n.membership.isIn(key.replica, key.epoch) {
			return true
		}
	}
	return false
}

// closing is the close of a replica.
type closing struct {
	since  time.Time
	reason string // for which its calls are aborted
}

// The reasons for which the calls of a replica that is closed are aborted; the empty one is that they may end.
const (
	noAbort       = ""
	memberLost    = "member lost, calls aborted"
	headElsewhere = "head in another replica, calls aborted"
	callsNotEnded = "calls not ended in time, aborted"
)

// abortReason returns why the calls of a replica that is closed since a time are aborted.
func (s *State) abortReason(now time.Time, head *node, target replicaEpoch, since time.Time) string {
	switch {
	case head.membership.replicaEpoch() != target:
		return headElsewhere
	case !s.isComplete(now, head):
		return memberLost
	case now.Sub(since) >= s.maxClosingTime(now, target):
		return callsNotEnded
	}
	return noAbort
}

// closeReplica orders the head to close a replica.
func (s *State) closeReplica(now time.Time, head *node, target replicaEpoch) {
	known, isKnown := s.closings[target]
	if !isKnown {
		known.since = now
	}
	reason := s.abortReason(now, head, target, known.since)
	if !isKnown || reason != known.reason {
		s.closings[target] = closing{known.since, reason}
		s.emit(LogEntry{
			message: "replica closing", replica: target.replica, epoch: target.epoch, members: []ID{head.id}, reason: cmp.Or(reason, "waits for its calls"),
		})
	}
	verb := VerbCloseWait
	if reason != noAbort {
		verb = VerbCloseCut
	}
	s.send(now, head, Order{verb: verb, replica: target.replica, epoch: target.epoch}, 0)
}

// isComplete reports whether all members of the replica of head serve it, as far as is known.
func (s *State) isComplete(now time.Time, head *node) bool {
	model, isKnown := s.engine.Model(head.loadedModel)
	key := head.membership.replicaEpoch()
	count := s.countUnlisted(now, key)
	for _, n := range s.nodes {
		if n.isAlive() && n.membership.isIn(key.replica, key.epoch) {
			count++
		}
	}
	return isKnown && count == model.ReplicaSize()
}

// unlistedMember is a member of a replica that is no longer listed. An instance may leave without reporting so: its entry is removed, and it
// serves on as one that is leaving. One that was lost is found dead by the daemons whose calls stall.
type unlistedMember struct {
	replica replicaEpoch
	since   time.Time
}

// noteUnlisted remembers an instance that is removed from the list, for leavingTime.
func (s *State) noteUnlisted(now time.Time, n *node) {
	maps.DeleteFunc(s.unlisted, func(_ ID, m unlistedMember) bool { return now.Sub(m.since) >= leavingTime })
	if n.isAlive() && !n.isSilent() && n.membership.phase != PhaseNone {
		s.unlisted[n.id] = unlistedMember{n.membership.replicaEpoch(), now}
	}
}

// countUnlisted returns how many members of a replica are no longer listed and may still serve it.
func (s *State) countUnlisted(now time.Time, key replicaEpoch) int {
	count := 0
	for _, m := range s.unlisted {
		if m.replica == key && now.Sub(m.since) < leavingTime {
			count++
		}
	}
	return count
}
