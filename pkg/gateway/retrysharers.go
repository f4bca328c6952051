package gateway

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
)

// The times and shares by which the sharers of the retry budget are counted.
const (
	retrySharerWindows = 1.5             // of the retry budget, after which a daemon that is gone no longer counts
	minLiveSharers     = 0.75            // of those that were live at once; with fewer, this daemon may be cut off from the others
	maxSeedWait        = 5 * time.Minute // after which the seeds that were never live are taken for gone
	maxSharers         = 4096            // more than the largest fleet
)

// retrySharers are the daemons among which the burst of the retry budget is divided. A daemon that is cut off from the others keeps counting
// them, as they may go on sending retries.
type retrySharers struct {
	byName     map[string]retrySharer
	mostLive   int             // at once, without those that leave, since the last time that none was missing
	metSeeds   map[string]bool // addresses of the peers to contact first that were live since the start
	count      int             // as last reported
	isReported bool
}

// retrySharer is a daemon as it was last seen live.
type retrySharer struct {
	seenAt    time.Time
	isLeaving bool
}

// see adds a daemon that is live now.
func (r *retrySharers) see(now time.Time, name string, isLeaving bool) {
	if r.byName == nil {
		r.byName = map[string]retrySharer{}
	}
	known, isKnown := r.byName[name]
	if !isKnown && len(r.byName) >= maxSharers {
		return
	}
	if isKnown && isLeaving && !known.isLeaving {
		r.mostLive--
	}
	r.byName[name] = retrySharer{now, isLeaving}
}

// forget removes the daemons that were not seen for ttl, unless this one may be cut off from them.
func (r *retrySharers) forget(now time.Time, ttl time.Duration) {
	live, missing := 0, 0
	for _, sharer := range r.byName {
		if !sharer.isLeaving && sharer.seenAt.Equal(now) {
			live++
		}
	}
	r.mostLive = max(r.mostLive, live)
	isCutOff := float64(live) < minLiveSharers*float64(r.mostLive)
	for name, sharer := range r.byName {
		if now.Sub(sharer.seenAt) > ttl && (sharer.isLeaving || !isCutOff) {
			delete(r.byName, name)
		} else if !sharer.isLeaving && !sharer.seenAt.Equal(now) {
			missing++
		}
	}
	if missing == 0 {
		r.mostLive = live
	}
}

// meetSeed records that a daemon at an address is live that is one of the peers to contact first.
func (r *retrySharers) meetSeed(address string, seeds []string) {
	if slices.Contains(seeds, address) {
		if r.metSeeds == nil {
			r.metSeeds = map[string]bool{}
		}
		r.metSeeds[address] = true
	}
}

// hasMet reports whether at least half of the seeds were met, or have been away for too long. Before that, this daemon may have started while
// it is cut off from daemons that it does not know.
func (r *retrySharers) hasMet(seeds []string, uptime time.Duration) bool {
	return 2*len(r.metSeeds) >= len(seeds) || uptime >= maxSeedWait
}

// countRetrySharers reports to pkg/dispatch among how many daemons the burst of the retry budget is divided, 0 while that is unknown.
func (s *State) countRetrySharers(now time.Time, fresh []peer.Member) {
	r, seeds := &s.retrySharers, s.settings.seeds
	r.see(now, s.members.self, false)
	r.meetSeed(s.settings.peerAddress, seeds)
	for _, member := range fresh {
		r.see(now, member.Name(), member.Leaving())
		r.meetSeed(member.Address(), seeds)
	}
	r.forget(now, time.Duration(retrySharerWindows*float64(s.settings.retryLimits.Window())))
	count, uptime := 0, now.Sub(s.members.startedAt)
	if uptime >= s.minSharingUptime() && r.hasMet(seeds, uptime) {
		count = len(r.byName)
	}
	if r.isReported && count == r.count {
		return
	}
	r.count, r.isReported = count, true
	s.reduceDispatch(now, dispatch.NewRetrySharersChanged(count))
	s.emit(RetrySharersChanged{count})
}

// minSharingUptime returns how long after its start this daemon gets no share of the burst: for a window, since an earlier start may have used
// its share before, or until peers have connected if the deployment starts for the first time.
func (s *State) minSharingUptime() time.Duration {
	if s.settings.bootstrap {
		return minLeaderUptime
	}
	return max(s.settings.retryLimits.Window(), minLeaderUptime)
}
