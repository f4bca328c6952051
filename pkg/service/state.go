package service

import (
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// State is what the decisions towards services remember; the zero value knows no service.
type State struct {
	settings Settings
	random   rand.PCG
	refs     object.Refs
	pools    map[string]*pool
	calls    map[caller.ID]*call
	order    []*call
	attempts map[AttemptID]*call
	last     AttemptID
	stamps   uint64
	shards   map[object.Key]*shard
	active   []*shard
	pending  map[object.Ref]*shard
	sweep    sweep
}

// Reduce takes in one event and returns what has to be done about it, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.prepare()
	switch e := e.(type) {
	case Configured:
		s.configure(e.settings)
		return nil
	case Submitted:
		return s.submit(now, e.call)
	case StoreCompleted:
		return s.result(now, e.result)
	case Replied:
		return s.reply(now, e.attempt, e.answer)
	case Failed:
		return s.fail(now, e.attempt, e.failure)
	case Cancelled:
		return s.cancel(now, e.id)
	case UpstreamsChanged:
		s.replace(e)
		return nil
	case PeersChanged:
		s.sweep.peers = e.names
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
	s.pending = map[object.Ref]*shard{}
}

// configure adopts settings; the upstreams of services that stay are kept.
func (s *State) configure(settings Settings) {
	if s.settings.writer == "" {
		s.random.Seed(settings.seed, settings.seed)
	}
	s.settings = settings
	pools := map[string]*pool{}
	for _, service := range settings.services {
		known := s.pools[service.name]
		if known == nil {
			known = &pool{}
		}
		known.service = service
		pools[service.name] = known
	}
	s.pools = pools
}

func (s *State) replace(e UpstreamsChanged) {
	if known := s.pools[e.service]; known != nil {
		known.replace(e.upstreams)
	}
}

// Calls returns the number of calls whose callers wait.
func (s *State) Calls() int { return len(s.calls) }

// Attempts returns the number of attempts that run, those included whose callers no longer wait.
func (s *State) Attempts() int { return len(s.attempts) }

// ClaimObjects returns the number of objects with claims that this daemon works on.
func (s *State) ClaimObjects() int { return len(s.shards) }
