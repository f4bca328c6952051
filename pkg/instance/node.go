package instance

import "time"

// node is what this daemon knows of one instance: its row in the instance list and the newest evidence.
type node struct {
	id     ID
	row    Instance
	listed bool
	gone   bool

	seen     bool
	sighting ProbeResult
	since    time.Time // when the evidence last said anything new
	missed   time.Time // when the instance is believed not to have answered

	group *group
	place place

	again    time.Time  // when the next order may go out
	deadline time.Time  // of the last order
	wanted   Assignment // of the last order
	first    time.Time  // when wanted was ordered for the first time
	failed   BootID     // the start that was given up as stuck
}

// fresh reports whether the newest evidence is of life, recent enough to count at now and not older than trusted.
func (n *node) fresh(now, trusted time.Time, age time.Duration) bool {
	if !n.seen || n.sighting.at.Before(trusted) || n.missed.After(n.sighting.at) {
		return false
	}
	return now.Sub(n.sighting.at) <= age
}

// free reports whether the newest evidence says that the instance holds no assignment and does nothing.
func (n *node) free() bool {
	return n.seen && n.sighting.assignment.replica == "" && n.sighting.phase == Idle && n.sighting.load.running == 0
}

// learn takes newer evidence and reports whether it says anything else than the last one but for its time and load.
func (n *node) learn(s ProbeResult) bool {
	old := n.sighting
	known := n.seen
	n.sighting, n.seen = s, true
	changed := !known || old.boot != s.boot || old.assignment != s.assignment || old.phase != s.phase
	if changed {
		n.since = s.at
	}
	return changed
}
