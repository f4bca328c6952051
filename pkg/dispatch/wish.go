package dispatch

import "time"

// SlotRequest is a question for a place in a share of the replicas.
type SlotRequest struct {
	id           uint64
	shard        Shard
	prompt       int
	priority     int
	onTimeWait   time.Duration
	maxWait      time.Duration
	organisation string
}

// NewSlotRequest returns the question, by its number within the daemon that asks, for a place for a call with that many prompt
// tokens in a share.
func NewSlotRequest(ask uint64, share Shard, prompt int) SlotRequest {
	return SlotRequest{id: ask, shard: share, prompt: prompt}
}

// WithUrgency returns the question of a call that may wait for a place for left, and can be on time for fresh.
func (w SlotRequest) WithUrgency(priority int, fresh, left time.Duration) SlotRequest {
	w.priority, w.onTimeWait, w.maxWait = priority, fresh, left
	return w
}

// WithOrganisation returns the question of a call of an organisation.
func (w SlotRequest) WithOrganisation(name string) SlotRequest {
	w.organisation = name
	return w
}

// ID returns the number of the question within the daemon that asks.
func (w SlotRequest) ID() uint64 { return w.id }

// Shard returns the part of the replicas in which a place is wanted.
func (w SlotRequest) Shard() Shard { return w.shard }

// Prompt returns the prompt tokens of the call.
func (w SlotRequest) Prompt() int { return w.prompt }

// Priority returns the priority of the call, 0 for the most urgent.
func (w SlotRequest) Priority() int { return w.priority }

// OnTimeWait returns for how long the call can still be on time.
func (w SlotRequest) OnTimeWait() time.Duration { return w.onTimeWait }

// MaxWait returns for how long the call may wait, 0 if it does not.
func (w SlotRequest) MaxWait() time.Duration { return w.maxWait }

// Organisation returns the name of the organisation whose call it is, empty on a public route.
func (w SlotRequest) Organisation() string { return w.organisation }
