package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The bounds of keeping count for other daemons.
const (
	claimKept = 10 * time.Second // calls last some three seconds; claims are renewed with each change
	maxWishes = 1024             // that wait for one share; a second of calls at the largest fleets
	readPart  = 0.5              // of the pace of reading, while tokens are written too
)

// ledger is the count of the calls at the replicas of a share.
type ledger struct {
	heads  map[string]*tally
	wishes []wish           // that wait for a place
	given  map[string]*rate // places that each organisation got
	ended  rate             // places that became free
	eased  time.Time        // when a place was last left for a call that can only be late
}

// tally is the count of the calls at one replica.
type tally struct {
	claims  map[string]claim // of daemons, this one under ""
	unread  float64          // prompt tokens that are believed to wait to be read
	at      time.Time        // when that was so
	slow    float64          // how many times as long as expected first events take, 0 if that is not known
	tried   bool             // a call tries whether it is still slow
	learned time.Time        // when that was last told
}

// claim is how many calls one daemon has at a replica.
type claim struct {
	calls int
	at    time.Time
}

// wish is a question that waits.
type wish struct {
	SlotRequest
	from string
	at   time.Time
}

func (s *State) ledger(share Shard) *ledger {
	l := s.ledgers[share]
	if l == nil {
		l = &ledger{heads: map[string]*tally{}, given: map[string]*rate{}}
		s.ledgers[share] = l
	}
	return l
}

func (l *ledger) tally(head string) *tally {
	t := l.heads[head]
	if t == nil {
		t = &tally{claims: map[string]claim{}}
		l.heads[head] = t
	}
	return t
}

func (t *tally) total() int {
	total := 0
	for _, one := range t.claims {
		total += one.calls
	}
	return total
}

// set takes over how many calls a daemon has, and forgets claims that were not renewed.
func (t *tally) set(now time.Time, from string, calls int) {
	t.claims[from] = claim{calls, now}
	t.lapse(now)
}

func (t *tally) lapse(now time.Time) {
	maps.DeleteFunc(t.claims, func(_ string, one claim) bool { return one.calls <= 0 || now.Sub(one.at) > claimKept })
}

// read takes over that prompts were read meanwhile.
func (t *tally) read(now time.Time, pace float64) {
	t.unread = max(t.unread-now.Sub(t.at).Seconds()*pace, 0)
	t.at = now
}

// consider answers a question: the call gets a place, waits for one, or must look elsewhere.
func (s *State) consider(now time.Time, up Upstreams, from string, w SlotRequest) SlotReply {
	l := s.ledger(w.shard)
	one := wish{w, from, now}
	answer := SlotReply{requestID: w.id, status: SlotDenied, excess: len(l.wishes) + 1}
	if !s.isCounted(up, w.shard) {
		answer.status = SlotNoReplicas
		return answer
	}
	if len(l.wishes) == 0 {
		l.eased = now
		if head, isFree := s.freest(now, up, w); isFree {
			return s.give(now, up, l, one, head)
		}
	}
	if w.maxWait > 0 && len(l.wishes) < maxWishes && !l.isHopeless(now, one) && l.expects(now, one) <= w.maxWait {
		l.wishes = append(l.wishes, one)
		answer.status = SlotQueued
	}
	return answer
}

// freest returns the replica of a share where a call is expected to begin soonest, if one has a free slot.
func (s *State) freest(now time.Time, up Upstreams, w SlotRequest) (Target, bool) {
	service, _ := s.config.EngineService()
	engine := service.Engine()
	model, _ := engine.Model(w.shard.model)
	l := s.ledger(w.shard)
	var best Target
	var least time.Duration
	isFound := false
	for _, t := range up.Replicas(w.shard.model) {
		if shareOf(w.shard.model, t.name) != w.shard {
			continue
		}
		count := l.tally(t.name)
		count.read(now, readPart/max(engine.Read(model, 1).Seconds()*t.slowdown, 1e-9))
		count.lapse(now)
		calls := count.total()
		if calls >= l.places(now, count, t) || now.Before(s.upstream(t.name).avoid) {
			continue
		}
		cost := time.Duration(firstPasses*float64(engine.EventInterval(model, calls+1))) + engine.Read(model, int(count.unread)+w.prompt)
		cost = time.Duration(float64(cost) * t.slowdown * l.factor(now, count))
		if !isFound || cost < least {
			best, least, isFound = t, cost, true
		}
	}
	return best, isFound
}

// give counts a call at a replica.
func (s *State) give(now time.Time, up Upstreams, l *ledger, w wish, head Target) SlotReply {
	count := l.tally(head.name)
	count.claims[w.from] = claim{count.claims[w.from].calls + 1, now}
	count.unread += float64(w.prompt)
	count.try(now)
	l.give(now, w.organisation)
	return SlotReply{
		requestID: w.id, status: SlotGranted, upstream: head.name, calls: count.total(), excess: len(l.wishes) - s.free(now, up, w.shard),
	}
}

// free returns how many places are free in a share, without those at slow replicas.
func (s *State) free(now time.Time, up Upstreams, share Shard) int {
	l := s.ledger(share)
	free := 0
	for _, t := range up.Replicas(share.model) {
		if shareOf(share.model, t.name) == share && l.factor(now, l.tally(t.name)) == 1 {
			free += max(l.places(now, l.tally(t.name), t)-l.tally(t.name).total(), 0)
		}
	}
	return free
}

// isCounted reports whether a replica of a share is listed here.
func (s *State) isCounted(up Upstreams, share Shard) bool {
	return slices.ContainsFunc(up.Replicas(share.model), func(t Target) bool { return shareOf(share.model, t.name) == share })
}

// easedWithin is within which time a place was left for a call that can only be late, so that others may wait for one.
const easedWithin = time.Second // some fifty places of a share become free in that time

// isHopeless reports whether a call can only be late and all places go to those that can be on time.
func (l *ledger) isHopeless(now time.Time, w wish) bool {
	return !l.isShort(now, w.organisation) && w.isLate(now) && now.Sub(l.eased) > easedWithin
}

// expects returns how long a call would wait behind those that go first, at the pace at which places become free.
func (l *ledger) expects(now time.Time, w wish) time.Duration {
	ahead := 0
	for _, other := range l.wishes {
		if l.compare(now, other, w) < 0 {
			ahead++
		}
	}
	per := l.ended.per(now)
	if per <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / per * float64(time.Second))
}

// compare orders calls that wait: those of an organisation that got far less than its part, those that can be on time, the
// more urgent, those of the organisation that got least, the older.
func (l *ledger) compare(now time.Time, a, b wish) int {
	return cmp.Or(
		cmp.Compare(asNumber(l.isShort(now, b.organisation)), asNumber(l.isShort(now, a.organisation))),
		cmp.Compare(asNumber(a.isLate(now)), asNumber(b.isLate(now))),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(l.part(now, a.organisation), l.part(now, b.organisation)),
		a.at.Compare(b.at),
	)
}

func (w wish) isLate(now time.Time) bool { return now.Sub(w.at) > w.onTimeWait }

// serveWishes gives the places that are free in a share to the calls that wait for one.
func (s *State) serveWishes(now time.Time, up Upstreams, share Shard) {
	l := s.ledger(share)
	l.wishes = slices.DeleteFunc(l.wishes, func(w wish) bool { return now.Sub(w.at) >= w.maxWait })
	s.denyHopeless(now, up, l)
	for len(l.wishes) > 0 {
		best := slices.MinFunc(l.wishes, func(a, b wish) int { return l.compare(now, a, b) })
		head, isFree := s.freest(now, up, best.SlotRequest)
		if !isFree {
			return
		}
		l.wishes = slices.DeleteFunc(l.wishes, func(w wish) bool { return w.from == best.from && w.id == best.id })
		if best.isLate(now) || len(l.wishes) == 0 {
			l.eased = now
		}
		s.reply(now, up, best, s.give(now, up, l, best, head))
	}
	l.eased = now
}

// denyHopeless answers those that wait in vain.
func (s *State) denyHopeless(now time.Time, up Upstreams, l *ledger) {
	var denied []wish
	l.wishes = slices.DeleteFunc(l.wishes, func(w wish) bool {
		isHopeless := l.isHopeless(now, w)
		if isHopeless {
			denied = append(denied, w)
		}
		return isHopeless
	})
	for _, w := range denied {
		s.reply(now, up, w, SlotReply{requestID: w.id, status: SlotDenied, excess: len(l.wishes)})
	}
}

func (s *State) reply(now time.Time, up Upstreams, w wish, answer SlotReply) {
	if w.from != "" {
		s.emit(ReplySlot{w.from, answer})
		return
	}
	s.answered(now, up, answer)
}

// dropClaims forgets the calls of daemons that are gone.
func (s *State) dropClaims(live []string) {
	isGone := func(name string) bool { return name != "" && !slices.Contains(live, name) }
	for _, l := range s.ledgers {
		l.wishes = slices.DeleteFunc(l.wishes, func(w wish) bool { return isGone(w.from) })
		for _, count := range l.heads {
			maps.DeleteFunc(count.claims, func(name string, _ claim) bool { return isGone(name) })
		}
	}
}

// claimed takes in how many calls a daemon has at some replicas.
func (s *State) claimed(now time.Time, up Upstreams, e UsageReported) {
	freed := map[Shard]int{}
	for _, name := range slices.Sorted(maps.Keys(e.usage)) {
		share, isKnown := s.shareOfCount(up, name)
		if !isKnown {
			continue
		}
		l := s.ledger(share)
		count := l.tally(name)
		for range count.claims[e.from].calls - e.usage[name].calls {
			l.ended.add(now)
		}
		count.set(now, e.from, e.usage[name].calls)
		count.learn(now, e.usage[name].slowdown)
		freed[share]++
	}
	for _, share := range sortedShares(freed) {
		s.serveWishes(now, up, share)
	}
}

// shareOfHead returns the share of a replica that is listed.
func (s *State) shareOfHead(up Upstreams, head string) (Shard, bool) {
	service, _ := s.config.EngineService()
	for _, m := range service.Engine().Models() {
		for _, t := range up.Replicas(m.Name()) {
			if t.name == head {
				return shareOf(m.Name(), head), true
			}
		}
	}
	return Shard{}, false
}

// shareOfCount returns the share of a replica that is listed, or that was when calls were counted: calls that end meanwhile
// must not hold its places when it is formed again.
func (s *State) shareOfCount(up Upstreams, head string) (Shard, bool) {
	for share, l := range s.ledgers {
		if l.heads[head] != nil {
			return share, true
		}
	}
	return s.shareOfHead(up, head)
}

// serveLines serves the calls that wait here for places of which no daemon tells: a replica came, or claims lapsed.
func (s *State) serveLines(now time.Time, up Upstreams) {
	waiting := map[Shard]int{}
	for share, l := range s.ledgers {
		if len(l.wishes) == 0 {
			continue
		}
		waiting[share]++
		for _, count := range l.heads {
			count.lapse(now)
		}
	}
	for _, share := range sortedShares(waiting) {
		s.serveWishes(now, up, share)
	}
}

func sortedShares(set map[Shard]int) []Shard {
	return slices.SortedFunc(maps.Keys(set), func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.number, b.number))
	})
}

// forgetHeads forgets the counts of replicas that are listed no more.
func (s *State) forgetHeads(up Upstreams) {
	for share, l := range s.ledgers {
		for head := range l.heads {
			if _, isListed := s.shareOfHead(up, head); !isListed {
				delete(l.heads, head)
			}
		}
		maps.DeleteFunc(l.given, func(_ string, r *rate) bool { return r.per(s.cleaned) == 0 })
		if len(l.heads)+len(l.wishes) == 0 {
			delete(s.ledgers, share)
		}
	}
}
