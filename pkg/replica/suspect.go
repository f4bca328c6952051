package replica

import "time"

// The bounds of looks at instances.
const (
	missesToDie = 2                      // one lost packet is not a death
	lookPause   = 150 * time.Millisecond // a look takes at most 250 ms; two misses are known in half a second
	deadPause   = time.Second            // the leader looks at a dead instance that often until it answers or is unlisted
	otherPause  = 4 * time.Second        // others do so; a silent instance is unlisted after three heartbeats
)

// suspect looks at an instance that may be dead.
func (s *State) suspect(now time.Time, id ID) {
	n := s.nodes[id]
	if n == nil || n.dead || n.looking || now.Sub(n.looked) < lookPause {
		return
	}
	s.look(now, id, n)
}

func (s *State) look(now time.Time, id ID, n *node) {
	n.looked, n.looking = now, true
	s.emit(Probe{id, n.address})
}

// looked takes in what a look showed.
func (s *State) looked(now time.Time, e Probed) {
	n := s.nodes[e.id]
	if n == nil {
		return
	}
	n.looking = false
	if e.answered {
		s.answered(now, n, e.instance)
		return
	}
	n.misses++
	if n.misses < missesToDie {
		s.look(now, e.id, n)
		return
	}
	if !n.dead {
		n.dead = true
		s.emit(AnnounceDead{e.id})
		s.emit(LogEntry{message: "instance dead", replica: n.member.replica, members: []ID{e.id}, reason: "looks unanswered"})
	}
}

// answered takes an instance for alive, and takes over what it says of its place.
func (s *State) answered(now time.Time, n *node, seen Instance) {
	if n.incarnation > seen.incarnation {
		return
	}
	isOther := n.incarnation != seen.incarnation
	n.sure = now
	before := n.member
	n.dead, n.misses = false, 0
	n.incarnation, n.loadedModel, n.stagedModels = seen.incarnation, seen.loadedModel, seen.stagedModels
	if isOther {
		n.member = seen.member
	} else {
		n.take(now, before, seen.member)
	}
	s.noteEnd(before, n)
	n.remember()
	if isOther {
		n.last = ""
		delete(s.sent, n.id)
	}
}

// lookAgain looks at dead instances now and then, since they may have been out of reach only.
func (s *State) lookAgain(now time.Time) {
	pause := otherPause
	if s.leading {
		pause = deadPause
	}
	for _, id := range s.ids() {
		if n := s.nodes[id]; n.dead && !n.looking && now.Sub(n.looked) >= pause {
			s.look(now, id, n)
		}
	}
}
