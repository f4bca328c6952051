package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// paceGain is the weight of one report in the average time between tokens.
	paceGain = 0.1
	// paceTolerance is by which factor a replica may be slower than the others before it loses share.
	paceTolerance = 1.25
	// paceWorst is the largest factor by which a replica counts as slower.
	paceWorst = 16
	// paceMemory is the time in which half of what is known of a replica's slowness is forgotten.
	paceMemory = time.Minute
	// rampLeast is the share that a new replica begins with.
	rampLeast = 0.1
	// changesMost is how many own calls begun or ended since the last report of a replica are told apart by time.
	changesMost = 64
	// busyPause is for how long a replica that turned a call away for overload gets no other.
	busyPause = 200 * time.Millisecond
	// failurePause is for how long a replica that failed is used only if there is no other.
	failurePause = 2 * time.Second
	// surveyPeriod is the time between two looks for new replicas, and surveyGap after which absence one counts as new.
	surveyPeriod = time.Second
	surveyGap    = 2 * time.Second
	// forgetAfter is after which time without use a replica is forgotten.
	forgetAfter = 10 * time.Minute
)

// upstream is what this daemon itself knows of one replica.
type upstream struct {
	replica  instance.ReplicaID
	since    time.Time
	used     time.Time
	listed   time.Time
	failed   time.Time
	busy     time.Time
	drained  bool
	reported time.Time
	changes  changes
	running  int
	slots    float64
	slowness float64
	slowAt   time.Time
	cache    cacheLog
}

// change is an own call that began (+1) or ended (-1).
type change struct {
	at   time.Time
	step int
}

// changes are the own calls that a replica's last report can't know of yet.
type changes struct {
	list [changesMost]change
	size int
	sum  int
}

func (c *changes) add(at time.Time, step int) {
	if c.size == changesMost {
		c.drop(1)
	}
	c.list[c.size] = change{at, step}
	c.size++
	c.sum += step
}

// dropUntil forgets what a report of time at includes.
func (c *changes) dropUntil(at time.Time) {
	known := 0
	for known < c.size && !c.list[known].at.After(at) {
		known++
	}
	c.drop(known)
}

func (c *changes) drop(count int) {
	if count == 0 {
		return
	}
	for _, old := range c.list[:count] {
		c.sum -= old.step
	}
	copy(c.list[:], c.list[count:c.size])
	c.size -= count
}

// calls returns how many calls the replica has: what it reported, corrected by the own ones since then.
func (u *upstream) calls(seen Upstream) int {
	if seen.reported.After(u.reported) {
		u.reported = seen.reported
		u.changes.dropUntil(seen.reported)
	}
	return max(seen.load.Running()+seen.load.Queued()+u.changes.sum, u.running)
}

func (u *upstream) begin(now time.Time) {
	u.running++
	u.used = now
	u.changes.add(now, 1)
}

func (u *upstream) end(now time.Time) {
	u.running--
	u.used = now
	u.changes.add(now, -1)
}

// observe takes in how much slower than the others the replica was just now; 1 is as fast.
func (u *upstream) observe(now time.Time, ratio float64) {
	known := u.slow(now)
	u.slowness = known + paceGain*(min(ratio, paceWorst)-known)
	u.slowAt = now
}

// slow returns how much slower than the others the replica is; what was seen long ago counts less.
func (u *upstream) slow(now time.Time) float64 {
	if u.slowAt.IsZero() {
		return 1
	}
	halves := now.Sub(u.slowAt).Seconds() / paceMemory.Seconds()
	return 1 + (u.slowness-1)/(1+halves)
}

// ramped returns which part of a full share the replica gets for its age.
func (u *upstream) ramped(now time.Time, ramp time.Duration) float64 {
	age := now.Sub(u.since).Seconds() / ramp.Seconds()
	return min(max(age, rampLeast), 1)
}

// price returns what one call costs there, more while the replica is slow.
func (u *upstream) price(now time.Time) float64 { return max(u.slow(now)/paceTolerance, 1) }

// restart begins the ramp again, since the replica failed.
func (u *upstream) restart(now time.Time) {
	u.since = now
	u.failed = now
}

// isOpen reports whether the replica takes new calls from this daemon.
func (u *upstream) isOpen(now time.Time) bool { return !u.drained && now.Sub(u.busy) >= busyPause }

// isCooling reports whether the replica failed so lately that any other one is better.
func (u *upstream) isCooling(now time.Time) bool { return now.Sub(u.failed) < failurePause }

// upstream returns what is known of replica, a fresh record if it is new.
func (s *State) upstream(now time.Time, replica instance.ReplicaID) *upstream {
	known, isKnown := s.upstreams[replica]
	if isKnown {
		return known
	}
	known = &upstream{replica: replica, used: now, listed: now}
	if !s.surveyed.IsZero() {
		known.since = now
	}
	s.upstreams[replica] = known
	return known
}

// survey looks for replicas that are new or came back, and begins their ramp. What the first survey finds is not new:
// then it is this daemon that just started.
func (s *State) survey(now time.Time, r Replicas) {
	if now.Sub(s.surveyed) < surveyPeriod {
		return
	}
	for model := range s.budgets {
		for i := range r.Len(model) {
			seen := r.At(model, i)
			own := s.upstream(now, seen.replica)
			s.welcome(now, own)
			own.listed = now
			own.learnSlots(seen.load)
		}
	}
	if len(s.budgets) > 0 {
		s.surveyed = now
	}
}

// welcome begins the ramp of a replica that the last surveys missed.
func (s *State) welcome(now time.Time, own *upstream) {
	if s.surveyed.Sub(own.listed) >= surveyGap {
		own.since = now
		own.listed = now
	}
}

// forget drops replicas that were not used for long.
func (s *State) forget(now time.Time) {
	for replica, u := range s.upstreams {
		if u.running == 0 && !u.drained && now.Sub(u.used) > forgetAfter && now.Sub(u.listed) > forgetAfter {
			delete(s.upstreams, replica)
		}
	}
}
