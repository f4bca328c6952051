package gateway

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fleetErrorDelay is how long an engine takes to answer with an error.
const fleetErrorDelay = 20 * time.Millisecond

// countArrival counts that a try of a call reached an engine.
func (f *fleet) countArrival(try string) {
	if f.reached[try] {
		f.repeated = append(f.repeated, f.now)
	}
	f.reached[try] = true
}

// mostRepeats returns the number of retries in the window that exceeds the retry budget most, and how many it allows: for the requests in
// the window itself, in the one before or in the one half a window before, whichever has most.
func (f *fleet) mostRepeats() (repeats, allowed int) {
	worst := math.MinInt
	for i, from := range f.repeated {
		requests := 0
		for _, before := range []time.Duration{0, fleetRetryWindow / 2, fleetRetryWindow} {
			start := from.Add(-before)
			requests = max(requests, countUntil(f.tried, start.Add(fleetRetryWindow))-countUntil(f.tried, start))
		}
		count := countUntil(f.repeated, from.Add(fleetRetryWindow)) - i
		limit := int(fleetRetryRatio*float64(requests) + f.burst)
		if count-limit > worst {
			worst, repeats, allowed = count-limit, count, limit
		}
	}
	return repeats, allowed
}

// countUntil returns how many of times, in order, are before end.
func countUntil(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return n
}

// cutFromPeers separates a daemon from its peers, but not from the store and the engines.
func (f *fleet) cutFromPeers(d *fleetDaemon, duration time.Duration) {
	d.cut = true
	f.closeLinks(d)
	f.after(duration, func() { d.cut = false })
}

// some calls do for a share of the daemons.
func (f *fleet) some(share float64, do func(*fleetDaemon)) {
	for _, i := range f.random.Perm(len(f.daemons))[:int(share*float64(len(f.daemons)))] {
		do(f.daemons[i])
	}
}

// newRetryFleet returns a fleet of 40 daemons.
func newRetryFleet(callsPerSecond float64) *fleet {
	f := newFleet(fleetSize{
		daemons: 40, engines: 72, centres: 3, domain: 18, large: 8, small: 2, loadsPerSecond: 77, concurrentLoads: 115,
		callsPerSecond: callsPerSecond,
	}, benchTraffic)
	f.burst = 224
	return f
}

// This guards against more retries of a fleet than its budget allows, as daemons that know few peers or have just started take too much of it.
func TestRetriesOfFleetBeyondBudget(t *testing.T) {
	const start = benchTraffic + 2*time.Second
	restart := func(f *fleet, share float64, at ...time.Duration) {
		for _, d := range at {
			f.after(d, func() { f.some(share, f.restart) })
		}
	}
	for _, test := range []struct {
		name    string
		calls   float64 // a second
		disturb func(*fleet)
	}{
		{"most daemons are cut from their peers for longer than they remember them", 300, func(f *fleet) {
			f.some(0.95, func(d *fleetDaemon) { f.cutFromPeers(d, 30*time.Second) })
		}},
		{"daemons start while they are cut from their peers", 300, func(f *fleet) {
			f.some(0.6, func(d *fleetDaemon) {
				f.cutFromPeers(d, 14*time.Second)
				f.after(time.Second, func() { f.restart(d) })
			})
		}},
		{"daemons are killed in series while there are few requests", 80, func(f *fleet) {
			restart(f, 1, 4*time.Second, 7*time.Second, 10*time.Second)
		}},
		{"nothing else happens", 300, func(*fleet) {}},
	} {
		Convey(fmt.Sprintf("A fleet whose engines fail most calls keeps its retry budget when %s", test.name), t, func() {
			f := newRetryFleet(test.calls)
			f.run(start)
			f.failing = 0.7
			test.disturb(f)
			f.run(start + 22*time.Second)
			repeats, allowed := f.mostRepeats()
			Printf("\n%d retries in a window, %d allowed; %d of %d tries\n", repeats, allowed, len(f.repeated), len(f.tried))
			So(len(f.repeated), ShouldBeGreaterThan, 0)
			So(repeats, ShouldBeLessThanOrEqualTo, allowed)
		})
	}
}

// This guards against more retries than the budget allows where the daemons that sent them for the requests before no longer count them, as
// they have started again or get no more requests, while the budget for the requests after them is used too.
func TestRetriesForRequestsOfOthersBeyondBudget(t *testing.T) {
	const start, spent = benchTraffic + 12*time.Second, 3200 * time.Millisecond
	for _, test := range []struct {
		name    string
		disturb func(*fleet)
	}{
		{"all daemons are killed", func(f *fleet) { f.some(1, f.restart) }},
		{"the callers of most daemons go to the others", func(f *fleet) {
			f.pick = func() *fleetDaemon { return f.daemons[f.random.IntN(len(f.daemons)/8)] }
		}},
	} {
		Convey(fmt.Sprintf("A fleet whose engines fail most calls keeps its retry budget when %s, once they have spent theirs", test.name), t, func() {
			f := newRetryFleet(300)
			f.run(start)
			f.failing = 0.7
			f.run(start + spent)
			test.disturb(f)
			f.run(start + 12*time.Second)
			repeats, allowed := f.mostRepeats()
			Printf("\n%d retries in a window, %d allowed; %d of %d tries\n", repeats, allowed, len(f.repeated), len(f.tried))
			So(repeats, ShouldBeLessThanOrEqualTo, allowed)
		})
	}
}

// retrySeeds is the number of seeds of TestRetriesUnderDisturbances.
var retrySeeds = flag.Int("retries.seeds", 1, "number of seeds of TestRetriesUnderDisturbances")

// disturbRandomly disturbs a fleet at random times within a duration: daemons are cut from their peers, restarted or lose power together,
// engines are lost, and the share of calls that fail changes.
func disturbRandomly(f *fleet, duration time.Duration) {
	wait := time.Duration(f.random.Int64N(int64(3 * time.Second)))
	f.after(wait, func() {
		share := f.random.Float64()
		switch f.random.IntN(6) {
		case 0, 1:
			cut := time.Duration(f.random.Int64N(int64(20 * time.Second)))
			f.some(share, func(d *fleetDaemon) { f.cutFromPeers(d, cut) })
		case 2:
			f.some(share, f.restart)
		case 3:
			f.losePower(time.Second)
		case 4:
			f.kill(f.engines[f.random.IntN(len(f.engines))])
		case 5:
			f.failing = share
		}
		if duration > wait {
			disturbRandomly(f, duration-wait)
		}
	})
}

func TestRetriesUnderDisturbances(t *testing.T) {
	for seed := range *retrySeeds {
		Convey(fmt.Sprintf("A fleet keeps its retry budget under random disturbances, seed %d", seed+1), t, func() {
			const start, duration = benchTraffic + 2*time.Second, 24 * time.Second
			random := rand.New(rand.NewPCG(uint64(seed+1), 5))
			f := newRetryFleet(50 + 200*random.Float64())
			f.run(start)
			f.random = random
			f.failing = 0.7
			disturbRandomly(f, duration)
			f.run(start + duration)
			repeats, allowed := f.mostRepeats()
			Printf("\n%d retries in a window, %d allowed; %d of %d tries\n", repeats, allowed, len(f.repeated), len(f.tried))
			So(repeats, ShouldBeLessThanOrEqualTo, allowed)
		})
	}
}
