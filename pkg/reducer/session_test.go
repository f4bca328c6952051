package reducer

import (
	"strconv"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Player {
		w := newHarness(2, 5)
		return func(until time.Time, words []string) []string { return play(t, w, until, words) }
	})
}

// play does one thing in the world, lets it run until the line's time, and returns what the daemons did meanwhile.
//
//	run | apply DAEMON REPLICAS BASE | call DAEMON ID | drain DAEMON KIND TARGET | stop DAEMON KIND TARGET
//	kill DAEMON | start DAEMON | pause DAEMON | wake DAEMON | cut DAEMON | heal DAEMON | die ENGINE | restart ENGINE
//	store out|back | whole DAEMON
func play(t *testing.T, w *harness, until time.Time, words []string) []string {
	w.log = nil
	switch words[0] {
	case "run":
	case "apply":
		w.apply(words[1], number(t, words[2]), operator.Revision(number(t, words[3])))
	case "call":
		w.call(words[1], caller.ID(number(t, words[2])))
	case "drain", "stop":
		w.requestAction(words[1], operator.NewAction(operator.Verb(words[0]), operator.Kind(words[2]), words[3]))
	case "kill":
		w.daemons[words[1]].down = true
	case "start":
		w.start(words[1])
	case "pause", "wake":
		w.daemons[words[1]].frozen = words[0] == "pause"
	case "die", "restart":
		w.setEngine(words[0], words[1])
	case "cut", "heal":
		w.disconnected[words[1]] = words[0] == "cut"
	case "store":
		w.storeDown = words[1] == "out"
	case "whole":
		return []string{w.servingReplicas(words[1])}
	default:
		t.Fatalf("no such thing to do: %s", words[0])
	}
	w.run(until.Sub(w.now))
	return w.log
}

// strike ends or restarts the process of an engine; one that starts again holds nothing.
func (w *harness) setEngine(verb, name string) {
	for _, e := range w.engines {
		if string(e.id) != name {
			continue
		}
		e.dead = verb == "die"
		*e = fakeEngine{id: e.id, starts: e.starts + 1, dead: e.dead}
	}
}

func number(t *testing.T, text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
