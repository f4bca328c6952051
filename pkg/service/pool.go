package service

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// remotePenalty is how many more calls a local upstream may have before one in another data centre is chosen.
	remotePenalty = 2
	// unreachableWindow is how long an unreachable upstream loses against every reachable one that pick draws.
	unreachableWindow = time.Second
	// unreachablePenalty exceeds any load.
	unreachablePenalty = 1 << 20
)

// pool holds the upstreams of one service and its retry budget.
type pool struct {
	service      Service
	upstreams    []*upstream
	retriesSpent float64
}

// upstream is one live process. Its load is the sum of inFlight, the calls of this daemon, and otherLoad, all others.
type upstream struct {
	Upstream
	inFlight         int
	otherLoad        int
	unreachableUntil time.Time
}

// setUpstreams replaces the live processes. The load that they report includes the calls of this daemon.
func (p *pool) setUpstreams(live []Upstream) {
	existing := map[string]*upstream{}
	for _, u := range p.upstreams {
		existing[u.address] = u
	}
	p.upstreams = p.upstreams[:0:0]
	for _, reported := range live {
		u := existing[reported.address]
		if u == nil {
			u = &upstream{}
		}
		u.Upstream = reported
		u.otherLoad = max(reported.load-u.inFlight, 0)
		p.upstreams = append(p.upstreams, u)
	}
	sort.Slice(p.upstreams, func(i, j int) bool { return p.upstreams[i].address < p.upstreams[j].address })
}

// pick returns the cheaper of two random upstreams that were not tried and are not leaving, or nil if there is none.
func (p *pool) pick(now time.Time, dataCentre string, tried []string, random *rand.PCG) *upstream {
	var eligible []*upstream
	for _, u := range p.upstreams {
		if !u.leaving && !contains(tried, u.address) {
			eligible = append(eligible, u)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	draw := rand.New(random)
	first := draw.IntN(len(eligible))
	if len(eligible) == 1 {
		return eligible[first]
	}
	second := draw.IntN(len(eligible) - 1)
	if second >= first {
		second++
	}
	if eligible[second].cost(now, dataCentre) < eligible[first].cost(now, dataCentre) {
		return eligible[second]
	}
	return eligible[first]
}

func (u *upstream) cost(now time.Time, dataCentre string) int {
	cost := u.otherLoad + u.inFlight
	if u.dataCentre != dataCentre {
		cost += remotePenalty
	}
	if now.Before(u.unreachableUntil) {
		cost += unreachablePenalty
	}
	return cost
}

func contains(addresses []string, wanted string) bool {
	for _, address := range addresses {
		if address == wanted {
			return true
		}
	}
	return false
}

// earnRetry adds the fraction of a retry that one call earns to the budget.
func (p *pool) earnRetry(ratio float64) { p.retriesSpent = max(p.retriesSpent-ratio, 0) }

// spendRetry reports whether the budget allows one more retry, and counts it.
func (p *pool) spendRetry(burst int) bool {
	if p.retriesSpent+1 > float64(burst) {
		return false
	}
	p.retriesSpent++
	return true
}
