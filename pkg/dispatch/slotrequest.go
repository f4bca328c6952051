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
func NewSlotRequest(id uint64, shard Shard, prompt int) SlotRequest {
	return SlotRequest{id: id, shard: shard, prompt: prompt}
}

// WithUrgency returns the question of a call that may wait for a place for left, and can be on time for fresh.
func (r SlotRequest) WithUrgency(priority int, onTimeWait, maxWait time.Duration) SlotRequest {
	r.priority, r.onTimeWait, r.maxWait = priority, onTimeWait, maxWait
	return r
}

// WithOrganisation returns the question of a call of an organisation.
func (r SlotRequest) WithOrganisation(name string) SlotRequest {
	r.organisation = name
	return r
}

// ID returns the number of the question within the daemon that asks.
func (r SlotRequest) ID() uint64 { return r.id }

// Shard returns the part of the replicas in which a place is wanted.
func (r SlotRequest) Shard() Shard { return r.shard }

// Prompt returns the prompt tokens of the call.
func (r SlotRequest) Prompt() int { return r.prompt }

// Priority returns the priority of the call, 0 for the most urgent.
func (r SlotRequest) Priority() int { return r.priority }

// OnTimeWait returns for how long the call can still be on time.
func (r SlotRequest) OnTimeWait() time.Duration { return r.onTimeWait }

// MaxWait returns for how long the call may wait, 0 if it does not.
func (r SlotRequest) MaxWait() time.Duration { return r.maxWait }

// Organisation returns the name of the organisation whose call it is, empty on a public route.
func (r SlotRequest) Organisation() string { return r.organisation }
