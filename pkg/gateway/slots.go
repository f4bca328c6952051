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
	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/route"
)

// The topics of messages about slots at replicas and about crashes.
const (
	slotRequestTopic = "wish"  // a request to the owner of a shard
	slotReplyTopic   = "place" // its reply
	usageTopic       = "claim" // how many calls a daemon has at each replica
	crashTopic       = "crash" // a request was running at an upstream that crashed
)

// The lengths of the encoded arrays, and the limit of the array with one element for each replica.
const (
	slotRequestFields = 13
	slotReplyFields   = 6
	crashFields       = 2
	usageFields       = 3
	maxUsageEntries   = 1024
)

// Owner returns the daemon that counts the calls in a shard of the replicas, empty for this daemon. Rendezvous hashing
// moves few shards when a daemon joins or leaves.
func (s *State) Owner(shard dispatch.Shard) string {
	owner, isKnown := s.ownerByShard[shard]
	if !isKnown {
		owner = s.ownerOf(shard.String())
		s.ownerByShard[shard] = owner
	}
	if owner == s.members.self {
		return ""
	}
	return owner
}

// ownerOf returns the daemon that owns a key.
func (s *State) ownerOf(key string) string {
	hash := func(name string) uint64 { return xxhash.Sum64String(key + " " + name) }
	return slices.MaxFunc(s.shardOwners, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
}

// The limits on the choice of shard owners.
const (
	maxShardOwners   = 16              // two models have eight shards; daemons that start and stop are seldom among the oldest
	minShardOwners   = 4               // below it, daemons with fewer resources own shards too
	minShardOwnerAge = 3 * time.Second // a daemon that has just started knows no replica for up to a second
)

// refreshShardOwners selects live daemons that are not stopping as shard owners: those with the most resources, since an
// owner handles a message for each call in its shards, and of these the oldest, so that a rolling restart moves few shards.
func (s *State) refreshShardOwners(now time.Time, fresh []peer.Member) {
	live := []string{s.members.self}
	var old, young []peer.Member
	for _, member := range s.withOwn(fresh) {
		if member.Name() != s.members.self {
			live = append(live, member.Name())
		}
		switch {
		case member.Leaving() || member.Name() == s.members.self && !s.stopping.IsZero():
		case now.Sub(s.members.firstSeen(now, member)) >= minShardOwnerAge:
			old = append(old, member)
		default:
			young = append(young, member)
		}
	}
	if len(old) == 0 {
		old = young
	}
	s.chooseShardOwners(old)
	slices.Sort(live)
	if !slices.Equal(live, s.liveNames) {
		s.liveNames = live
		s.reduceDispatch(now, dispatch.NewPeersChanged(live))
	}
}

// chooseShardOwners selects the first of the eligible daemons, which are ordered by rank, or this one if there are none.
func (s *State) chooseShardOwners(eligible []peer.Member) {
	var owners []string
	for i, member := range eligible[:min(maxShardOwners, len(eligible))] {
		if i >= minShardOwners && member.Capacity() < eligible[0].Capacity() {
			break
		}
		owners = append(owners, member.Name())
	}
	if len(owners) == 0 {
		owners = []string{s.members.self}
	}
	if !slices.Equal(owners, s.shardOwners) {
		s.shardOwners = owners
		s.emit(ShardOwnersChanged{owners})
		clear(s.ownerByShard)
	}
}

// sendSlotMessage sends an effect that is a message to another daemon, and reports whether the effect was handled.
func (s *State) sendSlotMessage(now time.Time, effect dispatch.Effect) bool {
	var to, topic string
	var values []any
	switch effect := effect.(type) {
	case dispatch.RequestSlot:
		to, topic, values = effect.Owner(), slotRequestTopic, slotRequestValues(effect.Request())
	case dispatch.ReplySlot:
		to, topic, values = effect.To(), slotReplyTopic, slotReplyValues(effect.Reply())
	case dispatch.ReportUsage:
		to, topic, values = effect.Owner(), usageTopic, usageValues(effect.Usage())
	case dispatch.ReportCrash:
		key := strconv.FormatUint(effect.ContentHash(), hexBase)
		to, topic, values = s.ownerOf(key), crashTopic, []any{effect.ContentHash(), effect.Upstream()}
		if to == s.members.self {
			s.reduceDispatch(now, dispatch.NewCrashReported(effect.ContentHash(), effect.Upstream()).From(s.members.self))
			return true
		}
	case dispatch.MarkPoison:
		s.markPoison(now, effect)
		return true
	case dispatch.ReportLimit:
		to, topic, values = effect.Owner(), limitTopic, []any{effect.Upstream(), effect.PerSecond()}
	default:
		return false
	}
	data, err := encodeValues(values)
	if err != nil {
		s.emit(Problem{topic + " not encoded", err.Error()})
		return true
	}
	s.reducePeer(now, peer.NewDirectMessageRequested(to, topic, data))
	return true
}

func slotRequestValues(r dispatch.SlotRequest) []any {
	return []any{
		r.RequestID(), r.Shard().Model(), r.Shard().Number(), r.PromptTokens(), r.Priority(),
		r.OnTimeWait().Milliseconds(), r.MaxWait().Milliseconds(), r.Organisation(), r.Shard().Service(),
		r.TimeLeft().Milliseconds(), r.Tried(), r.Regions().Names(), r.Centre(),
	}
}

func slotReplyValues(r dispatch.SlotReply) []any {
	return []any{r.RequestID(), uint8(r.Status()), r.Upstream(), r.Calls(), r.Excess(), r.RetryAfter().Milliseconds()}
}

// slowdownScale is the factor by which a slowdown is multiplied in messages, where it is an integer.
const slowdownScale = 10

func usageValues(usage map[string]dispatch.ReplicaUsage) []any {
	var values []any
	for _, head := range slices.Sorted(maps.Keys(usage)) {
		values = append(values, []any{head, usage[head].Calls(), int(math.Round(usage[head].Slowdown() * slowdownScale))})
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

// receiveSlotMessage handles a message of another daemon about slots or crashes.
func (s *State) receiveSlotMessage(now time.Time, message peer.DeliverDirectMessage) {
	event, err := decodeSlotMessage(message.Topic(), message.From(), message.Data())
	if err != nil {
		s.emit(Problem{message.Topic() + " from " + message.From() + " not decoded", err.Error()})
		return
	}
	s.reduceDispatch(now, event)
}

func decodeSlotMessage(topic, from string, data []byte) (dispatch.Event, error) {
	f := decodedFields{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	switch topic {
	case slotRequestTopic:
		return dispatch.NewSlotRequested(from, f.slotRequest()), f.err
	case slotReplyTopic:
		return f.slotReply(), f.err
	case usageTopic:
		return dispatch.NewUsageReported(from, f.usage()), f.err
	case limitTopic:
		return f.limit(from), f.err
	default:
		return f.crash().From(from), f.err
	}
}

func (f *decodedFields) crash() dispatch.CrashReported {
	var e dispatch.CrashReported
	f.record(crashFields, func() { e = dispatch.NewCrashReported(f.number(), f.text()) })
	return e
}

// hexBase is the base in which content hashes are formatted.
const hexBase = 16

// markPoison shares with all daemons how many crashes the copies of a request were part of.
func (s *State) markPoison(now time.Time, effect dispatch.MarkPoison) {
	contentHash, crashes := effect.ContentHash(), effect.Crashes()
	message := "request probably crashes upstreams"
	if crashes == 0 {
		message = "request does not crash upstreams"
	}
	s.emit(Problem{message, fmt.Sprintf("content=%x crashes=%d", contentHash, crashes)})
	key := strconv.FormatUint(contentHash, hexBase)
	s.reducePeer(now, peer.NewFactShared(crashTopic, key, []byte{byte(crashes)}, now.Add(effect.TTL())))
	s.reduceDispatch(now, dispatch.NewPoisonMarked(contentHash, crashes, effect.TTL()))
}

// receivePoison handles the number of crashes that a peer reports for a request.
func (s *State) receivePoison(now time.Time, fact peer.LearnFact) {
	contentHash, err := strconv.ParseUint(fact.Key(), hexBase, 64)
	if err != nil || len(fact.Value()) != 1 {
		s.emit(Problem{"poison mark from " + fact.Origin() + " not decoded", fact.Key()})
		return
	}
	s.reduceDispatch(now, dispatch.NewPoisonMarked(contentHash, int(fact.Value()[0]), fact.Expiry().Sub(now)))
}

func (f *decodedFields) slotRequest() dispatch.SlotRequest {
	var r dispatch.SlotRequest
	f.record(slotRequestFields, func() { r = f.slotRequestFields() })
	return r
}

func (f *decodedFields) slotRequestFields() dispatch.SlotRequest {
	id, model, number := f.number(), f.text(), f.number()
	prompt, priority, onTimeWait, maxWait := f.count(), int(f.signed()), f.milliseconds(), f.milliseconds()
	organisation, shard := f.text(), dispatch.NewShard(model, number)
	if service := f.text(); service != "" {
		shard = dispatch.NewServiceShard(service)
	}
	request := dispatch.NewSlotRequest(id, shard, prompt).WithUrgency(priority, onTimeWait, maxWait).WithOrganisation(organisation)
	timeLeft := f.milliseconds()
	var tried []string
	for range f.length(maxTried) {
		tried = append(tried, f.text())
	}
	var regions []string
	for range f.length(maxRegions) {
		regions = append(regions, f.text())
	}
	return request.WithHistory(timeLeft, tried...).WithRegions(route.NewRegions(regions...)).WithCentre(f.text())
}

// maxRegions limits the regions that a slot request names.
const maxRegions = 64

// maxTried limits the upstreams that a slot request names, which are as many as a call is sent to.
const maxTried = 16

// count reads a number that is not negative and at most quantity.MaxCount.
func (f *decodedFields) count() int { return quantity.Limit(f.signed()) }

// difference reads a difference of two counts.
func (f *decodedFields) difference() int {
	return int(min(max(f.signed(), -quantity.MaxCount), quantity.MaxCount))
}

func (f *decodedFields) milliseconds() time.Duration {
	return quantity.Milliseconds(float64(f.signed()))
}

func (f *decodedFields) slotReply() dispatch.SlotReply {
	var reply dispatch.SlotReply
	f.record(slotReplyFields, func() {
		requestID, status, upstream := f.number(), f.number(), f.text()
		if status > uint64(dispatch.SlotNoReplicas) {
			f.setError(trace.BadParameter("slot status %d", status))
		}
		calls := f.count()
		reply = dispatch.NewSlotReply(requestID, dispatch.SlotStatus(status), f.difference()).WithSlot(upstream, calls)
		reply = reply.WithRetryAfter(f.milliseconds())
	})
	return reply
}

func (f *decodedFields) usage() map[string]dispatch.ReplicaUsage {
	usage := map[string]dispatch.ReplicaUsage{}
	for range f.length(maxUsageEntries) {
		f.record(usageFields, func() {
			head, calls := f.text(), f.count()
			usage[head] = dispatch.NewReplicaUsage(calls, float64(f.signed())/slowdownScale)
		})
	}
	return usage
}
