package dispatch

import "time"

// Wish is a question for a place in a share of the replicas.
type Wish struct {
	ask          uint64
	share        Share
	prompt       int
	priority     int
	fresh        time.Duration
	left         time.Duration
	organisation string
}

// NewWish returns the question, by its number within the daemon that asks, for a place for a call with that many prompt
// tokens in a share.
func NewWish(ask uint64, share Share, prompt int) Wish {
	return Wish{ask: ask, share: share, prompt: prompt}
}

// WithPatience returns the question of a call that may wait for a place for left, and can be on time for fresh.
func (w Wish) WithPatience(priority int, fresh, left time.Duration) Wish {
	w.priority, w.fresh, w.left = priority, fresh, left
	return w
}

// WithOrganisation returns the question of a call of an organisation.
func (w Wish) WithOrganisation(name string) Wish {
	w.organisation = name
	return w
}

// Ask returns the number of the question within the daemon that asks.
func (w Wish) Ask() uint64 { return w.ask }

// Share returns the part of the replicas in which a place is wanted.
func (w Wish) Share() Share { return w.share }

// Prompt returns the prompt tokens of the call.
func (w Wish) Prompt() int { return w.prompt }

// Priority returns the priority of the call, 0 for the most urgent.
func (w Wish) Priority() int { return w.priority }

// Fresh returns for how long the call can still be on time.
func (w Wish) Fresh() time.Duration { return w.fresh }

// Left returns for how long the call may wait, 0 if it does not.
func (w Wish) Left() time.Duration { return w.left }

// Organisation returns the name of the organisation whose call it is, empty on a public route.
func (w Wish) Organisation() string { return w.organisation }
