package caller

import (
	"slices"
	"sort"
	"time"
)

// The maximum time between two ReportUsage effects is the larger of reportRefreshInterval and reportRefreshPerPeer for
// each peer, which bounds the rate at which a daemon receives reports in a large fleet.
const (
	reportRefreshInterval = 5 * time.Second
	reportRefreshPerPeer  = 200 * time.Millisecond
)

// equalShareRounds is the number of rounds after its start in which a daemon claims at most an equal part of the slots,
// since it may lack reports of its peers.
const equalShareRounds = 3

// rounds schedules the allocations of the capacity and the usage reports.
type rounds struct {
	nextRound    time.Time
	interval     time.Duration
	count        int // rounds since the start
	lastReport   ReportUsage
	lastReportAt time.Time
}

func (r *rounds) configure(now time.Time, interval time.Duration) {
	r.interval = interval
	if r.nextRound.IsZero() {
		r.nextRound = now.Add(interval)
	}
}

func (r *rounds) isDue(now time.Time) bool { return !r.nextRound.IsZero() && !now.Before(r.nextRound) }

func (s *State) recordUsage(e UsageReported) {
	if e.daemon == s.settings.name {
		return
	}
	if s.reportedUsage == nil {
		s.reportedUsage = map[string]UsageReported{}
	}
	s.reportedUsage[e.daemon] = e
}

func (s *State) setPeers(peers []Peer) {
	s.peers = map[string]Peer{}
	s.peerNames = s.peerNames[:0]
	for _, peer := range peers {
		if _, isKnown := s.peers[peer.name]; !isKnown && peer.name != s.settings.name {
			s.peers[peer.name] = peer
			s.peerNames = append(s.peerNames, peer.name)
		}
	}
	sort.Strings(s.peerNames)
	for daemon := range s.reportedUsage {
		if _, isAlive := s.peers[daemon]; !isAlive {
			delete(s.reportedUsage, daemon)
		}
	}
}

// removeSelf removes this daemon from the peers, which may have been listed before the daemon knew its own name.
func (s *State) removeSelf() {
	if _, isListed := s.peers[s.settings.name]; !isListed {
		return
	}
	delete(s.peers, s.settings.name)
	delete(s.reportedUsage, s.settings.name)
	s.peerNames = slices.DeleteFunc(s.peerNames, func(name string) bool { return name == s.settings.name })
}

// allocate updates the allocation of this daemon for each target from the reports of all daemons, and reports the
// result.
func (s *State) allocate(now time.Time) []Effect {
	s.rounds.nextRound = now.Add(s.rounds.interval)
	s.rounds.count++
	offset := roundingOffset(now, s.rounds.interval)
	for _, name := range s.targetNames {
		t := s.targets[name]
		a := s.newAllocator(t)
		own := a.indexOf(s.settings.name)
		t.fleetCalls = a.calls
		t.allocated = a.nextAllocation(own, a.offset(offset))
		if s.rounds.count <= equalShareRounds {
			t.allocated = min(t.allocated, t.slots/len(a.daemons))
		}
		t.updateQueues(a, own)
	}
	return s.reportUsage(now)
}

// updateQueues sets the slots of each queue at the daemon at index own, which is this one.
func (t *target) updateQueues(a *allocator, own int) {
	for i, o := range a.organisations {
		if q, isKnown := t.queues[o.name]; isKnown {
			q.allottedSlots = a.slotsFor(a.daemons[own], i)
			q.guaranteedSlots = float64(t.allocated*o.weight) / float64(a.totalWeight)
		}
	}
}

// reportUsage reports the usage of this daemon if it changed or if the last report is old.
func (s *State) reportUsage(now time.Time) []Effect {
	next := s.currentUsage()
	isRecent := now.Sub(s.rounds.lastReportAt) <
		max(reportRefreshInterval, time.Duration(len(s.peerNames))*reportRefreshPerPeer)
	if isRecent && next.equals(s.rounds.lastReport) {
		return nil
	}
	s.rounds.lastReport, s.rounds.lastReportAt = next, now
	return []Effect{next}
}

// currentUsage returns the allocations and the usage of this daemon.
func (s *State) currentUsage() ReportUsage {
	var result ReportUsage
	for _, name := range s.targetNames {
		t := s.targets[name]
		if slots := max(t.allocated, t.running); slots > 0 {
			result.allocations = append(result.allocations, Allocation{name, quantise(slots)})
		}
		for _, organisation := range t.organisationNames {
			if calls := t.queues[organisation].calls(); calls > 0 {
				result.usages = append(result.usages, Usage{name, organisation, quantise(calls)})
			}
		}
	}
	return result
}

func (r ReportUsage) equals(other ReportUsage) bool {
	if len(r.allocations) != len(other.allocations) || len(r.usages) != len(other.usages) {
		return false
	}
	for i := range r.allocations {
		if r.allocations[i] != other.allocations[i] {
			return false
		}
	}
	for i := range r.usages {
		if r.usages[i] != other.usages[i] {
			return false
		}
	}
	return true
}

// significantBits is the number of leading bits of a count that are reported to other daemons.
const significantBits = 6

// quantise rounds count up to significantBits leading bits, so that small changes cause no report.
func quantise(count int) int {
	step := 1
	for count/step >= 1<<significantBits {
		step *= 2
	}
	return (count + step - 1) / step * step
}
