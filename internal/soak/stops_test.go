package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// replacementTime is how long an engine that is replaced serves on.
const replacementTime = 3 * time.Second

// stop is one SIGTERM of a daemon.
type stop struct {
	daemon int
	at     time.Time
}

// fault is an unplanned fault, from its begin to its end.
type fault struct {
	daemon   int // allDaemons for the store
	from, to time.Time
}

const allDaemons = -1

// stopsSoak stops daemons under callers and records what the callers got.
type stopsSoak struct {
	*soak
	transport      func(http.RoundTripper) http.RoundTripper // nil for none
	hasFixedList   bool                                      // callers keep the first address list and take it for new
	fleetGroup     sync.WaitGroup                            // stops, and undone faults
	busy, stopping map[int]bool
	stops          []stop
	faults         []fault
	requests       []record
}

func newStopsSoak(t *testing.T, seed uint64, variant string, grace time.Duration) *stopsSoak {
	return &stopsSoak{
		soak: newSoak(t, seed, setup{variant, grace, grace, grace}), busy: map[int]bool{}, stopping: map[int]bool{},
	}
}

// takeIdle returns up to count random daemons that are not busy, and marks them busy. At least half of the daemons stay.
func (s *stopsSoak) takeIdle(count int) []*process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var taken []*process
	for _, i := range s.random.Perm(len(s.daemons)) {
		if len(taken) < count && !s.busy[i] && len(s.busy) < len(s.daemons)/2 {
			s.busy[i] = true
			taken = append(taken, s.daemons[i])
		}
	}
	return taken
}

// takeStopping returns a daemon that is stopping, nil if there is none.
func (s *stopsSoak) takeStopping() *process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, p := range s.daemons {
		if s.stopping[i] {
			return p
		}
	}
	return nil
}

func (s *stopsSoak) recordFault(daemon int, from time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, fault{daemon, from, time.Now()})
}

// stopSeries stops and restarts daemons one after the other, as the platform does: SIGKILL follows after the grace period.
func (s *stopsSoak) stopSeries(series []*process, pause time.Duration) {
	for _, p := range series {
		s.mutex.Lock()
		s.stops = append(s.stops, stop{p.index, time.Now()})
		s.stopping[p.index] = true
		s.mutex.Unlock()
		exited := p.signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(s.setup.grace):
			p.stop()
		}
		s.mutex.Lock()
		delete(s.stopping, p.index)
		s.mutex.Unlock()
		time.Sleep(pause)
		s.restart(p)
	}
}

func (s *stopsSoak) restart(p *process) {
	s.start(p)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, p.index)
}

// after calls undo after a time, and before the end of the run.
func (s *stopsSoak) after(d time.Duration, undo func()) {
	s.fleetGroup.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// act does one random step of the operator or injects one random fault, and returns its description.
func (s *stopsSoak) act() string {
	pause := time.Duration(s.random.IntN(600)) * time.Millisecond
	switch s.random.IntN(16) {
	case 0, 1, 2, 3: // one after the other, each as soon as the one before it has restarted
		series := s.takeIdle(1 + s.random.IntN(3))
		s.fleetGroup.Go(func() { s.stopSeries(series, pause) })
		return "stop in series " + names(series)
	case 4, 5: // at once
		pair := s.takeIdle(2)
		for _, p := range pair {
			s.fleetGroup.Go(func() { s.stopSeries([]*process{p}, pause) })
		}
		return "stop at once " + names(pair)
	case 6:
		killed := s.takeIdle(1)
		for _, p := range killed {
			from := time.Now()
			p.stop()
			s.recordFault(p.index, from)
			s.after(pause, func() { s.restart(p) })
		}
		return "kill " + names(killed)
	case 7:
		if p := s.takeStopping(); p != nil && s.random.IntN(3) == 0 {
			s.recordFault(p.index, time.Now())
			p.signal(syscall.SIGKILL)
			return fmt.Sprintf("kill stopping d%d", p.index)
		}
		return "none"
	case 8, 9:
		p := s.takeStopping()
		if p == nil {
			p = s.daemons[s.random.IntN(len(s.daemons))]
		}
		p.signal(syscall.SIGHUP)
		return fmt.Sprintf("hangup d%d", p.index)
	case 10:
		if p := s.takeStopping(); p != nil {
			p.signal(syscall.SIGTERM)
			return fmt.Sprintf("second SIGTERM to d%d", p.index)
		}
		return "none"
	}
	return s.actOnFleet(pause)
}

// actOnFleet changes the configuration, or does something to an engine, the store or the paths of a daemon.
func (s *stopsSoak) actOnFleet(pause time.Duration) string {
	switch s.random.IntN(10) {
	case 0, 1, 2, 3:
		s.configure(s.version + 1)
		return fmt.Sprintf("configuration %d", s.version)
	case 4, 5, 6:
		e := s.removeEngine()
		s.addEngine()
		s.engines[len(s.engines)-1].Slow(slowEvent)
		if err := e.Drain(); err != nil {
			s.recordFailure(err.Error())
		}
		s.after(replacementTime, func() { s.kill(e) })
		return "replace " + e.ID()
	case 7, 8:
		e := s.removeEngine()
		s.kill(e)
		s.addEngine()
		return "kill " + e.ID()
	}
	from := time.Now()
	if s.random.IntN(2) == 0 {
		s.fleet.Store.SetUnavailable(true)
		s.after(pause, func() {
			s.fleet.Store.SetUnavailable(false)
			s.recordFault(allDaemons, from)
		})
		return "store unavailable"
	}
	p := s.daemons[s.random.IntN(len(s.daemons))]
	p.paths.cut(true)
	s.after(pause, func() {
		if err := p.paths.heal(); err != nil {
			s.recordFailure(err.Error())
		}
		s.recordFault(p.index, from)
	})
	return fmt.Sprintf("cut paths of d%d", p.index)
}

func names(processes []*process) string {
	text := ""
	for _, p := range processes {
		text += fmt.Sprintf(" d%d", p.index)
	}
	return text
}

// run runs the callers, and the actions for a time, and returns the failures.
func (s *stopsSoak) run(duration time.Duration) []string {
	defer s.stopAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.engines[0].Slow(slowEvent)
	var group sync.WaitGroup
	s.startCallers(ctx, &group)
	if !s.isServingWithin(ctx, 40, 20*time.Second) {
		s.recordFailure("fewer than 40 requests served in time after the start")
	}
	begin := time.Now()
	for time.Since(begin) < duration {
		if action := s.act(); action != "none" {
			s.t.Logf("%.2f s: %s", time.Since(begin).Seconds(), action)
		}
		sleep(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond*4/time.Duration(len(s.daemons)))
	}
	s.fleetGroup.Wait()
	if !s.isServingWithin(ctx, 40, 15*time.Second) {
		s.recordFailure("fewer than 40 requests served in time after the stops")
	}
	cancel()
	group.Wait()
	s.judge(begin)
	return s.failures
}

// graceOf returns the grace period of a seed, in the range that deployments use.
func graceOf(seed uint64) time.Duration { return time.Duration(4+4*(seed%3)) * time.Second }

// TestStops stops, kills and restarts daemons under long streams. It fails if a stopping daemon breaks off an answer, if a
// refused request ran, or if a caller that follows the address list is refused by a stopping daemon.
func TestStops(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) []string {
		s := newStopsSoak(t, seed, intact, graceOf(seed))
		return s.run(max(*faultDuration, 3*s.setup.grace))
	})
}
