package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
)

// The topics of letters about places at replicas.
const (
	wishTopic  = "wish"  // a daemon asks the one that keeps count
	placeTopic = "place" // the answer
	claimTopic = "claim" // how many calls a daemon has where
	crashTopic = "crash" // a request was at an upstream that broke off
)

// The lengths of the arrays that stand for letters about places.
const (
	fieldsOfWish  = 8
	fieldsOfPlace = 5
	fieldsOfCrash = 2
	fieldsOfClaim = 3
	maxClaims     = 1024
)

// Owner returns the daemon that keeps count of the calls in a share of the replicas, empty for this one: of those that
// are live the one with the highest hash, so that few shares move when one comes or goes.
func (s *State) Owner(share dispatch.Shard) string {
	owner, isKnown := s.owners[share]
	if !isKnown {
		owner = s.keeperOf(share.String())
		s.owners[share] = owner
	}
	if owner == s.members.self {
		return ""
	}
	return owner
}

// keeperOf returns the daemon that keeps something for all.
func (s *State) keeperOf(key string) string {
	weight := func(name string) uint64 { return xxhash.Sum64String(key + " " + name) }
	return slices.MaxFunc(s.keepers, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
}

// The choice of the daemons that keep count.
const (
	keepersMost = 16              // two models have eight shares; daemons that start and stop are seldom among the oldest
	keeperAge   = 3 * time.Second // a daemon that has just started knows of no replica for up to a second
)

// keep takes over which daemons keep count: the oldest that are live and not about to stop, so that few shares move while
// daemons are restarted one after the other.
func (s *State) keep(now time.Time, fresh []peer.Member) {
	live := []string{s.members.self}
	var old, young []peer.Member
	for _, one := range append(s.ownMember(), fresh...) {
		if one.Name() != s.members.self {
			live = append(live, one.Name())
		}
		switch {
		case one.Leaving() || one.Name() == s.members.self && !s.stopping.IsZero():
		case now.Sub(s.members.seenSince(now, one)) >= keeperAge:
			old = append(old, one)
		default:
			young = append(young, one)
		}
	}
	if len(old) == 0 {
		old = young
	}
	s.chooseKeepers(old)
	slices.Sort(live)
	if !slices.Equal(live, s.live) {
		s.live = live
		s.toDispatch(now, dispatch.NewPeersChanged(live))
	}
}

// chooseKeepers makes the oldest of some daemons keep count, this one if there are none.
func (s *State) chooseKeepers(able []peer.Member) {
	slices.SortFunc(able, byAge)
	var keepers []string
	for _, one := range able[:min(keepersMost, len(able))] {
		keepers = append(keepers, one.Name())
	}
	if len(keepers) == 0 {
		keepers = []string{s.members.self}
	}
	if !slices.Equal(keepers, s.keepers) {
		s.keepers = keepers
		clear(s.owners)
	}
}

// tellOfPlaces sends what the dispatch has to say to another daemon, and reports whether that was it.
func (s *State) tellOfPlaces(now time.Time, effect dispatch.Effect) bool {
	var to, topic string
	var values []any
	switch effect := effect.(type) {
	case dispatch.RequestSlot:
		to, topic, values = effect.Owner(), wishTopic, valuesOfWish(effect.Request())
	case dispatch.ReplySlot:
		to, topic, values = effect.To(), placeTopic, valuesOfPlace(effect.Reply())
	case dispatch.ReportUsage:
		to, topic, values = effect.Owner(), claimTopic, valuesOfClaims(effect.Usage())
	case dispatch.ReportCrash:
		key := strconv.FormatUint(effect.ContentHash(), hex)
		to, topic, values = s.keeperOf(key), crashTopic, []any{effect.ContentHash(), effect.Upstream()}
		if to == s.members.self {
			s.toDispatch(now, dispatch.NewCrashReported(effect.ContentHash(), effect.Upstream()))
			return true
		}
	case dispatch.MarkPoison:
		s.condemn(now, effect)
		return true
	default:
		return false
	}
	data, err := encodeValues(values)
	if err != nil {
		s.emit(Problem{topic + " not encoded", err.Error()})
		return true
	}
	s.toPeer(now, peer.NewTell(to, topic, data))
	return true
}

func valuesOfWish(w dispatch.SlotRequest) []any {
	return []any{
		w.ID(), w.Shard().Model(), w.Shard().Number(), w.Prompt(), w.Priority(),
		w.OnTimeWait().Milliseconds(), w.MaxWait().Milliseconds(), w.Organisation(),
	}
}

func valuesOfPlace(a dispatch.SlotReply) []any {
	return []any{a.RequestID(), uint8(a.Status()), a.Upstream(), a.Calls(), a.Excess()}
}

// paceParts is in how many parts the pace of a replica is told.
const paceParts = 10

func valuesOfClaims(held map[string]dispatch.ReplicaUsage) []any {
	var values []any
	for _, head := range slices.Sorted(maps.Keys(held)) {
		values = append(values, []any{head, held[head].Calls(), int(math.Round(held[head].Slowdown() * paceParts))})
	}
	return values
}

func encodeValues(values []any) ([]byte, error) {
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseCompactInts(true)
	err := e.Encode(values)
	return buffer.Bytes(), trace.Wrap(err)
}

// hearOfPlaces takes in what another daemon says of places.
func (s *State) hearOfPlaces(now time.Time, told peer.Told) {
	event, err := decodePlaces(told.Topic(), told.From(), told.Data())
	if err != nil {
		s.emit(Problem{told.Topic() + " of " + told.From() + " not read", err.Error()})
		return
	}
	s.toDispatch(now, event)
}

func decodePlaces(topic, from string, data []byte) (dispatch.Event, error) {
	f := fields{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	switch topic {
	case wishTopic:
		return dispatch.NewSlotRequested(from, f.wish()), f.err
	case placeTopic:
		return f.place(), f.err
	case claimTopic:
		return dispatch.NewUsageReported(from, f.claims()), f.err
	default:
		return f.crash(), f.err
	}
}

func (f *fields) crash() dispatch.CrashReported {
	if n := f.length(fieldsOfCrash); n != fieldsOfCrash {
		f.keep(trace.BadParameter("crash of %d fields", n))
	}
	return dispatch.NewCrashReported(f.number(), f.text())
}

// hex is the base in which contents of requests are written.
const hex = 16

// condemn tells all daemons at how many crashes copies of a request were.
func (s *State) condemn(now time.Time, effect dispatch.MarkPoison) {
	content, crashes := effect.ContentHash(), effect.Crashes()
	s.emit(Problem{"request seems to crash upstreams", fmt.Sprintf("content=%x crashes=%d", content, crashes)})
	key := strconv.FormatUint(content, hex)
	s.toPeer(now, peer.NewShared(crashTopic, key, []byte{byte(crashes)}, now.Add(effect.TTL())))
	s.toDispatch(now, dispatch.NewPoisonMarked(content, crashes, effect.TTL()))
}

// hearVerdict takes in at how many crashes copies of a request were.
func (s *State) hearVerdict(now time.Time, fact peer.Learn) {
	content, err := strconv.ParseUint(fact.Key(), hex, 64)
	if err != nil || len(fact.Value()) != 1 {
		s.emit(Problem{"verdict of " + fact.Origin() + " not read", fact.Key()})
		return
	}
	s.toDispatch(now, dispatch.NewPoisonMarked(content, int(fact.Value()[0]), fact.Expiry().Sub(now)))
}

func (f *fields) wish() dispatch.SlotRequest {
	if n := f.length(fieldsOfWish); n != fieldsOfWish {
		f.keep(trace.BadParameter("question of %d fields", n))
	}
	ask, model, number := f.number(), f.text(), f.number()
	w := dispatch.NewSlotRequest(ask, dispatch.NewShard(model, number), int(f.signed()))
	w = w.WithUrgency(int(f.signed()), f.milliseconds(), f.milliseconds())
	return w.WithOrganisation(f.text())
}

func (f *fields) milliseconds() time.Duration { return time.Duration(f.signed()) * time.Millisecond }

func (f *fields) place() dispatch.SlotReply {
	if n := f.length(fieldsOfPlace); n != fieldsOfPlace {
		f.keep(trace.BadParameter("answer of %d fields", n))
	}
	ask, verdict, upstream := f.number(), dispatch.SlotStatus(f.number()), f.text()
	if verdict > dispatch.SlotNoReplicas {
		f.keep(trace.BadParameter("verdict %d", verdict))
	}
	calls := int(f.signed())
	return dispatch.NewSlotReply(ask, verdict, int(f.signed())).WithSlot(upstream, calls)
}

func (f *fields) claims() map[string]dispatch.ReplicaUsage {
	claims := map[string]dispatch.ReplicaUsage{}
	for range f.length(maxClaims) {
		f.length(fieldsOfClaim)
		head, calls := f.text(), int(f.signed())
		claims[head] = dispatch.NewReplicaUsage(calls, float64(f.signed())/paceParts)
	}
	return claims
}
