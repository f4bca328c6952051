package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheReadInterval is the mean time between two reads of one replica's cache events, and cacheReadJitter the part of
	// it that is random.
	cacheReadInterval = 2 * time.Second
	cacheReadJitter   = 0.5
	// cacheCheckInterval is the time between two checks for replicas that are due for a read.
	cacheCheckInterval = 250 * time.Millisecond
	// maxCacheReadReplicas limits the replicas whose events a daemon reads. With more replicas it reads none.
	maxCacheReadReplicas = 8
	// maxCacheReadBytesPerSecond limits the average traffic of reads.
	maxCacheReadBytesPerSecond = 2048
	// cacheReadBytes is the estimated size of a read without events, and cacheEventBytes that of each event.
	cacheReadBytes  = 512
	cacheEventBytes = 64
	// cacheReadSeed makes the random numbers for read times differ from those for routing.
	cacheReadSeed = 1
)

// cacheReader schedules the reads of cache events. debtBytes is the number of bytes by which past reads exceeded the
// rate limit.
type cacheReader struct {
	random    rand.PCG
	lastCheck time.Time
	debtBytes float64
}

func (r *cacheReader) seed(daemon string) { r.random.Seed(xxhash.Sum64String(daemon), cacheReadSeed) }

// isDue reports whether it is time to check for replicas to read, and reduces the debt by the allowance since the last
// check.
func (r *cacheReader) isDue(now time.Time) bool {
	elapsed := now.Sub(r.lastCheck)
	if elapsed < cacheCheckInterval {
		return false
	}
	r.lastCheck = now
	r.debtBytes = max(r.debtBytes-maxCacheReadBytesPerSecond*elapsed.Seconds(), 0)
	return true
}

// nextInterval returns the time until the next read of a replica.
func (r *cacheReader) nextInterval() time.Duration {
	deviation := rand.New(&r.random).Float64() - 1.0/2
	return time.Duration(float64(cacheReadInterval) * (1 + cacheReadJitter*deviation))
}

// readCaches requests the cache events of the replicas that are due, within the rate limit.
func (s *State) readCaches(now time.Time, r Replicas) []Effect {
	if !s.cacheReader.isDue(now) {
		return nil
	}
	var effects []Effect
	for _, upstream := range s.dueForRead(now, r) {
		if s.cacheReader.debtBytes > 0 {
			break
		}
		replica := s.replicas[upstream.replica]
		replica.cache.nextRead = now.Add(s.cacheReader.nextInterval())
		s.cacheReader.debtBytes += cacheReadBytes
		if replica.cache.outOfSync {
			effects = append(effects, ResyncCache{upstream.replica, upstream.address})
			continue
		}
		effects = append(effects, ReadCacheEvents{upstream.replica, upstream.address, replica.cache.sequence})
	}
	return effects
}

// dueForRead returns the replicas that are due to be read, the longest due first, or none if there are more than
// maxCacheReadReplicas.
func (s *State) dueForRead(now time.Time, r Replicas) []Upstream {
	models := make([]string, 0, len(s.budgets))
	total := 0
	for model := range s.budgets {
		models = append(models, model)
		total += r.Len(model)
	}
	if total > maxCacheReadReplicas {
		return nil
	}
	sort.Strings(models)
	var due []Upstream
	for _, model := range models {
		for i := range r.Len(model) {
			upstream := r.At(model, i)
			replica, isKnown := s.replicas[upstream.replica]
			if isKnown && !replica.cache.nextRead.After(now) {
				due = append(due, upstream)
			}
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		return s.replicas[due[i].replica].cache.nextRead.Before(s.replicas[due[j].replica].cache.nextRead)
	})
	return due
}
