package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// injectFault injects one random fault and returns its description and the function that undoes it.
func (s *soak) injectFault() (string, func()) {
	index := s.random.IntN(*daemonCount)
	p := s.daemons[index]
	s.snapshots = append(s.snapshots, s.fleet.Store.Snapshot())
	switch s.random.IntN(17) {
	case 0:
		p.stop()
		return fmt.Sprintf("kill d%d", index), func() { s.start(p) }
	case 1:
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("freeze d%d", index), func() { p.signal(syscall.SIGCONT) }
	case 2:
		p.signal(syscall.SIGTERM)
		return fmt.Sprintf("stop d%d", index), func() {
			p.stop()
			s.start(p)
		}
	case 3:
		p.signal(syscall.SIGHUP)
		return fmt.Sprintf("hangup d%d", index), func() {}
	case 4, 5:
		fault := networkFault(1 + s.random.IntN(4))
		p.storeProxy.setFault(fault)
		return fmt.Sprintf("store of d%d: network fault %d", index, fault), func() { p.storeProxy.setFault(noFault) }
	case 6:
		s.fleet.Store.SetUnavailable(true)
		return "store unavailable", func() { s.fleet.Store.SetUnavailable(false) }
	case 7:
		back := 1 + s.random.IntN(min(4, len(s.snapshots)))
		s.restoreStore(s.snapshots[len(s.snapshots)-back])
		return fmt.Sprintf("store restored from %d faults ago", back), func() {}
	case 8:
		e := s.removeEngine()
		e.AnnounceLeaving()
		return "leave " + e.ID(), func() {
			s.kill(e)
			s.addEngine()
		}
	case 9:
		p.storeProxy.silenceOpen()
		s.configure(s.version + 1)
		return fmt.Sprintf("store of d%d: open connections silent", index), func() {}
	case 10:
		e := s.engines[s.random.IntN(len(s.engines))]
		e.Throttle(time.Duration(500+s.random.IntN(1500)) * time.Millisecond)
		return "throttle at " + e.ID(), func() { e.Throttle(0) }
	case 11:
		resetOpen := s.random.IntN(2) == 0
		p.paths.cut(resetOpen)
		return fmt.Sprintf("paths of d%d: connections refused, open ones reset: %t", index, resetOpen), func() { s.heal(p) }
	case 12:
		fault := networkFault(1 + s.random.IntN(4))
		p.paths.hang(fault)
		return fmt.Sprintf("paths of d%d: network fault %d", index, fault), func() { s.heal(p) }
	case 13:
		go s.sendLargeBodies(p)
		return fmt.Sprintf("large bodies to d%d", index), func() {}
	case 14:
		return fmt.Sprintf("idle connections to d%d", index), openIdle(p)
	case 15:
		desk := s.desks[s.random.IntN(len(s.desks))]
		status := []int{http.StatusOK, http.StatusInternalServerError}[s.random.IntN(2)]
		desk.SetAnswer(standin.NewEndlessAnswer(status))
		return fmt.Sprintf("endless answers with status %d of %s", status, desk.ID()), func() { desk.SetAnswer(standin.Answer{}) }
	}
	e := s.removeEngine()
	s.kill(e)
	return "kill " + e.ID(), s.addEngine
}

// heal ends the faults of a daemon's paths.
func (s *soak) heal(p *process) {
	if err := p.paths.heal(); err != nil {
		s.t.Fatal(err)
	}
}

// kill stops an engine at once.
func (s *soak) kill(e *standin.Upstream) {
	for _, p := range s.daemons {
		p.paths.kill(e.Address())
	}
	e.Kill(300 * time.Millisecond)
}

// removeEngine removes a random engine from those that faults choose from.
func (s *soak) removeEngine() *standin.Upstream {
	i := s.random.IntN(len(s.engines))
	e := s.engines[i]
	s.engines = append(s.engines[:i], s.engines[i+1:]...)
	return e
}

// restoreStore restores the store from a snapshot. The operator and the upstreams write their objects again.
func (s *soak) restoreStore(c standin.Snapshot) {
	s.fleet.Store.Restore(c)
	s.configure(s.version)
	if err := s.fleet.RegisterAll(); err != nil {
		s.t.Fatal(err)
	}
}

// injectFaults injects a series of faults, up to three at a time.
func (s *soak) injectFaults(ctx context.Context) {
	end := time.Now().Add(*faultDuration)
	var undos []func()
	for version := 2; time.Now().Before(end); version++ {
		description, undoFault := s.injectFault()
		s.t.Log(description)
		undos = append(undos, undoFault)
		sleep(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond)
		if s.random.IntN(3) == 0 {
			s.configure(version)
		}
		if len(undos) > 2 {
			undos[0]()
			undos = undos[1:]
		}
	}
	for _, undoFault := range undos {
		undoFault()
	}
}
