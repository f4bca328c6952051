package caller

import (
	"sort"
	"time"
)

// State holds the admitted calls, the usage of all daemons and the list of peers. The zero value expects Configured.
type State struct {
	settings            Settings
	organisations       map[string]Organisation
	targets             map[string]*target
	targetNames         []string
	calls               map[ID]*callState
	sortedOrganisations []Organisation
	peers               map[string]Peer // the other live daemons, by name
	peerNames           []string
	reportedUsage       map[string]UsageReported // the last report of each peer, by name
	rounds              rounds
	stop                stop
}

// callState is a call that waits or runs.
type callState struct {
	call         Call
	arrivedAt    time.Time
	dispatchedAt time.Time
}

func (c *callState) isRunning() bool { return !c.dispatchedAt.IsZero() }

// Reduce applies one event and returns its effects in the order in which they must be carried out.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Configured:
		return s.configure(now, e.settings)
	case Arrived:
		return s.arrive(now, e.call)
	case Finished:
		return s.finish(now, e)
	case Disconnected:
		return s.callerDisconnected(e.id)
	case UsageReported:
		s.recordUsage(e)
		return nil
	case PeersChanged:
		s.setPeers(e.peers)
		return nil
	case CapacityChanged:
		return s.resize(now, e)
	case StopRequested:
		return s.startStop(now)
	case StopScheduled:
		s.stop.ends = e.ends
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
	s.removeSelf()
	s.organisations = map[string]Organisation{}
	s.sortedOrganisations = append([]Organisation(nil), settings.organisations...)
	sort.Slice(s.sortedOrganisations, func(i, j int) bool {
		return s.sortedOrganisations[i].name < s.sortedOrganisations[j].name
	})
	for _, organisation := range s.sortedOrganisations {
		s.organisations[organisation.name] = organisation
	}
	if s.calls == nil {
		s.calls = map[ID]*callState{}
	}
	effects := s.updateTargets(settings.targets)
	s.rounds.configure(now, settings.AllocationInterval())
	return append(effects, s.dispatchAll(now)...)
}

// updateTargets applies the configured targets. A removed target rejects its waiting calls, and stays without capacity
// until its running calls end.
func (s *State) updateTargets(configured []Target) []Effect {
	targets := map[string]*target{}
	for _, next := range configured {
		existing, isKnown := s.targets[next.name]
		if !isKnown {
			existing = newTarget(next)
		}
		existing.configure(next)
		targets[next.name] = existing
	}
	var effects []Effect
	for _, name := range s.targetNames {
		old := s.targets[name]
		if _, isKept := targets[name]; isKept {
			continue
		}
		effects = append(effects, s.rejectAll(old, NewNotRun(UnknownTarget, 0))...)
		if old.running > 0 {
			old.configure(Target{name: name})
			targets[name] = old
		}
	}
	s.targets = targets
	s.targetNames = s.targetNames[:0]
	for name := range targets {
		s.targetNames = append(s.targetNames, name)
	}
	sort.Strings(s.targetNames)
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
	for _, name := range s.targetNames {
		effects = append(effects, s.expire(now, s.targets[name])...)
	}
	if s.rounds.isDue(now) {
		effects = append(effects, s.allocate(now)...)
	}
	effects = append(effects, s.endCalls(now)...)
	effects = append(effects, s.dispatchAll(now)...)
	return append(effects, s.completeStop(now)...)
}

func (s *State) dispatchAll(now time.Time) []Effect {
	var effects []Effect
	for _, name := range s.targetNames {
		effects = append(effects, s.dispatch(now, s.targets[name])...)
	}
	return effects
}
