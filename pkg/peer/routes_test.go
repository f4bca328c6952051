package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The parameters of flooding with route pruning, as in the paper "Dynamic Optimal Graph".
const (
	targetRedundancy = 1.0
	redundancyDelta  = 0.1
	adjustInterval   = time.Second
)

// The parameters of the simulation of flooding.
const (
	floodDegree     = 8
	floodInterval   = 250 * time.Millisecond
	floodItemBytes  = 60 // one update
	floodFrameBytes = 57 // an empty message with its framing
	floodKeyBytes   = 5  // the ID of an update in a control message
	restartInterval = time.Minute
)

// floodNode is one daemon that forwards all updates to all its neighbours, except over the routes that they disabled.
type floodNode struct {
	neighbours     []int
	seen           map[int]int          // update to its first sender
	disabledRoutes map[int]map[int]bool // source to targets that receive its updates over other routes
	queued         map[int][]int        // target to updates for the next round
	control        map[int][]int        // target to duplicate updates that it sent
	firstCopies    int
	duplicates     int
	mayPrune       bool
	resetsTo       map[int]bool
	nextAdjust     time.Time
}

func newFloodNode(neighbours []int) *floodNode {
	return &floodNode{
		neighbours: neighbours, seen: map[int]int{}, disabledRoutes: map[int]map[int]bool{},
		queued: map[int][]int{}, control: map[int][]int{}, resetsTo: map[int]bool{},
	}
}

// flood is a fleet of nodes that flood updates.
type flood struct {
	now          time.Time
	random       *rand.Rand
	nodes        []*floodNode
	prune        bool
	loss         float64
	bytes        int
	copies       int
	arrivalTimes map[int][]time.Duration // update to its ages when it arrived
	createdAt    map[int]time.Time
}

func newFlood(daemons int, prune bool, loss float64) *flood {
	f := &flood{
		now: epoch, random: rand.New(rand.NewPCG(1, 3)), prune: prune, loss: loss,
		arrivalTimes: map[int][]time.Duration{}, createdAt: map[int]time.Time{},
	}
	links := make([][]int, daemons)
	for i := range links {
		for len(links[i]) < min(floodDegree, daemons-1) {
			other := f.random.IntN(daemons)
			if other != i && !slices.Contains(links[i], other) {
				links[i] = append(links[i], other)
				links[other] = append(links[other], i)
			}
		}
	}
	for i := range links {
		slices.Sort(links[i])
		f.nodes = append(f.nodes, newFloodNode(slices.Compact(links[i])))
	}
	return f
}

// receive delivers an update to a daemon. The sender is negative at its origin.
func (f *flood) receive(to, from, id int) {
	n := f.nodes[to]
	if _, known := n.seen[id]; known {
		n.duplicates++
		if f.prune && n.mayPrune {
			n.mayPrune = false
			n.control[from] = append(n.control[from], id)
		}
		return
	}
	n.seen[id] = from
	n.firstCopies++
	f.arrivalTimes[id] = append(f.arrivalTimes[id], f.now.Sub(f.createdAt[id]))
	for _, target := range n.neighbours {
		if target != from && !n.disabledRoutes[from][target] {
			n.queued[target] = append(n.queued[target], id)
		}
	}
}

// step sends the queued messages of all daemons.
func (f *flood) step() {
	type frame struct {
		from, to         int
		updates, control []int
		reset            bool
	}
	var frames []frame
	for i, n := range f.nodes {
		f.adjustPruning(n)
		for _, to := range n.neighbours {
			if len(n.queued[to])+len(n.control[to]) > 0 || n.resetsTo[to] {
				frames = append(frames, frame{i, to, n.queued[to], n.control[to], n.resetsTo[to]})
			}
		}
		n.queued, n.control, n.resetsTo = map[int][]int{}, map[int][]int{}, map[int]bool{}
	}
	f.now = f.now.Add(floodInterval)
	for _, fr := range frames {
		f.bytes += floodFrameBytes + floodItemBytes*len(fr.updates) + floodKeyBytes*len(fr.control)
		f.copies += len(fr.updates)
		if f.random.Float64() < f.loss {
			continue
		}
		f.disableRoutes(fr.to, fr.from, fr.control)
		if fr.reset {
			f.nodes[fr.to].disabledRoutes = map[int]map[int]bool{}
		}
		for _, id := range fr.updates {
			f.receive(fr.to, fr.from, id)
		}
	}
}

// disableRoutes disables the routes over which target received duplicates.
func (f *flood) disableRoutes(at, target int, control []int) {
	n := f.nodes[at]
	for _, id := range control {
		source, known := n.seen[id]
		if !known || source < 0 {
			continue
		}
		if n.disabledRoutes[source] == nil {
			n.disabledRoutes[source] = map[int]bool{}
		}
		n.disabledRoutes[source][target] = true
	}
}

// adjustPruning periodically compares the redundancy of a daemon with the target.
func (f *flood) adjustPruning(n *floodNode) {
	if !f.prune || f.now.Before(n.nextAdjust) || n.firstCopies == 0 {
		return
	}
	n.nextAdjust = f.now.Add(adjustInterval)
	redundancy := float64(n.duplicates) / float64(n.firstCopies)
	n.firstCopies, n.duplicates = 0, 0
	n.mayPrune = redundancy > targetRedundancy*(1+redundancyDelta)
	if redundancy < targetRedundancy*(1-redundancyDelta) {
		n.resetsTo[n.neighbours[f.random.IntN(len(n.neighbours))]] = true
	}
}

// restart replaces a daemon by one with no state, and its neighbours drop its routes.
func (f *flood) restart(i int) {
	f.nodes[i] = newFloodNode(f.nodes[i].neighbours)
	for _, other := range f.nodes[i].neighbours {
		delete(f.nodes[other].disabledRoutes, i)
		for _, targets := range f.nodes[other].disabledRoutes {
			delete(targets, i)
		}
	}
}

// BenchmarkRoutes floods updates with and without the route pruning of "Dynamic Optimal Graph", while one daemon a minute
// restarts, at the rate of a day's churn and at that of heartbeats. It reports the duplicates, the bytes that a daemon
// sends per second, the time to reach the last daemon, and the share of updates that did not reach all.
func BenchmarkRoutes(b *testing.B) {
	for _, daemons := range []int{8, 64, 330} {
		for _, rate := range []struct {
			name     string
			interval time.Duration
			duration time.Duration
		}{{"churn", 60 * time.Second, 4 * time.Hour}, {"beats", 250 * time.Millisecond, 10 * time.Minute}} {
			for _, prune := range []bool{false, true} {
				b.Run(fmt.Sprintf("daemons=%d/news=%s/prune=%v", daemons, rate.name, prune), func(b *testing.B) {
					for range b.N {
						measureRoutes(b, newFlood(daemons, prune, 0), rate.interval, rate.duration)
					}
				})
			}
		}
	}
}

func measureRoutes(b *testing.B, f *flood, interval, duration time.Duration) {
	daemons := len(f.nodes)
	count := 0
	for start, nextCreation, nextRestart := f.now, f.now, f.now; f.now.Sub(start) < duration; f.step() {
		if !f.now.Before(nextRestart) {
			nextRestart = nextRestart.Add(restartInterval)
			f.restart(f.random.IntN(daemons))
		}
		for ; !f.now.Before(nextCreation); nextCreation = nextCreation.Add(interval) {
			f.createdAt[count] = f.now
			f.receive(f.random.IntN(daemons), -1, count)
			count++
		}
	}
	var slowest time.Duration
	missed := 0
	for id := range count - 1 {
		slowest = max(slowest, slices.Max(f.arrivalTimes[id]))
		if len(f.arrivalTimes[id]) < daemons {
			missed++
		}
	}
	b.ReportMetric(float64(f.copies)/float64(count*daemons)-1, "duplicates/news")
	b.ReportMetric(float64(f.bytes)/float64(daemons)/duration.Seconds(), "sentB/s")
	b.ReportMetric(slowest.Seconds(), "slowest-s")
	b.ReportMetric(float64(missed)/float64(count)*100, "%missed")
	b.ReportMetric(0, "ns/op")
}
