package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// slownessGain is the weight of one observation in the moving average of the slowness.
	slownessGain = 0.1
	// slownessTolerance is the slowness up to which a replica keeps its full share.
	slownessTolerance = 1.25
	// maxSlowness is the largest slowness that is recorded.
	maxSlowness = 16
	// slownessHalfLife is the time in which the excess slowness of a replica decays to a half.
	slownessHalfLife = time.Minute
	// minRampShare is the share of calls with which a new replica starts.
	minRampShare = 0.1
	// maxCallChanges limits the starts and ends of calls that are stored until the replica's next report.
	maxCallChanges = 64
	// overloadCooldown is how long a replica gets no calls after it rejected one because of overload.
	overloadCooldown = 200 * time.Millisecond
	// failureCooldown is how long a replica that failed is used only if there is no other.
	failureCooldown = 2 * time.Second
	// discoveryInterval is the time between two searches for new replicas, and minAbsence the time without being listed
	// after which a replica counts as new.
	discoveryInterval = time.Second
	minAbsence        = 2 * time.Second
	// replicaRetention is how long the state of an unused and unlisted replica is kept.
	replicaRetention = 10 * time.Minute
)

// replicaState is the state that this daemon itself keeps of one replica.
type replicaState struct {
	id           instance.ReplicaID
	rampStart    time.Time // of the latest ramp-up, zero if the replica was there before this daemon
	lastUsed     time.Time
	lastListed   time.Time
	lastFailure  time.Time
	lastOverload time.Time
	draining     bool
	lastReport   time.Time
	callChanges  callChanges
	running      int     // attempts of this daemon
	slots        float64 // average of calls that it runs when it is full, 0 if it never was
	slowness     float64 // average ratio of its token interval to the mean of all replicas
	slownessAt   time.Time
	cache        cachePosition
}

// callChange is the start (+1) or the end (-1) of a call of this daemon.
type callChange struct {
	at    time.Time
	delta int
}

// callChanges are the starts and ends of calls that a replica's last report doesn't include yet.
type callChanges struct {
	list [maxCallChanges]callChange
	size int
	sum  int
}

func (c *callChanges) add(at time.Time, delta int) {
	if c.size == maxCallChanges {
		c.drop(1)
	}
	c.list[c.size] = callChange{at, delta}
	c.size++
	c.sum += delta
}

// dropUntil removes the changes that a report of time at includes.
func (c *callChanges) dropUntil(at time.Time) {
	reported := 0
	for reported < c.size && !c.list[reported].at.After(at) {
		reported++
	}
	c.drop(reported)
}

func (c *callChanges) drop(count int) {
	if count == 0 {
		return
	}
	for _, old := range c.list[:count] {
		c.sum -= old.delta
	}
	copy(c.list[:], c.list[count:c.size])
	c.size -= count
}

// callCount returns the number of calls on the replica: its reported load, corrected by the calls that this daemon
// started and ended since the report.
func (r *replicaState) callCount(upstream Upstream) int {
	if upstream.reported.After(r.lastReport) {
		r.lastReport = upstream.reported
		r.callChanges.dropUntil(upstream.reported)
	}
	return max(upstream.load.Running()+upstream.load.Queued()+r.callChanges.sum, r.running)
}

func (r *replicaState) begin(now time.Time) {
	r.running++
	r.lastUsed = now
	r.callChanges.add(now, 1)
}

func (r *replicaState) end(now time.Time) {
	r.running--
	r.lastUsed = now
	r.callChanges.add(now, -1)
}

// observeSlowness records the ratio of the replica's token interval to the mean of all replicas.
func (r *replicaState) observeSlowness(now time.Time, ratio float64) {
	previous := r.currentSlowness(now)
	r.slowness = previous + slownessGain*(min(ratio, maxSlowness)-previous)
	r.slownessAt = now
}

// currentSlowness returns the slowness of the replica, decayed towards 1 since the last observation.
func (r *replicaState) currentSlowness(now time.Time) float64 {
	if r.slownessAt.IsZero() {
		return 1
	}
	halfLives := now.Sub(r.slownessAt).Seconds() / slownessHalfLife.Seconds()
	return 1 + (r.slowness-1)/(1+halfLives)
}

// rampShare returns the part of its full share of calls that the replica gets at its age.
func (r *replicaState) rampShare(now time.Time, window time.Duration) float64 {
	age := now.Sub(r.rampStart).Seconds() / window.Seconds()
	return min(max(age, minRampShare), 1)
}

// callCost returns the cost of one call on the replica: 1, or more if it is slow.
func (r *replicaState) callCost(now time.Time) float64 {
	return max(r.currentSlowness(now)/slownessTolerance, 1)
}

// recordFailure records that the replica failed, and restarts its ramp-up.
func (r *replicaState) recordFailure(now time.Time) {
	r.rampStart = now
	r.lastFailure = now
}

// acceptsCalls reports whether the replica may get new calls from this daemon.
func (r *replicaState) acceptsCalls(now time.Time) bool {
	return !r.draining && now.Sub(r.lastOverload) >= overloadCooldown
}

// isCoolingDown reports whether the replica failed so recently that any other one is preferred.
func (r *replicaState) isCoolingDown(now time.Time) bool {
	return now.Sub(r.lastFailure) < failureCooldown
}

// replica returns the state of the replica id, and creates it if the replica is new.
func (s *State) replica(now time.Time, id instance.ReplicaID) *replicaState {
	known, isKnown := s.replicas[id]
	if isKnown {
		return known
	}
	known = &replicaState{id: id, lastUsed: now, lastListed: now}
	if !s.lastDiscovery.IsZero() {
		known.rampStart = now
	}
	s.replicas[id] = known
	return known
}

// discoverReplicas starts the ramp-up of replicas that are new or returned. Replicas that the first run finds are not
// new: it is this daemon that just started.
func (s *State) discoverReplicas(now time.Time, r Replicas) {
	if now.Sub(s.lastDiscovery) < discoveryInterval {
		return
	}
	for model := range s.budgets {
		for i := range r.Len(model) {
			upstream := r.At(model, i)
			replica := s.replica(now, upstream.replica)
			s.restartRampIfAbsent(now, replica)
			replica.lastListed = now
			replica.learnSlots(upstream.load)
		}
	}
	if len(s.budgets) > 0 {
		s.lastDiscovery = now
	}
}

// restartRampIfAbsent restarts the ramp-up of a replica that the last discoveries didn't list.
func (s *State) restartRampIfAbsent(now time.Time, replica *replicaState) {
	if s.lastDiscovery.Sub(replica.lastListed) >= minAbsence {
		replica.rampStart = now
		replica.lastListed = now
	}
}

// evictReplicas removes the state of replicas that are no longer used or listed.
func (s *State) evictReplicas(now time.Time) {
	for id, r := range s.replicas {
		if r.running == 0 && !r.draining && now.Sub(r.lastUsed) > replicaRetention && now.Sub(r.lastListed) > replicaRetention {
			delete(s.replicas, id)
		}
	}
}
