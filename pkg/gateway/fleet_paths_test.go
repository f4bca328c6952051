package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// pathFault is how the paths of a daemon to engines fail.
type pathFault uint8

const (
	pathWorks   pathFault = iota
	pathRefuses           // new connections are refused, open ones deliver on
	pathHangs             // nothing is delivered, and no connection is reset
)

// fleetDialTimeout is the time after which a connection that is not established fails, as in internal/transport.
const fleetDialTimeout = 250 * time.Millisecond

// cutPaths makes the paths of a daemon to a share of the engines fail.
func (f *fleet) cutPaths(d *fleetDaemon, fault pathFault, share float64) {
	d.paths = map[replica.ID]pathFault{}
	for _, e := range f.engines {
		if f.random.Float64() < share {
			d.paths[e.id] = fault
		}
	}
	if fault != pathHangs {
		return
	}
	d.keptHung = map[replica.ID]bool{}
	for _, key := range slices.Sorted(maps.Keys(f.attempts)) {
		if a := f.attempts[key]; (a.via == d || a.via == nil && a.daemon == d) && d.paths[a.engine.id] == pathHangs {
			a.hung = true
			if a.started {
				f.reportStall(a.daemon, a, a.stallTimeout, 1)
			}
		}
	}
}

// healPaths ends the faults of a daemon's paths. Connections that hung stay so.
func (f *fleet) healPaths(d *fleetDaemon) { d.paths = nil }

// fleetUserTimeout is the time after which a connection fails on which nothing is acknowledged.
const fleetUserTimeout = 2 * time.Second

// hangsOnKept reports whether a call takes an open connection that delivers nothing: after a cut, the first call to each engine does.
func (d *fleetDaemon) hangsOnKept(id replica.ID) bool {
	if d.paths[id] != pathHangs || d.keptHung[id] {
		return false
	}
	d.keptHung[id] = true
	return true
}

// pathDelay returns the time after which a connection of a daemon to an engine fails, 0 if it does not.
func (d *fleetDaemon) pathDelay(id replica.ID) time.Duration {
	switch d.paths[id] {
	case pathRefuses:
		return fleetLinkDelay
	case pathHangs:
		return fleetDialTimeout
	}
	return 0
}

// connectTimeout returns the timeout of a connection that fails, 0 if it is refused.
func (d *fleetDaemon) connectTimeout(id replica.ID) time.Duration {
	if d.paths[id] == pathHangs {
		return fleetDialTimeout
	}
	return 0
}

// check carries out the check of a path.
func (f *fleet) check(d *fleetDaemon, check relay.Check) {
	id := replica.ID(check.Upstream())
	e, delay := f.byID[id], d.pathDelay(id)
	var result relay.Event = relay.NewConnected(check.Upstream())
	switch {
	case delay > 0:
		result = relay.NewConnectFailed(check.Upstream(), d.connectTimeout(id))
	case e != nil && e.down && e.refuses:
		delay, result = 2*fleetLinkDelay, relay.NewConnectFailed(check.Upstream(), 0)
	case e != nil && e.down:
		delay, result = fleetDialTimeout, relay.NewConnectFailed(check.Upstream(), fleetDialTimeout)
	default:
		delay = 2 * fleetLinkDelay
	}
	d.checks++
	f.after(delay, func() { f.feed(d, NewRelayEvent(result)) })
}

// relayThrough sends a request to an upstream through a peer. The peer calls accepted, which gets a function to call when the request has
// ended, or refused.
func (f *fleet) relayThrough(
	d *fleetDaemon, name, upstream string, isCall bool, accepted func(via *fleetDaemon, end func()), refused func(relay.Failure),
) {
	via, life := f.byName[name], d.life
	back := func(run func()) {
		f.after(fleetLinkDelay, func() {
			if d.life == life {
				run()
			}
		})
	}
	if via.down || via.cut || d.cut || f.noRelays {
		back(func() { refused(relay.NoRelay) })
		return
	}
	f.after(fleetLinkDelay, func() {
		f.nextRelay++
		id := f.nextRelay
		end := func() { f.feed(via, NewRelayEnded(id)) }
		via.relays[id] = func(decision RelayDecided) {
			delete(via.relays, id)
			switch decision.Refusal() {
			case RelayBusy:
				back(func() { refused(relay.NoRelay) })
				return
			case RelayUnfit:
				back(func() { refused(relay.Unfit) })
				return
			}
			engine := replica.ID(upstream)
			if delay := via.pathDelay(engine); delay > 0 {
				f.after(delay, func() {
					f.feed(via, NewRelayEvent(relay.NewConnectFailed(upstream, via.connectTimeout(engine))))
					end()
					back(func() { refused(relay.NoPath) })
				})
				return
			}
			f.after(fleetLinkDelay, func() { accepted(via, end) })
		}
		f.relayed++
		via.relayed++
		f.work(via, fleetRelayCost, func() { f.feed(via, NewRelayRequested(id, upstream, isCall)) })
	})
}

// firstTries returns the share of the calls that were answered at their first try, of those whose first try was in a time after the
// start at daemons that were cut, and at the others.
func (f *fleet) firstTries(from, to time.Duration) (atCut, atOthers float64) {
	var all, served [2]int
	for _, call := range f.arrivals {
		if at := call.arrived.Sub(fleetEpoch); at < from || at >= to {
			continue
		}
		group := 0
		if call.firstDaemon.wasCut {
			group = 1
		}
		all[group]++
		if call.outcome == "answered" && call.tries == 1 {
			served[group]++
		}
	}
	return share(served[1], all[1]), share(served[0], all[0])
}

func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }
