package engine

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/cespare/xxhash/v2"
)

// forgetEvery is how often unused replicas and suspicions are looked for.
const forgetEvery = time.Minute

// State is what the decisions towards engines remember; the zero value works with the default settings.
type State struct {
	settings  Settings
	random    rand.PCG
	content   rand.PCG
	calls     map[caller.ID]*call
	attempts  map[AttemptID]*attempt
	last      AttemptID
	upstreams map[instance.ReplicaID]*upstream
	budgets   map[string]*budget
	paces     map[string]*pace
	prefixes  prefixes
	reading   reading
	unmapped  bool // no replica is preferred by hash, for comparison
	suspects  suspects
	surveyed  time.Time
	forgotten time.Time
}

// call is a call that has not finished.
type call struct {
	call    caller.Call
	tokens  int
	count   int
	tried   []instance.ReplicaID
	attempt AttemptID
	ran     bool
	held    bool
	reason  caller.Reason
}

// attempt is a try that has not ended.
type attempt struct {
	id        AttemptID
	call      *call
	own       *upstream
	started   bool
	reported  time.Time
	tokens    int
	trial     bool
	passes    int
	lost      bool
	cancelled bool
}

// Reduce takes in one event and returns what has to be done about it, in order.
func (s *State) Reduce(now time.Time, r Replicas, e Event) []Effect {
	s.prepare()
	switch e := e.(type) {
	case Configured:
		s.configure(e.settings)
		return nil
	case Submitted:
		return s.submit(now, r, e.call)
	case Started:
		s.start(now, e.attempt)
		return nil
	case Progressed:
		return s.progress(now, r, e)
	case Completed:
		return s.end(now, r, e.attempt)
	case Failed:
		return s.fail(now, r, e)
	case Cancelled:
		return s.cancel(e.id)
	case CacheReported:
		return s.cache(now, r, e)
	case SuspicionReceived:
		return s.hear(now, r, e.suspicion)
	case DrainChanged:
		s.upstream(now, e.replica).drained = e.draining
		return nil
	case Ticked:
		return s.tick(now, r)
	}
	return nil
}

func (s *State) prepare() {
	if s.calls != nil {
		return
	}
	s.calls = map[caller.ID]*call{}
	s.attempts = map[AttemptID]*attempt{}
	s.upstreams = map[instance.ReplicaID]*upstream{}
	s.budgets = map[string]*budget{}
	s.paces = map[string]*pace{}
}

func (s *State) configure(settings Settings) {
	if s.settings.daemon != settings.daemon {
		s.random.Seed(xxhash.Sum64String(settings.daemon), xxhash.Sum64String(settings.dataCentre))
		s.reading.seed(settings.daemon)
	}
	s.settings = settings
}

func (s *State) budget(model string) *budget {
	known, isKnown := s.budgets[model]
	if !isKnown {
		known = &budget{}
		s.budgets[model] = known
	}
	return known
}

func (s *State) pace(model string) *pace {
	known, isKnown := s.paces[model]
	if !isKnown {
		known = &pace{}
		s.paces[model] = known
	}
	return known
}

func (s *State) cache(now time.Time, r Replicas, e CacheReported) []Effect {
	own := s.upstream(now, e.replica)
	s.reading.debt += eventCost * float64(len(e.stored)+len(e.removed))
	if e.isSnapshot {
		own.cache.restart(e.boot, e.sequence)
	} else {
		if own.cache.isOther(e.boot) {
			return s.resync(r, e.replica)
		}
		isNext, isGap := own.cache.accept(e.sequence)
		if isGap {
			return s.resync(r, e.replica)
		}
		if !isNext {
			return nil
		}
	}
	for _, hash := range e.stored {
		s.prefixes.store(hash, own)
	}
	for _, hash := range e.removed {
		s.prefixes.remove(hash, own)
	}
	return nil
}

// resync asks for the whole list of what replica caches, if it is still there.
func (s *State) resync(r Replicas, replica instance.ReplicaID) []Effect {
	seen, isWhole := r.Find(replica)
	if !isWhole {
		return nil
	}
	s.reading.debt += readCost
	return []Effect{ResyncCache{replica, seen.address}}
}
