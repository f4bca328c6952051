package reducer

import (
	"strconv"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
)

// TestSessions runs the sessions in testdata on two daemons and five engines, and compares what the daemons do.
func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Handler {
		h := newHarness(2, 5)
		return func(until time.Time, words []string) []string { return runCommand(t, h, until, words) }
	})
}

// runCommand runs one command, advances the time to the time of its line, and returns what the daemons did meanwhile.
//
//	wait | apply DAEMON REPLICAS BASE | call DAEMON ID | drain DAEMON KIND TARGET | stop DAEMON KIND TARGET
//	kill DAEMON | start DAEMON | freeze DAEMON | unfreeze DAEMON | disconnect DAEMON | reconnect DAEMON
//	crash ENGINE | restart ENGINE | store down|up | serving DAEMON
func runCommand(t *testing.T, h *harness, until time.Time, words []string) []string {
	h.log = nil
	switch words[0] {
	case "wait":
	case "apply":
		h.apply(words[1], parseNumber(t, words[2]), operator.Revision(parseNumber(t, words[3])))
	case "call":
		h.call(words[1], caller.ID(parseNumber(t, words[2])))
	case "drain", "stop":
		h.requestAction(words[1], operator.NewAction(operator.Verb(words[0]), operator.Kind(words[2]), words[3]))
	case "kill":
		h.daemons[words[1]].down = true
	case "start":
		h.start(words[1])
	case "freeze", "unfreeze":
		h.daemons[words[1]].frozen = words[0] == "freeze"
	case "crash", "restart":
		h.crashOrRestart(words[0], words[1])
	case "disconnect", "reconnect":
		h.disconnected[words[1]] = words[0] == "disconnect"
	case "store":
		h.storeDown = words[1] == "down"
	case "serving":
		return []string{h.servingReplicas(words[1])}
	default:
		t.Fatalf("unknown command %s", words[0])
	}
	h.run(until.Sub(h.now))
	return h.log
}

// crashOrRestart crashes or restarts an engine; it loses its assignment.
func (h *harness) crashOrRestart(verb, name string) {
	for _, e := range h.engines {
		if string(e.id) != name {
			continue
		}
		e.dead = verb == "crash"
		*e = fakeEngine{id: e.id, starts: e.starts + 1, dead: e.dead}
	}
}

func parseNumber(t *testing.T, text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
