package gateway

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// Upstreams state for how much longer they are cold, in their entries and in their answers to health checks. Between daemons the time left
// is sent, since clocks differ: in the entries of list messages, and for answers as facts that expire when the upstream is warm. A message
// that is late makes the time longer, never shorter.

// coldTopic is the topic of facts about cold upstreams.
const coldTopic = "cold"

// minColdChange is by how much an answer must extend the time that is known before it is shared.
const minColdChange = 100 * time.Millisecond // the delay of messages

// receive returns an entry that was received at now with the time until which its upstream is cold.
func (l *listing) receive(now time.Time, u Upstream) Upstream {
	if u.coldLeft > 0 {
		u.instance, u.coldLeft = u.instance.WithColdUntil(now.Add(l.limitCold(u.service, u.coldLeft))), 0
	}
	return u
}

// limitCold returns the time left that an upstream of a service states, but no more than it is cold for after it starts.
func (l *listing) limitCold(service string, left time.Duration) time.Duration {
	if longest := l.coldTimes[service]; longest > 0 {
		return min(left, longest)
	}
	return left
}

// configureCold sets for how long the upstreams of each service are cold.
func (l *listing) configureCold(config route.Config) {
	l.coldTimes = map[string]time.Duration{}
	for name, service := range config.Services() {
		l.coldTimes[name] = service.ColdTime()
	}
}

// toSend returns the message as it is sent at now, with for how much longer the upstreams are cold.
func (l listMessage) toSend(now time.Time) listMessage {
	l.changed = slices.Clone(l.changed)
	for i, u := range l.changed {
		l.changed[i] = u.WithColdLeft(max(u.instance.ColdUntil().Sub(now), 0))
	}
	return l
}

// reportCold records that an upstream stated in an answer to this daemon that it is cold, and shares that with the peers.
func (s *State) reportCold(now time.Time, id replica.ID, left time.Duration) {
	u := s.listing.entries[id]
	left = s.listing.limitCold(u.service, left)
	if !s.extendCold(now, id, u.instance.Incarnation(), now.Add(left)) {
		return
	}
	value := strconv.AppendInt(nil, u.instance.Incarnation(), decimalBase)
	s.reducePeer(now, peer.NewFactShared(coldTopic, string(id), value, now.Add(left)))
}

// receiveCold records that an upstream stated to a peer that it is cold. The fact expires when it no longer is.
func (s *State) receiveCold(now time.Time, fact peer.LearnFact) {
	incarnation, err := strconv.ParseInt(string(fact.Value()), decimalBase, 64)
	if err != nil {
		s.emit(Problem{"fact about a cold upstream from " + fact.Origin() + " not decoded", fact.Key() + ": " + err.Error()})
		return
	}
	s.extendCold(now, replica.ID(fact.Key()), incarnation, fact.Expiry())
}

// extendCold records that the listed start of an upstream is cold until a time, and reports whether that is new.
func (s *State) extendCold(now time.Time, id replica.ID, incarnation int64, until time.Time) bool {
	u, isListed := s.listing.entries[id]
	isNew := until.After(now.Add(minColdChange)) && until.After(u.instance.ColdUntil().Add(minColdChange))
	if !isListed || u.instance.Incarnation() != incarnation || !isNew {
		return false
	}
	u.instance = u.instance.WithColdUntil(until)
	s.listing.entries[id] = u
	s.applyListChanges(now, []Upstream{u}, nil)
	return true
}

// withCold returns a target with the time until which the upstream is cold, if its service has a cold rate.
func (s *State) withCold(target dispatch.Target, id replica.ID, service route.Service) dispatch.Target {
	if service.ColdRate() == 0 {
		return target
	}
	return target.WithCold(s.listing.entries[id].instance.ColdUntil(), service.ColdRate())
}

// noteCold reports the upstreams that are cold since their entries changed.
func (s *State) noteCold(now time.Time, changed []Upstream) {
	for _, u := range changed {
		service, _ := s.config.Service(u.service)
		id, until := u.instance.ID(), u.instance.ColdUntil()
		if service.ColdRate() == 0 || !until.After(now) {
			continue
		}
		if _, isKnown := s.coldUntil[id]; !isKnown {
			s.emit(ColdChanged{id, until.Sub(now), service.ColdRate()})
		}
		s.coldUntil[id] = until
	}
}

// endCold reports the upstreams that are no longer cold.
func (s *State) endCold(now time.Time) {
	if len(s.coldUntil) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.coldUntil)) {
		if _, isListed := s.listing.entries[id]; !isListed || !now.Before(s.coldUntil[id]) {
			delete(s.coldUntil, id)
			s.emit(ColdChanged{id: id})
		}
	}
}
