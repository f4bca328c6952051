package instance

import "time"

// Phase is the state of an instance's engine with respect to its assignment.
type Phase uint8

// Phases of an engine, in the order in which it passes through them.
const (
	PhaseIdle Phase = iota
	PhaseLoading
	PhaseReady
	PhaseStopping
)

// ProbeResult is the result of one probe of one instance by one watcher.
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

// NewProbeResult returns the result of a probe that the instance answered at time at.
func NewProbeResult(id ID, boot BootID, a Assignment, p Phase, l Load, watcher string, at time.Time) ProbeResult {
	return ProbeResult{id: id, boot: boot, assignment: a, phase: p, load: l, alive: true, watcher: watcher, at: at}
}

// NewFailedProbe returns the result of a probe that the instance did not answer at time at.
func NewFailedProbe(id ID, watcher string, at time.Time) ProbeResult {
	return ProbeResult{id: id, watcher: watcher, at: at}
}

// ID returns the instance that was probed.
func (r ProbeResult) ID() ID { return r.id }

// Boot returns the boot of the instance that answered.
func (r ProbeResult) Boot() BootID { return r.boot }

// Assignment returns the assignment that the instance reported.
func (r ProbeResult) Assignment() Assignment { return r.assignment }

// Phase returns the phase that the instance reported.
func (r ProbeResult) Phase() Phase { return r.phase }

// Load returns the load that the instance reported.
func (r ProbeResult) Load() Load { return r.load }

// Alive reports whether the instance answered.
func (r ProbeResult) Alive() bool { return r.alive }

// Watcher returns the name of the daemon that probed the instance.
func (r ProbeResult) Watcher() string { return r.watcher }

// At returns the time of the probe by the local clock of the process that holds the result.
func (r ProbeResult) At() time.Time { return r.at }

// Load is the load that an engine reports.
type Load struct {
	running       int
	queued        int
	loadedPercent int
}

// NewLoad returns a load of running and queued requests, and the percentage of the model loaded (0 to 100).
func NewLoad(running, queued, loaded int) Load {
	return Load{running: running, queued: queued, loadedPercent: loaded}
}

// Running returns the number of running requests.
func (l Load) Running() int { return l.running }

// Queued returns the number of requests that wait in the engine.
func (l Load) Queued() int { return l.queued }

// LoadedPercent returns how much of the model is loaded, in percent.
func (l Load) LoadedPercent() int { return l.loadedPercent }
