package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The decisions of this file answer many daemons that send to the same replicas: each sees a replica's load only by the
// few answers that it gets itself, seconds late, so that calls queue in some replicas while others have free slots. The
// replicas of a model are divided into a few shares. One daemon keeps the count of each share, and the others ask it for a
// place before they send. Where all are taken, calls wait with that daemon, which gives a place that becomes free to the
// most urgent one of all.

// shares is into how many parts the replicas of a model are divided. More of them divide the work of keeping count, fewer
// let a call take the next place that becomes free at more replicas.
const shares = 4 // a dozen replicas of a small fleet make three in each, of which one frees a place each 50 ms

// The bounds of asking.
const (
	askLimit = 40 * time.Millisecond // ten round trips between the data centres of a region
	askMute  = time.Second           // a daemon that did not answer is not asked; a restart takes about as long
	askTries = 2                     // shares asked for a free place before a call waits for one
)

// Shard is a part of the replicas of a model, whose count one daemon keeps.
type Shard struct {
	model  string
	number uint64
}

// shareOf returns the share of the replica of that head.
func shareOf(model, head string) Shard { return Shard{model, xxhash.Sum64String(head) % shares} }

// NewShard returns a share of the replicas of model.
func NewShard(model string, number uint64) Shard { return Shard{model, number % shares} }

// Model returns the model whose replicas they are.
func (s Shard) Model() string { return s.model }

// Number returns which of the shares of the model it is.
func (s Shard) Number() uint64 { return s.number }

// String returns the name of the share.
func (s Shard) String() string { return s.model + "/" + strconv.FormatUint(s.number, 10) }

// ask is a question for a place that has not been answered.
type ask struct {
	call  *call
	share Shard
	owner string
	until time.Time // when an answer is due
	last  bool      // no other share is asked
	waits bool      // the call waits there until a place becomes free
}

// pressure is what the daemon that keeps the count of a share last told of it.
type pressure struct {
	excess int // calls that wait, less the places that are free
	at     time.Time
}

// pressureKept is how long an answer tells how full a share is; places turn over within a few seconds.
const pressureKept = time.Second

// mayAsk reports whether a call is to have a place before it is sent; what has run already is not held up.
func (s *State) mayAsk(c *call) bool { return !s.open && c.sends == 0 && s.isModel(c) }

// askFor asks for a free place for a call, first in two shares and then for one to wait for in the less full of all; it
// sends the call if there is nobody to ask.
func (s *State) askFor(now time.Time, up Upstreams, c *call) {
	share, isFound := s.pickShare(now, up, c)
	left := time.Duration(0)
	if len(c.denied) >= askTries || !isFound {
		share, isFound = s.leastShare(now, up, c)
		left = max(s.patienceOf(c).Sub(now), 1)
	}
	owner := up.Owner(share)
	if !isFound || now.Before(s.mute[owner]) {
		s.placeUnasked(now, up, c)
		return
	}
	s.asked++
	s.asks[s.asked] = &ask{c, share, owner, now.Add(askLimit), left > 0, false}
	wish := SlotRequest{
		id: s.asked, shard: share, prompt: c.prompt, priority: c.priority,
		onTimeWait: max(s.freshUntil(c).Sub(now), 0), maxWait: left,
		organisation: c.organisation,
	}
	if owner != "" {
		s.emit(RequestSlot{owner, wish})
		return
	}
	s.answered(now, up, s.consider(now, up, "", wish))
}

// pickShare returns the less full one of the shares of two replicas, drawn at random.
func (s *State) pickShare(now time.Time, up Upstreams, c *call) (Shard, bool) {
	var all []Shard
	for _, t := range s.targets(up, c) {
		if one := shareOf(c.model, t.name); !slices.Contains(c.denied, one) {
			all = append(all, one)
		}
	}
	if len(all) == 0 {
		return Shard{}, false
	}
	a, b := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
	if s.excess(now, b) < s.excess(now, a) {
		a = b
	}
	return a, true
}

// leastShare returns the share of a model that is believed to be the least full for its replicas.
func (s *State) leastShare(now time.Time, up Upstreams, c *call) (Shard, bool) {
	replicas := map[Shard]int{}
	for _, t := range s.targets(up, c) {
		replicas[shareOf(c.model, t.name)]++
	}
	var best Shard
	least := 0.0
	for i, one := range sortedShares(replicas) {
		if fullness := float64(s.excess(now, one)) / float64(replicas[one]); i == 0 || fullness < least {
			best, least = one, fullness
		}
	}
	return best, len(replicas) > 0
}

func (s *State) excess(now time.Time, share Shard) int {
	if p := s.pressures[share]; now.Sub(p.at) <= pressureKept {
		return p.excess
	}
	return 0
}

// freshUntil returns until when a call that waits can still be on time.
func (s *State) freshUntil(c *call) time.Time {
	if c.isReturned() {
		return c.arrived
	}
	engine, model := s.engineOf(c)
	first := time.Duration(firstPasses*float64(engine.EventInterval(model, engine.Slots()))) + firstReads*engine.Read(model, c.prompt)
	return c.arrived.Add(c.route.LatencyGoal() - first)
}

// What the first event of a call takes at a full replica.
const (
	firstPasses = 2.5 // half of the one that runs, one that reads the prompt, one that writes the first event
	firstReads  = 2   // its own prompt and that of another call
)

// answered takes in whether a call has a place.
func (s *State) answered(now time.Time, up Upstreams, e SlotReply) {
	one := s.asks[e.requestID]
	if one == nil {
		s.giveBack(up, e) // it took too long, and the call went on without
		return
	}
	c := one.call
	s.pressures[one.share] = pressure{e.excess, now}
	if e.status == SlotQueued {
		one.waits, one.until = true, s.patienceOf(c).Add(askLimit)
		if c.queued.IsZero() {
			c.queued = now
			s.note(now, c, NoteQueued, "", one.share.String(), Inputs{waiting: e.excess})
		}
		return
	}
	delete(s.asks, e.requestID)
	if e.status == SlotNoReplicas {
		s.mute[one.owner] = now.Add(askMute)
	}
	isLive := s.calls[c.id] == c
	if e.status == SlotGranted && isLive && s.sendTo(now, up, c, e) {
		return
	}
	s.giveBack(up, e)
	if isLive {
		s.denied(now, up, c, one, e.status)
	}
}

// giveBack lets the daemon that keeps count know that a place it gave is not used.
func (s *State) giveBack(up Upstreams, e SlotReply) {
	if e.status != SlotGranted {
		return
	}
	if share, isListed := s.shareOfHead(up, e.upstream); isListed {
		s.upstream(e.upstream).model = share.model
		s.changed[e.upstream] = true
	}
}

// sendTo sends a call to the place that it was given, and reports whether that is still possible.
func (s *State) sendTo(now time.Time, up Upstreams, c *call, e SlotReply) bool {
	own := s.upstream(e.upstream)
	i := slices.IndexFunc(s.targets(up, c), func(t Target) bool { return t.name == e.upstream })
	if i < 0 || now.Before(own.avoid) {
		return false
	}
	t := s.targets(up, c)[i]
	own.report(now, NewLoad(e.calls-1, 0, t.slots)) // the call itself is counted when it is sent
	one := choice{target: t, own: own, calls: float64(e.calls)}
	one.cost = s.firstEvent(c, one)
	s.send(now, c, one, e.calls)
	return true
}

// denied asks for a place in another share, and refuses the call if that helps no more.
func (s *State) denied(now time.Time, up Upstreams, c *call, one *ask, verdict SlotStatus) {
	c.denied = append(c.denied, one.share)
	switch {
	case verdict == SlotGranted, verdict == SlotNoReplicas:
		s.placeUnasked(now, up, c)
	case !one.last:
		s.askFor(now, up, c)
	default:
		s.giveUp(now, c, Overload, s.againLater(now, c))
	}
}

// againLater returns when a caller should come back whose call found no place in any line: as late as callers heed, since
// all places have gone to others for a while, and spread so that they don't return together.
func (s *State) againLater(now time.Time, c *call) time.Duration {
	most := againOfWay * float64(c.ends.Sub(now))
	return time.Duration(most * (1 + s.random.Float64()) / 2)
}

// checkAsks goes on with the calls whose question was not answered in time, or waits with a daemon that does not keep the
// count any more.
func (s *State) checkAsks(now time.Time, up Upstreams) {
	for _, id := range slices.Sorted(maps.Keys(s.asks)) {
		one := s.asks[id]
		isMoved := one.waits && up.Owner(one.share) != one.owner
		if now.Before(one.until) && !isMoved {
			continue
		}
		delete(s.asks, id)
		switch c := one.call; {
		case s.calls[c.id] != c:
		case isMoved:
			s.askFor(now, up, c)
		case one.waits:
			s.giveUp(now, c, Overload, s.againLater(now, c))
		default:
			s.mute[one.owner] = now.Add(askMute)
			s.placeUnasked(now, up, c)
		}
	}
}

// recall notes that the number of calls at a replica changed.
func (s *State) recall(c *call, name string) {
	if s.isModel(c) {
		s.changed[name] = true
		s.upstream(name).model = c.model
	}
}

// tellClaims tells the daemons that keep count how many calls this one has at replicas where that changed, or whose count
// another daemon keeps now.
func (s *State) tellClaims(now time.Time, up Upstreams) {
	claims := map[string]map[string]ReplicaUsage{}
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[name]
		if u.model == "" || u.running == 0 && !s.changed[name] {
			continue
		}
		owner := up.Owner(shareOf(u.model, name))
		if !s.changed[name] && u.owner == owner {
			continue
		}
		u.owner = owner
		if claims[owner] == nil {
			claims[owner] = map[string]ReplicaUsage{}
		}
		claims[owner][name] = ReplicaUsage{u.running, u.pace}
		u.pace = 0
	}
	clear(s.changed)
	for _, owner := range slices.Sorted(maps.Keys(claims)) {
		if owner == "" {
			s.claimed(now, up, UsageReported{"", claims[owner]})
			continue
		}
		s.emit(ReportUsage{owner, claims[owner]})
	}
}
