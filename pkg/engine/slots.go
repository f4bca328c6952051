package engine

import "github.com/azurepond/azurepond/pkg/instance"

const (
	// DefaultSlots is the assumed number of calls that a replica runs at once, until a replica of its model is full.
	DefaultSlots = 32
	// slotsGain is the weight of one report in the moving average of a replica's slots.
	slotsGain = 0.2
	// callsPerSlot is the number of calls admitted per slot, above 1 so that no slot is idle until the next call arrives.
	callsPerSlot = 1.1
)

// Capacity returns how many calls the available replicas of model should have at once. A replica that queues calls is
// full, and the number of calls that it runs then is its number of slots. A replica that was never full counts with the
// mean of the others of its model.
func (s *State) Capacity(r Replicas, model string) int {
	sum, fullReplicas := 0.0, 0
	size := r.Len(model)
	for i := range size {
		if replica := s.replicas[r.At(model, i).replica]; replica != nil && replica.slots > 0 {
			sum += replica.slots
			fullReplicas++
		}
	}
	mean := float64(DefaultSlots)
	if fullReplicas > 0 {
		mean = sum / float64(fullReplicas)
	}
	return int(mean * float64(size) * callsPerSlot)
}

// learnSlots updates the number of slots from the load that the replica reported.
func (r *replicaState) learnSlots(load instance.Load) {
	running := float64(load.Running())
	switch {
	case load.Queued() > 0 && r.slots == 0:
		r.slots = running
	case load.Queued() > 0:
		r.slots += slotsGain * (running - r.slots)
	case r.slots > 0:
		r.slots = max(r.slots, running)
	}
}
