package dispatch

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The ways to keep a limit over many daemons that docs/design/limits.md compares, in a model with requests only. Each request
// arrives at a random daemon, which may send it to any upstream whose limit its way allows, or refuses it.

// limitWay is a way to keep the limits of upstreams over all daemons.
type limitWay interface {
	// send returns the upstream that gets a request of a daemon, and whether there is one.
	send(now time.Time, daemon int) (upstream int, isSent bool)
}

// allowance is a limit that accumulates for a short time only.
type allowance struct {
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
}

func (a *allowance) take(now time.Time) bool {
	a.tokens, a.at = min(a.tokens+a.perSecond*now.Sub(a.at).Seconds(), a.burst), now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// grantingOwner is the way that was taken: one daemon grants the requests of all to an upstream.
type grantingOwner struct{ owners []allowance }

func (w *grantingOwner) send(now time.Time, _ int) (int, bool) {
	for i := range w.owners {
		if w.owners[i].take(now) {
			return i, true
		}
	}
	return 0, false
}

// equalShares gives each daemon an equal part of each limit, and a first request.
type equalShares struct{ shares [][]allowance } // by daemon and upstream

func (w *equalShares) send(now time.Time, daemon int) (int, bool) {
	for i := range w.shares[daemon] {
		if w.shares[daemon][i].take(now) {
			return i, true
		}
	}
	return 0, false
}

// fewSenders lets a few daemons send to an upstream, chosen by rendezvous hashing, with an equal part of its limit each.
type fewSenders struct{ equalShares }

func newFewSenders(daemons, upstreams, senders int, perSecond float64) *fewSenders {
	w := &fewSenders{newEqualShares(daemons, upstreams, 0)}
	for u := range upstreams {
		for d := range daemons {
			w.shares[d][u].tokens = 0
		}
		rank := func(daemon int) uint64 {
			h := fnv.New64a()
			fmt.Fprint(h, u, "/", daemon) // a hash never fails to write
			return h.Sum64()
		}
		var all []int
		for d := range daemons {
			all = append(all, d)
		}
		slices.SortFunc(all, func(a, b int) int {
			if rank(a) < rank(b) {
				return -1
			}
			return 1
		})
		for _, d := range all[:min(senders, daemons)] {
			w.shares[d][u].perSecond = perSecond / float64(min(senders, daemons))
		}
	}
	return w
}

func newEqualShares(daemons, upstreams int, perSecond float64) equalShares {
	w := equalShares{make([][]allowance, daemons)}
	for d := range daemons {
		w.shares[d] = make([]allowance, upstreams)
		for u := range upstreams {
			w.shares[d][u] = allowance{perSecond: perSecond / float64(daemons), burst: 1, tokens: 1, at: epoch}
		}
	}
	return w
}

func newGrantingOwner(upstreams int, perSecond float64) *grantingOwner {
	w := &grantingOwner{make([]allowance, upstreams)}
	for u := range upstreams {
		w.owners[u] = allowance{perSecond: perSecond, burst: limitBurst + perSecond*limitBurstTime.Seconds(), at: epoch}
	}
	return w
}

// weigh returns the requests that an upstream gets on average, relative to its limit, and the most in a window, relative to what the rule
// allows, with an idle time before, and requests at load times the limits.
func weigh(w limitWay, daemons, upstreams int, perSecond, load float64, seed uint64) (use, worst float64) {
	const duration = time.Minute
	random, idle := rand.New(rand.NewPCG(seed, 31)), 20*time.Second
	sent := make([][]time.Duration, upstreams)
	allowed := limitRatio*perSecond*limitWindow.Seconds() + limitExtra
	mean := float64(time.Second) / (load * perSecond * float64(upstreams))
	total := 0
	for at := idle; at < idle+duration; at += time.Duration(random.ExpFloat64() * mean) {
		u, isSent := w.send(epoch.Add(at), random.IntN(daemons))
		if !isSent {
			continue
		}
		total++
		sent[u] = append(sent[u], at)
		for at-sent[u][0] > limitWindow {
			sent[u] = sent[u][1:]
		}
		worst = max(worst, float64(len(sent[u]))/allowed)
	}
	return float64(total) / (perSecond * float64(upstreams) * duration.Seconds()), worst
}

var weighLimits = flag.Bool("limits.weigh", false, "print the figures of docs/design/limits.md")

func TestLimitWays(t *testing.T) {
	Convey("Only an owner that grants the requests of all daemons keeps a limit and uses it, whatever the number of daemons", t, func() {
		const upstreams = 12
		for _, daemons := range []int{7, 66, 300} {
			for _, perSecond := range []float64{0.5, 2, 10} {
				for _, load := range []float64{0.7, 1.5} {
					shares := newEqualShares(daemons, upstreams, perSecond)
					ways := map[string]limitWay{
						"owner": newGrantingOwner(upstreams, perSecond), "shares": &shares,
						"senders": newFewSenders(daemons, upstreams, 3, perSecond),
					}
					for _, name := range slices.Sorted(maps.Keys(ways)) {
						use, worst := weigh(ways[name], daemons, upstreams, perSecond, load, 1)
						if *weighLimits {
							fmt.Printf("\n| %d | %v | %v | %s | %.2f | %.2f |\n", daemons, perSecond, load, name, use/min(load, 1), worst)
						}
						if name == "owner" {
							So(use, ShouldBeGreaterThan, minLimitUse*min(load, 1))
							So(worst, ShouldBeLessThanOrEqualTo, 1)
						}
					}
				}
			}
		}
	})
}
