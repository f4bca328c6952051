package gateway

import (
	"fmt"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// startTraffic begins the calls, which arrive at random daemons.
func (f *fleet) startTraffic() {
	gap := f.random.ExpFloat64() / f.size.callsPerSecond
	f.after(time.Duration(gap*float64(time.Second)), func() {
		f.arrive(f.pickDaemon())
		f.startTraffic()
	})
}

// pickDaemon selects the daemon that gets the next try of a caller.
func (f *fleet) pickDaemon() *fleetDaemon {
	d := f.daemons[f.random.IntN(len(f.daemons))]
	if f.pick != nil {
		d = f.pick()
	}
	d.gotCalls++
	return d
}

func callKey(d *fleetDaemon, id dispatch.ID) string { return fmt.Sprint(d.name, "/", id) }

// arrive sends a new call to a daemon.
func (f *fleet) arrive(d *fleetDaemon) {
	call := &fleetCall{arrived: f.now, model: "small", firstDaemon: d}
	if f.random.Float64() < 0.24 {
		call.model = "large"
	}
	f.arrivals = append(f.arrivals, call)
	f.try(d, call)
}

// The callers of the fleet.
const (
	fleetGoal        = 400 * time.Millisecond // for the first event
	fleetPatience    = 2 * time.Second        // until a caller leaves that receives no event
	fleetReturnDelay = time.Second            // callers of a daemon that is down return within this time
	maxFleetTries    = 2                      // of a caller
)

// try sends a call to a daemon. The caller returns once if it is refused, gets no event, or the daemon is down.
func (f *fleet) try(d *fleetDaemon, call *fleetCall) {
	if d.down {
		f.comeBack(call, time.Duration(f.random.Int64N(int64(fleetReturnDelay))))
		return
	}
	d.nextCall++
	id, key := d.nextCall, callKey(d, d.nextCall)
	call.tries++
	f.calls[key] = call
	f.tried = append(f.tried, f.now)
	f.feed(d, NewDispatchEvent(dispatch.NewArrived(dispatch.NewRequest(id, key, "pond", "/draft/x", "one").
		WithModel(call.model, promptTokens[call.model], 140).WithTimeout(6*time.Second).WithContentHash(uint64(f.order)))))
	f.after(fleetPatience, func() {
		if f.calls[key] == call && call.first == 0 {
			f.feed(d, NewDispatchEvent(dispatch.NewCallerLeft(id)))
			f.abandon(key, 0)
		}
	})
}

// promptTokens is the number of prompt tokens of a call of each model.
var promptTokens = map[string]int{"small": 674, "large": 1420}

// abandon ends a try of a call, which comes back after wait.
func (f *fleet) abandon(key string, wait time.Duration) {
	call := f.calls[key]
	delete(f.calls, key)
	if call != nil {
		f.comeBack(call, wait)
	}
}

// comeBack makes a caller try again at a random daemon, unless it has tried often enough.
func (f *fleet) comeBack(call *fleetCall, wait time.Duration) {
	if call.tries < maxFleetTries {
		f.after(wait, func() { f.try(f.pickDaemon(), call) })
	}
}

func (f *fleet) applyDispatch(d *fleetDaemon, effect dispatch.Effect) {
	switch effect := effect.(type) {
	case dispatch.Send:
		if call := f.calls[callKey(d, effect.ID())]; call != nil {
			if call.sends++; call.sends > call.tries {
				f.repeats++
			}
		}
		f.after(fleetLinkDelay, func() { f.serve(d, effect) })
	case dispatch.Cancel:
		f.cancel(d, effect.Attempt())
	case dispatch.Refuse:
		f.abandon(callKey(d, effect.ID()), effect.RetryAfter())
	case dispatch.Fail:
		f.abandon(callKey(d, effect.ID()), 0)
	}
}

// fleetAttempt is an attempt that runs at an engine.
type fleetAttempt struct {
	daemon  *fleetDaemon
	engine  *fleetEngine
	call    *fleetCall
	id      dispatch.AttemptID
	started bool // the first event was received
	ended   bool
	hung    bool // its connection delivers nothing

	via          *fleetDaemon // that passes it on, nil for none
	end          func()
	engineDone   bool // the engine has ended the call, or never got it
	stallTimeout time.Duration
}

func attemptKey(d *fleetDaemon, id dispatch.AttemptID) string {
	return fmt.Sprint(d.name, "#", d.life, "#", id)
}

// serve sends a call to the engine that was selected for it, over the first of its ways that establishes a connection.
func (f *fleet) serve(d *fleetDaemon, send dispatch.Send) {
	e, relays := f.byID[replica.ID(send.Upstream())], send.Way().Relays()
	if !send.Way().IsDirect() {
		f.serveThrough(d, send, relays)
		return
	}
	if d.hangsOnKept(e.id) {
		f.hang(d, send, e)
		return
	}
	if delay := d.pathDelay(e.id); delay > 0 {
		f.after(delay, func() {
			f.feed(d, NewRelayEvent(relay.NewConnectFailed(send.Upstream(), d.connectTimeout(e.id))))
			if d.connectTimeout(e.id) > 0 {
				relays = nil
			}
			f.serveThrough(d, send, relays)
		})
		return
	}
	f.runCall(d, send, nil, func() {})
}

// serveThrough sends a call to its engine through the first of some peers that passes it on.
func (f *fleet) serveThrough(d *fleetDaemon, send dispatch.Send, relays []relay.Peer) {
	if len(relays) == 0 {
		f.feed(d, NewDispatchEvent(dispatch.NewFailed(send.Attempt(), dispatch.NotSent)))
		return
	}
	f.relayThrough(d, relays[0].Name(), send.Upstream(), true, func(via *fleetDaemon, end func()) {
		f.feed(d, NewRelayEvent(relay.NewAnswered(via.name, send.Upstream())))
		f.runCall(d, send, via, end)
	}, func(failure relay.Failure) {
		f.feed(d, NewRelayEvent(relay.NewFailed(relays[0].Name(), send.Upstream(), failure)))
		f.serveThrough(d, send, relays[1:])
	})
}

// hang makes an attempt get no answer, over an open connection that delivers nothing.
func (f *fleet) hang(d *fleetDaemon, send dispatch.Send, e *fleetEngine) {
	a := &fleetAttempt{daemon: d, engine: e, id: send.Attempt(), hung: true, engineDone: true}
	key := attemptKey(d, a.id)
	f.attempts[key] = a
	f.after(fleetUserTimeout, func() {
		if !a.ended {
			a.ended = true
			delete(f.attempts, key)
			f.feed(d, NewDispatchEvent(dispatch.NewFailed(a.id, dispatch.Interrupted)))
		}
	})
}

// runCall runs a call at the engine that it was sent to, if that is the head of an open replica with a free slot; end is called when it has
// ended.
func (f *fleet) runCall(d *fleetDaemon, send dispatch.Send, via *fleetDaemon, end func()) {
	e, call := f.byID[replica.ID(send.Upstream())], f.calls[callKey(d, send.ID())]
	if f.onCall != nil {
		f.onCall(d, e)
	}
	f.countArrival(callKey(d, send.ID()))
	life := d.life
	dispatched := func(after time.Duration, event dispatch.Event) {
		f.after(after, func() {
			if d.life == life {
				f.feed(d, NewDispatchEvent(event))
			}
		})
	}
	if e.stalled && call != nil && e.membership.Phase() == replica.PhaseOpen {
		end()
		f.hang(d, send, e)
		f.reportStall(d, f.attempts[attemptKey(d, send.Attempt())], send.StallTimeout(), 1)
		return
	}
	if e.down || e.membership.Phase() != replica.PhaseOpen || e.running >= 22 || call == nil {
		end()
		dispatched(fleetLinkDelay, dispatch.NewFailed(send.Attempt(), dispatch.NotRun))
		return
	}
	if f.random.Float64() < f.failing {
		end()
		dispatched(fleetErrorDelay, dispatch.NewFailed(send.Attempt(), dispatch.Errored))
		return
	}
	e.running++
	a := &fleetAttempt{
		daemon: d, via: via, engine: e, call: call, id: send.Attempt(), stallTimeout: send.StallTimeout(), end: end,
	}
	key := attemptKey(d, a.id)
	f.attempts[key] = a
	service, _ := f.config().EngineService()
	interval := service.Engine().EventInterval(f.model(call.model), e.running)
	if e.prefilled.Before(f.now) {
		e.prefilled = f.now
	}
	e.prefilled = e.prefilled.Add(service.Engine().Read(f.model(call.model), promptTokens[call.model]))
	first := e.prefilled.Sub(f.now) + 2*interval
	f.after(first, func() {
		if a.ended || a.hung || d.life != life {
			return
		}
		f.work(d, fleetEventCost, func() {
			a.started = true
			if call.first == 0 {
				call.first = f.now.Sub(call.arrived)
			}
			f.feed(d, NewDispatchEvent(dispatch.NewStarted(a.id, dispatch.Load{})))
			f.feed(d, NewDispatchEvent(dispatch.NewFirstEventReceived(a.id)))
		})
	})
	f.reportStall(d, a, send.StallTimeout(), 1)
	f.after(first+18*interval, func() {
		if a.ended {
			return
		}
		e.running--
		a.engineDone = true
		end()
		if a.hung {
			return
		}
		a.ended = true
		delete(f.attempts, key)
		if d.life != life {
			return
		}
		call.outcome = "answered"
		f.feed(d, NewDispatchEvent(dispatch.NewCompleted(a.id)))
	})
}

// reportStall reports that the first event of an attempt is overdue, again and again.
func (f *fleet) reportStall(d *fleetDaemon, a *fleetAttempt, timeout time.Duration, timeouts int) {
	life := d.life
	f.after(timeout, func() {
		if (!a.started || a.hung) && !a.ended && d.life == life {
			f.feed(d, NewDispatchEvent(dispatch.NewStreamStalled(a.id, timeouts)))
			f.reportStall(d, a, timeout, timeouts+1)
		}
	})
}

// cancel ends an attempt at its engine.
func (f *fleet) cancel(d *fleetDaemon, id dispatch.AttemptID) {
	a := f.attempts[attemptKey(d, id)]
	if a == nil {
		f.feed(d, NewDispatchEvent(dispatch.NewFailed(id, dispatch.Halted)))
		return
	}
	delete(f.attempts, attemptKey(d, id))
	a.ended = true
	if !a.engineDone {
		a.engine.running--
		a.end()
	}
	failed := dispatch.NewFailed(id, dispatch.Halted)
	if a.started {
		failed = failed.WithProgress("1")
	}
	f.after(fleetLinkDelay, func() { f.feed(d, NewDispatchEvent(failed)) })
}
