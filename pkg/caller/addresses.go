package caller

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// addressesMost is the most addresses that one caller is told.
const addressesMost = 3

// Addresses is a list of daemons to connect to, the best first.
type Addresses struct {
	list []string
	ttl  time.Duration
}

// List returns the addresses, the best first.
func (a Addresses) List() []string { return a.list }

// TTL returns for how long the caller may use the list before it asks again.
func (a Addresses) TTL() time.Duration { return a.ttl }

// candidate is a daemon that may be named.
type candidate struct {
	name    string
	address string
	score   float64
}

// Addresses returns where a caller in dataCentre should connect: near daemons first, drawn by their load, one of
// another data centre last, and none that leaves.
func (s *State) Addresses(now time.Time, dataCentre string) Addresses {
	var near, far shortlist
	offer := func(peer Peer) {
		if peer.leaving || peer.address == "" {
			return
		}
		c := candidate{peer.name, peer.address, score(peer, now)}
		if peer.dataCentre == dataCentre {
			near.offer(c)
		} else {
			far.offer(c)
		}
	}
	offer(NewPeer(s.settings.name, s.settings.address, s.settings.dataCentre, s.stop.hasBegun(), s.load()))
	for _, name := range s.names {
		peer := s.peers[name]
		peer.load = max(peer.load, s.shared[name].wanted())
		offer(peer)
	}
	if far.count > 0 {
		near.count = min(near.count, addressesMost-1)
	}
	result := Addresses{ttl: s.settings.AddressTTL()}
	for _, c := range append(near.best(), far.best()...) {
		if len(result.list) < addressesMost {
			result.list = append(result.list, c.address)
		}
	}
	return result
}

// shortlist keeps the candidates with the highest scores, in order.
type shortlist struct {
	list  [addressesMost]candidate
	count int
}

func (l *shortlist) best() []candidate { return l.list[:l.count:l.count] }

func (l *shortlist) offer(c candidate) {
	place := l.count
	for place > 0 && c.beats(l.list[place-1]) {
		place--
	}
	if place == addressesMost {
		return
	}
	l.count = min(l.count+1, addressesMost)
	copy(l.list[place+1:l.count], l.list[place:])
	l.list[place] = c
}

func (c candidate) beats(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}

// load returns how many calls run or wait here.
func (s *State) load() int { return len(s.calls) }

// score draws a place in the list: the less a daemon has to do, the larger the score is likely to be.
func score(peer Peer, now time.Time) float64 {
	draw := fraction(xxhash.Sum64String(peer.name) ^ uint64(now.UnixNano()))
	return math.Log(max(draw, math.SmallestNonzeroFloat64)) * float64(peer.load+1)
}

// fraction spreads seed evenly over 0 to 1.
func fraction(seed uint64) float64 {
	seed ^= seed >> 30
	seed *= 0xbf58476d1ce4e5b9
	seed ^= seed >> 27
	seed *= 0x94d049bb133111eb
	seed ^= seed >> 31
	return float64(seed>>11) / (1 << 53)
}
