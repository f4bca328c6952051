package service

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	seedCount    = 20
	requestCount = 40
)

// runSeed runs one random sequence: callers submit requests and repeat them at other daemons, at once or much later,
// while daemons pause and restart and the store has outages.
func runSeed(seed uint64, mutate func(Event) Event) *simulation {
	sim := newSimulation(seed, 3, true, mutate)
	for i := range requestCount {
		sim.after(time.Duration(sim.random.IntN(int(10*time.Minute))), func() { sim.scheduleRequest(i) })
	}
	for range 8 {
		sim.after(time.Duration(sim.random.IntN(int(10*time.Minute))), sim.injectFault)
	}
	sim.run(140 * time.Minute)
	sim.injectFaults = false
	sim.run(40 * time.Minute)
	sim.checkCleanedUp()
	return sim
}

func (sim *simulation) scheduleRequest(i int) {
	req := &clientRequest{key: keyAt(sim.now, fmt.Sprintf("b%d", i))}
	kind := []string{"keyed", "keyed", "keyed", "no-key", "idempotent"}[sim.random.IntN(5)]
	timeout := time.Duration(1+sim.random.IntN(20)) * time.Second
	sim.submit(sim.daemons[sim.random.IntN(3)], req, kind, timeout)
	if kind != "keyed" {
		return
	}
	waits := []time.Duration{0, sim.delay(20), sim.delay(2_000), sim.delay(30_000), sim.delay(7_200_000)}
	for range sim.random.IntN(4) {
		wait := waits[sim.random.IntN(len(waits))]
		sim.after(wait, func() { sim.submit(sim.daemons[sim.random.IntN(3)], req, kind, timeout) })
	}
	if sim.chance(30) {
		sim.after(sim.delay(50), sim.injectFault)
	}
}

// injectFault pauses or restarts a daemon, or starts an outage of the store, for a short or a very long time.
func (sim *simulation) injectFault() {
	d := sim.daemons[sim.random.IntN(3)]
	length := sim.delay([]int{50, 2_000, 20_000, 600_000, 6_000_000}[sim.random.IntN(5)])
	switch sim.random.IntN(4) {
	case 0:
		sim.restart(d)
	case 1:
		sim.storeOutUntil = sim.now.Add(min(length, 10*time.Minute))
	default:
		if until := sim.now.Add(length); until.After(d.pausedUntil) {
			d.pausedUntil = until
		}
	}
}

func TestAtMostOnce(t *testing.T) {
	Convey("In no random sequence does a call run twice, or run and be reported as not run", t, func() {
		for seed := range uint64(seedCount) {
			So(runSeed(seed, nil).violations, ShouldBeEmpty)
		}
	})
}

// mutations are faulty interpretations of events, which the checks must detect.
var mutations = map[string]func(Event) Event{
	"a lost answer is treated as a success": func(e Event) Event {
		if lost, isLost := resultOf(e).(object.Lost); isLost {
			return NewStoreCompleted(object.NewStored(lost.Ref(), "1"))
		}
		return e
	},
	"a conflict is treated as a success": func(e Event) Event {
		if conflict, isConflict := resultOf(e).(object.Conflict); isConflict {
			return NewStoreCompleted(object.NewStored(conflict.Ref(), "1"))
		}
		return e
	},
	"a call without an answer is treated as not sent": func(e Event) Event {
		if failed, isFailed := e.(Failed); isFailed {
			failed.failure = NotSent
			return failed
		}
		return e
	},
	"a key is ignored": func(e Event) Event {
		if submitted, isSubmitted := e.(Submitted); isSubmitted {
			return NewSubmitted(submitted.call.WithKey(""))
		}
		return e
	},
}

func TestMutationsAreCaught(t *testing.T) {
	for name, mutate := range mutations {
		Convey("The checks detect that "+name, t, func() {
			caught := 0
			for seed := uint64(0); seed < seedCount && caught == 0; seed++ {
				caught += len(runSeedRecovering(seed, mutate))
			}
			So(caught, ShouldBeGreaterThan, 0)
		})
	}
}

// runSeedRecovering returns the violations of a sequence, including a panic.
func runSeedRecovering(seed uint64, mutate func(Event) Event) (violations []string) {
	defer func() {
		if r := recover(); r != nil {
			violations = append(violations, fmt.Sprint(r))
		}
	}()
	return runSeed(seed, mutate).violations
}

// resultOf returns the result of a StoreCompleted event, nil for other events.
func resultOf(e Event) object.Result {
	if completed, isCompleted := e.(StoreCompleted); isCompleted {
		return completed.result
	}
	return nil
}
