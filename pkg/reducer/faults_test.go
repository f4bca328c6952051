package reducer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
)

// The sizes of a run of seeded faults.
const (
	faultRuns        = 12
	faultCount       = 24
	maxFaultInterval = 8 * time.Second
	callInterval     = 500 * time.Millisecond
	recoveryTime     = 90 * time.Second
)

// evidenceAge is how old evidence may be on which work is sent, with the steps that it takes to cross the interfaces.
const maxEvidenceAge = 3*time.Second + 2*step

// checker watches a world for what must always hold.
type checker struct {
	harness         *harness
	lastWhole       map[instance.ReplicaID]time.Time // when each replica was last whole, in truth
	decisionByToken map[uint64]string                // what each fencing number of the record stands for
	violations      []string
}

func newChecker(w *harness) *checker {
	c := &checker{harness: w, lastWhole: map[instance.ReplicaID]time.Time{}, decisionByToken: map[uint64]string{}}
	w.onSend = c.checkSend
	return c
}

func (c *checker) report(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// checkSend reports work for a replica that no evidence of the allowed age can call whole.
func (c *checker) checkSend(d *fakeDaemon, send engine.Send) {
	last, ever := c.lastWhole[send.Replica()]
	if !ever || c.harness.now.Sub(last) > maxEvidenceAge {
		c.report("%s sent work to %s, last whole at %v", d.name, send.Replica(), last)
	}
}

// observe notes the truth, and checks the record and the revisions.
func (c *checker) observe(before map[string]operator.Revision) {
	members := map[instance.Assignment]int{}
	for _, e := range c.harness.engines {
		if !e.dead && e.assignment.Replica() != "" {
			members[e.assignment]++
		}
	}
	for place, count := range members {
		if count >= replicaSize {
			c.lastWhole[place.Replica()] = c.harness.now
		}
	}
	c.checkRecords()
	for name, d := range c.harness.daemons {
		now := d.state.Fleet().Revision()
		if now < before[name] {
			c.report("%s went from revision %d back to %d", name, before[name], now)
		}
		before[name] = now
	}
}

// recordWire is what the checker reads of a pool's record.
type recordWire struct {
	Value struct {
		Fence    uint64        `json:"fence"`
		Replicas []replicaWire `json:"replicas"`
	} `json:"value"`
}

type replicaWire struct {
	Name    string `json:"name"`
	Members []struct {
		ID   string              `json:"id"`
		Next struct{ ID string } `json:"next"`
	} `json:"members"`
}

// checkRecords reports an instance in two places, and a fencing number that stands for two decisions.
func (c *checker) checkRecords() {
	for _, object := range c.harness.store {
		var record recordWire
		if json.Unmarshal(object.data, &record) != nil || record.Value.Fence == 0 {
			continue
		}
		decision := fmt.Sprint(record.Value.Replicas)
		fence := record.Value.Fence
		if before, known := c.decisionByToken[fence]; known && before != decision {
			c.report("number %d stands for %s and for %s", fence, before, decision)
		}
		c.decisionByToken[fence] = decision
		c.checkAssignments(record.Value.Replicas)
	}
}

func (c *checker) checkAssignments(replicas []replicaWire) {
	seen := map[string]bool{}
	for _, replica := range replicas {
		for _, member := range replica.Members {
			for _, id := range []string{member.ID, member.Next.ID} {
				if id != "" && seen[id] {
					c.report("%s has two places", id)
				}
				seen[id] = true
			}
		}
	}
}

// play brings one seeded list of faults about, lets the world heal, and returns what did not hold.
func (c *checker) runFaults(seed uint64) []string {
	w, random := c.harness, rand.New(rand.NewPCG(seed, 1))
	revisions := map[string]operator.Revision{}
	pass := func(d time.Duration) {
		for range int(d / step) {
			w.run(step)
			c.observe(revisions)
		}
	}
	pass(2 * time.Second)
	w.apply("d1", 2, 0)
	pass(15 * time.Second)
	last := caller.ID(0)
	for range faultCount {
		delete(revisions, w.injectFault(random))
		for range random.IntN(int(maxFaultInterval / callInterval)) {
			last++
			w.call(w.names[random.IntN(len(w.names))], last)
			pass(callInterval)
		}
	}
	w.heal()
	for _, name := range w.names {
		if w.daemons[name].down {
			w.start(name)
			delete(revisions, name)
		}
	}
	pass(recoveryTime)
	c.checkHealed()
	return c.violations
}

// checkHealed reports daemons that disagree, or wanted replicas that no daemon sends work to.
func (c *checker) checkHealed() {
	first := c.harness.daemons[c.harness.names[0]]
	for _, name := range c.harness.names {
		d := c.harness.daemons[name]
		if d.state.Fleet().Revision() != first.state.Fleet().Revision() {
			c.report("%s has revision %d, %s has %d", name, d.state.Fleet().Revision(), first.name,
				first.state.Fleet().Revision())
		}
		if serving := d.state.instance.ServingReplicas("drafts", c.harness.now); len(serving) < 2 {
			c.report("%s sends work to %d of 2 replicas", name, len(serving))
		}
	}
}

// disturb brings one fault about, or ends one; it returns the daemon that it restarted, if any.
func (w *harness) injectFault(random *rand.Rand) (restarted string) {
	name := w.names[random.IntN(len(w.names))]
	e := w.engines[random.IntN(len(w.engines))]
	switch random.IntN(9) {
	case 0, 1:
		w.toggleEngine(e)
	case 2:
		*e = fakeEngine{id: e.id, starts: e.starts + 1}
	case 3:
		w.storeDown = !w.storeDown
	case 4:
		w.daemons[name].frozen = !w.daemons[name].frozen
	case 5:
		w.disconnected[name] = !w.disconnected[name]
	case 6:
		w.start(name)
		return name
	case 7:
		w.apply(name, 2, w.daemons[name].state.Fleet().Revision())
	case 8:
		w.heal()
	}
	return ""
}

// flip ends the process of an engine, or starts it anew with nothing in it.
func (w *harness) toggleEngine(e *fakeEngine) {
	if e.dead {
		*e = fakeEngine{id: e.id, starts: e.starts + 1}
		return
	}
	e.dead = true
}

// heal ends all faults.
func (w *harness) heal() {
	w.storeDown = false
	w.disconnected = map[string]bool{}
	for _, name := range w.names {
		w.daemons[name].frozen = false
	}
	for _, e := range w.engines {
		if e.dead {
			*e = fakeEngine{id: e.id, starts: e.starts + 1}
		}
	}
}

func TestFaults(t *testing.T) {
	for seed := range uint64(faultRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, problem := range newChecker(newHarness(3, 6)).runFaults(seed) {
				t.Error(problem)
			}
		})
	}
}

func TestCheckersCatch(t *testing.T) {
	t.Run("a watcher that calls dead engines alive", func(t *testing.T) {
		w := newHarness(3, 6)
		w.hideFailedProbes = true
		if len(newChecker(w).runFaults(1)) == 0 {
			t.Error("not caught")
		}
	})
	t.Run("a store that ignores versions and tells old values", func(t *testing.T) {
		for seed := range uint64(faultRuns) {
			w := newHarness(3, 6)
			w.ignoreVersions = true
			if len(newChecker(w).runFaults(seed)) > 0 {
				return
			}
		}
		t.Error("not caught")
	})
}
