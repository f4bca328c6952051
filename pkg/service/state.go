package service

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// State holds the calls, the attempts, the claims and the upstreams of all services. The zero value has no service.
type State struct {
	settings       Settings
	random         rand.PCG
	refs           object.Refs
	pools          map[string]*pool
	calls          map[caller.ID]*call // whose callers wait
	tracked        []*call             // those, and finished ones with running attempts
	attempts       map[AttemptID]*call
	lastAttempt    AttemptID
	lastNumber     uint64 // of a holderID
	shards         map[object.Key]*shard
	shardList      []*shard
	shardByRequest map[object.Ref]*shard
	sweeper        sweeper
}

// Reduce applies one event and returns its effects in the order in which they must be carried out.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.prepare()
	switch e := e.(type) {
	case Configured:
		s.configure(e.settings)
		return nil
	case Submitted:
		return s.submit(now, e.call)
	case StoreCompleted:
		return s.storeCompleted(now, e.result)
	case Replied:
		return s.reply(now, e.attempt, e.answer)
	case Failed:
		return s.fail(now, e.attempt, e.failure)
	case Cancelled:
		return s.cancel(now, e.id)
	case UpstreamsChanged:
		s.setUpstreams(e)
		return nil
	case PeersChanged:
		s.sweeper.peers = e.names
		return nil
	case Ticked:
		return s.tick(now)
	}
	return nil
}

func (s *State) prepare() {
	if s.calls != nil {
		return
	}
	s.pools = map[string]*pool{}
	s.calls = map[caller.ID]*call{}
	s.attempts = map[AttemptID]*call{}
	s.shards = map[object.Key]*shard{}
	s.shardByRequest = map[object.Ref]*shard{}
}

// configure applies settings and keeps the upstreams of the services that remain.
func (s *State) configure(settings Settings) {
	if s.settings.writer == "" {
		s.random.Seed(settings.seed, settings.seed)
	}
	s.settings = settings
	pools := map[string]*pool{}
	for _, service := range settings.services {
		existing := s.pools[service.name]
		if existing == nil {
			existing = &pool{}
		}
		existing.service = service
		pools[service.name] = existing
	}
	s.pools = pools
}

func (s *State) setUpstreams(e UpstreamsChanged) {
	if p := s.pools[e.service]; p != nil {
		p.setUpstreams(e.upstreams)
	}
}

// Calls returns the number of calls whose callers wait.
func (s *State) Calls() int { return len(s.calls) }

// Attempts returns the number of running attempts, including those whose callers no longer wait.
func (s *State) Attempts() int { return len(s.attempts) }

// ClaimObjects returns the number of objects with claims that this daemon reads or writes.
func (s *State) ClaimObjects() int { return len(s.shards) }
