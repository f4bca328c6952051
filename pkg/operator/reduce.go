package operator

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// Reduce processes event e at time now and returns its effects. A nil targets means that no targets are known.
func (s *State) Reduce(now time.Time, targets TargetResolver, e Event) []Effect {
	switch e := e.(type) {
	case Configured:
		s.configure(e)
	case ApplyRequested:
		return s.enqueue(now, job{change: Change{
			base: e.config.revision, team: e.config.team, author: e.author, request: e.request, config: e.config,
		}, isRetry: e.isRetry})
	case ActionRequested:
		return s.actionRequested(now, targets, e)
	case ReadRequested:
		return s.enqueue(now, job{change: Change{team: e.team, request: e.request}, readOnly: true})
	case StoreCompleted:
		return s.storeCompleted(now, e.result)
	case ConfigReceived:
		return s.configReceived(e.document)
	case Ticked:
		return s.tick(now)
	}
	return nil
}

func (s *State) configure(e Configured) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.name))
	s.random = rand.New(rand.NewPCG(e.seed, hash.Sum64()))
}

func (s *State) actionRequested(now time.Time, targets TargetResolver, e ActionRequested) []Effect {
	requested := job{
		change:  Change{team: e.team, author: e.author, request: e.request, action: e.action},
		isRetry: e.isRetry,
	}
	if problem := s.denialReason(targets, e); problem != "" {
		return requested.answer(refused("", problem, "name a target of your own team, as \"azurepond status\" shows it"))
	}
	return s.enqueue(now, requested)
}

// enqueue adds a job and starts a read of the store unless a request to it is pending. A job whose request ID is queued
// already is not added again, and a full queue refuses the job.
func (s *State) enqueue(now time.Time, added job) []Effect {
	request := added.change.request
	for i := range s.jobs {
		if s.jobs[i].change.request == request {
			s.jobs[i].isRetry = s.jobs[i].isRetry || added.isRetry
			return nil
		}
	}
	if len(s.jobs) >= maxJobs {
		return added.answer(refused("", "too many requests wait at this entry", "try again later, or at another entry"))
	}
	added.deadline = now.Add(requestTimeout)
	s.jobs = append(s.jobs, added)
	if s.pending.ref != 0 {
		return nil
	}
	return s.read()
}

func (s *State) tick(now time.Time) []Effect {
	effects := s.expireJobs(now)
	if len(s.jobs) > 0 && s.pending.ref == 0 && !now.Before(s.retryAt) {
		effects = append(effects, s.read()...)
	}
	return effects
}

// expireJobs answers and removes the jobs whose deadline has passed. The result of a pending write of such a job is
// ignored.
func (s *State) expireJobs(now time.Time) []Effect {
	var effects []Effect
	var kept []job
	for i, j := range s.jobs {
		if now.Before(j.deadline) {
			kept = append(kept, j)
			continue
		}
		writePending := i == 0 && s.pending.write != nil
		if writePending {
			s.pending = storeRequest{}
		}
		effects = append(effects, j.expire(writePending, s.storeError)...)
	}
	s.jobs = kept
	return effects
}

// expire returns the answer to a job whose deadline has passed. The outcome is unknown if a write was lost or is still
// pending, else refused with storeError, the last error of the store.
func (j job) expire(writePending bool, storeError string) []Effect {
	if j.writeUncertain || writePending {
		return j.answer(Unknown{"the platform's store did not say whether the change was written"})
	}
	problem := "the platform's store can't be used"
	if storeError != "" {
		problem += ": " + storeError
	}
	return j.answer(refused("", problem, "try again when it can"))
}

// read requests the record from the store.
func (s *State) read() []Effect {
	s.pending = storeRequest{ref: s.nextRef()}
	return []Effect{Store{object.NewGet(s.pending.ref, recordKey)}}
}

// configReceived activates a received configuration if it is newer, and ignores one that can't be decoded.
func (s *State) configReceived(document []byte) []Effect {
	fleet, err := ParseFleet(document)
	if err != nil {
		return nil
	}
	return s.activate(record{fleet, s.record.history})
}

// activate replaces the active record by r unless r is older. It publishes a newer revision and executes its actions.
func (s *State) activate(r record) []Effect {
	before := s.record.fleet
	if r.fleet.revision < before.revision {
		return nil
	}
	s.record = r
	if r.fleet.revision == before.revision {
		return nil
	}
	effects := []Effect{Publish{r.fleet.revision, r.fleet.JSON()}}
	return append(effects, actionEffects(before, r.fleet)...)
}

// actionEffects returns the effects that undrain the targets without an action in after and execute its new actions.
func actionEffects(before, after Fleet) []Effect {
	var effects []Effect
	for _, p := range before.plannedActions {
		undrain := NewAction(VerbUndrain, p.action.kind, p.action.target)
		if after.inEffect(undrain) {
			effects = append(effects, ExecuteAction{p.author, undrain})
		}
	}
	for _, p := range after.plannedActions {
		if !before.inEffect(p.action) {
			effects = append(effects, ExecuteAction{p.author, p.action})
		}
	}
	return effects
}
