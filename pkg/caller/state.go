package caller

import (
	"sort"
	"time"
)

// State is what the decisions towards callers remember; the zero value is ready for Configured.
type State struct {
	settings      Settings
	organisations map[string]Organisation
	targets       map[string]*target
	order         []string
	calls         map[ID]*record
	members       []Organisation
	peers         map[string]Peer
	names         []string
	shared        map[string]UsageReported
	rounds        rounds
	stop          stop
}

// record is a call that waits or runs.
type record struct {
	call       Call
	arrived    time.Time
	dispatched time.Time
}

func (r *record) isRunning() bool { return !r.dispatched.IsZero() }

// Reduce takes in one event and returns what has to be done about it, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Configured:
		return s.configure(now, e.settings)
	case Arrived:
		return s.arrive(now, e.call)
	case Finished:
		return s.finish(now, e)
	case Disconnected:
		return s.leave(e.id)
	case UsageReported:
		s.hear(e)
		return nil
	case PeersChanged:
		s.meet(e.peers)
		return nil
	case CapacityChanged:
		return s.resize(now, e)
	case StopRequested:
		return s.beginStop(now)
	case StopCancelled:
		s.stop = stop{}
		return nil
	case Ticked:
		return s.tick(now)
	}
	return nil
}

func (s *State) configure(now time.Time, settings Settings) []Effect {
	s.settings = settings
	s.forgetSelf()
	s.organisations = map[string]Organisation{}
	s.members = append([]Organisation(nil), settings.organisations...)
	sort.Slice(s.members, func(i, j int) bool { return s.members[i].name < s.members[j].name })
	for _, organisation := range s.members {
		s.organisations[organisation.name] = organisation
	}
	if s.calls == nil {
		s.calls = map[ID]*record{}
	}
	effects := s.keepTargets(settings.targets)
	s.rounds.begin(now, settings.AllocationInterval())
	return append(effects, s.dispatchAll(now)...)
}

// keepTargets brings the targets in line with the settings. One that left refuses what waits and ends what runs.
func (s *State) keepTargets(wanted []Target) []Effect {
	targets := map[string]*target{}
	for _, next := range wanted {
		kept, isKnown := s.targets[next.name]
		if !isKnown {
			kept = newTarget(next)
		}
		kept.configure(next)
		targets[next.name] = kept
	}
	var effects []Effect
	for _, name := range s.order {
		old := s.targets[name]
		if _, isKept := targets[name]; isKept {
			continue
		}
		effects = append(effects, s.refuseAll(old, NewNotRun(UnknownTarget, 0))...)
		if old.running > 0 {
			old.configure(Target{name: name})
			targets[name] = old
		}
	}
	s.targets = targets
	s.order = s.order[:0]
	for name := range targets {
		s.order = append(s.order, name)
	}
	sort.Strings(s.order)
	return effects
}

func (s *State) resize(now time.Time, e CapacityChanged) []Effect {
	t, isKnown := s.targets[e.target]
	if !isKnown {
		return nil
	}
	t.resize(max(e.slots, 0))
	return s.dispatch(now, t)
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	for _, name := range s.order {
		effects = append(effects, s.expire(now, s.targets[name])...)
	}
	if s.rounds.isDue(now) {
		effects = append(effects, s.divide(now)...)
	}
	effects = append(effects, s.dispatchAll(now)...)
	return append(effects, s.completeStop(now)...)
}

func (s *State) dispatchAll(now time.Time) []Effect {
	var effects []Effect
	for _, name := range s.order {
		effects = append(effects, s.dispatch(now, s.targets[name])...)
	}
	return effects
}
