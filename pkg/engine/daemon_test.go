package engine

import (
	"fmt"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// router is what a daemon of the fake fleet routes with: State, or a variant of it.
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

// admission is what a daemon of the fake fleet admits with: caller.State, or a naive variant.
type admission interface {
	Reduce(now time.Time, e caller.Event) []caller.Effect
}

// daemon is one entry of the fake fleet: the decisions and a driver that carries them out.
type daemon struct {
	fleet    *fleet
	name     string
	centre   string
	admits   admission
	static   *static
	routes   router
	replicas *reports
	jobs     map[AttemptID]*job
	mute     bool
}

// setup says how the daemons of a fake fleet are made.
type setup struct {
	daemons       int
	organisations []caller.Organisation
	routes        func(int) router
	static        bool
}

func (f *fleet) start(u setup) {
	var peers []caller.Peer
	for i := range u.daemons {
		d := &daemon{fleet: f, name: fmt.Sprintf("d%d", i), routes: u.routes(i), jobs: map[AttemptID]*job{}}
		d.replicas = &reports{fleet: f}
		d.replicas.refresh()
		f.daemons = append(f.daemons, d)
		peers = append(peers, caller.NewPeer(d.name, d.name, "dc0", false, 0))
	}
	for i, d := range f.daemons {
		d.centre = fmt.Sprintf("dc%d", i%3)
		d.engine(NewConfigured(NewSettings(d.name, d.centre)))
		if u.static {
			d.static = &static{part: u.daemons * len(u.organisations), running: map[string]int{}, waiting: map[string][]caller.Call{}}
			continue
		}
		d.admits = &caller.State{}
		settings := caller.NewSettings(d.name, d.name, d.centre).WithOrganisations(u.organisations...)
		d.caller(caller.NewConfigured(settings.WithTargets(caller.NewTarget(fakeModel, caller.Model, 0))))
		d.caller(caller.NewPeers(peers))
		f.after(time.Duration(i)*13*time.Millisecond, func() {
			f.every(100*time.Millisecond, func() {
				d.caller(caller.NewTicked())
				d.engine(NewTicked())
				d.size()
			})
		})
	}
	f.resize()
}

// size tells the admission what the engines can run: what the router learned, or for a naive one what is true.
func (d *daemon) size() {
	switch routes := d.routes.(type) {
	case *State:
		d.caller(caller.NewCapacity(fakeModel, routes.Capacity(d.replicas, fakeModel)))
	case variant:
		d.caller(caller.NewCapacity(fakeModel, routes.Capacity(d.replicas, fakeModel)))
	}
}

func (d *daemon) capacity(slots int) {
	if d.static != nil {
		d.static.slots = slots
		return
	}
	if _, isNaive := d.routes.(*naive); isNaive {
		d.caller(caller.NewCapacity(fakeModel, slots))
		return
	}
	d.size()
}

// arrive brings a call of want tokens to the daemon.
func (d *daemon) arrive(call caller.Call, want int) {
	d.fleet.results[call.ID()] = &result{call: call, want: want, arrived: d.fleet.now}
	if d.static == nil {
		d.caller(caller.NewArrived(call))
		return
	}
	for _, next := range d.static.arrive(call) {
		d.engine(NewSubmitted(next))
	}
}

func (d *daemon) caller(e caller.Event) {
	if d.admits == nil {
		return
	}
	for _, effect := range d.admits.Reduce(d.fleet.now, e) {
		switch effect := effect.(type) {
		case caller.Dispatch:
			d.engine(NewSubmitted(effect.Call()))
		case caller.Reject:
			d.conclude(effect.ID(), effect.Outcome())
		case caller.Cancel:
			d.engine(NewCancelled(effect.ID()))
		case caller.Share:
			news := caller.NewShared(d.name, effect.Holds(), effect.Usages())
			d.spread(func(other *daemon) { other.caller(news) })
		}
	}
}

// spread brings news to the other daemons, each a little later.
func (d *daemon) spread(tell func(*daemon)) {
	for _, other := range d.fleet.daemons {
		if other == d || d.mute {
			continue
		}
		lag := time.Duration(100+d.fleet.random.IntN(300)) * time.Millisecond
		d.fleet.after(lag, func() { tell(other) })
	}
}

func (d *daemon) engine(e Event) {
	for _, effect := range d.routes.Reduce(d.fleet.now, d.replicas, e) {
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
			news := NewSuspicionReceived(effect.suspicion)
			d.spread(func(other *daemon) { other.engine(news) })
		case ResyncCache:
			d.resync(effect.replica)
		}
	}
}

func (d *daemon) send(s Send) {
	j := &job{daemon: d, send: s, result: d.fleet.results[s.call.ID()], at: s.tokenOffset}
	d.fleet.checks.send(d.fleet.now, d.centre, j.result, s, d.replicas)
	d.jobs[s.attempt] = j
	for _, w := range d.fleet.workers {
		if w.seen.replica == s.replica {
			j.worker = w
		}
	}
	d.fleet.after(time.Millisecond, func() {
		if !j.over {
			j.worker.accept(j)
		}
	})
}

func (d *daemon) resync(replica instance.ReplicaID) {
	for _, w := range d.fleet.workers {
		if w.seen.replica == replica {
			event := NewCacheSnapshot(replica, w.sequence, append([]uint64(nil), w.cached...))
			d.fleet.after(fakeLag, func() { d.engine(event) })
		}
	}
}

func (d *daemon) finish(e Finish) {
	d.conclude(e.id, e.outcome)
	if d.static == nil {
		d.caller(caller.NewFinished(e.id, e.outcome))
		return
	}
	for _, next := range d.static.finish(d.fleet.results[e.id].call) {
		d.engine(NewSubmitted(next))
	}
}

func (d *daemon) conclude(id caller.ID, outcome caller.Outcome) {
	r := d.fleet.results[id]
	d.fleet.checks.conclude(r, outcome)
	r.outcome = outcome
	r.ended = d.fleet.now
}

// static is the naive admission: each organisation has an equal part of the slots at each daemon, and an endless queue.
type static struct {
	slots   int
	part    int
	running map[string]int
	waiting map[string][]caller.Call
}

func (a *static) arrive(call caller.Call) []caller.Call {
	a.waiting[call.Organisation()] = append(a.waiting[call.Organisation()], call)
	return a.next(call.Organisation())
}

func (a *static) finish(call caller.Call) []caller.Call {
	a.running[call.Organisation()]--
	return a.next(call.Organisation())
}

func (a *static) next(organisation string) []caller.Call {
	var result []caller.Call
	for a.running[organisation] < max(a.slots/a.part, 1) && len(a.waiting[organisation]) > 0 {
		result = append(result, a.waiting[organisation][0])
		a.waiting[organisation] = a.waiting[organisation][1:]
		a.running[organisation]++
	}
	return result
}
