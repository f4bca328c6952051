package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

const (
	evacuationTarget = 1500 * time.Millisecond // from the acknowledgement of the object to the last daemon
	evacuatedCentre  = "c0"
)

// evacuationTraffic is the time from the start of the daemons to the first call; the engines are listed after about six seconds.
const evacuationTraffic = 9 * time.Second

// evacuationFleet is a fleet with calls and with one process of a plain service in each data centre.
func evacuationFleet(daemons, engines int) *fleet {
	size := fleetSize{
		daemons: daemons, engines: engines, centres: 3, domain: 18, large: 8, small: 2, loadsPerSecond: 77, concurrentLoads: 115,
		callsPerSecond: 50, grace: fleetGrace,
	}
	f := newFleet(size, evacuationTraffic)
	for i := range size.centres {
		id := fmt.Sprintf("desk-c%d", i)
		f.processes = append(f.processes, NewUpstream("desk", 6, replica.NewInstance(replica.ID(id), id, fmt.Sprintf("c%d", i), "", 1)))
	}
	f.run(evacuationTraffic + 2*time.Second)
	return f
}

// pass advances the time by d.
func (f *fleet) pass(d time.Duration) { f.run(f.now.Sub(fleetEpoch) + d) }

// observeCalls counts the calls that reach the evacuated data centre after a time, and those that reach it at all.
func (f *fleet) observeCalls(after time.Time) (late, all *int) {
	late, all = new(int), new(int)
	f.onCall = func(_ *fleetDaemon, e *fleetEngine) {
		if !f.isIn(e, evacuatedCentre) {
			return
		}
		*all++
		if f.now.After(after) {
			*late++
		}
	}
	return late, all
}

func (f *fleet) usedIn(centre string) int {
	sum := 0
	for _, d := range f.daemons {
		sum += f.targetsIn(d, centre)
	}
	return sum
}

func TestEvacuationOfFleet(t *testing.T) {
	for _, daemons := range []int{62, 300} {
		Convey(fmt.Sprintf("The last of %d daemons closes an evacuated data centre in time, and opens it when the evacuation ends", daemons), t, func() {
			f := evacuationFleet(daemons, 162)
			start := f.now
			late, all := f.observeCalls(start.Add(evacuationTarget))
			before := f.usedIn(evacuatedCentre)
			f.setEvacuated(evacuatedCentre, true)
			f.pass(time.Second)
			announced, unaware := f.lastPhase(start, evacuatedCentre, EvacuationAnnounced)
			So(unaware, ShouldEqual, 0)
			So(f.usedIn(evacuatedCentre), ShouldEqual, before)
			f.pass(2 * time.Second)
			closed, open := f.lastPhase(start, evacuatedCentre, EvacuationClosed)
			So(open, ShouldEqual, 0)
			So(closed, ShouldBeLessThan, evacuationTarget)
			So(f.usedIn(evacuatedCentre), ShouldEqual, 0)
			So(*late, ShouldEqual, 0)
			begun := *all
			f.setEvacuated(evacuatedCentre, false)
			cancelled := f.now
			f.pass(time.Second)
			ended, _ := f.lastPhase(cancelled, evacuatedCentre, EvacuationEnded)
			So(f.usedIn(evacuatedCentre), ShouldBeGreaterThanOrEqualTo, before)
			f.pass(300 * time.Millisecond)
			So(*all, ShouldBeGreaterThan, begun)
			Printf("\n%d daemons: announced after %v, closed after %v, opened after %v at the last one\n", daemons, announced, closed, ended)
		})
	}
}

func TestEvacuationUnderFaults(t *testing.T) {
	leader := func(f *fleet) *fleetDaemon { return f.byName[f.daemons[0].members.leader] }
	reader := func(f *fleet) *fleetDaemon {
		for _, d := range f.daemons {
			if d.members.isReader && len(d.listSync.subscribers) > 0 {
				return d
			}
		}
		return nil
	}
	for name, fault := range map[string]func(*fleet){
		"is lost that sends the list to others":  func(f *fleet) { f.restart(reader(f)) },
		"is cut that sends the list to others":   func(f *fleet) { f.cutStore(reader(f)) },
		"is lost that leads":                     func(f *fleet) { f.restart(leader(f)) },
		"has silent connections, as all have":    func(f *fleet) { f.silenceConnections() },
		"loses its paths to half of the engines": func(f *fleet) { f.cutPaths(f.daemons[5], pathHangs, 0.5) },
	} {
		for _, at := range []time.Duration{0, 10 * time.Millisecond, 700 * time.Millisecond} {
			Convey(fmt.Sprintf("An evacuation is in time although a daemon %s %v later", name, at), t, func() {
				f := evacuationFleet(15, 54)
				start := f.now
				late, _ := f.observeCalls(start.Add(fleetEvacuateBound))
				if at == 0 {
					fault(f) // before the object is there
				} else {
					f.after(at, func() { fault(f) })
				}
				f.setEvacuated(evacuatedCentre, true)
				f.pass(9 * time.Second)
				closed, open := f.lastPhase(start, evacuatedCentre, EvacuationClosed)
				Printf("\n%s, %v: closed after %v\n", name, at, closed)
				So(open, ShouldEqual, 0)
				So(f.usedIn(evacuatedCentre), ShouldEqual, 0)
				So(*late, ShouldEqual, 0)
				f.setEvacuated(evacuatedCentre, false)
				f.pass(3 * time.Second)
				So(f.usedIn(evacuatedCentre), ShouldBeGreaterThan, 0)
			})
		}
	}

	Convey("While the store is down for all, the last known set stays in force", t, func() {
		f := evacuationFleet(15, 54)
		f.setEvacuated(evacuatedCentre, true)
		f.pass(2 * time.Second)
		late, _ := f.observeCalls(f.now)
		for _, d := range f.daemons {
			d.rejected = true
			f.feed(d, NewListFailed())
		}
		f.setEvacuated(evacuatedCentre, false) // not read
		f.pass(8 * time.Second)
		So(f.usedIn(evacuatedCentre), ShouldEqual, 0)
		So(*late, ShouldEqual, 0)
	})

	Convey("A daemon that starts during an evacuation never uses the data centre", t, func() {
		f := evacuationFleet(15, 54)
		f.setEvacuated(evacuatedCentre, true)
		f.pass(2 * time.Second)
		late, _ := f.observeCalls(f.now)
		for _, d := range []*fleetDaemon{f.daemons[7], reader(f)} {
			f.restart(d)
			for range 200 {
				f.pass(10 * time.Millisecond)
				So(f.targetsIn(d, evacuatedCentre), ShouldEqual, 0)
			}
			So(len(d.Replicas("small")), ShouldBeGreaterThan, 0)
		}
		So(*late, ShouldEqual, 0)
	})

	Convey("A store that is restored without the object ends the evacuation only if the operator does not write it again", t, func() {
		for _, isWritten := range []bool{true, false} {
			f := evacuationFleet(15, 54)
			f.setEvacuated(evacuatedCentre, true)
			f.pass(2 * time.Second)
			f.restoreStore(5 * time.Second)
			So(f.evacuated(), ShouldBeEmpty)
			late, _ := f.observeCalls(f.now)
			f.pass(1700 * time.Millisecond)
			if isWritten {
				f.setEvacuated(evacuatedCentre, true)
			}
			f.pass(2 * time.Second)
			_, ended := f.lastPhase(f.now, evacuatedCentre, EvacuationClosed)
			if isWritten {
				So(ended, ShouldEqual, 0)
				So(*late, ShouldEqual, 0)
			} else {
				So(ended, ShouldEqual, len(f.daemons))
			}
		}
	})

	Convey("An evacuation that is cancelled within the grace time closes nothing", t, func() {
		f := evacuationFleet(15, 54)
		before := f.usedIn(evacuatedCentre)
		f.setEvacuated(evacuatedCentre, true)
		f.pass(fleetGrace - 300*time.Millisecond)
		f.setEvacuated(evacuatedCentre, false)
		f.pass(500 * time.Millisecond)
		for _, d := range f.daemons {
			So(len(d.phases), ShouldEqual, 2)
			So(d.phaseAt(evacuatedCentre, EvacuationEnded).IsZero(), ShouldBeFalse)
		}
		So(f.usedIn(evacuatedCentre), ShouldBeGreaterThanOrEqualTo, before)
	})

	Convey("While all data centres are evacuated, no call waits", t, func() {
		f := evacuationFleet(15, 54)
		for i := range f.size.centres {
			f.setEvacuated(fmt.Sprintf("c%d", i), true)
		}
		f.pass(4 * time.Second)
		for range 40 {
			f.pass(25 * time.Millisecond)
			for _, d := range f.daemons {
				So(d.dispatch.Active(), ShouldEqual, 0)
			}
		}
	})
}
