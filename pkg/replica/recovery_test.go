package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// busyCalls is the time of the calls of a busy simulation.
const busyCalls = 1500 * time.Millisecond

// busySimulation is a simulation whose leader has repaired several replicas within the last seconds.
func busySimulation() *simulation {
	sim := newSimulation(6, 8, 2)
	sim.run(25 * time.Second)
	for _, d := range sim.daemons {
		sim.feed(d, NewCallsArrived())
	}
	sim.run(20 * time.Second)
	sim.closingTime = busyCalls
	for _, rank := range []int{1, 2, 0} {
		sim.kill(memberInMixedDomain(sim, rank))
		sim.run(1200 * time.Millisecond)
	}
	sim.run(2*time.Second + minSilentTime)
	return sim
}

// servingHeads returns the replicas that serve, each with its epoch.
func (sim *simulation) servingHeads() map[replicaEpoch]bool {
	serving := map[replicaEpoch]bool{}
	for _, e := range sim.engines {
		if !e.down && e.membership.isServing() {
			serving[e.membership.replicaEpoch()] = true
		}
	}
	return serving
}

// isRecorded reports whether the record of a daemon has a replica of this epoch.
func (sim *simulation) isRecorded(d int, key replicaEpoch) bool {
	for _, g := range sim.daemons[d].state.record.groups {
		if g.name == key.replica && g.epoch == key.epoch {
			return true
		}
	}
	return false
}

func TestReplicasOfLostRecord(t *testing.T) {
	Convey("When the store is restored from an older snapshot, the replicas that it does not know serve on and are recorded again", t, func() {
		for _, age := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
			for _, isNewLeader := range []bool{false, true} {
				sim := busySimulation()
				before := sim.servingHeads()
				sim.restoreStore(age)
				leader := 0
				if isNewLeader {
					leader = 1
					sim.feed(sim.daemons[0], NewLeadershipChanged(false))
					sim.feed(sim.daemons[1], NewLeadershipChanged(true))
				} else {
					sim.feed(sim.daemons[0], NewStoreEra(sim.era))
				}
				sim.run(3 * time.Second)
				So(sim.violations, ShouldBeEmpty)
				after := sim.servingHeads()
				for key := range before {
					So(after[key], ShouldBeTrue)
					So(sim.isRecorded(leader, key), ShouldBeTrue)
				}
				sim.kill(memberInMixedDomain(sim, 1))
				sim.run(5 * time.Second)
				So(sim.violations, ShouldBeEmpty)
				So(sim.staleReplies, ShouldEqual, 0)
			}
		}
	})

	Convey("A record that is lost completely is recovered too", t, func() {
		sim := busySimulation()
		sim.run(busyCalls) // the last repair waits for calls
		before := sim.servingHeads()
		sim.restoreStore(time.Hour)
		sim.feed(sim.daemons[0], NewStoreEra(sim.era))
		sim.run(3 * time.Second)
		So(sim.servingHeads(), ShouldResemble, before)
		So(sim.violations, ShouldBeEmpty)
	})

	Convey("Without a reported era, a conflict or a new leader shows the older record, and nothing is violated", t, func() {
		sim := busySimulation()
		sim.noEras = true
		before := sim.servingHeads()
		sim.restoreStore(5 * time.Second)
		sim.feed(sim.daemons[0], NewLeadershipChanged(false))
		sim.feed(sim.daemons[1], NewLeadershipChanged(true))
		sim.run(5 * time.Second)
		So(sim.violations, ShouldBeEmpty)
		So(len(sim.servingHeads()), ShouldBeGreaterThanOrEqualTo, len(before)-1)
	})
}

func TestRestoredStoreUnderLosses(t *testing.T) {
	Convey("Restored stores, lost instances, changes of the leader and late orders together cause no violation", t, func() {
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 21))
			sim := newSimulation(4, 8, 3)
			sim.run(25 * time.Second)
			for _, d := range sim.daemons {
				sim.feed(d, NewCallsArrived())
			}
			sim.dropOrder = func(Order) (bool, time.Duration) {
				return random.Float64() < 0.1, time.Duration(random.Int64N(int64(6 * time.Second)))
			}
			for range 12 {
				switch random.IntN(4) {
				case 0:
					e := sim.engines[random.IntN(len(sim.engines))]
					if !e.down {
						sim.kill(e.id)
						sim.after(4*time.Second, func() { sim.start(e.id) })
					}
				case 1:
					sim.restoreStore(time.Duration(random.Int64N(int64(10 * time.Second))))
				case 2:
					leader := random.IntN(len(sim.daemons))
					for i, d := range sim.daemons {
						sim.feed(d, NewLeadershipChanged(i == leader))
					}
				}
				sim.run(time.Duration(random.Int64N(int64(2500 * time.Millisecond))))
			}
			sim.dropOrder = nil
			sim.run(25 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(sim.openByEngines(), ShouldBeGreaterThanOrEqualTo, 8)
		}
	})
}

// This guards against a fencing token whose count of orders reaches into the epoch.
func TestOrderCountStaysBelowEpoch(t *testing.T) {
	Convey("A leader that has sent the most orders that an epoch can count goes on with a new epoch", t, func() {
		sim := newLoadedSimulation(1)
		leader := &sim.daemons[0].state
		leader.orderCount = maxOrderCount - maxOrdersInFlight - 1
		epoch, before, last := leader.record.epoch, sim.open(0, large), uint64(0)
		sim.onOrder = func(o Order) {
			So(o.FencingToken()>>orderCountBits, ShouldEqual, leader.record.epoch)
			So(o.FencingToken(), ShouldBeGreaterThan, last)
			last = o.FencingToken()
		}
		for rank := range 3 {
			sim.kill(memberInMixedDomain(sim, rank))
			sim.run(2 * simClosingTime)
		}
		So(leader.record.epoch, ShouldBeGreaterThan, epoch)
		So(leader.orderCount, ShouldBeLessThan, maxOrderCount/2)
		So(sim.open(0, large), ShouldBeGreaterThanOrEqualTo, before-1)
		So(sim.violations, ShouldBeEmpty)
	})
}

// This guards against a replica that no instance joins for hours, as each refusal raises the epoch by one.
func TestLeaderOvertakesHigherTokens(t *testing.T) {
	for _, ahead := range []uint64{2, epochsPerEra, 1 << 20, 1 << 30} {
		Convey(fmt.Sprintf("Orders are accepted within seconds by instances that have seen an epoch which is %d higher", ahead), t, func() {
			sim := newLoadedSimulation(1)
			for _, e := range sim.engines {
				e.highestToken = (sim.daemons[0].state.record.epoch + ahead) << orderCountBits
			}
			victim := memberInMixedDomain(sim, 1)
			before := sim.open(0, large)
			sim.kill(victim)
			sim.run(15 * time.Second)
			refused := sim.staleReplies
			So(refused, ShouldBeGreaterThan, 0)
			So(sim.open(0, large), ShouldEqual, before)
			sim.run(5 * time.Second)
			So(sim.staleReplies, ShouldEqual, refused)
			So(sim.violations, ShouldBeEmpty)
		})
	}
}
