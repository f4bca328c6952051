package operator

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/yaml"
)

// storeCompleted handles the result of a request to the store.
func (s *State) storeCompleted(now time.Time, result object.Result) []Effect {
	if result.Ref() != s.pending.ref || s.pending.ref == 0 {
		return nil
	}
	write := s.pending.write
	s.pending = storeRequest{}
	switch result := result.(type) {
	case object.Found:
		return s.recordFound(now, result)
	case object.Absent:
		return s.processJobs(now, "", s.record)
	case object.Stored:
		return s.writeCompleted(write)
	case object.Conflict:
		return s.read()
	case object.Refused, object.Lost:
		return s.storeFailed(now, result, write != nil)
	}
	return nil
}

// storeFailed schedules the next read of the store. A write whose answer was lost may have taken effect, so its job
// stays uncertain until a later read.
func (s *State) storeFailed(now time.Time, result object.Result, isWrite bool) []Effect {
	if _, lost := result.(object.Lost); lost && isWrite && len(s.jobs) > 0 {
		s.jobs[0].writeUncertain = true
	}
	s.storeError = "no answer came"
	if refused, isRefused := result.(object.Refused); isRefused {
		s.storeError = refused.Reason()
	}
	s.retryAt = now.Add(s.backoff())
	return nil
}

func (s *State) recordFound(now time.Time, result object.Found) []Effect {
	r, err := parseRecord(result.Data())
	if err != nil {
		s.storeError = err.Error()
		s.retryAt = now.Add(s.backoff())
		return nil
	}
	s.consecutiveFailures, s.storeError = 0, ""
	effects := s.activate(r)
	return append(effects, s.processJobs(now, result.Version(), s.record)...)
}

// answer returns the answer to the job's request. A retry is answered with Unknown instead of a refusal that is not
// permanent, since another daemon may still process the first attempt.
func (j job) answer(outcome Outcome) []Effect {
	if refusal, ok := outcome.(Refused); ok && j.isRetry && !refusal.permanent {
		outcome = Unknown{"the first sending may still take effect; this one did not: " +
			yaml.Mistakes(refusal.mistakes).Error()}
	}
	return []Effect{Answer{j.change.request, outcome}}
}

// processJobs evaluates the jobs in order against current, the newest known record, and writes the first change that is
// allowed. version is the object's version in the store, or empty if the store has no object. If the store has lost the
// object, the write restores it.
func (s *State) processJobs(now time.Time, version object.Version, current record) []Effect {
	var effects []Effect
	for len(s.jobs) > 0 {
		j := &s.jobs[0]
		if version != j.expectedVersion {
			j.writeUncertain = false
		}
		outcome := j.evaluate(current)
		if outcome == nil {
			return append(effects, s.write(now, version, current, j.change)...)
		}
		effects = append(effects, j.answer(outcome)...)
		s.jobs = s.jobs[1:]
	}
	return effects
}

// write requests to write current with change, the change of the first job. If the record would be too large, it refuses
// that job and processes the next ones.
func (s *State) write(now time.Time, version object.Version, current record, change Change) []Effect {
	change.revision = current.fleet.revision + 1
	change.acceptedAt = now.UTC()
	change.config = change.config.WithRevision(change.revision)
	next := current.withChange(change)
	data := next.json()
	if len(data) > maxRecordBytes {
		rejected := s.jobs[0]
		s.jobs = s.jobs[1:]
		effects := rejected.answer(
			refused("", "the configuration of all teams would be too large", "remove what is not used"))
		return append(effects, s.processJobs(now, version, current)...)
	}
	s.jobs[0].expectedVersion = version
	s.pending = storeRequest{ref: s.nextRef(), write: &next}
	return []Effect{Store{object.NewPut(s.pending.ref, recordKey, version, data)}}
}

func (s *State) writeCompleted(written *record) []Effect {
	if written == nil {
		return nil
	}
	s.consecutiveFailures = 0
	effects := s.activate(*written)
	if len(s.jobs) == 0 {
		return effects
	}
	completed := s.jobs[0]
	s.jobs = s.jobs[1:]
	effects = append(effects, completed.answer(Accepted{written.fleet.revision})...)
	if len(s.jobs) > 0 {
		effects = append(effects, s.read()...)
	}
	return effects
}

// evaluate returns the outcome of the job given the record r, or nil if its change is to be written.
func (j job) evaluate(r record) Outcome {
	change := j.change
	if j.readOnly {
		return readResult(r, change.team)
	}
	if previous, ok := r.changeByRequest(change.request); ok {
		return duplicateOutcome(previous, change)
	}
	if change.IsAction() {
		return evaluateAction(r.fleet, change)
	}
	current, _ := r.fleet.Config(change.team)
	switch {
	case change.base > current.revision:
		return refused("revision", fmt.Sprintf("%d does not exist, the newest of team %s is %d",
			change.base, change.team, current.revision), `read the present state with "azurepond diff"`)
	case change.base < current.revision:
		return staleBaseOutcome(r, change, current)
	}
	if mistakes := crossTeamDuplicates(r.fleet, change.config); len(mistakes) > 0 {
		return NewRefused(mistakes)
	}
	return nil
}

// readResult returns the configuration and the changes of team in r, or the changes of all teams for FleetTeam.
func readResult(r record, team string) Outcome {
	current, _ := r.fleet.Config(team)
	var changes []Change
	for _, change := range r.history {
		if change.team == team || team == FleetTeam {
			changes = append(changes, change)
		}
	}
	return ReadResult{current, changes}
}

// duplicateOutcome returns the outcome of change if previous was written under the same request ID.
func duplicateOutcome(previous, change Change) Outcome {
	identical := previous.action == change.action && previous.team == change.team &&
		bytes.Equal(previous.config.WithRevision(0).JSON(), change.config.WithRevision(0).JSON())
	if identical {
		return Accepted{previous.revision}
	}
	refusal := refused("", fmt.Sprintf("the request ID made another change, revision %d", previous.revision),
		"use a new request ID for each change")
	refusal.permanent = true
	return refusal
}

// staleBaseOutcome returns the outcome of a change whose base revision is outdated. The change is a conflict only if
// the history since its base is complete; otherwise an earlier attempt may have written it.
func staleBaseOutcome(r record, change Change, current Config) Outcome {
	changes, complete := r.configChangesSince(change.team, change.base)
	if !complete {
		return Unknown{"more changes were made since than the history keeps, and this may have been one of them"}
	}
	return Conflict{r.configAt(change.team, change.base), current, changes}
}

// evaluateAction returns the outcome of a planned action, or nil if it is to be written.
func evaluateAction(fleet Fleet, change Change) Outcome {
	action := change.action
	if fleet.plannedBy(action) == FleetTeam && change.team != FleetTeam {
		return refused("", fmt.Sprintf("%s %q is held by team %s", action.kind, action.target, FleetTeam),
			"ask those who run the daemons")
	}
	if fleet.inEffect(action) {
		return Accepted{fleet.revision}
	}
	if len(fleet.plannedActions) >= maxPlannedActions && action.verb != VerbUndrain {
		return refused("", fmt.Sprintf("%d planned actions hold already", maxPlannedActions),
			"undrain what is no longer needed")
	}
	return nil
}

// crossTeamDuplicates returns a mistake for each name and API key in config that another team uses.
func crossTeamDuplicates(fleet Fleet, config Config) []yaml.Mistake {
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
