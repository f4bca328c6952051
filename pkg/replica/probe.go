package replica

import (
	"maps"
	"slices"
	"time"
)

// The limits of probes of instances.
const (
	maxMissedProbes       = 4                       // one by this daemon, three by different peers; some of them may have lost their paths too
	silentProbes          = 2                       // from which on the replica of an instance gets no new calls
	minRefusedTime        = 150 * time.Millisecond  // a daemon that is cut from all instances knows that by then
	minSilentTime         = 1250 * time.Millisecond // a live instance may be silent for a second
	minProbeInterval      = 150 * time.Millisecond
	minProbeTimeout       = 120 * time.Millisecond // fifty round trips
	maxProbeTimeout       = time.Second            // the list drops a dead instance after three heartbeats
	maxProbesInFlight     = 32                     // more would take a small instance longer than their timeout to handle
	probeWaits            = 5                      // how often a probe waits for this daemon: to connect, write, read, decode and reduce
	leaderProbeInterval   = time.Second            // for dead instances, until they answer or are removed from the list
	followerProbeInterval = 15 * time.Second       // on other daemons, which the leader tells of an answer
)

// suspect probes an instance that may be dead.
func (s *State) suspect(now time.Time, id ID) {
	n := s.nodes[id]
	if n == nil || n.dead || n.probing || now.Sub(n.lastProbe) < minProbeInterval {
		return
	}
	if now.Sub(n.lastProbe) >= minSilentTime {
		n.forgetMisses()
	}
	s.probe(now, id, n)
}

// probe sends a probe to an instance, or queues it while too many probes run. An instance that throttles this daemon is not
// probed.
func (s *State) probe(now time.Time, id ID, n *node) {
	n.probing = !now.Before(n.probesPausedUntil)
	if !n.probing {
		n.forgetMisses()
		return
	}
	if s.probesInFlight >= maxProbesInFlight {
		n.probeQueued = true
		s.probeQueue = append(s.probeQueue, id)
		return
	}
	s.probesInFlight++
	n.lastProbe = now
	n.probeTimeout = min(s.neededProbeTimeout(now), maxProbeTimeout)
	s.emit(Probe{id, n.address, n.probeTimeout, n.missedProbes + n.inconclusiveProbes})
}

// neededProbeTimeout returns how long a live instance may take to answer a probe, as this daemon sees it.
func (s *State) neededProbeTimeout(now time.Time) time.Duration {
	return minProbeTimeout + probeWaits*s.lag.Recent(now)
}

// startQueuedProbes sends the probes that waited for others to end.
func (s *State) startQueuedProbes(now time.Time) {
	for len(s.probeQueue) > 0 && s.probesInFlight < maxProbesInFlight {
		id := s.probeQueue[0]
		s.probeQueue = s.probeQueue[1:]
		if n := s.nodes[id]; n != nil && n.probeQueued {
			n.probeQueued = false
			s.probe(now, id, n)
		}
	}
}

func (s *State) applyProbe(now time.Time, e Probed) {
	s.probesInFlight--
	defer s.startQueuedProbes(now)
	n := s.nodes[e.id]
	if n == nil {
		return
	}
	n.probing = false
	if e.answered {
		s.applyReport(now, n, e.instance)
		return
	}
	if e.expired && n.probeTimeout < s.neededProbeTimeout(now) {
		s.probe(now, e.id, n) // this daemon was late itself, and the answer may still be unread
		return
	}
	s.missProbe(now, n, e)
}

// missProbe handles a probe without an answer. The instance is probed through other daemons then, and is dead if none of them gets an
// answer for long enough either.
func (s *State) missProbe(now time.Time, n *node, e Probed) {
	if e.inconclusive {
		if n.inconclusiveProbes++; n.inconclusiveProbes <= maxMissedProbes {
			s.probe(now, e.id, n)
		} else {
			n.forgetMisses() // nothing says that it is dead, and without calls nothing would probe it again
		}
		return
	}
	if n.missedProbes == 0 {
		n.silentSince, n.isRefusing = n.lastProbe, true
	}
	n.missedProbes++
	n.isRefusing = n.isRefusing && !e.expired
	if n.missedProbes == silentProbes && !n.dead {
		s.emit(InstanceSilent{e.id})
	}
	needed := minSilentTime
	if n.isRefusing {
		needed = minRefusedTime
	}
	switch {
	case n.dead: // probeDead probes it
	case n.missedProbes < maxMissedProbes:
		s.probe(now, e.id, n)
	case now.Sub(n.silentSince) < needed:
		s.silentIDs[e.id] = true
	default:
		s.setDead(n, true)
		s.emit(AnnounceDead{e.id})
		s.emit(LogEntry{message: "instance dead", replica: n.membership.replica, members: []ID{e.id}, reason: "probes unanswered"})
	}
}

// IsKnown reports whether an instance is listed.
func (s *State) IsKnown(id ID) bool { return s.nodes[id] != nil }

// IsDead reports whether an instance is taken for dead.
func (s *State) IsDead(id ID) bool { return s.deadIDs[id] }

// forgetMisses makes the next probe the first one of a row.
func (n *node) forgetMisses() { n.missedProbes, n.inconclusiveProbes = 0, 0 }

// isSilent reports whether an instance misses probes, but may still be alive.
func (n *node) isSilent() bool { return n.missedProbes >= silentProbes || !n.silenceReported.IsZero() }

// reportSilence excludes the replica of an instance that is silent for another daemon.
func (s *State) reportSilence(e SilenceReported) {
	if n := s.nodes[e.id]; n != nil {
		n.silenceReported = e.until
		s.reportedIDs[e.id] = true
	}
}

// endReportedSilences ends the silences that were reported long ago, and reports whether there were any.
func (s *State) endReportedSilences(now time.Time) bool {
	hasEnded := false
	for id := range s.reportedIDs {
		n := s.nodes[id]
		if n != nil && now.Before(n.silenceReported) {
			continue
		}
		delete(s.reportedIDs, id)
		if n != nil {
			n.silenceReported = time.Time{}
		}
		hasEnded = true
	}
	return hasEnded
}

// probeSilent probes the instances again that have missed enough probes, but not for long enough.
func (s *State) probeSilent(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.silentIDs)) {
		n := s.nodes[id]
		if n != nil && now.Sub(n.lastProbe) < minProbeInterval {
			continue
		}
		delete(s.silentIDs, id)
		if n != nil && !n.probing && !n.dead && n.missedProbes > 0 {
			s.probe(now, id, n)
		}
	}
}

// applyReport marks an instance as alive and applies what it reports.
func (s *State) applyReport(now time.Time, n *node, report Instance) {
	if n.incarnation > report.incarnation {
		return
	}
	isRestarted := n.incarnation != report.incarnation
	if n.dead {
		s.emit(LogEntry{
			message: "instance answers again", replica: report.membership.replica, epoch: report.membership.epoch,
			members: []ID{n.id}, reason: answersAgainReason[isRestarted],
		})
	}
	n.membershipConfirmed = now
	previous := n.membership
	s.setDead(n, false)
	n.forgetMisses()
	n.silenceReported = time.Time{}
	s.isPlanUrgent = s.isPlanUrgent || isRestarted || report.membership.phase == PhaseBroken && previous.phase != PhaseBroken
	s.noteEpoch(report.membership.epoch)
	n.incarnation, n.loadedModel, n.stagedModels = report.incarnation, report.loadedModel, report.stagedModels
	if isRestarted {
		n.membership = report.membership
	} else {
		n.updateMembership(now, previous, report.membership)
	}
	n.rememberModel()
	if isRestarted {
		n.lastModel = ""
		delete(s.lastOrders, n.id)
		s.forgetAnswers(n.id)
	}
}

// answersAgainReason says whether an instance that was dead is a later start. If not, it may have been alive all the time.
var answersAgainReason = map[bool]string{true: "restarted", false: "same start"}

// probeDead probes dead instances at intervals, since they may only have been unreachable.
func (s *State) probeDead(now time.Time) {
	interval := followerProbeInterval
	if s.leading {
		interval = leaderProbeInterval
	}
	for _, id := range slices.Sorted(maps.Keys(s.deadIDs)) {
		if n := s.nodes[id]; !n.probing && now.Sub(n.lastProbe) >= interval {
			s.probe(now, id, n)
		}
	}
}
