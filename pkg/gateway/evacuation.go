package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The operator evacuates a data centre with an object in the store. The readers of the list watch these objects too, and send the complete
// set to their subscribers. A data centre is announced when a daemon learns of its evacuation, and closed a grace time later, from when on
// its upstreams get no requests. docs/design/evacuation.md has the failure cases.

// Evacuations carries the data centres that the operator evacuates, as the store has them at a version.
type Evacuations struct {
	centres  []string
	version  uint64
	era      uint64 // of the store, 0 if unknown
	isListed bool   // the set was listed, so a change may have happened at any time since the last answer
}

// NewEvacuationsListed returns the event that the store lists exactly these data centres as evacuated.
func NewEvacuationsListed(centres []string, version, era uint64) Evacuations {
	return Evacuations{centres, version, era, true}
}

// NewEvacuationsCurrent returns the event that the store has answered the watch of the evacuated data centres, which may have changed just
// now.
func NewEvacuationsCurrent(centres []string, version, era uint64) Evacuations {
	return Evacuations{centres, version, era, false}
}

func (Evacuations) isEvent() {}

// EvacuationPhase is how far the evacuation of a data centre has progressed.
type EvacuationPhase uint8

// The phases of an evacuation.
const (
	EvacuationEnded     EvacuationPhase = iota
	EvacuationAnnounced                 // replicas are formed elsewhere
	EvacuationClosed                    // its upstreams get no requests
)

var evacuationPhaseNames = [...]string{"ended", "announced", "closed"}

// String returns the name of the phase.
func (p EvacuationPhase) String() string { return evacuationPhaseNames[p] }

// EvacuationChanged reports a new phase of the evacuation of a data centre.
type EvacuationChanged struct {
	centre  string
	phase   EvacuationPhase
	version uint64
	age     time.Duration
}

// Centre returns the data centre.
func (e EvacuationChanged) Centre() string { return e.centre }

// Phase returns the phase.
func (e EvacuationChanged) Phase() EvacuationPhase { return e.phase }

// Version returns the version of the set of evacuated data centres.
func (e EvacuationChanged) Version() uint64 { return e.version }

// Age returns the time since a reader of the list learned of the evacuation, unknownAge if that is unknown.
func (e EvacuationChanged) Age() time.Duration { return e.age }

func (EvacuationChanged) isEffect() {}

// unknownAge is the age of an evacuation that may have begun at any time.
const unknownAge = -time.Millisecond

// evacuations are the evacuated data centres; the zero value knows no set.
type evacuations struct {
	known      bool
	era        uint64
	version    uint64
	watch      storeWatch
	answeredAt time.Time // when the store last answered the watch of this daemon
	byCentre   map[string]evacuation
}

// evacuation is the evacuation of one data centre.
type evacuation struct {
	phase     EvacuationPhase // EvacuationEnded before it takes effect
	learnedAt time.Time       // by a reader, zero if unknown
	keptUntil time.Time       // its object was lost with a restore of the store, zero if it was not
}

func (e evacuation) age(now time.Time) time.Duration {
	if e.learnedAt.IsZero() {
		return unknownAge
	}
	return max(now.Sub(e.learnedAt), 0)
}

// isClosed reports whether the upstreams of a data centre get no requests.
func (s *evacuations) isClosed(centre string) bool {
	return s.byCentre[centre].phase == EvacuationClosed
}

// evacuationSet is a complete set of evacuated data centres with the ages of the evacuations, unknownAge if unknown.
type evacuationSet struct {
	known   bool
	era     uint64
	version uint64
	ages    map[string]time.Duration
}

// report returns the set as it is sent to other daemons.
func (s *evacuations) report(now time.Time) evacuationSet {
	if !s.known {
		return evacuationSet{}
	}
	set := evacuationSet{true, s.era, s.version, map[string]time.Duration{}}
	for centre, e := range s.byCentre {
		set.ages[centre] = e.age(now)
	}
	return set
}

// isOutdated reports whether a set is older than the known one. Versions of different eras can't be compared.
func (s *evacuations) isOutdated(set evacuationSet) bool {
	if s.era != 0 && set.era != 0 && set.era != s.era {
		return set.era < s.era
	}
	return s.known && set.version < s.version
}

// apply replaces the set, unless the new one is older. After a restore of the store, the operator may still have to write objects again,
// so the first set of an era ends no evacuation before it had time to.
func (s *evacuations) apply(now time.Time, set evacuationSet) {
	if !set.known || s.isOutdated(set) {
		return
	}
	isRestored := s.known && s.era != 0 && set.era > s.era
	s.known, s.era, s.version = true, max(s.era, set.era), set.version
	if s.byCentre == nil {
		s.byCentre = map[string]evacuation{}
	}
	for centre, e := range s.byCentre {
		_, isListed := set.ages[centre]
		switch {
		case isListed:
		case isRestored:
			e.keptUntil = now.Add(absentGraceAfterOutage)
			s.byCentre[centre] = e
		case e.keptUntil.IsZero():
			e.keptUntil = now // ends at once
			s.byCentre[centre] = e
		}
	}
	for centre, age := range set.ages {
		var learnedAt time.Time
		if age >= 0 {
			learnedAt = now.Add(-age)
		}
		e, isKnown := s.byCentre[centre]
		if !isKnown || learnedAt.Before(e.learnedAt) {
			e.learnedAt = learnedAt
		}
		e.keptUntil = time.Time{}
		s.byCentre[centre] = e
	}
}

// advance ends and closes what is due, and returns the changes.
func (s *evacuations) advance(now time.Time, grace time.Duration) []EvacuationChanged {
	var changes []EvacuationChanged
	for _, centre := range slices.Sorted(maps.Keys(s.byCentre)) {
		e := s.byCentre[centre]
		phase := EvacuationAnnounced
		switch {
		case !e.keptUntil.IsZero() && !now.Before(e.keptUntil):
			phase = EvacuationEnded
		case e.phase == EvacuationClosed || !now.Before(e.learnedAt.Add(grace)):
			phase = EvacuationClosed
		}
		if phase == e.phase {
			continue
		}
		e.phase = phase
		s.byCentre[centre] = e
		if phase == EvacuationEnded {
			delete(s.byCentre, centre)
		}
		changes = append(changes, EvacuationChanged{centre, phase, s.version, e.age(now)})
	}
	return changes
}

// suspend takes into account that the clock stood still while the instance was suspended.
func (s *evacuations) suspend(duration time.Duration) {
	for centre, e := range s.byCentre {
		if !e.learnedAt.IsZero() {
			e.learnedAt = e.learnedAt.Add(-duration)
			s.byCentre[centre] = e
		}
	}
}

// evacuationsRead applies the set that the watch of this daemon has read, and passes a change on at once.
func (s *State) evacuationsRead(now time.Time, e Evacuations) {
	if s.settings.evacuationGrace == 0 || !s.listSync.watchesStore || !s.observeEra(now, e.era) {
		return
	}
	known := &s.evacuations
	age := time.Duration(0)
	if e.isListed {
		age = unknownAge
		if !known.answeredAt.IsZero() {
			age = now.Sub(known.answeredAt)
		}
	}
	set := evacuationSet{true, e.era, e.version, map[string]time.Duration{}}
	for _, centre := range e.centres {
		set.ages[centre] = age
	}
	known.watch, known.answeredAt = storeWatch{answeredAt: now}, now
	known.apply(now, set)
	if s.refreshEvacuations(now) {
		s.pushEvacuations(now)
	}
}

// evacuationsReceived applies the set that another daemon has sent.
func (s *State) evacuationsReceived(now time.Time, set evacuationSet) {
	if s.settings.evacuationGrace == 0 {
		return
	}
	s.evacuations.apply(now, set)
	s.refreshEvacuations(now)
}

// refreshEvacuations applies the phases that are due, and reports whether one has changed.
func (s *State) refreshEvacuations(now time.Time) bool {
	if len(s.evacuations.byCentre) == 0 {
		return false
	}
	changes := s.evacuations.advance(now, s.settings.evacuationGrace)
	if len(changes) == 0 {
		return false
	}
	var announced, closed []string
	for centre, e := range s.evacuations.byCentre {
		if e.phase == EvacuationClosed {
			closed = append(closed, centre)
		} else {
			announced = append(announced, centre)
		}
	}
	isClosing := false
	for _, change := range changes {
		isClosing = isClosing || change.phase == EvacuationClosed
		s.emit(change)
	}
	s.reduceReplica(now, replica.NewCentresEvacuated(announced, closed))
	if isClosing {
		s.reduceDispatch(now, dispatch.NewUpstreamsClosed())
	}
	s.reduceDispatch(now, dispatch.NewTicked())
	return true
}

// pushEvacuations sends the set to the subscribers without waiting for the next update of the list.
func (s *State) pushEvacuations(now time.Time) {
	sync := &s.listSync
	s.sendListMessages(now, s.currentSubscribers(now),
		listMessage{readerStart: sync.start, fromRevision: sync.revision, toRevision: sync.revision})
}

// isClosed reports whether an upstream gets no requests, since it or a member of its replica is in a closed data centre.
func (s *State) isClosed(u Upstream) bool {
	if len(s.evacuations.byCentre) == 0 {
		return false
	}
	return s.evacuations.isClosed(u.instance.Centre()) ||
		slices.ContainsFunc(s.replica.Members(u.instance.ID()), func(id replica.ID) bool {
			return s.evacuations.isClosed(s.listing.entries[id].instance.Centre())
		})
}
