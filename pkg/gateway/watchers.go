package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// An instance is probed by two watchers in different data centres, not by all daemons that have calls at its replica: probes would grow
// as daemons times losses. A daemon that suspects a replica informs its first watcher, which probes all members. When one misses a probe,
// the second watcher probes that one too. An instance is dead for all once both find that, or the leader does.

// The times of suspicions.
const (
	watchAckTimeout    = 300 * time.Millisecond  // after which a daemon probes itself that got no reply
	watchResultTimeout = 600 * time.Millisecond  // from the reply until all members answered or one missed two probes
	watchDeathTimeout  = 1600 * time.Millisecond // from then until a member that stays silent is dead
	watchRoundTTL      = 3 * time.Second
	watcherBackoff     = time.Second            // of a watcher that did not reply
	answerTTL          = 200 * time.Millisecond // less than any stall timeout: whoever answered since then did not cause the stall
	agreementTimeout   = 400 * time.Millisecond // between the findings of two watchers, after which the leader probes itself
	maxWatchers        = 3                      // the third takes over from one that did not reply
)

// watcher is what a daemon asked of the watchers of instances, and what it does as one.
type watcher struct {
	daemons      []peer.Member // that may watch
	unresponsive map[string]time.Time
	asked        map[replica.ID]*askedWatcher // by replica
	rounds       map[replica.ID]*watchRound   // by replica or instance
	answeredAt   map[replica.ID]time.Time     // a probe of this daemon
	found        map[replica.ID]map[string]time.Time
}

// newWatcher returns the state of a daemon that knows no other yet, as after a start or a freeze.
func newWatcher() watcher {
	return watcher{
		unresponsive: map[string]time.Time{}, asked: map[replica.ID]*askedWatcher{}, rounds: map[replica.ID]*watchRound{},
		answeredAt: map[replica.ID]time.Time{}, found: map[replica.ID]map[string]time.Time{},
	}
}

// askedWatcher is a suspicion that a watcher was informed of.
type askedWatcher struct {
	watcher                  string
	askedAt, begunAt, silent time.Time
}

// isOverdue reports whether the watcher should have replied or found something by now.
func (a *askedWatcher) isOverdue(now time.Time, lag time.Duration) bool {
	switch {
	case !a.silent.IsZero():
		return now.Sub(a.silent) > watchDeathTimeout+lag
	case !a.begunAt.IsZero():
		return now.Sub(a.begunAt) > watchResultTimeout+lag
	}
	return now.Sub(a.askedAt) > watchAckTimeout+lag
}

// watchRound is the probes of the members of a replica, or of one instance, by this daemon.
type watchRound struct {
	begunAt   time.Time
	pending   map[replica.ID]bool // neither answered nor dead
	informers map[string]bool     // other daemons
	silent    replica.ID          // that missed two probes, empty for none
	isSecond  bool                // another watcher asked for it
	confirmed map[replica.ID]bool // that another watcher probes too
}

// refreshWatchers selects the daemons that may watch: those with all paths to upstreams, or any if there are none.
func (s *State) refreshWatchers(now time.Time, fresh []peer.Member) {
	candidates := slices.DeleteFunc(s.withOwn(fresh), func(m peer.Member) bool {
		return m.Leaving() || m.Name() == s.members.self && !s.stopping.IsZero()
	})
	s.watcher.daemons = slices.DeleteFunc(slices.Clone(candidates), func(m peer.Member) bool {
		return s.pathAccessOf(now, m.Name()) != relay.AccessFull
	})
	if len(s.watcher.daemons) == 0 {
		s.watcher.daemons = candidates
	}
}

// watchersOf returns the watchers of a replica or an instance, the first one first. They are in different data centres if there are
// enough. Rendezvous hashing moves few of them when a daemon joins or leaves.
func (s *State) watchersOf(now time.Time, key replica.ID) []string {
	type ranked struct {
		peer.Member
		hash uint64
	}
	var all []ranked
	for _, m := range s.watcher.daemons {
		if !now.Before(s.watcher.unresponsive[m.Name()]) {
			all = append(all, ranked{m, xxhash.Sum64String(string(key) + " " + m.Name())})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name(), b.Name())) })
	var watchers, others []string
	centres := map[string]bool{}
	for _, m := range all {
		if centres[m.Centre()] {
			others = append(others, m.Name())
			continue
		}
		centres[m.Centre()] = true
		watchers = append(watchers, m.Name())
	}
	watchers = append(watchers, others...)
	return watchers[:min(maxWatchers, len(watchers))]
}

// replicaKey returns the head of the replica of an instance, or the instance if it is in none.
func (s *State) replicaKey(id replica.ID) replica.ID {
	if head, isMember := s.replica.HeadOf(id); isMember {
		return head
	}
	return id
}

// suspect has all members of the replica of an instance probed, which gets no new calls until a watcher replies.
func (s *State) suspect(now time.Time, id replica.ID) {
	if !s.replica.IsKnown(id) {
		return // a process of a plain service
	}
	key := s.replicaKey(id)
	watchers := s.watchersOf(now, key)
	if len(watchers) == 0 || watchers[0] == s.members.self {
		s.watch(now, key, "", false)
		return
	}
	if s.watcher.asked[key] != nil || s.watcher.rounds[key] != nil {
		return
	}
	s.watcher.asked[key] = &askedWatcher{watcher: watchers[0], askedAt: now}
	s.sendSuspicion(now, watchers[0], key, false)
	if s.relay.Route(now, s, string(key)).IsDirect() { // calls go through peers otherwise, which may reach it
		s.reduceDispatch(now, dispatch.NewReplicaSuspended(string(key), now.Add(watchAckTimeout)))
	}
}

// watch probes the members of a replica, or one instance as its second watcher. A member that answers is probed once in a round.
func (s *State) watch(now time.Time, key replica.ID, informer string, isSecond bool) {
	round := s.watcher.rounds[key]
	if round == nil {
		round = &watchRound{
			begunAt: now, pending: map[replica.ID]bool{}, informers: map[string]bool{}, confirmed: map[replica.ID]bool{}, isSecond: isSecond,
		}
		s.watcher.rounds[key] = round
		s.beginRound(now, key, round)
	}
	if informer == "" {
		s.endRoundIfAnswered(now, key, round)
		return
	}
	round.informers[informer] = true
	s.sendFinding(now, informer, findingBegun, key, "")
	if round.silent != "" {
		s.sendFinding(now, informer, findingSilent, key, round.silent)
	}
	s.endRoundIfAnswered(now, key, round)
}

func (s *State) beginRound(now time.Time, key replica.ID, round *watchRound) {
	members := s.replica.Members(key)
	if len(members) == 0 || round.isSecond {
		members = []replica.ID{key}
	}
	for _, member := range members {
		switch {
		case s.replica.IsDead(member):
			round.silent = member
		case s.replica.IsKnown(member) && now.Sub(s.watcher.answeredAt[member]) >= answerTTL && s.maySuspect(now, member):
			round.pending[member] = true
			s.reduceReplica(now, replica.NewSuspected(member))
		}
	}
}

// endRoundIfAnswered ends a round in which all members answered.
func (s *State) endRoundIfAnswered(now time.Time, key replica.ID, round *watchRound) {
	if len(round.pending) > 0 || s.watcher.rounds[key] != round {
		return
	}
	delete(s.watcher.rounds, key)
	for _, informer := range slices.Sorted(maps.Keys(round.informers)) {
		s.sendFinding(now, informer, findingAnswered, key, "")
	}
}

// roundsOf returns the rounds in which the probes of an instance are pending.
func (s *State) roundsOf(id replica.ID) []replica.ID {
	var keys []replica.ID
	for key, round := range s.watcher.rounds {
		if round.pending[id] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// watchedAnswered handles that an instance answered a probe of this daemon.
func (s *State) watchedAnswered(now time.Time, id replica.ID) {
	s.watcher.answeredAt[id] = now
	delete(s.watcher.found, id)
	for _, key := range s.roundsOf(id) {
		round := s.watcher.rounds[key]
		delete(round.pending, id)
		if round.silent == id {
			round.silent = ""
		}
		s.endRoundIfAnswered(now, key, round)
	}
}

// watchedMissed handles that an instance missed a probe of this daemon: another watcher in another place probes it too.
func (s *State) watchedMissed(now time.Time, id replica.ID) {
	for _, key := range s.roundsOf(id) {
		round := s.watcher.rounds[key]
		if round.isSecond || round.confirmed[id] {
			continue
		}
		round.confirmed[id] = true
		if second := s.secondWatcher(now, key); second != "" {
			s.sendSuspicion(now, second, id, true)
		}
	}
}

// secondWatcher returns the first other watcher of a replica in another data centre, or any other, empty if there is none.
func (s *State) secondWatcher(now time.Time, key replica.ID) string {
	second := ""
	for _, name := range s.watchersOf(now, key) {
		switch {
		case name == s.members.self:
		case s.centreOf(name) != s.settings.centre:
			return name
		case second == "":
			second = name
		}
	}
	return second
}

// centreOf returns the data centre of a live daemon.
func (s *State) centreOf(name string) string {
	for _, m := range s.members.live {
		if m.Name() == name {
			return m.Centre()
		}
	}
	return ""
}

// watchedSilent tells the daemons that suspect a replica that a member missed two probes.
func (s *State) watchedSilent(now time.Time, id replica.ID) {
	for _, key := range s.roundsOf(id) {
		round := s.watcher.rounds[key]
		round.silent = id
		for _, informer := range slices.Sorted(maps.Keys(round.informers)) {
			s.sendFinding(now, informer, findingSilent, key, id)
		}
	}
}

// watchedDead tells the daemons that suspect a replica, and the leader, that this daemon finds a member dead.
func (s *State) watchedDead(now time.Time, id replica.ID) {
	informed := map[string]bool{s.members.self: true, "": true}
	inform := func(name string, key replica.ID) {
		if !informed[name] {
			informed[name] = true
			s.sendFinding(now, name, findingDead, key, id)
		}
	}
	for _, key := range s.roundsOf(id) {
		round := s.watcher.rounds[key]
		for _, informer := range slices.Sorted(maps.Keys(round.informers)) {
			inform(informer, key)
		}
		delete(round.pending, id)
		s.endRoundIfAnswered(now, key, round)
	}
	inform(s.members.leader, id)
}

// receiveVerdict handles that another daemon finds an instance dead. The finding of the leader counts alone, that of others once two in
// different places agree; a daemon alone may have lost its paths.
func (s *State) receiveVerdict(now time.Time, from string, id replica.ID) {
	if s.replica.IsDead(id) {
		return
	}
	if from != s.members.leader && !s.agrees(now, from, id) {
		return
	}
	delete(s.watcher.found, id)
	delete(s.watcher.asked, s.replicaKey(id))
	s.reduceReplica(now, replica.NewDeclaredDead(id))
	if s.replica.Leading() {
		s.announceDeath(now, id)
		return
	}
	s.breakReplica(now, id)
}

// agrees records that a daemon finds an instance dead, and reports whether another one in another place does.
func (s *State) agrees(now time.Time, from string, id replica.ID) bool {
	found := s.watcher.found[id]
	if found == nil {
		found = map[string]time.Time{}
		s.watcher.found[id] = found
	}
	if _, isKnown := found[from]; !isKnown {
		found[from] = now
	}
	centres := map[string]bool{}
	for _, m := range s.watcher.daemons {
		centres[m.Centre()] = true
	}
	for other := range found {
		if other != from && (len(centres) < 2 || s.centreOf(other) != s.centreOf(from)) {
			return true
		}
	}
	return false
}

// checkWatches probes the replicas whose watcher does not reply, and as the leader the instances that only one watcher finds dead.
func (s *State) checkWatches(now time.Time) {
	w := &s.watcher
	if len(w.asked)+len(w.rounds)+len(w.answeredAt)+len(w.found)+len(w.unresponsive) == 0 {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(w.asked)) {
		if a := w.asked[key]; a.isOverdue(now, s.lag.Recent(now)) {
			delete(w.asked, key)
			if a.begunAt.IsZero() {
				w.unresponsive[a.watcher] = now.Add(watcherBackoff)
			}
			s.watch(now, key, "", false)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.found)) {
		for _, at := range w.found[id] {
			if s.replica.Leading() && now.Sub(at) >= agreementTimeout {
				s.reduceReplica(now, replica.NewSuspected(id))
				break
			}
		}
		maps.DeleteFunc(w.found[id], func(_ string, at time.Time) bool { return now.Sub(at) > deadFactTTL })
		if len(w.found[id]) == 0 {
			delete(w.found, id)
		}
	}
	maps.DeleteFunc(w.rounds, func(_ replica.ID, round *watchRound) bool { return now.Sub(round.begunAt) > watchRoundTTL })
	maps.DeleteFunc(w.answeredAt, func(_ replica.ID, at time.Time) bool { return now.Sub(at) > answerTTL })
	maps.DeleteFunc(w.unresponsive, func(_ string, until time.Time) bool { return !now.Before(until) })
}
