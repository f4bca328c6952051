package instance

import "time"

// Phase is what an instance's engine says it is doing with its assignment.
type Phase uint8

// The phases of an engine, in the order in which it passes through them.
const (
	Idle Phase = iota
	Loading
	Ready
	Stopping
)

// ProbeResult is what one watcher saw of one instance at one time; it is evidence, never a guess.
type ProbeResult struct {
	id         ID
	boot       BootID
	assignment Assignment
	phase      Phase
	load       Load
	alive      bool
	watcher    string
	at         time.Time
}

// NewProbeResult returns the report of an instance that answered watcher at time at.
func NewProbeResult(id ID, boot BootID, a Assignment, p Phase, l Load, watcher string, at time.Time) ProbeResult {
	return ProbeResult{id: id, boot: boot, assignment: a, phase: p, load: l, alive: true, watcher: watcher, at: at}
}

// NewFailedProbe returns the report of an instance that did not answer watcher at time at.
func NewFailedProbe(id ID, watcher string, at time.Time) ProbeResult {
	return ProbeResult{id: id, watcher: watcher, at: at}
}

// ID returns the instance that was looked at.
func (s ProbeResult) ID() ID { return s.id }

// Boot returns the identity of the start that answered.
func (s ProbeResult) Boot() BootID { return s.boot }

// Assignment returns the assignment that the instance itself reported.
func (s ProbeResult) Assignment() Assignment { return s.assignment }

// Phase returns the phase that the instance itself reported.
func (s ProbeResult) Phase() Phase { return s.phase }

// Load returns the load that the instance itself reported.
func (s ProbeResult) Load() Load { return s.load }

// Alive reports whether the instance answered.
func (s ProbeResult) Alive() bool { return s.alive }

// Watcher returns the name of the daemon that looked.
func (s ProbeResult) Watcher() string { return s.watcher }

// At returns the time of the look by the local clock of the process that holds the sighting.
func (s ProbeResult) At() time.Time { return s.at }

// Load is what an engine reports of its work.
type Load struct {
	running       int
	queued        int
	loadedPercent int
}

// NewLoad returns a load of running and queued requests, and the percentage of the model loaded (0 to 100).
func NewLoad(running, queued, loaded int) Load {
	return Load{running: running, queued: queued, loadedPercent: loaded}
}

// Running returns the number of requests that run.
func (l Load) Running() int { return l.running }

// Queued returns the number of requests that wait in the engine.
func (l Load) Queued() int { return l.queued }

// LoadedPercent returns how much of the model is loaded, in percent.
func (l Load) LoadedPercent() int { return l.loadedPercent }
