package replica

import "time"

// The bounds of looks at instances.
const (
	maxMissedProbes       = 2                      // one lost packet is not a death
	minProbeInterval      = 150 * time.Millisecond // a look takes at most 250 ms; two misses are known in half a second
	leaderProbeInterval   = time.Second            // the leader looks at a dead instance that often until it answers or is unlisted
	followerProbeInterval = 4 * time.Second        // others do so; a silent instance is unlisted after three heartbeats
)

// suspect looks at an instance that may be dead.
func (s *State) suspect(now time.Time, id ID) {
	n := s.nodes[id]
	if n == nil || n.dead || n.probing || now.Sub(n.lastProbe) < minProbeInterval {
		return
	}
	s.probe(now, id, n)
}

func (s *State) probe(now time.Time, id ID, n *node) {
	n.lastProbe, n.probing = now, true
	s.emit(Probe{id, n.address})
}

// looked takes in what a look showed.
func (s *State) applyProbe(now time.Time, e Probed) {
	n := s.nodes[e.id]
	if n == nil {
		return
	}
	n.probing = false
	if e.answered {
		s.applyReport(now, n, e.instance)
		return
	}
	n.missedProbes++
	if n.missedProbes < maxMissedProbes {
		s.probe(now, e.id, n)
		return
	}
	if !n.dead {
		n.dead = true
		s.emit(AnnounceDead{e.id})
		s.emit(LogEntry{message: "instance dead", replica: n.member.replica, members: []ID{e.id}, reason: "looks unanswered"})
	}
}

// answered takes an instance for alive, and takes over what it says of its place.
func (s *State) applyReport(now time.Time, n *node, seen Instance) {
	if n.incarnation > seen.incarnation {
		return
	}
	isOther := n.incarnation != seen.incarnation
	n.memberConfirmed = now
	before := n.member
	n.dead, n.missedProbes = false, 0
	n.incarnation, n.loadedModel, n.stagedModels = seen.incarnation, seen.loadedModel, seen.stagedModels
	if isOther {
		n.member = seen.member
	} else {
		n.updateMember(now, before, seen.member)
	}
	s.noteClosed(before, n)
	n.rememberModel()
	if isOther {
		n.lastModel = ""
		delete(s.lastOrders, n.id)
	}
}

// lookAgain looks at dead instances now and then, since they may have been out of reach only.
func (s *State) probeDead(now time.Time) {
	pause := followerProbeInterval
	if s.leading {
		pause = leaderProbeInterval
	}
	for _, id := range s.ids() {
		if n := s.nodes[id]; n.dead && !n.probing && now.Sub(n.lastProbe) >= pause {
			s.probe(now, id, n)
		}
	}
}
