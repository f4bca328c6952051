package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

// The processor time of work of a daemon, of a whole core.
const (
	fleetEventCost      = 40 * time.Microsecond
	fleetTickCost       = 20 * time.Microsecond
	fleetArrivalCost    = 600 * time.Microsecond  // of a call: read, routed and sent
	fleetRelayCost      = 1200 * time.Microsecond // of a call that is passed on for a peer: read, sent, and its events forwarded
	fleetAnswerCost     = 800 * time.Microsecond  // of a call: its events, forwarded
	fleetEngineCallCost = 250 * time.Microsecond  // of an order or a probe: a new connection and the request, or the answer
)

// eventCost returns the processor time that an event takes.
func eventCost(e Event) time.Duration {
	switch e := e.(type) {
	case Ticked:
		return fleetTickCost
	case DispatchEvent:
		switch e.event.(type) {
		case dispatch.Arrived:
			return fleetArrivalCost
		case dispatch.Completed:
			return fleetAnswerCost
		}
	}
	return fleetEventCost
}

// work runs a function of a daemon after the work that waits for its processor already.
func (f *fleet) work(d *fleetDaemon, cost time.Duration, run func()) {
	if d.down {
		return
	}
	if !f.isLimited {
		run()
		return
	}
	if d.busyUntil.Before(f.now) {
		d.busyUntil = f.now
	}
	d.busyUntil = d.busyUntil.Add(time.Duration(float64(cost) / d.cores))
	life := d.life
	f.after(d.busyUntil.Sub(f.now), func() {
		if d.life == life && !d.down {
			run()
		}
	})
}

// losePower stops all daemons at the same moment and starts them again after d. The engines run on.
func (f *fleet) losePower(d time.Duration) {
	f.linked = map[[2]string]bool{}
	for i, daemon := range f.daemons {
		daemon.down, daemon.watching = true, false
		daemon.life++
		f.after(d+time.Duration(f.random.Int64N(int64(400*time.Millisecond))), func() {
			daemon.State, daemon.down, daemon.busyUntil = State{}, false, f.now
			f.start(daemon, i)
		})
	}
	for _, key := range slices.Sorted(maps.Keys(f.calls)) {
		f.abandon(key, d+time.Duration(f.random.Int64N(int64(fleetReturnDelay))))
	}
}

// restart kills a daemon, which starts again at once.
func (f *fleet) restart(d *fleetDaemon) {
	d.down, d.watching = true, false
	f.closeLinks(d)
	d.life++
	f.after(fleetTick, func() {
		d.State, d.down, d.busyUntil = State{}, false, f.now
		f.start(d, slices.Index(f.daemons, d))
	})
}

// onTime returns the share of the calls whose first event met the goal, of those that arrived between two times after the start.
func (f *fleet) onTime(from, to time.Duration) float64 {
	all, good := 0, 0
	for _, call := range f.arrivals {
		if at := call.arrived.Sub(fleetEpoch); at < from || at >= to {
			continue
		}
		all++
		if call.first > 0 && call.first <= fleetGoal {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// falseDeaths returns how often the daemons declared an engine dead that was alive.
func (f *fleet) falseDeaths() int {
	count := 0
	for _, d := range f.daemons {
		count += d.falseDeaths
	}
	return count
}
