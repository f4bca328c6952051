package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// poisonPart is the name of a part that crashes each replica that begins to answer a prompt with it.
const poisonPart = "poison"

// The platform's bounds on requests with such a part, and what surrounds them.
const (
	crashesBeforeBound = 5
	boundDelay         = 3 * time.Second // after the last of these crashes
	maxPoisonSends     = 3               // later than that
	minSoundShare      = 0.5             // of the usual share of sound requests that begin at the first attempt
	soundDelay         = 2 * boundDelay  // after the crashes, until that share counts
	replicaDownTime    = 4 * time.Second
)

// partsLoad is a load of requests that share parts of their prompts.
type partsLoad struct {
	daemons, replicas int
	subjects          int     // second parts of sound prompts
	rate              float64 // of sound requests, per second
	poisonRate        float64 // of requests with the part that crashes replicas, per second
	resetRate         float64 // of interruptions of all requests at a replica that does not crash, per second
	lossRate          float64 // of losses of a quarter of the replicas at once, per second
}

// partsLoads are the loads of a small, a medium and a large fleet.
var partsLoads = []partsLoad{
	{daemons: 7, replicas: 12, subjects: 40, rate: 60, poisonRate: 6},
	{daemons: 66, replicas: 38, subjects: 200, rate: 180, poisonRate: 12},
	{daemons: 300, replicas: 80, subjects: 600, rate: 380, poisonRate: 20},
}

// partsResult is what a load with parts that crash replicas cost.
type partsResult struct {
	crashes      int
	lateSends    int     // of requests with the part, after the bound applies
	soundBefore  float64 // share of the sound requests that began at the first attempt
	soundAfter   float64
	wrongRefused int // sound requests that were refused as poison
}

// partsTrouble is when the requests with the part begin, and partsEnd when the load ends.
const (
	partsTrouble = 6 * time.Second
	partsEnd     = 20 * time.Second
)

// withoutPoison returns the load without the part that crashes replicas, but with replicas that are reset and lost for other reasons.
func (l partsLoad) withoutPoison() partsLoad {
	l.poisonRate, l.resetRate, l.lossRate = 0, 3, 0.4
	return l
}

// runParts plays a load with a seed.
func runParts(load partsLoad, seed uint64) partsResult {
	cl := newCluster(load.daemons, load.replicas, false)
	cl.downTime = replicaDownTime
	random := rand.New(rand.NewPCG(seed, 6))
	every := func(rate float64, from time.Duration, run func()) {
		var next func()
		next = func() {
			if cl.now.Sub(epoch) < partsEnd {
				run()
				cl.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		if rate > 0 {
			cl.after(from, next)
		}
	}
	every(load.rate, 0, func() {
		subject := int(float64(load.subjects) * random.Float64() * random.Float64()) // some are asked for often, some seldom
		cl.arriveWithParts(random.IntN(load.daemons), "system", fmt.Sprint("subject-", subject))
	})
	every(load.poisonRate, partsTrouble, func() {
		cl.arriveWithParts(random.IntN(load.daemons), "system", poisonPart)
	})
	every(load.lossRate, partsTrouble, func() {
		for i, t := range cl.targets {
			if i%4 == random.IntN(4) {
				cl.crash(t.name)
			}
		}
	})
	every(load.resetRate, partsTrouble, func() { cl.reset(cl.targets[random.IntN(len(cl.targets))].name) })
	cl.run(partsEnd + time.Second)
	return cl.partsResult()
}

// arriveWithParts sends a request with unique content and the parts of its prompt to a daemon.
func (cl *cluster) arriveWithParts(daemon int, parts ...string) {
	c := &clusterCall{
		id: ID(len(cl.calls)), daemon: daemon, arrived: cl.now, timeout: callTimeout, contentHash: uint64(1000 + len(cl.calls)),
		organisation: "one", parts: parts,
	}
	cl.calls = append(cl.calls, c)
	cl.feed(daemon, NewArrived(NewRequest(c.id, fmt.Sprint(c.id), "pond", "/draft/x", c.organisation).WithModel("m", 500, 100).
		WithTimeout(callTimeout).WithContentHash(c.contentHash).WithParts(parts...)))
}

func (cl *cluster) ownerOfPart(part string) string {
	return strconv.Itoa(int(partHash(part) % uint64(len(cl.daemons))))
}

// isDown reports whether a replica does not answer after a crash.
func (cl *cluster) isDown(name string) bool { return cl.now.Before(cl.downUntil[name]) }

// reset interrupts all requests at a replica, which goes on.
func (cl *cluster) reset(name string) {
	running := append(cl.running[name], cl.waiting[name]...)
	cl.running[name], cl.waiting[name] = nil, nil
	for _, c := range running {
		a := c.attempt
		cl.after(messageDelay, func() { cl.feed(c.daemon, NewFailed(a, Interrupted)) })
	}
}

// cancel removes a cancelled attempt from its replica.
func (cl *cluster) cancel(a AttemptID, daemon int) {
	isCancelled := func(c *clusterCall) bool { return c.daemon == daemon && c.attempt == a }
	for _, t := range cl.targets {
		cl.running[t.name] = slices.DeleteFunc(cl.running[t.name], isCancelled)
		cl.waiting[t.name] = slices.DeleteFunc(cl.waiting[t.name], isCancelled)
	}
	cl.after(messageDelay, func() { cl.feed(daemon, NewFailed(a, Halted)) })
}

func (cl *cluster) partsResult() partsResult {
	result := partsResult{crashes: len(cl.crashedAt)}
	bound := epoch.Add(partsEnd)
	if len(cl.crashedAt) > 0 {
		bound = cl.crashedAt[min(crashesBeforeBound, len(cl.crashedAt))-1]
	}
	for _, at := range cl.poisonSends {
		if len(cl.crashedAt) >= crashesBeforeBound && at.After(bound.Add(boundDelay)) {
			result.lateSends++
		}
	}
	share := func(from, to time.Time) float64 {
		all, begun := 0, 0
		for _, c := range cl.calls {
			if slices.Contains(c.parts, poisonPart) || c.arrived.Before(from) || !c.arrived.Before(to) {
				continue
			}
			all++
			if c.begunAtFirst {
				begun++
			}
		}
		return float64(begun) / float64(max(all, 1))
	}
	result.soundBefore = share(epoch.Add(time.Second), epoch.Add(partsTrouble))
	result.soundAfter = share(bound.Add(soundDelay), epoch.Add(partsEnd))
	for _, c := range cl.calls {
		if !slices.Contains(c.parts, poisonPart) && c.isRefused && c.reason == Poison {
			result.wrongRefused++
		}
	}
	return result
}

var partsSeeds = flag.Uint64("parts.seeds", 2, "number of seeds of the runs with parts that crash replicas")

func TestPartThatCrashesReplicas(t *testing.T) {
	for _, load := range partsLoads {
		Convey(fmt.Sprintf("Requests that share a part which crashes replicas are stopped in time at %d daemons, and sound ones begin", load.daemons), t, func() {
			for seed := range *partsSeeds {
				result := runParts(load, seed)
				Printf("\n%d daemons, seed %d: %+v", load.daemons, seed, result)
				So(result.lateSends, ShouldBeLessThanOrEqualTo, maxPoisonSends)
				So(result.soundAfter, ShouldBeGreaterThanOrEqualTo, minSoundShare*result.soundBefore)
				So(result.wrongRefused, ShouldEqual, 0)
			}
		})
	}
}

func TestPartRefusedWithoutCause(t *testing.T) {
	for _, load := range partsLoads {
		Convey(fmt.Sprintf("No part is refused at %d daemons whose replicas are reset and lost for other reasons", load.daemons), t, func() {
			for seed := range *partsSeeds {
				result := runParts(load.withoutPoison(), seed)
				Printf("\n%d daemons, seed %d: %+v", load.daemons, seed, result)
				So(result.crashes, ShouldBeGreaterThan, 0)
				So(result.wrongRefused, ShouldEqual, 0)
			}
		})
	}
}
