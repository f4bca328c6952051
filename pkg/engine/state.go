package engine

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/cespare/xxhash/v2"
)

// cleanupInterval is the time between two removals of unused replicas and expired suspicions.
const cleanupInterval = time.Minute

// State routes calls to replicas and tracks their attempts. The zero value works with the default settings.
type State struct {
	settings        Settings
	random          rand.PCG
	contentRandom   rand.PCG
	calls           map[caller.ID]*call
	attempts        map[AttemptID]*attempt
	lastAttempt     AttemptID
	replicas        map[instance.ReplicaID]*replicaState
	budgets         map[string]*budget        // by model; the keys are all models that got calls
	tokenIntervals  map[string]*tokenInterval // by model
	prefixes        prefixIndex
	cacheReader     cacheReader
	mappingDisabled bool // turns off the hash mapping of prefixes to replicas, for tests that compare both
	suspects        suspects
	lastDiscovery   time.Time
	lastCleanup     time.Time
}

// call is a call that has not finished.
type call struct {
	admitted        caller.Call
	deliveredTokens int // tokens that the caller has, over all attempts
	attemptCount    int
	triedReplicas   []instance.ReplicaID
	runningAttempt  AttemptID
	mayHaveRun      bool
	held            bool          // waits for the verdict on its content
	endReason       caller.Reason // why the call ends with its attempt, empty if it goes on
}

// attempt is an attempt of a call that has not ended.
type attempt struct {
	id           AttemptID
	call         *call
	replica      *replicaState
	started      bool
	lastProgress time.Time
	tokens       int // tokens that the caller received from this attempt
	isTrial      bool
	passAtTokens int  // delivered tokens of the call at which a trial passes
	replicaLost  bool // cancelled because the replica became unavailable
	cancelled    bool
}

// Reduce applies one event and returns the resulting effects in the order of their execution.
func (s *State) Reduce(now time.Time, r Replicas, e Event) []Effect {
	s.initialize()
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
		return s.complete(now, r, e.attempt)
	case Failed:
		return s.fail(now, r, e)
	case Cancelled:
		return s.cancelCall(e.id)
	case CacheReported:
		return s.updateCache(now, r, e)
	case SuspicionReceived:
		return s.receiveSuspicion(now, r, e.suspicion)
	case DrainChanged:
		s.replica(now, e.replica).draining = e.draining
		return nil
	case Ticked:
		return s.tick(now, r)
	}
	return nil
}

func (s *State) initialize() {
	if s.calls != nil {
		return
	}
	s.calls = map[caller.ID]*call{}
	s.attempts = map[AttemptID]*attempt{}
	s.replicas = map[instance.ReplicaID]*replicaState{}
	s.budgets = map[string]*budget{}
	s.tokenIntervals = map[string]*tokenInterval{}
}

func (s *State) configure(settings Settings) {
	if s.settings.daemon != settings.daemon {
		s.random.Seed(xxhash.Sum64String(settings.daemon), xxhash.Sum64String(settings.dataCentre))
		s.cacheReader.seed(settings.daemon)
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

func (s *State) tokenInterval(model string) *tokenInterval {
	known, isKnown := s.tokenIntervals[model]
	if !isKnown {
		known = &tokenInterval{}
		s.tokenIntervals[model] = known
	}
	return known
}

// updateCache applies a cache event or a snapshot of a replica. If events were lost or the engine restarted, it
// requests a snapshot.
func (s *State) updateCache(now time.Time, r Replicas, e CacheReported) []Effect {
	replica := s.replica(now, e.replica)
	s.cacheReader.debtBytes += cacheEventBytes * float64(len(e.stored)+len(e.removed))
	if e.isSnapshot {
		replica.cache.reset(e.boot, e.sequence)
	} else {
		if replica.cache.detectRestart(e.boot) {
			return s.resync(r, e.replica)
		}
		isNext, isGap := replica.cache.accept(e.sequence)
		if isGap {
			return s.resync(r, e.replica)
		}
		if !isNext {
			return nil
		}
	}
	for _, hash := range e.stored {
		s.prefixes.store(hash, replica)
	}
	for _, hash := range e.removed {
		s.prefixes.remove(hash, replica)
	}
	return nil
}

// resync requests a snapshot of the cache of replica, if the replica is still available.
func (s *State) resync(r Replicas, replica instance.ReplicaID) []Effect {
	upstream, isAvailable := r.Find(replica)
	if !isAvailable {
		return nil
	}
	s.cacheReader.debtBytes += cacheReadBytes
	return []Effect{ResyncCache{replica, upstream.address}}
}
