package caller

import (
	"slices"
	"sort"
	"time"
)

// The longest time between two Share effects: shareRefresh, or in a large fleet refreshPerPeer for each other daemon, so
// that what a daemon hears of all others stays bounded.
const (
	shareRefresh   = 5 * time.Second
	refreshPerPeer = 200 * time.Millisecond
)

// roundsAlike is for how many divisions after its start a daemon takes no more than an equal part, since it doesn't
// know the others well.
const roundsAlike = 3

// rounds is the clock of the divisions of the capacity.
type rounds struct {
	next   time.Time
	period time.Duration
	count  int
	sent   ReportUsage
	sentAt time.Time
}

func (r *rounds) begin(now time.Time, period time.Duration) {
	r.period = period
	if r.next.IsZero() {
		r.next = now.Add(period)
	}
}

func (r *rounds) isDue(now time.Time) bool { return !r.next.IsZero() && !now.Before(r.next) }

func (s *State) hear(e UsageReported) {
	if e.daemon == s.settings.name {
		return
	}
	if s.shared == nil {
		s.shared = map[string]UsageReported{}
	}
	s.shared[e.daemon] = e
}

func (s *State) meet(peers []Peer) {
	s.peers = map[string]Peer{}
	s.names = s.names[:0]
	for _, peer := range peers {
		if _, isKnown := s.peers[peer.name]; !isKnown && peer.name != s.settings.name {
			s.peers[peer.name] = peer
			s.names = append(s.names, peer.name)
		}
	}
	sort.Strings(s.names)
	for daemon := range s.shared {
		if _, isAlive := s.peers[daemon]; !isAlive {
			delete(s.shared, daemon)
		}
	}
}

// forgetSelf drops this daemon from those that it met before it knew its own name.
func (s *State) forgetSelf() {
	if _, isMet := s.peers[s.settings.name]; !isMet {
		return
	}
	delete(s.peers, s.settings.name)
	delete(s.shared, s.settings.name)
	s.names = slices.DeleteFunc(s.names, func(name string) bool { return name == s.settings.name })
}

// divide takes a new part of each target's capacity by what all daemons said, and tells the others about it.
func (s *State) divide(now time.Time) []Effect {
	s.rounds.next = now.Add(s.rounds.period)
	s.rounds.count++
	phase := phaseAt(now, s.rounds.period)
	for _, name := range s.order {
		t := s.targets[name]
		d := s.division(t)
		own := d.find(s.settings.name)
		t.fleet = d.wanted
		t.held = d.hold(own, d.phase(phase))
		if s.rounds.count <= roundsAlike {
			t.held = min(t.held, t.slots/len(d.claims))
		}
		t.allot(d, own)
	}
	return s.share(now)
}

// allot tells the lines which slots they may count on.
func (t *target) allot(d *division, own int) {
	for place, q := range d.quotas {
		if l, isKnown := t.lines[q.name]; isKnown {
			l.part = d.part(d.claims[own], place)
			l.share = float64(t.held*q.weight) / float64(d.weight)
		}
	}
}

// share returns the news for the other daemons, if there is any.
func (s *State) share(now time.Time) []Effect {
	next := s.usage()
	isFresh := now.Sub(s.rounds.sentAt) < max(shareRefresh, time.Duration(len(s.names))*refreshPerPeer)
	if isFresh && next.equals(s.rounds.sent) {
		return nil
	}
	s.rounds.sent, s.rounds.sentAt = next, now
	return []Effect{next}
}

// usage returns what this daemon holds and wants.
func (s *State) usage() ReportUsage {
	var result ReportUsage
	for _, name := range s.order {
		t := s.targets[name]
		if slots := max(t.held, t.running); slots > 0 {
			result.allocations = append(result.allocations, Allocation{name, quantise(slots)})
		}
		for _, organisation := range t.order {
			if wanted := t.lines[organisation].wanted(); wanted > 0 {
				result.usages = append(result.usages, Usage{name, organisation, quantise(wanted)})
			}
		}
	}
	return result
}

func (s ReportUsage) equals(other ReportUsage) bool {
	if len(s.allocations) != len(other.allocations) || len(s.usages) != len(other.usages) {
		return false
	}
	for i := range s.allocations {
		if s.allocations[i] != other.allocations[i] {
			return false
		}
	}
	for i := range s.usages {
		if s.usages[i] != other.usages[i] {
			return false
		}
	}
	return true
}

// quantiseBits is how many leading bits of a count are told to other daemons.
const quantiseBits = 6

// quantise rounds count up to a number with quantiseBits leading bits, so that small changes cause no news.
func quantise(count int) int {
	step := 1
	for count/step >= 1<<quantiseBits {
		step *= 2
	}
	return (count + step - 1) / step * step
}
