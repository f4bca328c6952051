package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/replica"
)

// demandTopic is the topic of messages that report a daemon's demand to the leader.
const demandTopic = "demand"

// demandTTL is how long the leader counts a report of demand; one of two messages may be lost.
const demandTTL = 2*demandInterval + demandInterval/2

// daemonDemand is the demand for each model at one daemon over the last second, as the number of replicas kept busy.
type daemonDemand struct {
	byModel    map[string]float64
	receivedAt time.Time
}

// reportDemand sends the demand since the last report to the leader, even if there was none, since the acknowledgement shows
// that the leader is alive. The leader sums the reports of all daemons, since the share of a single daemon varies by a third
// from second to second.
func (s *State) reportDemand(now time.Time) {
	demand := s.dispatch.TakeDemand()
	s.emitStats(now, demand)
	elapsed := now.Sub(s.demandReportedAt)
	s.demandReportedAt = now
	work := map[string]float64{}
	for _, demander := range slices.SortedFunc(maps.Keys(demand), dispatch.Demander.Compare) {
		work[demander.Model()] += demand[demander]
	}
	if len(work) > 0 {
		s.reduceReplica(now, replica.NewCallsArrived())
	}
	if elapsed > 2*demandInterval {
		return // at the start or after a pause of the process, the rate would be misleading
	}
	for model := range work {
		work[model] /= elapsed.Seconds()
	}
	if s.members.leader == s.members.self {
		s.demandByDaemon[s.members.self] = daemonDemand{work, now}
		s.reportTotalDemand(now)
		return
	}
	if s.members.leader == "" {
		return
	}
	s.members.recordReport(now)
	data, err := msgpack.Marshal(work)
	if err != nil {
		s.emit(Problem{"demand not encoded", err.Error()})
		return
	}
	s.reducePeer(now, peer.NewDirectMessageRequested(s.members.leader, demandTopic, data))
}

// emitStats emits the counts of work in progress.
func (s *State) emitStats(now time.Time, demand map[dispatch.Demander]float64) {
	stats := Stats{
		active: s.dispatch.Active(), queued: s.dispatch.Queued(),
		awaitingSlot: s.dispatch.AwaitingSlot(), slotWaiters: s.dispatch.SlotWaiters(),
		retriesLeft: map[string]float64{}, lag: s.lag.TakeLongest(), throttling: s.dispatch.Throttling(now), limited: s.dispatch.Limited(), cold: len(s.coldUntil),
		lostPaths: s.relay.LostPaths(), demand: demand,
	}
	for _, u := range s.listing.entries {
		if u.instance.Leaving() {
			stats.leaving++
		}
	}
	for _, service := range s.config.Services() {
		stats.retriesLeft[service.Name()] = s.dispatch.RetriesLeft(now, service.Name())
	}
	s.emit(stats)
}

// receiveDemand stores the demand that a daemon reports to the leader, and acknowledges it with an empty report. At any other
// daemon, a report is such an acknowledgement.
func (s *State) receiveDemand(now time.Time, message peer.DeliverDirectMessage) {
	work, err := decodeDemand(message.Data())
	if err != nil {
		s.emit(Problem{"demand from " + message.From() + " not decoded", err.Error()})
		return
	}
	if s.members.leader != s.members.self {
		s.members.leaderAcks = s.members.leaderAcks || message.From() == s.members.leader
		return
	}
	s.demandByDaemon[message.From()] = daemonDemand{work, now}
	s.reducePeer(now, peer.NewDirectMessageRequested(message.From(), demandTopic, demandAck))
}

// decodeDemand decodes a report of demand: the number of replicas that each model keeps busy, each from 0 to quantity.MaxCount.
func decodeDemand(data []byte) (map[string]float64, error) {
	var work map[string]float64
	if err := msgpack.Unmarshal(data, &work); err != nil {
		return nil, trace.Wrap(err)
	}
	for model, replicas := range work {
		if !(replicas >= 0 && replicas <= quantity.MaxCount) { // also NaN
			return nil, trace.BadParameter("model %q keeps %v replicas busy", model, replicas)
		}
	}
	return work, nil
}

// demandAck is the message that acknowledges a report: the msgpack encoding of an empty map.
var demandAck = []byte{0x80}

// reportTotalDemand passes the demand of all daemons to the formation of replicas.
func (s *State) reportTotalDemand(now time.Time) {
	sum := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.demandByDaemon)) {
		demand := s.demandByDaemon[name]
		if now.Sub(demand.receivedAt) > demandTTL {
			delete(s.demandByDaemon, name)
			continue
		}
		for model, work := range demand.byModel {
			sum[model] += work
		}
	}
	if len(sum) > 0 {
		s.reduceReplica(now, replica.NewDemandReported(sum))
	}
}
