package engine

import "github.com/azurepond/azurepond/pkg/instance"

const (
	// DefaultSlots is how many calls a replica is taken to run at once before any of its model was seen to be full.
	DefaultSlots = 32
	// slotsGain is the weight of one report in what is known of a replica's slots.
	slotsGain = 0.2
	// slotsDepth is how many calls are admitted for each slot, so that no slot waits for the next call.
	slotsDepth = 1.1
)

// Capacity returns how many calls the whole replicas of model should have at once. An engine that queues is full, and what
// it runs then are its slots; a replica that was never seen full counts like the others of its model.
func (s *State) Capacity(r Replicas, model string) int {
	sum, known := 0.0, 0
	size := r.Len(model)
	for i := range size {
		if own := s.upstreams[r.At(model, i).replica]; own != nil && own.slots > 0 {
			sum += own.slots
			known++
		}
	}
	mean := float64(DefaultSlots)
	if known > 0 {
		mean = sum / float64(known)
	}
	return int(mean * float64(size) * slotsDepth)
}

// learnSlots takes in the load that a replica reported.
func (u *upstream) learnSlots(load instance.Load) {
	running := float64(load.Running())
	switch {
	case load.Queued() > 0 && u.slots == 0:
		u.slots = running
	case load.Queued() > 0:
		u.slots += slotsGain * (running - u.slots)
	case u.slots > 0:
		u.slots = max(u.slots, running)
	}
}
