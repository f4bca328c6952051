package instance

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// play applies one command of a script: a verb and at most one argument.
func (r *harness) play(line string) {
	verb, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	if r.tracing {
		r.trace = append(r.trace, fmt.Sprintf("%.1fs -- %s", r.now.Sub(harnessStart).Seconds(), line))
	}
	if r.playStore(verb, arg) || r.playDaemon(verb, arg) {
		return
	}
	for _, f := range r.matching(arg) {
		r.playEngine(verb, f)
	}
	r.list()
}

// matching returns the engine called arg, or all of the domain called arg.
func (r *harness) matching(arg string) []*fakeEngine {
	var found []*fakeEngine
	for _, id := range r.order {
		if f := r.engines[id]; string(id) == arg || f.row.domain == arg {
			found = append(found, f)
		}
	}
	return found
}

func (r *harness) playEngine(verb string, f *fakeEngine) {
	switch verb {
	case "kill":
		f.alive = false
	case "restart":
		f.restart()
	case "jam":
		f.loadStalled = true
	case "pause":
		f.paused = true
	case "wake":
		f.paused = false
	case "leave":
		f.row = f.row.WithLeaving()
		f.leftAt = r.now
	case "stay":
		f.row.leaving = false
	case "remove":
		r.remove(f.row.id)
	case "succeed":
		row := f.row
		row.leaving = false
		row.id += "n"
		r.remove(f.row.id)
		r.add(newFakeEngine(row, f.checksFencing))
	case "drain", "undrain":
		for _, d := range r.daemons {
			r.feed(d, NewInstanceDrainRequested(f.row.id, verb == "undrain"))
		}
	default:
		panic("unknown verb " + verb)
	}
}

func (r *harness) playStore(verb, arg string) bool {
	switch verb {
	case "down":
		r.store.down, r.downAt = true, r.now
	case "up":
		r.store.down = false
	case "lose":
		r.store.loseAnswers, _ = strconv.Atoi(arg)
	case "drop":
		r.store.dropWrites, _ = strconv.Atoi(arg)
	default:
		return false
	}
	return true
}

func (r *harness) playDaemon(verb, arg string) bool {
	switch verb {
	case "freeze", "thaw":
		for _, d := range r.daemons {
			if d.name == arg || arg == "holder" && d.state.pools[0].lease.Held(r.now) || arg == "all" {
				r.setFrozen(d, verb == "freeze")
			}
		}
	case "fuse":
		for _, d := range r.daemons {
			d.stepsToFreeze, _ = strconv.Atoi(arg)
		}
	case "late":
		r.lateOrders, _ = strconv.Atoi(arg)
	case "drain-replica", "undrain-replica":
		for _, d := range r.daemons {
			r.feed(d, NewReplicaDrainRequested(ReplicaID(arg), verb == "undrain-replica"))
		}
	case "wait":
	default:
		return false
	}
	return true
}

func (r *harness) setFrozen(d *fakeDaemon, frozen bool) {
	if frozen == d.frozen {
		return
	}
	d.frozen = frozen
	if !frozen {
		r.resume(d)
	}
}

// verbs of random scripts, with how often they come.
var randomVerbs = []string{
	"kill", "restart", "restart", "pause", "pause", "wake", "wake", "wake", "leave", "succeed", "succeed", "drain",
	"undrain", "down", "up", "up", "lose", "drop", "freeze", "fuse", "fuse", "thaw", "thaw", "dark", "light", "late", "jam",
}

// randomScript plays count random commands with random waits between them.
func (r *harness) randomScript(seed uint64, count int) {
	random := rand.New(rand.NewPCG(seed, 4))
	for range count {
		r.play(r.randomCommand(random))
		r.run(time.Duration(random.IntN(200))*harnessStep, nil)
	}
}

func (r *harness) randomCommand(random *rand.Rand) string {
	verb := randomVerbs[random.IntN(len(randomVerbs))]
	target := string(r.order[random.IntN(len(r.order))])
	domain := r.engines[ID(target)].row.domain
	switch verb {
	case "dark":
		return "pause " + domain
	case "light":
		return "wake " + domain
	case "lose", "drop", "fuse", "late":
		return verb + " " + strconv.Itoa(1+random.IntN(3))
	case "freeze":
		return []string{"freeze holder", "freeze a", "freeze b"}[random.IntN(3)]
	case "thaw":
		return "thaw " + []string{"a", "b", "all"}[random.IntN(3)]
	}
	return verb + " " + target
}
