package operator

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// Reduce takes in event e at now and returns what is to be done; owners may be nil when nothing is known of targets.
func (s *State) Reduce(now time.Time, owners TargetResolver, e Event) []Effect {
	switch e := e.(type) {
	case Configured:
		s.configure(e)
	case ApplyRequested:
		return s.enqueue(now, job{change: Change{
			base: e.config.revision, team: e.config.team, author: e.who, request: e.request, config: e.config,
		}, again: e.isRetry})
	case ActionRequested:
		return s.plan(now, owners, e)
	case ReadRequested:
		return s.enqueue(now, job{change: Change{team: e.team, request: e.request}, asks: true})
	case StoreCompleted:
		return s.result(now, e.result)
	case ConfigReceived:
		return s.adopt(e.document)
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

func (s *State) plan(now time.Time, owners TargetResolver, e ActionRequested) []Effect {
	wish := job{change: Change{team: e.team, author: e.who, request: e.request, action: e.action}, again: e.isRetry}
	if problem := s.forbid(owners, e); problem != "" {
		return wish.answer(refused("", problem, "name a target of your own team, as \"azurepond status\" shows it"))
	}
	return s.enqueue(now, wish)
}

// enqueue takes in a wish; a request that is already being worked on is not taken in twice.
func (s *State) enqueue(now time.Time, wish job) []Effect {
	request := wish.change.request
	for i := range s.jobs {
		if s.jobs[i].change.request == request {
			s.jobs[i].again = s.jobs[i].again || wish.again
			return nil
		}
	}
	if len(s.jobs) >= maxJobs {
		return wish.answer(refused("", "too many requests wait at this entry", "try again later, or at another entry"))
	}
	wish.deadline = now.Add(patience)
	s.jobs = append(s.jobs, wish)
	if s.pending.ref != 0 {
		return nil
	}
	return s.read()
}

func (s *State) tick(now time.Time) []Effect {
	effects := s.expire(now)
	if len(s.jobs) > 0 && s.pending.ref == 0 && !now.Before(s.next) {
		effects = append(effects, s.read()...)
	}
	return effects
}

// expire answers the requests that have waited too long with what is known of them.
func (s *State) expire(now time.Time) []Effect {
	var effects []Effect
	var kept []job
	for i, j := range s.jobs {
		if now.Before(j.deadline) {
			kept = append(kept, j)
			continue
		}
		written := i == 0 && s.pending.write != nil
		if written {
			s.pending = pending{}
		}
		effects = append(effects, j.giveUp(written, s.trouble)...)
	}
	s.jobs = kept
	return effects
}

// giveUp answers the job with what is known when its time is over; written says that a write is on its way, trouble why
// the store did not help.
func (j job) giveUp(written bool, trouble string) []Effect {
	if j.unsure || written {
		return j.answer(Unknown{"the platform's store did not say whether the change was written"})
	}
	problem := "the platform's store can't be used"
	if trouble != "" {
		problem += ": " + trouble
	}
	return j.answer(refused("", problem, "try again when it can"))
}

// read asks the store for the configuration.
func (s *State) read() []Effect {
	s.pending = pending{ref: s.nextRef()}
	return []Effect{Store{object.NewGet(s.pending.ref, recordKey)}}
}

// adopt takes over the configuration that a peer sent if it is newer.
func (s *State) adopt(document []byte) []Effect {
	fleet, err := ParseFleet(document)
	if err != nil {
		return nil
	}
	return s.take(record{fleet, s.record.history})
}

// take puts r in force if it is newer than what is, and says so.
func (s *State) take(r record) []Effect {
	before := s.record.fleet
	if r.fleet.revision < before.revision {
		return nil
	}
	s.record = r
	if r.fleet.revision == before.revision {
		return nil
	}
	effects := []Effect{Publish{r.fleet.revision, r.fleet.JSON()}}
	return append(effects, replan(before, r.fleet)...)
}

// replan returns the planned actions that after holds beyond before, and the end of those that it no longer holds.
func replan(before, after Fleet) []Effect {
	var effects []Effect
	for _, p := range before.plans {
		undo := NewAction(VerbUndrain, p.action.kind, p.action.target)
		if after.holds(undo) {
			effects = append(effects, ExecuteAction{p.who, undo})
		}
	}
	for _, p := range after.plans {
		if !before.holds(p.action) {
			effects = append(effects, ExecuteAction{p.who, p.action})
		}
	}
	return effects
}
