package operator

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/yaml"
)

// result takes in what became of a request to the store.
func (s *State) result(now time.Time, result object.Result) []Effect {
	if result.Ref() != s.pending.ref || s.pending.ref == 0 {
		return nil
	}
	write := s.pending.write
	s.pending = pending{}
	switch result := result.(type) {
	case object.Found:
		return s.found(now, result)
	case object.Absent:
		return s.decide(now, "", s.record)
	case object.Stored:
		return s.stored(write)
	case object.Conflict:
		return s.read()
	case object.Refused, object.Lost:
		return s.failedWith(now, result, write != nil)
	}
	return nil
}

// failedWith waits before the store is read again; a lost write makes its job unsure until the read tells.
func (s *State) failedWith(now time.Time, result object.Result, write bool) []Effect {
	if _, lost := result.(object.Lost); lost && write && len(s.jobs) > 0 {
		s.jobs[0].unsure = true
	}
	s.trouble = "no answer came"
	if refused, isRefused := result.(object.Refused); isRefused {
		s.trouble = refused.Reason()
	}
	s.next = now.Add(s.backoff())
	return nil
}

func (s *State) found(now time.Time, result object.Found) []Effect {
	r, err := parseRecord(result.Data())
	if err != nil {
		s.trouble = err.Error()
		s.next = now.Add(s.backoff())
		return nil
	}
	s.failed, s.trouble = 0, ""
	effects := s.take(r)
	return append(effects, s.decide(now, result.Version(), s.record)...)
}

// answer answers the job's request; one that was sent before is never refused, since the first sending may still be at
// work in another daemon.
func (j job) answer(outcome Outcome) []Effect {
	if refusal, ok := outcome.(Refused); ok && j.again && !refusal.final {
		outcome = Unknown{"the first sending may still take effect; this one did not: " +
			yaml.Mistakes(refusal.mistakes).Error()}
	}
	return []Effect{Answer{j.change.request, outcome}}
}

// decide works on the requests that wait, given that the store is at version; r is the newest record that is known,
// which a store that has lost it gets again.
func (s *State) decide(now time.Time, version object.Version, r record) []Effect {
	var effects []Effect
	for len(s.jobs) > 0 {
		first := &s.jobs[0]
		if version != first.version {
			first.unsure = false
		}
		outcome := first.judge(r)
		if outcome == nil {
			return append(effects, s.write(now, version, r, first.change)...)
		}
		effects = append(effects, first.answer(outcome)...)
		s.jobs = s.jobs[1:]
	}
	return effects
}

func (s *State) write(now time.Time, version object.Version, r record, change Change) []Effect {
	change.revision = r.fleet.revision + 1
	change.acceptedAt = now.UTC()
	change.config = change.config.WithRevision(change.revision)
	next := r.with(change)
	data := next.json()
	if len(data) > recordBytes {
		first := s.jobs[0]
		s.jobs = s.jobs[1:]
		effects := first.answer(refused("", "the configuration of all teams would be too large", "remove what is not used"))
		return append(effects, s.decide(now, version, r)...)
	}
	s.jobs[0].version = version
	s.pending = pending{ref: s.nextRef(), write: &next}
	return []Effect{Store{object.NewPut(s.pending.ref, recordKey, version, data)}}
}

func (s *State) stored(written *record) []Effect {
	if written == nil {
		return nil
	}
	s.failed = 0
	effects := s.take(*written)
	if len(s.jobs) == 0 {
		return effects
	}
	done := s.jobs[0]
	s.jobs = s.jobs[1:]
	effects = append(effects, done.answer(Accepted{written.fleet.revision})...)
	if len(s.jobs) > 0 {
		effects = append(effects, s.read()...)
	}
	return effects
}

// judge returns the outcome of the job given the record r, or nil when its change is to be written.
func (j job) judge(r record) Outcome {
	change := j.change
	if j.asks {
		return tell(r, change.team)
	}
	if made, ok := r.find(change.request); ok {
		return repeated(made, change)
	}
	if change.IsAction() {
		return judgePlan(r.fleet, change)
	}
	current, _ := r.fleet.Config(change.team)
	switch {
	case change.base > current.revision:
		return refused("revision", fmt.Sprintf("%d does not exist, the newest of team %s is %d",
			change.base, change.team, current.revision), `read the present state with "azurepond diff"`)
	case change.base < current.revision:
		return outrun(r, change, current)
	}
	if mistakes := clashes(r.fleet, change.config); len(mistakes) > 0 {
		return NewRefused(mistakes)
	}
	return nil
}

// tell returns what r holds for team.
func tell(r record, team string) Outcome {
	current, _ := r.fleet.Config(team)
	var changes []Change
	for _, change := range r.history {
		if change.team == team || team == FleetTeam {
			changes = append(changes, change)
		}
	}
	return ReadResult{current, changes}
}

// repeated returns the outcome of change when made was written under its request ID before.
func repeated(made, change Change) Outcome {
	same := made.action == change.action && made.team == change.team &&
		bytes.Equal(made.config.WithRevision(0).JSON(), change.config.WithRevision(0).JSON())
	if same {
		return Accepted{made.revision}
	}
	refusal := refused("", fmt.Sprintf("the request ID made another change, revision %d", made.revision),
		"use a new request ID for each change")
	refusal.final = true
	return refusal
}

// outrun returns the outcome of a change whose base is no longer the newest: only a complete history tells that none
// of the changes since was this one.
func outrun(r record, change Change, current Config) Outcome {
	changes, complete := r.since(change.team, change.base)
	if !complete {
		return Unknown{"more changes were made since than the history keeps, and this may have been one of them"}
	}
	return Conflict{r.at(change.team, change.base), current, changes}
}

func judgePlan(fleet Fleet, change Change) Outcome {
	action := change.action
	if fleet.planner(action) == FleetTeam && change.team != FleetTeam {
		return refused("", fmt.Sprintf("%s %q is held by team %s", action.kind, action.target, FleetTeam),
			"ask those who run the daemons")
	}
	if fleet.holds(action) {
		return Accepted{fleet.revision}
	}
	if len(fleet.plans) >= maxPlans && action.verb != VerbUndrain {
		return refused("", fmt.Sprintf("%d planned actions hold already", maxPlans), "undrain what is no longer needed")
	}
	return nil
}

// clashes returns the names and API keys in config that another team uses.
func clashes(fleet Fleet, config Config) []yaml.Mistake {
	var mistakes []yaml.Mistake
	for _, other := range fleet.configs {
		if other.team == config.team {
			continue
		}
		for _, name := range config.names() {
			if other.Owns(name) {
				mistakes = append(mistakes, yaml.NewMistake("request", 0, name, "is the name of something of another team",
					"choose another name"))
			}
		}
		for _, o := range config.organisations {
			if other.hasKey(o.key) {
				mistakes = append(mistakes, yaml.NewMistake("request", 0, o.name, "has an API key that can't be used",
					`make one with "azurepond token"`))
			}
		}
	}
	sort.Slice(mistakes, func(i, j int) bool { return mistakes[i].String() < mistakes[j].String() })
	return mistakes
}

func refused(field, problem, remedy string) Refused {
	return NewRefused([]yaml.Mistake{yaml.NewMistake("request", 0, field, problem, remedy)})
}
