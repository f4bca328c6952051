package dispatch

import "time"

// ReplicaSuspended reports that a replica gets no new calls of this daemon while another one probes it.
type ReplicaSuspended struct {
	head  string
	until time.Time
}

// NewReplicaSuspended returns the event that a replica, by its head, gets no new calls before until.
func NewReplicaSuspended(head string, until time.Time) ReplicaSuspended {
	return ReplicaSuspended{head, until}
}

// ReplicaResumed reports that all members of a replica answered the daemon that probes it.
type ReplicaResumed struct{ head string }

// NewReplicaResumed returns the event that a replica, by its head, gets calls again.
func NewReplicaResumed(head string) ReplicaResumed { return ReplicaResumed{head} }

func (ReplicaSuspended) isEvent() {}

func (ReplicaResumed) isEvent() {}

// handleReplicaSuspended sends no new calls to a replica that another daemon probes.
func (s *State) handleReplicaSuspended(e ReplicaSuspended) {
	u := s.upstream(e.head)
	if u.avoidUntil.Before(e.until) {
		u.avoidUntil, u.suspendedUntil = e.until, e.until
	}
}

// handleReplicaResumed sends new calls to a replica again, unless it is avoided for another reason.
func (s *State) handleReplicaResumed(head string) {
	if u := s.upstream(head); u.avoidUntil.Equal(u.suspendedUntil) {
		u.avoidUntil = time.Time{}
	}
}
