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

// The parameters of the runs with random faults.
const (
	faultRuns        = 12
	faultCount       = 24
	maxFaultInterval = 8 * time.Second
	callInterval     = 500 * time.Millisecond
	recoveryTime     = 90 * time.Second
)

// maxEvidenceAge is the maximum age of a probe result on which a call may be sent: 3 s plus the two steps that it takes
// through the interfaces.
const maxEvidenceAge = 3*time.Second + 2*step

// checker checks the invariants of a harness.
type checker struct {
	harness         *harness
	lastAvailable   map[instance.ReplicaID]time.Time // when each replica last had all its members
	decisionByToken map[uint64]string                // the decision of each fencing token in the record
	violations      []string
}

func newChecker(h *harness) *checker {
	c := &checker{harness: h, lastAvailable: map[instance.ReplicaID]time.Time{}, decisionByToken: map[uint64]string{}}
	h.onSend = c.checkSend
	return c
}

func (c *checker) report(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// checkSend reports a call to a replica that no probe result of the allowed age can show as available.
func (c *checker) checkSend(d *fakeDaemon, send engine.Send) {
	last, ever := c.lastAvailable[send.Replica()]
	if !ever || c.harness.now.Sub(last) > maxEvidenceAge {
		c.report("%s sent a call to %s, last available at %v", d.name, send.Replica(), last)
	}
}

// observe updates lastAvailable, and checks the record and the revisions.
func (c *checker) observe(previous map[string]operator.Revision) {
	members := map[instance.Assignment]int{}
	for _, e := range c.harness.engines {
		if !e.dead && e.assignment.Replica() != "" {
			members[e.assignment]++
		}
	}
	for assignment, count := range members {
		if count >= replicaSize {
			c.lastAvailable[assignment.Replica()] = c.harness.now
		}
	}
	c.checkRecords()
	for name, d := range c.harness.daemons {
		current := d.state.Fleet().Revision()
		if current < previous[name] {
			c.report("%s went back from revision %d to %d", name, previous[name], current)
		}
		previous[name] = current
	}
}

// wireRecord is the part of a pool's record that the checker reads.
type wireRecord struct {
	Value struct {
		FencingToken uint64        `json:"fence"`
		Replicas     []wireReplica `json:"replicas"`
	} `json:"value"`
}

type wireReplica struct {
	Name    string `json:"name"`
	Members []struct {
		ID   string              `json:"id"`
		Next struct{ ID string } `json:"next"`
	} `json:"members"`
}

// checkRecords reports an instance with two assignments, and a fencing token of two decisions.
func (c *checker) checkRecords() {
	for _, stored := range c.harness.store {
		var record wireRecord
		if json.Unmarshal(stored.data, &record) != nil || record.Value.FencingToken == 0 {
			continue
		}
		decision := fmt.Sprint(record.Value.Replicas)
		token := record.Value.FencingToken
		if previous, known := c.decisionByToken[token]; known && previous != decision {
			c.report("fencing token %d has the decisions %s and %s", token, previous, decision)
		}
		c.decisionByToken[token] = decision
		c.checkAssignments(record.Value.Replicas)
	}
}

func (c *checker) checkAssignments(replicas []wireReplica) {
	seen := map[string]bool{}
	for _, replica := range replicas {
		for _, member := range replica.Members {
			for _, id := range []string{member.ID, member.Next.ID} {
				if id != "" && seen[id] {
					c.report("%s has two assignments", id)
				}
				seen[id] = true
			}
		}
	}
}

// runFaults injects random faults from seed, ends them, waits for the recovery, and returns the violations.
func (c *checker) runFaults(seed uint64) []string {
	h, random := c.harness, rand.New(rand.NewPCG(seed, 1))
	revisions := map[string]operator.Revision{}
	run := func(d time.Duration) {
		for range int(d / step) {
			h.run(step)
			c.observe(revisions)
		}
	}
	run(2 * time.Second)
	h.apply("d1", 2, 0)
	run(15 * time.Second)
	lastCall := caller.ID(0)
	for range faultCount {
		delete(revisions, h.injectFault(random))
		for range random.IntN(int(maxFaultInterval / callInterval)) {
			lastCall++
			h.call(h.names[random.IntN(len(h.names))], lastCall)
			run(callInterval)
		}
	}
	h.endFaults()
	for _, name := range h.names {
		if h.daemons[name].down {
			h.start(name)
			delete(revisions, name)
		}
	}
	run(recoveryTime)
	c.checkRecovered()
	return c.violations
}

// checkRecovered reports daemons with different revisions, and daemons that do not send calls to all wanted replicas.
func (c *checker) checkRecovered() {
	first := c.harness.daemons[c.harness.names[0]]
	for _, name := range c.harness.names {
		d := c.harness.daemons[name]
		if d.state.Fleet().Revision() != first.state.Fleet().Revision() {
			c.report("%s has revision %d, %s has %d", name, d.state.Fleet().Revision(), first.name,
				first.state.Fleet().Revision())
		}
		if serving := d.state.instance.ServingReplicas("drafts", c.harness.now); len(serving) < 2 {
			c.report("%s sends calls to %d of 2 replicas", name, len(serving))
		}
	}
}

// injectFault starts or ends one random fault; it returns the daemon that it restarted, if any.
func (h *harness) injectFault(random *rand.Rand) (restarted string) {
	name := h.names[random.IntN(len(h.names))]
	e := h.engines[random.IntN(len(h.engines))]
	switch random.IntN(9) {
	case 0, 1:
		h.crashOrStart(e)
	case 2:
		*e = fakeEngine{id: e.id, starts: e.starts + 1}
	case 3:
		h.storeDown = !h.storeDown
	case 4:
		h.daemons[name].frozen = !h.daemons[name].frozen
	case 5:
		h.disconnected[name] = !h.disconnected[name]
	case 6:
		h.start(name)
		return name
	case 7:
		h.apply(name, 2, h.daemons[name].state.Fleet().Revision())
	case 8:
		h.endFaults()
	}
	return ""
}

// crashOrStart crashes a running engine, or starts a dead one without its assignment.
func (h *harness) crashOrStart(e *fakeEngine) {
	if e.dead {
		*e = fakeEngine{id: e.id, starts: e.starts + 1}
		return
	}
	e.dead = true
}

// endFaults ends all faults.
func (h *harness) endFaults() {
	h.storeDown = false
	h.disconnected = map[string]bool{}
	for _, name := range h.names {
		h.daemons[name].frozen = false
	}
	for _, e := range h.engines {
		if e.dead {
			*e = fakeEngine{id: e.id, starts: e.starts + 1}
		}
	}
}

// TestFaults guards against calls to unavailable replicas, instances with two assignments, fencing tokens with two
// decisions, reverted configurations, and fleets that do not recover after random faults.
func TestFaults(t *testing.T) {
	for seed := range uint64(faultRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, violation := range newChecker(newHarness(3, 6)).runFaults(seed) {
				t.Error(violation)
			}
		})
	}
}

// TestCheckersDetectFaultyVariants guards against a checker that passes everything: it must find violations if the fakes
// have a fault that the daemons cannot detect.
func TestCheckersDetectFaultyVariants(t *testing.T) {
	t.Run("probes that report dead engines as alive", func(t *testing.T) {
		h := newHarness(3, 6)
		h.hideFailedProbes = true
		if len(newChecker(h).runFaults(1)) == 0 {
			t.Error("no violation found")
		}
	})
	t.Run("a store that ignores versions and returns old values", func(t *testing.T) {
		for seed := range uint64(faultRuns) {
			h := newHarness(3, 6)
			h.ignoreVersions = true
			if len(newChecker(h).runFaults(seed)) > 0 {
				return
			}
		}
		t.Error("no violation found")
	})
}
