package operator_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	runCount    = 60
	stepCount   = 40
	daemonCount = 4
)

// simulate runs concurrent operators of two teams on a fleet with faults, then without faults until it settles. It
// returns the violations found by check.
func simulate(seed uint64, tamper func(object.Result) object.Result) []string {
	sim := newSimulation(seed, daemonCount)
	if tamper != nil {
		sim.tamper = tamper
	}
	for i := range stepCount {
		sim.advance(sim.randomDelay(3000))
		d := sim.daemons[sim.random.IntN(len(sim.daemons))]
		switch sim.random.IntN(10) {
		case 0:
			sim.restart(d)
		case 1:
			sim.store.unavailableUntil = sim.now.Add(sim.randomDelay(20000))
		default:
			sim.submitChange(i, d)
		}
	}
	sim.faultsOff = true
	sim.advance(3 * time.Minute)
	sim.check()
	return sim.violations
}

// submitChange submits a change based on the state of one daemon. In a third of cases it retries the request at a random
// daemon, as a client does that received no answer.
func (sim *simulation) submitChange(i int, d *daemon) {
	team := []string{"koinonia", "bellandi"}[sim.random.IntN(2)]
	id := operator.RequestID(fmt.Sprintf("%s/%d", team, i))
	e := sim.randomRequest(i, team, id, d)
	sim.deliver(d, e)
	if sim.random.IntN(3) == 0 {
		other := sim.daemons[sim.random.IntN(len(sim.daemons))]
		sim.schedule(sim.randomDelay(20000), func() { sim.deliver(other, asRetry(e)) })
		sim.resent[id] = true
	}
}

func asRetry(e operator.Event) operator.Event {
	switch e := e.(type) {
	case operator.ApplyRequested:
		return e.AsRetry()
	case operator.ActionRequested:
		return e.AsRetry()
	}
	return e
}

func (sim *simulation) randomRequest(i int, team string, id operator.RequestID, d *daemon) operator.Event {
	if sim.random.IntN(4) == 0 {
		action := operator.NewAction(operator.VerbDrain, operator.KindReplica, fmt.Sprintf("notices-%d", i))
		return operator.NewActionRequested(id, "root", operator.FleetTeam, action)
	}
	base, _ := d.state.Fleet().Config(team)
	return operator.NewApplyRequested(id, "maria", variant(team, i, int(base.Revision())))
}

// variant returns a configuration of team with names and a key of its own, the given number of replicas and the base
// revision.
func variant(team string, replicas, base int) operator.Config {
	text := strings.ReplaceAll(smallConfig, "team: koinonia", "team: "+team)
	for _, name := range []string{"notices", "tickets", "odeon"} {
		text = strings.ReplaceAll(text, name, team+"-"+name)
	}
	text = strings.ReplaceAll(text, string(operator.NewHash("secret")), string(operator.NewHash(team)))
	text = strings.ReplaceAll(text, "replicas: 3", fmt.Sprintf("replicas: %d", replicas))
	config, err := operator.ParseConfig("variant", []byte(text))
	if err != nil {
		panic(err)
	}
	return config.WithRevision(operator.Revision(base))
}

// check compares the answers to operators and the state of the daemons with the writes to the store.
func (sim *simulation) check() {
	revisionByRequest := map[string]uint64{}
	lastRevisionByTeam := map[string]uint64{}
	for i, write := range sim.store.writes {
		change := write.History[len(write.History)-1]
		if write.Revision != uint64(i+1) || change.Revision != write.Revision {
			sim.recordViolation("write %d has revision %d", i+1, write.Revision)
		}
		if first, duplicate := revisionByRequest[change.Request]; duplicate {
			sim.recordViolation("request %s created revisions %d and %d", change.Request, first, change.Revision)
		}
		revisionByRequest[change.Request] = change.Revision
		if change.Config == nil {
			continue
		}
		if change.Base != lastRevisionByTeam[change.Team] {
			sim.recordViolation("revision %d overwrote %d without being based on it",
				change.Revision, lastRevisionByTeam[change.Team])
		}
		lastRevisionByTeam[change.Team] = change.Revision
	}
	sim.checkAnswers(revisionByRequest)
	for _, d := range sim.daemons {
		if got := d.state.Fleet().Revision(); got != operator.Revision(len(sim.store.writes)) {
			sim.recordViolation("%s holds revision %d of %d", d.name, got, len(sim.store.writes))
		}
		if d.state.PendingRequests() > 0 {
			sim.recordViolation("%s never answered %d requests", d.name, d.state.PendingRequests())
		}
	}
}

func (sim *simulation) checkAnswers(revisionByRequest map[string]uint64) {
	for request, outcomes := range sim.answers {
		revision, applied := revisionByRequest[string(request)]
		for _, outcome := range outcomes {
			switch outcome := outcome.(type) {
			case operator.Accepted:
				if operator.Revision(revision) != outcome.Revision() {
					sim.recordViolation("%s was answered with revision %d but created %d", request, outcome.Revision(), revision)
				}
			case operator.Refused, operator.Conflict:
				_, isConflict := outcome.(operator.Conflict)
				if applied && (isConflict || !sim.resent[request]) {
					sim.recordViolation("%s was answered with %T but created revision %d", request, outcome, revision)
				}
			}
		}
	}
}

func TestState(t *testing.T) {
	Convey("No change is applied twice, reported wrongly or reverted under faults", t, func() {
		for seed := range uint64(runCount) {
			So(fmt.Sprint(seed, simulate(seed, nil)), ShouldEqual, fmt.Sprint(seed, []string(nil)))
		}
	})
	Convey("The check detects daemons that", t, func() {
		Convey("treat a lost answer as a success", func() {
			So(detectsFault(func(r object.Result) object.Result {
				if lost, ok := r.(object.Lost); ok {
					return object.NewStored(lost.Ref(), "1")
				}
				return r
			}), ShouldBeTrue)
		})
		Convey("do not recognise their own earlier writes", func() {
			So(detectsFault(func(r object.Result) object.Result {
				if found, ok := r.(object.Found); ok {
					data := bytes.ReplaceAll(found.Data(), []byte(`"request":"`), []byte(`"request":"x`))
					return object.NewFound(found.Ref(), found.Version(), data)
				}
				return r
			}), ShouldBeTrue)
		})
	})
}

// detectsFault reports whether check finds a violation in any of 10 runs with tampered store results.
func detectsFault(tamper func(object.Result) object.Result) bool {
	for seed := range uint64(10) {
		if len(simulate(seed, tamper)) > 0 {
			return true
		}
	}
	return false
}
