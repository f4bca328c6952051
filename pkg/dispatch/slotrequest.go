package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/route"
)

// SlotRequest is a request for a slot in a shard.
type SlotRequest struct {
	requestID    uint64
	shard        Shard
	promptTokens int
	priority     int
	onTimeWait   time.Duration
	maxWait      time.Duration
	organisation string
	timeLeft     time.Duration
	tried        []string
	regions      route.Regions
	centre       string // of the daemon that requests the slot
}

// NewSlotRequest returns a request for a slot of a shard for a call with that many prompt tokens, at most quantity.MaxCount; id is unique
// within the requesting daemon.
func NewSlotRequest(id uint64, shard Shard, prompt int) SlotRequest {
	return SlotRequest{requestID: id, shard: shard, promptTokens: quantity.Limit(int64(prompt))}
}

// WithUrgency returns the request with the priority of the call, the longest wait after which the call still meets its
// latency goal, and the longest wait.
func (r SlotRequest) WithUrgency(priority int, onTimeWait, maxWait time.Duration) SlotRequest {
	r.priority, r.onTimeWait, r.maxWait = priority, onTimeWait, maxWait
	return r
}

// WithOrganisation returns the request with the organisation of the call.
func (r SlotRequest) WithOrganisation(name string) SlotRequest {
	r.organisation = name
	return r
}

// WithHistory returns the request with the time left to the caller, and the upstreams to which the call was sent before.
func (r SlotRequest) WithHistory(timeLeft time.Duration, tried ...string) SlotRequest {
	r.timeLeft, r.tried = timeLeft, tried
	return r
}

// WithRegions returns the request with the regions whose upstreams the call may reach.
func (r SlotRequest) WithRegions(regions route.Regions) SlotRequest {
	r.regions = regions
	return r
}

// Regions returns the regions whose upstreams the call may reach.
func (r SlotRequest) Regions() route.Regions { return r.regions }

// WithCentre returns the request with the data centre of the daemon that sends it, empty in a deployment with one.
func (r SlotRequest) WithCentre(name string) SlotRequest {
	r.centre = name
	return r
}

// Centre returns the data centre of the daemon that sends the request, empty in a deployment with one.
func (r SlotRequest) Centre() string { return r.centre }

// RequestID returns the id of the request, unique within the requesting daemon.
func (r SlotRequest) RequestID() uint64 { return r.requestID }

// Shard returns the shard.
func (r SlotRequest) Shard() Shard { return r.shard }

// PromptTokens returns the number of prompt tokens of the call.
func (r SlotRequest) PromptTokens() int { return r.promptTokens }

// Priority returns the priority of the call, 0 for the most urgent.
func (r SlotRequest) Priority() int { return r.priority }

// OnTimeWait returns the longest wait after which the call still meets its latency goal.
func (r SlotRequest) OnTimeWait() time.Duration { return r.onTimeWait }

// MaxWait returns the longest wait of the call, 0 if it does not wait.
func (r SlotRequest) MaxWait() time.Duration { return r.maxWait }

// Organisation returns the organisation of the call, empty on a public route.
func (r SlotRequest) Organisation() string { return r.organisation }

// TimeLeft returns the time left to the caller.
func (r SlotRequest) TimeLeft() time.Duration { return r.timeLeft }

// Tried returns the upstreams to which the call was sent before.
func (r SlotRequest) Tried() []string { return r.tried }
