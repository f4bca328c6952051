package instance

import "time"

// node is this daemon's view of one instance: its entry in the instance list and its last successful probe.
type node struct {
	id       ID
	listing  Instance
	listed   bool
	delisted bool // was listed before and is no longer

	probed        bool // whether a probe has ever succeeded
	lastProbe     ProbeResult
	changedAt     time.Time // when boot, assignment or phase last changed
	probeFailedAt time.Time // when the last probe failed

	replica  *replicaState
	position position

	nextOrder         time.Time  // when the next order may go out
	orderDeadline     time.Time  // of the last order
	orderedAssignment Assignment // of the last order
	firstOrdered      time.Time  // when orderedAssignment was first ordered
	stuckBoot         BootID     // the boot that was given up as stuck
}

// fresh reports whether the last probe succeeded, is not older than age at now and was not made before trustedSince.
func (n *node) fresh(now, trustedSince time.Time, age time.Duration) bool {
	if !n.probed || n.lastProbe.at.Before(trustedSince) || n.probeFailedAt.After(n.lastProbe.at) {
		return false
	}
	return now.Sub(n.lastProbe.at) <= age
}

// free reports whether the instance reported no assignment, the idle phase and no running requests.
func (n *node) free() bool {
	return n.probed && n.lastProbe.assignment.replica == "" && n.lastProbe.phase == PhaseIdle && n.lastProbe.load.running == 0
}

// update stores a newer probe result and reports whether more than its time and load has changed.
func (n *node) update(result ProbeResult) bool {
	old := n.lastProbe
	known := n.probed
	n.lastProbe, n.probed = result, true
	changed := !known || old.boot != result.boot || old.assignment != result.assignment || old.phase != result.phase
	if changed {
		n.changedAt = result.at
	}
	return changed
}
