package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// demandTopic is the topic of letters that tell the leader how much work came at a daemon.
const demandTopic = "demand"

// demandKept is how long what a daemon told counts; one of two letters may be lost.
const demandKept = 2*demandPeriod + demandPeriod/2

// demanded is the work that came at one daemon in the last second, in replicas kept busy, for each model.
type demanded struct {
	work map[string]float64
	at   time.Time
}

// weigh takes in how much work came here since the last time, and tells the leader; the leader adds up what all tell,
// since the part that one daemon sees varies by a third from second to second.
func (s *State) weigh(now time.Time) {
	s.measure(now)
	passed := now.Sub(s.weighed)
	s.weighed = now
	work := s.dispatch.TakeDemand()
	if len(work) > 0 {
		s.toReplica(now, replica.NewCallsArrived())
	}
	if passed > 2*demandPeriod {
		return
	}
	for model := range work {
		work[model] /= passed.Seconds()
	}
	if s.members.leader == s.members.self {
		s.demands[s.members.self] = demanded{work, now}
		s.sumDemands(now)
		return
	}
	if s.members.leader == "" || len(work) == 0 {
		return
	}
	data, err := msgpack.Marshal(work)
	if err != nil {
		s.emit(Problem{"demand not encoded", err.Error()})
		return
	}
	s.toPeer(now, peer.NewTell(s.members.leader, demandTopic, data))
}

// measure tells what is under way here.
func (s *State) measure(now time.Time) {
	m := Stats{
		active: s.dispatch.Active(), queued: s.dispatch.Queued(), awaitingSlot: s.dispatch.AwaitingSlot(), slotWaiters: s.dispatch.SlotWaiters(),
		retriesLeft: map[string]float64{},
	}
	for _, service := range s.config.Services() {
		m.retriesLeft[service.Name()] = s.dispatch.RetriesLeft(now, service.Name())
	}
	s.emit(m)
}

// takeDemand takes in what a daemon tells of its work.
func (s *State) takeDemand(now time.Time, told peer.Told) {
	var work map[string]float64
	if err := msgpack.Unmarshal(told.Data(), &work); err != nil {
		s.emit(Problem{"demand of " + told.From() + " not read", trace.Wrap(err).Error()})
		return
	}
	s.demands[told.From()] = demanded{work, now}
}

// sumDemands tells the formation of replicas how much work comes at all daemons.
func (s *State) sumDemands(now time.Time) {
	sum := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.demands)) {
		one := s.demands[name]
		if now.Sub(one.at) > demandKept {
			delete(s.demands, name)
			continue
		}
		for model, work := range one.work {
			sum[model] += work
		}
	}
	if len(sum) > 0 {
		s.toReplica(now, replica.NewDemandReported(sum))
	}
}
