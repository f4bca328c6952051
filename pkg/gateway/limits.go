package gateway

import (
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// limitTopic is the topic of the limits that upstreams name: messages to the owner of the upstream's shard, and facts of the owner.
const limitTopic = "limit"

// limitFields is the length of the encoded array.
const limitFields = 2

func (f *decodedFields) limit(from string) dispatch.LimitReported {
	var upstream string
	var perSecond float64
	f.record(limitFields, func() { upstream, perSecond = f.text(), f.float() })
	if !isLimit(perSecond) {
		f.setError(trace.BadParameter("limit of %q: %v a second", upstream, perSecond))
	}
	return dispatch.NewLimitReported(upstream, perSecond, from)
}

// isLimit reports whether a number from a peer is a rate; it may be NaN.
func isLimit(perSecond float64) bool { return perSecond >= 0 && perSecond <= dispatch.MaxLimit }

// shareLimit tells all daemons the limit of an upstream.
func (s *State) shareLimit(now time.Time, effect dispatch.ShareLimit) {
	value := strconv.AppendFloat(nil, effect.PerSecond(), 'g', -1, floatBits)
	s.reducePeer(now, peer.NewFactShared(limitTopic, effect.Upstream(), value, now.Add(effect.TTL())))
}

// floatBits is the size of the numbers in facts.
const floatBits = 64

// receiveLimit handles the limit of an upstream that the owner of its shard shares.
func (s *State) receiveLimit(now time.Time, fact peer.LearnFact) {
	perSecond, err := strconv.ParseFloat(string(fact.Value()), floatBits)
	if err != nil || !isLimit(perSecond) {
		s.emit(Problem{"limit from " + fact.Origin() + " not decoded", fact.Key() + ": " + strconv.Quote(string(fact.Value()))})
		return
	}
	s.reduceDispatch(now, dispatch.NewLimitShared(fact.Key(), perSecond, fact.Origin()))
}

// limitedProbeInterval is the minimum time between two suspicions of an upstream that names a limit or is cold, which may count probes as
// requests.
const limitedProbeInterval = 4 * time.Second

// maySuspect reports whether a suspicion of an upstream leads to probes now.
func (s *State) maySuspect(now time.Time, id replica.ID) bool {
	if _, isCold := s.coldUntil[id]; !isCold && !s.dispatch.IsLimited(string(id)) {
		delete(s.suspectedAt, id)
		return true
	}
	if now.Sub(s.suspectedAt[id]) < limitedProbeInterval {
		return false
	}
	s.suspectedAt[id] = now
	return true
}
