package engine

import (
	"fmt"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// router routes the calls of a daemon of the fake fleet. It is State, a mutant or a naiveRouter.
type router interface {
	Reduce(now time.Time, r Replicas, e Event) []Effect
	sortedIDs() []AttemptID
}

func (s *State) sortedIDs() []AttemptID {
	var result []AttemptID
	for _, a := range s.sortedAttempts() {
		result = append(result, a.id)
	}
	return result
}

// admission admits the calls of a daemon of the fake fleet.
type admission interface {
	Reduce(now time.Time, e caller.Event) []caller.Effect
}

// daemon is one daemon of the fake fleet: admission, routing, and a driver that executes their effects.
type daemon struct {
	fleet           *fleet
	name            string
	dataCentre      string
	admission       admission
	staticAdmission *equalShares
	router          router
	replicas        *fakeReplicas
	jobs            map[AttemptID]*job
	muted           bool
}

// fleetConfig configures the daemons of a fake fleet.
type fleetConfig struct {
	daemons         int
	organisations   []caller.Organisation
	newRouter       func(int) router
	staticAdmission bool
}

func (f *fleet) startDaemons(config fleetConfig) {
	var peers []caller.Peer
	for i := range config.daemons {
		d := &daemon{fleet: f, name: fmt.Sprintf("d%d", i), router: config.newRouter(i), jobs: map[AttemptID]*job{}}
		d.replicas = &fakeReplicas{fleet: f}
		d.replicas.refresh()
		f.daemons = append(f.daemons, d)
		peers = append(peers, caller.NewPeer(d.name, d.name, "dc0", false, 0))
	}
	for i, d := range f.daemons {
		d.dataCentre = fmt.Sprintf("dc%d", i%3)
		d.handleEngineEvent(NewConfigured(NewSettings(d.name, d.dataCentre)))
		if config.staticAdmission {
			d.staticAdmission = &equalShares{
				shares:  config.daemons * len(config.organisations),
				running: map[string]int{}, waiting: map[string][]caller.Call{},
			}
			continue
		}
		d.admission = &caller.State{}
		settings := caller.NewSettings(d.name, d.name, d.dataCentre).WithOrganisations(config.organisations...)
		d.handleCallerEvent(caller.NewConfigured(settings.WithTargets(caller.NewTarget(fakeModel, caller.Model, 0))))
		d.handleCallerEvent(caller.NewPeersChanged(peers))
		f.after(time.Duration(i)*13*time.Millisecond, func() {
			f.every(100*time.Millisecond, func() {
				d.handleCallerEvent(caller.NewTicked())
				d.handleEngineEvent(NewTicked())
				d.reportCapacity()
			})
		})
	}
	f.updateCapacity()
}

// reportCapacity reports the capacity that the router estimates to the admission. A naiveRouter estimates none, so
// setCapacity reports the real one for it.
func (d *daemon) reportCapacity() {
	switch router := d.router.(type) {
	case *State:
		d.handleCallerEvent(caller.NewCapacityChanged(fakeModel, router.Capacity(d.replicas, fakeModel)))
	case mutant:
		d.handleCallerEvent(caller.NewCapacityChanged(fakeModel, router.Capacity(d.replicas, fakeModel)))
	}
}

// setCapacity reports the real capacity of the engines to the admission, or the estimated one if the router estimates
// it.
func (d *daemon) setCapacity(slots int) {
	if d.staticAdmission != nil {
		d.staticAdmission.slots = slots
		return
	}
	if _, isNaive := d.router.(*naiveRouter); isNaive {
		d.handleCallerEvent(caller.NewCapacityChanged(fakeModel, slots))
		return
	}
	d.reportCapacity()
}

// arrive submits a call that asks for wantTokens tokens to the daemon.
func (d *daemon) arrive(call caller.Call, wantTokens int) {
	d.fleet.results[call.ID()] = &result{call: call, wantTokens: wantTokens, arrived: d.fleet.now}
	if d.staticAdmission == nil {
		d.handleCallerEvent(caller.NewArrived(call))
		return
	}
	for _, next := range d.staticAdmission.arrive(call) {
		d.handleEngineEvent(NewSubmitted(next))
	}
}

func (d *daemon) handleCallerEvent(e caller.Event) {
	if d.admission == nil {
		return
	}
	for _, effect := range d.admission.Reduce(d.fleet.now, e) {
		switch effect := effect.(type) {
		case caller.Dispatch:
			d.handleEngineEvent(NewSubmitted(effect.Call()))
		case caller.Reject:
			d.recordOutcome(effect.ID(), effect.Outcome())
		case caller.Cancel:
			d.handleEngineEvent(NewCancelled(effect.ID()))
		case caller.ReportUsage:
			message := caller.NewUsageReported(d.name, effect.Allocations(), effect.Usages())
			d.broadcast(func(other *daemon) { other.handleCallerEvent(message) })
		}
	}
}

// broadcast sends a message to the other daemons, each after a random delay.
func (d *daemon) broadcast(send func(*daemon)) {
	for _, other := range d.fleet.daemons {
		if other == d || d.muted {
			continue
		}
		lag := time.Duration(100+d.fleet.random.IntN(300)) * time.Millisecond
		d.fleet.after(lag, func() { send(other) })
	}
}

func (d *daemon) handleEngineEvent(e Event) {
	for _, effect := range d.router.Reduce(d.fleet.now, d.replicas, e) {
		switch effect := effect.(type) {
		case Send:
			d.send(effect)
		case Cancel:
			if j := d.jobs[effect.attempt]; j != nil {
				j.fail(Halted)
			}
		case Finish:
			d.finish(effect)
		case PublishSuspicion:
			message := NewSuspicionReceived(effect.suspicion)
			d.broadcast(func(other *daemon) { other.handleEngineEvent(message) })
		case ResyncCache:
			d.resync(effect.replica)
		}
	}
}

func (d *daemon) send(s Send) {
	j := &job{daemon: d, send: s, result: d.fleet.results[s.call.ID()], position: s.tokenOffset}
	d.fleet.invariants.checkSend(d.fleet.now, d.dataCentre, j.result, s, d.replicas)
	d.jobs[s.attempt] = j
	for _, e := range d.fleet.engines {
		if e.upstream.replica == s.replica {
			j.engine = e
		}
	}
	d.fleet.after(time.Millisecond, func() {
		if !j.done {
			j.engine.accept(j)
		}
	})
}

func (d *daemon) resync(replica instance.ReplicaID) {
	for _, e := range d.fleet.engines {
		if e.upstream.replica == replica {
			event := NewCacheSnapshot(replica, e.sequence, append([]uint64(nil), e.cached...))
			d.fleet.after(fakeDelay, func() { d.handleEngineEvent(event) })
		}
	}
}

func (d *daemon) finish(e Finish) {
	d.recordOutcome(e.id, e.outcome)
	if d.staticAdmission == nil {
		d.handleCallerEvent(caller.NewFinished(e.id, e.outcome))
		return
	}
	for _, next := range d.staticAdmission.finish(d.fleet.results[e.id].call) {
		d.handleEngineEvent(NewSubmitted(next))
	}
}

func (d *daemon) recordOutcome(id caller.ID, outcome caller.Outcome) {
	r := d.fleet.results[id]
	d.fleet.invariants.checkOutcome(r, outcome)
	r.outcome = outcome
	r.ended = d.fleet.now
}

// equalShares is a static admission, as a baseline. On each daemon, each organisation has an equal share of the slots
// and an unbounded queue.
type equalShares struct {
	slots   int
	shares  int
	running map[string]int
	waiting map[string][]caller.Call
}

func (s *equalShares) arrive(call caller.Call) []caller.Call {
	s.waiting[call.Organisation()] = append(s.waiting[call.Organisation()], call)
	return s.next(call.Organisation())
}

func (s *equalShares) finish(call caller.Call) []caller.Call {
	s.running[call.Organisation()]--
	return s.next(call.Organisation())
}

func (s *equalShares) next(organisation string) []caller.Call {
	var result []caller.Call
	for s.running[organisation] < max(s.slots/s.shares, 1) && len(s.waiting[organisation]) > 0 {
		result = append(result, s.waiting[organisation][0])
		s.waiting[organisation] = s.waiting[organisation][1:]
		s.running[organisation]++
	}
	return result
}
