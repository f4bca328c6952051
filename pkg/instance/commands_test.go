package instance

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// play runs one command of a script: a verb and at most one argument.
func (h *harness) play(line string) {
	verb, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	if h.tracing {
		h.trace = append(h.trace, fmt.Sprintf("%.1fs -- %s", h.now.Sub(harnessStart).Seconds(), line))
	}
	if h.playStore(verb, arg) || h.playDaemon(verb, arg) {
		return
	}
	for _, f := range h.matching(arg) {
		h.playEngine(verb, f)
	}
	h.list()
}

// matching returns the engine with this ID, or all engines of this domain.
func (h *harness) matching(name string) []*fakeEngine {
	var found []*fakeEngine
	for _, id := range h.engineIDs {
		if f := h.engines[id]; string(id) == name || f.listing.domain == name {
			found = append(found, f)
		}
	}
	return found
}

func (h *harness) playEngine(verb string, f *fakeEngine) {
	switch verb {
	case "kill":
		f.alive = false
	case "restart":
		f.restart()
	case "stall-load":
		f.loadStalled = true
	case "pause":
		f.paused = true
	case "resume":
		f.paused = false
	case "leave":
		f.listing = f.listing.WithLeaving()
		f.leftAt = h.now
	case "stay":
		f.listing.leaving = false
	case "remove":
		h.remove(f.listing.id)
	case "replace":
		listing := f.listing
		listing.leaving = false
		listing.id += "n"
		h.remove(f.listing.id)
		h.add(newFakeEngine(listing, f.checksFencing))
	case "drain", "undrain":
		for _, d := range h.daemons {
			h.feed(d, NewInstanceDrainRequested(f.listing.id, verb == "undrain"))
		}
	default:
		panic("unknown verb " + verb)
	}
}

func (h *harness) playStore(verb, arg string) bool {
	switch verb {
	case "store-down":
		h.store.down, h.storeDownAt = true, h.now
	case "store-up":
		h.store.down = false
	case "lose-answers":
		h.store.loseAnswers, _ = strconv.Atoi(arg)
	case "drop-writes":
		h.store.dropWrites, _ = strconv.Atoi(arg)
	default:
		return false
	}
	return true
}

func (h *harness) playDaemon(verb, arg string) bool {
	switch verb {
	case "freeze", "unfreeze":
		for _, d := range h.daemons {
			if d.name == arg || arg == "holder" && d.state.pools[0].lease.Held(h.now) || arg == "all" {
				h.setFrozen(d, verb == "freeze")
			}
		}
	case "freeze-before":
		for _, d := range h.daemons {
			d.stepsToFreeze, _ = strconv.Atoi(arg)
		}
	case "delay-orders":
		h.lateOrders, _ = strconv.Atoi(arg)
	case "drain-replica", "undrain-replica":
		for _, d := range h.daemons {
			h.feed(d, NewReplicaDrainRequested(ReplicaID(arg), verb == "undrain-replica"))
		}
	case "wait":
	default:
		return false
	}
	return true
}

func (h *harness) setFrozen(d *fakeDaemon, frozen bool) {
	if frozen == d.frozen {
		return
	}
	d.frozen = frozen
	if !frozen {
		h.unfreeze(d)
	}
}

// randomVerbs are the verbs of random scripts. A repeated verb is more frequent.
var randomVerbs = []string{
	"kill", "restart", "restart", "pause", "pause", "resume", "resume", "resume", "leave", "replace", "replace", "drain",
	"undrain", "store-down", "store-up", "store-up", "lose-answers", "drop-writes", "freeze", "freeze-before",
	"freeze-before", "unfreeze", "unfreeze", "pause-domain", "resume-domain", "delay-orders", "stall-load",
}

// randomScript runs count random commands with random waits between them.
func (h *harness) randomScript(seed uint64, count int) {
	random := rand.New(rand.NewPCG(seed, 4))
	for range count {
		h.play(h.randomCommand(random))
		h.run(time.Duration(random.IntN(200))*harnessStep, nil)
	}
}

func (h *harness) randomCommand(random *rand.Rand) string {
	verb := randomVerbs[random.IntN(len(randomVerbs))]
	target := string(h.engineIDs[random.IntN(len(h.engineIDs))])
	domain := h.engines[ID(target)].listing.domain
	switch verb {
	case "pause-domain":
		return "pause " + domain
	case "resume-domain":
		return "resume " + domain
	case "lose-answers", "drop-writes", "freeze-before", "delay-orders":
		return verb + " " + strconv.Itoa(1+random.IntN(3))
	case "freeze":
		return []string{"freeze holder", "freeze a", "freeze b"}[random.IntN(3)]
	case "unfreeze":
		return "unfreeze " + []string{"a", "b", "all"}[random.IntN(3)]
	}
	return verb + " " + target
}
