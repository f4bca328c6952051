package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// The size and the seeds of TestRestoresAnywhere; by hand with 300 daemons and 600 engines.
var (
	restoreDaemons = flag.Int("restore.daemons", 30, "daemons of the runs with restores of the store")
	restoreEngines = flag.Int("restore.engines", 60, "engines of the runs with restores of the store")
	restoreFirst   = flag.Uint64("restore.first", 0, "first seed of the runs with restores of the store")
	restoreSeeds   = flag.Uint64("restore.seeds", 2, "number of seeds of the runs with restores of the store")
)

// The targets after a restore of the store.
const (
	restoreRecordTime   = 3 * time.Second // until all replicas are recorded
	restoreCallsPerNode = 2               // calls to the store within a second, of all daemons, for each daemon
)

func TestRestoresAnywhere(t *testing.T) {
	Convey("Restores of the store at any moment break no promise", t, func() {
		for seed := *restoreFirst; seed < *restoreFirst+*restoreSeeds; seed++ {
			So(runRestores(*restoreDaemons, *restoreEngines, seed), ShouldBeEmpty)
		}
	})
}

// runRestores restores the store several times while engines are lost, versions of the configuration are written and the leader is
// restarted. It returns what is wrong, empty if nothing is.
func runRestores(daemons, engines int, seed uint64) string {
	size := firstStart()
	size.daemons, size.engines, size.callsPerSecond = daemons, engines, 20
	size.domain, size.large, size.small = 12, 6, 4
	f := newFleet(size, benchTraffic)
	f.random = rand.New(rand.NewPCG(seed, 2))
	o, random, highest := newConfigOperator(f), rand.New(rand.NewPCG(seed, 9)), map[string]uint64{}
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	f.run(benchTraffic + 2*time.Second)
	for range 3 {
		for range 1 + random.IntN(3) {
			if e := f.engines[random.IntN(len(f.engines))]; !e.down {
				f.kill(e)
			}
		}
		for range random.IntN(4) { // a configuration storm
			f.after(upTo(4*time.Second), o.writeNext)
		}
		if random.IntN(3) == 0 {
			f.after(upTo(4*time.Second), func() { f.restart(f.byName[f.daemons[0].members.leader]) })
		}
		if wrong := o.runChecked(upTo(4*time.Second), highest); wrong != "" {
			return fmt.Sprintf("seed %d, before a restore: %s", seed, wrong)
		}
		if wrong := f.checkRestore(o, random, highest); wrong != "" {
			return fmt.Sprintf("seed %d: %s", seed, wrong)
		}
	}
	if wrong := o.runChecked(6*time.Second, highest); wrong != "" {
		return fmt.Sprintf("seed %d, at the end: %s", seed, wrong)
	}
	return f.checkReplicas(seed)
}

// checkRestore restores the store, in one of three cases twice, and checks the calls to the store and the versions meanwhile.
func (f *fleet) checkRestore(o *configOperator, random *rand.Rand, highest map[string]uint64) string {
	for range 1 + max(random.IntN(3)-1, 0) {
		for _, d := range f.daemons {
			d.storeCalls = 0
		}
		f.restoreStore(time.Duration(1+random.IntN(10)) * time.Second)
		f.after(time.Duration(random.Int64N(int64(2*time.Second))), o.writeAgain)
		if wrong := o.runChecked(time.Second, highest); wrong != "" {
			return "within a second of a restore: " + wrong
		}
		calls := 0
		for _, d := range f.daemons {
			calls += d.storeCalls
		}
		if calls >= restoreCallsPerNode*len(f.daemons) {
			return fmt.Sprintf("%d calls to the store of %d daemons within a second of a restore", calls, len(f.daemons))
		}
	}
	return o.runChecked(restoreRecordTime, highest)
}

// checkReplicas returns what is wrong with the replicas now, empty if nothing is.
func (f *fleet) checkReplicas(seed uint64) string {
	replicaOf := map[replica.ID]replica.ID{}
	for _, e := range f.engines {
		if e.down || e.membership.Phase() != replica.PhaseOpen || e.membership.Rank() != 0 {
			continue
		}
		for _, id := range e.members {
			if other, isMember := replicaOf[id]; isMember {
				return fmt.Sprintf("seed %d: %s is a member of the open replicas of %s and %s", seed, id, other, e.id)
			}
			replicaOf[id] = e.id
		}
	}
	leader := f.byName[f.daemons[0].members.leader]
	if leader == nil {
		return fmt.Sprintf("seed %d: no leader", seed)
	}
	open, _ := f.open()
	if _, recorded := leader.replica.Recorded(); recorded < open {
		return fmt.Sprintf("seed %d: %d replicas are open and %d recorded", seed, open, recorded)
	}
	if deaths := f.falseDeaths(); deaths > 0 {
		return fmt.Sprintf("seed %d: %d live engines were declared dead", seed, deaths)
	}
	return ""
}
