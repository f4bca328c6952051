package service

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	// backlog is the number of expired spans that a daemon looks through after its start.
	backlog = 60
	// sweepPause is the mean time between two objects of one service that are looked for: a daemon alone keeps up.
	sweepPause = span / shardCount / 4
	// sweepBurst is the number of objects that may be looked for one right after another.
	sweepBurst = 16
	// sweepRetry is the time after which a request that failed is made again.
	sweepRetry = 10 * time.Second
)

// sweep removes the objects whose claims nobody needs any more, one at a time; each belongs to one live daemon.
type sweep struct {
	peers   []string
	span    int64
	job     int
	pending object.Ref
	key     object.Key
	next    time.Time
}

func (w *sweep) tick(s *State, now time.Time) []Effect {
	if len(s.pools) == 0 || w.pending != 0 || now.Before(w.next) {
		return nil
	}
	last := spanOf(now.Add(-MaxKeyAge-MaxClockSkew)) - 1
	if w.span == 0 {
		w.span = last - backlog
	}
	names := s.serviceNames()
	for w.span <= last && expired(w.span, now) {
		for ; w.job < len(names)*shardCount; w.job++ {
			key := shardKey(names[w.job/shardCount], w.span, w.job%shardCount)
			if w.owns(key) {
				return []Effect{w.request(s, now, key)}
			}
		}
		w.span, w.job = w.span+1, 0
	}
	return nil
}

func (w *sweep) request(s *State, now time.Time, key object.Key) Effect {
	w.pending, w.key = s.refs.Next(), key
	pause := sweepPause / time.Duration(len(s.pools))
	if earliest := now.Add(-sweepBurst * pause); w.next.Before(earliest) {
		w.next = earliest
	}
	w.next = w.next.Add(pause)
	return Store{object.NewGet(w.pending, key)}
}

// owns reports whether this daemon comes first among its peers for key.
func (w *sweep) owns(key object.Key) bool {
	if len(w.peers) == 0 {
		return true
	}
	own := xxhash.Sum64String(w.peers[0] + "/" + key.Name())
	for _, peer := range w.peers[1:] {
		if peer != w.peers[0] && xxhash.Sum64String(peer+"/"+key.Name()) > own {
			return false
		}
	}
	return true
}

func (w *sweep) result(s *State, now time.Time, result object.Result) []Effect {
	if w.pending == 0 || result.Ref() != w.pending {
		return nil
	}
	w.pending = 0
	switch r := result.(type) {
	case object.Found:
		w.pending = s.refs.Next()
		return []Effect{Store{object.NewDelete(w.pending, w.key, r.Version())}}
	case object.Absent:
		w.job++
		return w.tick(s, now)
	default:
		w.next = now.Add(sweepRetry)
	}
	return nil
}

// serviceNames returns the names of the services in order.
func (s *State) serviceNames() []string {
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
