package replica

import (
	"maps"
	"slices"
	"time"
)

// The limits of probes of instances.
const (
	maxMissedProbes       = 2                      // one lost packet does not make an instance dead
	minProbeInterval      = 150 * time.Millisecond // two expired probes take a quarter of a second
	minProbeTimeout       = 120 * time.Millisecond // fifty round trips
	maxProbeTimeout       = time.Second            // the list drops a dead instance after three heartbeats
	maxProbesInFlight     = 32                     // more would take a small instance longer than their timeout to handle
	probeWaits            = 5                      // how often a probe waits for this daemon: to connect, write, read, decode and reduce
	leaderProbeInterval   = time.Second            // for dead instances, until they answer or are removed from the list
	followerProbeInterval = 4 * time.Second        // on other daemons; the list drops a silent instance after three heartbeats
)

// suspect probes an instance that may be dead.
func (s *State) suspect(now time.Time, id ID) {
	n := s.nodes[id]
	if n == nil || n.dead || n.probing || now.Sub(n.lastProbe) < minProbeInterval {
		return
	}
	s.probe(now, id, n)
}

// probe sends a probe to an instance, or queues it while too many probes run. An instance that throttles this daemon is not
// probed.
func (s *State) probe(now time.Time, id ID, n *node) {
	n.probing = !now.Before(n.probesPausedUntil)
	if !n.probing {
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
	s.emit(Probe{id, n.address, n.probeTimeout})
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
	n.missedProbes++
	if n.missedProbes < maxMissedProbes {
		s.probe(now, e.id, n)
		return
	}
	if !n.dead {
		s.setDead(n, true)
		s.emit(AnnounceDead{e.id})
		s.emit(LogEntry{message: "instance dead", replica: n.membership.replica, members: []ID{e.id}, reason: "probes unanswered"})
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
	n.missedProbes = 0
	s.isPlanUrgent = s.isPlanUrgent || isRestarted || report.membership.phase == PhaseBroken && previous.phase != PhaseBroken
	s.noteEpoch(report.membership.epoch)
	n.incarnation, n.loadedModel, n.stagedModels = report.incarnation, report.loadedModel, report.stagedModels
	if isRestarted {
		n.membership = report.membership
	} else {
		n.updateMembership(now, previous, report.membership)
	}
	s.noteClosed(previous, n)
	n.rememberModel()
	if isRestarted {
		n.lastModel = ""
		delete(s.lastOrders, n.id)
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
