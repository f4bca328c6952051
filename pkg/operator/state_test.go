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
	seeds   = 60
	actions = 40
	entries = 4
)

// play lets racing operators of two teams work on a faulty fleet, lets it calm down, and returns what the checker finds.
func play(seed uint64, tamper func(object.Result) object.Result) []string {
	w := newWorld(seed, entries)
	if tamper != nil {
		w.tamper = tamper
	}
	for i := range actions {
		w.run(w.delay(3000))
		n := w.nodes[w.random.IntN(len(w.nodes))]
		switch w.random.IntN(10) {
		case 0:
			w.boot(n)
		case 1:
			w.store.out = w.now.Add(w.delay(20000))
		default:
			w.change(i, n)
		}
	}
	w.calm = true
	w.run(3 * time.Minute)
	w.check()
	return w.faults
}

// change submits a change built on what one daemon knows, often to two daemons, as a client does that lost its answer.
func (w *world) change(i int, n *node) {
	team := []string{"koinonia", "bellandi"}[w.random.IntN(2)]
	id := operator.RequestID(fmt.Sprintf("%s/%d", team, i))
	e := w.wish(i, team, id, n)
	w.feed(n, e)
	if w.random.IntN(3) == 0 {
		other := w.nodes[w.random.IntN(len(w.nodes))]
		w.after(w.delay(20000), func() { w.feed(other, again(e)) })
		w.resent[id] = true
	}
}

func again(e operator.Event) operator.Event {
	switch e := e.(type) {
	case operator.ApplyRequested:
		return e.AsRetry()
	case operator.ActionRequested:
		return e.AsRetry()
	}
	return e
}

func (w *world) wish(i int, team string, id operator.RequestID, n *node) operator.Event {
	if w.random.IntN(4) == 0 {
		action := operator.NewAction(operator.VerbDrain, operator.KindReplica, fmt.Sprintf("notices-%d", i))
		return operator.NewActionRequested(id, "root", operator.FleetTeam, action)
	}
	base, _ := n.state.Fleet().Config(team)
	return operator.NewApplyRequested(id, "maria", variant(team, i, int(base.Revision())))
}

// variant returns a configuration of team with names of its own, which wants so many replicas and builds on base.
func variant(team string, replicas, base int) operator.Config {
	text := strings.ReplaceAll(small, "team: koinonia", "team: "+team)
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

// check compares what operators were told, and what daemons hold, with what the store was written.
func (w *world) check() {
	made := map[string]uint64{}
	last := map[string]uint64{}
	for i, write := range w.store.writes {
		change := write.History[len(write.History)-1]
		if write.Revision != uint64(i+1) || change.Revision != write.Revision {
			w.fault("write %d has revision %d", i+1, write.Revision)
		}
		if first, twice := made[change.Request]; twice {
			w.fault("request %s made revisions %d and %d", change.Request, first, change.Revision)
		}
		made[change.Request] = change.Revision
		if change.Config == nil {
			continue
		}
		if change.Base != last[change.Team] {
			w.fault("revision %d overwrote %d unseen", change.Revision, last[change.Team])
		}
		last[change.Team] = change.Revision
	}
	w.checkAnswers(made)
	for _, n := range w.nodes {
		if got := n.state.Fleet().Revision(); got != operator.Revision(len(w.store.writes)) {
			w.fault("%s holds revision %d of %d", n.name, got, len(w.store.writes))
		}
		if n.state.PendingRequests() > 0 {
			w.fault("%s never answered %d requests", n.name, n.state.PendingRequests())
		}
	}
}

func (w *world) checkAnswers(made map[string]uint64) {
	for request, outcomes := range w.answers {
		revision, took := made[string(request)]
		for _, outcome := range outcomes {
			switch outcome := outcome.(type) {
			case operator.Accepted:
				if operator.Revision(revision) != outcome.Revision() {
					w.fault("%s was told %d, and made %d", request, outcome.Revision(), revision)
				}
			case operator.Refused, operator.Conflict:
				_, isConflict := outcome.(operator.Conflict)
				if took && (isConflict || !w.resent[request]) {
					w.fault("%s was told %T, and made %d", request, outcome, revision)
				}
			}
		}
	}
}

func TestState(t *testing.T) {
	Convey("Nothing is applied twice, reported wrongly or reverted, whatever fails", t, func() {
		for seed := range uint64(seeds) {
			So(fmt.Sprint(seed, play(seed, nil)), ShouldEqual, fmt.Sprint(seed, []string(nil)))
		}
	})
	Convey("The checker finds daemons that", t, func() {
		Convey("take a lost answer for a success", func() {
			So(caught(func(r object.Result) object.Result {
				if lost, ok := r.(object.Lost); ok {
					return object.NewStored(lost.Ref(), "1")
				}
				return r
			}), ShouldBeTrue)
		})
		Convey("take a lost answer for a refusal, and can't read what was written", func() {
			So(caught(func(r object.Result) object.Result {
				if found, ok := r.(object.Found); ok {
					data := bytes.ReplaceAll(found.Data(), []byte(`"request":"`), []byte(`"request":"x`))
					return object.NewFound(found.Ref(), found.Version(), data)
				}
				return r
			}), ShouldBeTrue)
		})
	})
}

// caught reports whether the checker finds a fault in any of a few runs in which daemons see tampered results.
func caught(tamper func(object.Result) object.Result) bool {
	for seed := range uint64(10) {
		if len(play(seed, tamper)) > 0 {
			return true
		}
	}
	return false
}
