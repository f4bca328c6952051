package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readInterval is the time between two reads of one replica's cache events, on average, and readJitter which part
	// of it varies.
	readInterval = 2 * time.Second
	readJitter   = 0.5
	// readPeriod is the time between two looks for replicas to read.
	readPeriod = 250 * time.Millisecond
	// readReplicas is the largest number of replicas whose events a daemon reads; before more it reads none.
	readReplicas = 8
	// readRate is what reading may cost on average, in bytes a second.
	readRate = 2048
	// readCost is what one read without events costs, and eventCost what each event adds, in bytes.
	readCost  = 512
	eventCost = 64
	// readSeed makes the numbers for the times of reading differ from those for routing.
	readSeed = 1
)

// reading is when this daemon reads what replicas cache; debt is what reads cost above the rate so far, in bytes.
type reading struct {
	random rand.PCG
	looked time.Time
	debt   float64
}

func (r *reading) seed(daemon string) { r.random.Seed(xxhash.Sum64String(daemon), readSeed) }

// isDue reports whether it is time to look for replicas to read, and pays off debt.
func (r *reading) isDue(now time.Time) bool {
	passed := now.Sub(r.looked)
	if passed < readPeriod {
		return false
	}
	r.looked = now
	r.debt = max(r.debt-readRate*passed.Seconds(), 0)
	return true
}

// pause returns the time until the next read of a replica.
func (r *reading) pause() time.Duration {
	share := rand.New(&r.random).Float64() - 1.0/2
	return time.Duration(float64(readInterval) * (1 + readJitter*share))
}

// read asks for the cache events of the replicas whose turn it is, as far as the rate allows.
func (s *State) read(now time.Time, r Replicas) []Effect {
	if !s.reading.isDue(now) {
		return nil
	}
	var effects []Effect
	for _, seen := range s.unread(now, r) {
		if s.reading.debt > 0 {
			break
		}
		own := s.upstreams[seen.replica]
		own.cache.due = now.Add(s.reading.pause())
		s.reading.debt += readCost
		if own.cache.lost {
			effects = append(effects, ResyncCache{seen.replica, seen.address})
			continue
		}
		effects = append(effects, ReadCacheEvents{seen.replica, seen.address, own.cache.sequence})
	}
	return effects
}

// unread returns the replicas that are due to be read, the longest due first, or none if there are too many to read.
func (s *State) unread(now time.Time, r Replicas) []Upstream {
	models := make([]string, 0, len(s.budgets))
	total := 0
	for model := range s.budgets {
		models = append(models, model)
		total += r.Len(model)
	}
	if total > readReplicas {
		return nil
	}
	sort.Strings(models)
	var due []Upstream
	for _, model := range models {
		for i := range r.Len(model) {
			seen := r.At(model, i)
			own, isKnown := s.upstreams[seen.replica]
			if isKnown && !own.cache.due.After(now) {
				due = append(due, seen)
			}
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		return s.upstreams[due[i].replica].cache.due.Before(s.upstreams[due[j].replica].cache.due)
	})
	return due
}
