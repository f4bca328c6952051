package caller

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAddresses is the maximum number of addresses in a list.
const maxAddresses = 3

// Addresses is a list of daemons to which a caller may connect, in order of preference.
type Addresses struct {
	list []string
	ttl  time.Duration
}

// List returns the addresses in order of preference.
func (a Addresses) List() []string { return a.list }

// TTL returns how long the caller may cache the list.
func (a Addresses) TTL() time.Duration { return a.ttl }

// candidate is a daemon that may be listed.
type candidate struct {
	name    string
	address string
	score   float64
}

// Addresses returns the daemons to which a caller in dataCentre should connect: first those in the same data centre,
// drawn at random by load, then one in another data centre. Daemons that are leaving are omitted.
func (s *State) Addresses(now time.Time, dataCentre string) Addresses {
	var near, far shortlist
	add := func(peer Peer) {
		if peer.leaving || peer.address == "" {
			return
		}
		c := candidate{peer.name, peer.address, score(peer, now)}
		if peer.dataCentre == dataCentre {
			near.add(c)
		} else {
			far.add(c)
		}
	}
	add(NewPeer(s.settings.name, s.settings.address, s.settings.dataCentre, s.stop.hasStarted(), s.load()))
	for _, name := range s.peerNames {
		peer := s.peers[name]
		peer.load = max(peer.load, s.reportedUsage[name].calls())
		add(peer)
	}
	if far.count > 0 {
		near.count = min(near.count, maxAddresses-1)
	}
	result := Addresses{ttl: s.settings.AddressTTL()}
	for _, c := range append(near.candidates(), far.candidates()...) {
		if len(result.list) < maxAddresses {
			result.list = append(result.list, c.address)
		}
	}
	return result
}

// shortlist keeps the candidates with the highest scores, in order.
type shortlist struct {
	list  [maxAddresses]candidate
	count int
}

func (l *shortlist) candidates() []candidate { return l.list[:l.count:l.count] }

func (l *shortlist) add(c candidate) {
	i := l.count
	for i > 0 && c.ranksBefore(l.list[i-1]) {
		i--
	}
	if i == maxAddresses {
		return
	}
	l.count = min(l.count+1, maxAddresses)
	copy(l.list[i+1:l.count], l.list[i:])
	l.list[i] = c
}

func (c candidate) ranksBefore(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}

// load returns the number of calls that run or wait at this daemon.
func (s *State) load() int { return len(s.calls) }

// score returns a random score that is likely to be larger the less load the daemon has. The highest scores are a weighted
// random sample, in which a daemon has the weight 1/(load+1).
func score(peer Peer, now time.Time) float64 {
	draw := hashToUnit(xxhash.Sum64String(peer.name) ^ uint64(now.UnixNano()))
	return math.Log(max(draw, math.SmallestNonzeroFloat64)) * float64(peer.load+1)
}

// hashToUnit maps seed to a number that is uniform in [0, 1), with the finaliser of SplitMix64.
func hashToUnit(seed uint64) float64 {
	seed ^= seed >> 30
	seed *= 0xbf58476d1ce4e5b9
	seed ^= seed >> 27
	seed *= 0x94d049bb133111eb
	seed ^= seed >> 31
	return float64(seed>>11) / (1 << 53)
}
