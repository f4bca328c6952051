package service

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	// maxBacklogSpans is the number of expired spans that a daemon checks after its start.
	maxBacklogSpans = 60
	// sweepInterval is the mean time between two objects of one service that are checked. It lets a single daemon
	// check objects four times as fast as they expire.
	sweepInterval = keySpan / shardCount / 4
	// maxSweepBurst is the number of objects that may be checked without an interval after a delay.
	maxSweepBurst = 16
	// sweepRetryDelay is the time after which a failed request is retried.
	sweepRetryDelay = 10 * time.Second
)

// sweeper removes expired objects, one at a time. Each object has one owner among the live daemons.
type sweeper struct {
	peers    []string   // the live daemons, this one first
	span     int64      // being checked
	position int        // of the next object within span, ordered by service and shard
	request  object.Ref // pending, 0 for none
	key      object.Key // of the pending request
	nextTime time.Time
}

func (w *sweeper) tick(s *State, now time.Time) []Effect {
	if len(s.pools) == 0 || w.request != 0 || now.Before(w.nextTime) {
		return nil
	}
	lastSpan := spanOf(now.Add(-MaxKeyAge-MaxClockSkew)) - 1
	if w.span == 0 {
		w.span = lastSpan - maxBacklogSpans
	}
	names := s.serviceNames()
	for w.span <= lastSpan && isSpanExpired(w.span, now) {
		for ; w.position < len(names)*shardCount; w.position++ {
			key := shardKey(names[w.position/shardCount], w.span, w.position%shardCount)
			if w.isOwner(key) {
				return []Effect{w.nextRequest(s, now, key)}
			}
		}
		w.span, w.position = w.span+1, 0
	}
	return nil
}

func (w *sweeper) nextRequest(s *State, now time.Time, key object.Key) Effect {
	w.request, w.key = s.refs.Next(), key
	interval := sweepInterval / time.Duration(len(s.pools))
	if earliest := now.Add(-maxSweepBurst * interval); w.nextTime.Before(earliest) {
		w.nextTime = earliest
	}
	w.nextTime = w.nextTime.Add(interval)
	return Store{object.NewGet(w.request, key)}
}

// isOwner reports whether this daemon owns key, by rendezvous hashing among the live daemons.
func (w *sweeper) isOwner(key object.Key) bool {
	if len(w.peers) == 0 {
		return true
	}
	ownHash := xxhash.Sum64String(w.peers[0] + "/" + key.Name())
	for _, peer := range w.peers[1:] {
		if peer != w.peers[0] && xxhash.Sum64String(peer+"/"+key.Name()) > ownHash {
			return false
		}
	}
	return true
}

func (w *sweeper) result(s *State, now time.Time, result object.Result) []Effect {
	if w.request == 0 || result.Ref() != w.request {
		return nil
	}
	w.request = 0
	switch r := result.(type) {
	case object.Found:
		w.request = s.refs.Next()
		return []Effect{Store{object.NewDelete(w.request, w.key, r.Version())}}
	case object.Absent:
		w.position++
		return w.tick(s, now)
	default:
		w.nextTime = now.Add(sweepRetryDelay)
	}
	return nil
}

// serviceNames returns the names of the services, sorted.
func (s *State) serviceNames() []string {
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
