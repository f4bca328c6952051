package object

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var leaseStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// contender is one process with a lease; a paused one neither ticks nor takes results.
type contender struct {
	lease          Lease
	refs           Refs
	pausedUntil    time.Time
	pendingResults []Result
}

// contest lets contenders run over a lossy store and returns the greatest number of holders at once, and how often the
// lease was acquired.
func runContenders(seed uint64, lossy int, margin time.Duration) (most, acquired int) {
	store := newFakeStore(seed, lossy)
	random := rand.New(rand.NewPCG(seed, 9))
	var all []*contender
	for i := range 5 {
		name := fmt.Sprintf("p%d", i)
		all = append(all, &contender{lease: NewLease(NewKey("leases", "x"), name, 10*time.Second, margin, seed+uint64(i))})
	}
	for now := leaseStart; now.Before(leaseStart.Add(10 * time.Minute)); now = now.Add(200 * time.Millisecond) {
		holders := 0
		for _, c := range all {
			if now.Before(c.pausedUntil) {
				continue
			}
			acquired += c.step(now, store)
			if c.lease.Held(now) {
				holders++
			}
			if random.IntN(300) == 0 {
				c.pausedUntil = now.Add(time.Duration(random.IntN(30)) * time.Second)
			}
		}
		most = max(most, holders)
	}
	return most, acquired
}

func (c *contender) step(now time.Time, store *fakeStore) int {
	acquired := 0
	for _, r := range c.pendingResults {
		if c.lease.Apply(now, r) == Acquired {
			acquired++
		}
	}
	c.pendingResults = nil
	requests, _ := c.lease.Tick(now, &c.refs)
	for _, r := range requests {
		c.pendingResults = append(c.pendingResults, store.call(r))
	}
	return acquired
}

func TestLeaseHasOneHolder(t *testing.T) {
	Convey("At no time do two processes hold a lease, whatever is lost and whoever pauses", t, func() {
		for seed := range uint64(20) {
			most, acquired := runContenders(seed, 20, 2*time.Second)
			So(most, ShouldEqual, 1)
			So(acquired, ShouldBeGreaterThan, 1)
		}
	})
	Convey("A holder that counts its term too long is caught", t, func() {
		most, _ := runContenders(1, 20, -20*time.Second)
		So(most, ShouldBeGreaterThan, 1)
	})
}

func TestLeaseTransitions(t *testing.T) {
	Convey("Given the holder of a lease", t, func() {
		store := newFakeStore(1, 0)
		c := &contender{lease: NewLease(NewKey("leases", "x"), "a", 10*time.Second, 2*time.Second, 1)}
		for i := range 20 {
			c.step(leaseStart.Add(time.Duration(i)*time.Second/4), store)
		}
		now := leaseStart.Add(5 * time.Second)
		So(c.lease.Held(now), ShouldBeTrue)
		Convey("a pause beyond the term is noticed at the first question and told at the first tick", func() {
			late := now.Add(time.Minute)
			So(c.lease.Held(late), ShouldBeFalse)
			_, transition := c.lease.Tick(late, &c.refs)
			So(transition, ShouldEqual, Lapsed)
		})
		Convey("a retired holder gives it up, so that another takes it at once", func() {
			c.lease.Resign()
			for i := range 20 {
				c.step(now.Add(time.Duration(i)*time.Second/4), store)
			}
			other := &contender{lease: NewLease(NewKey("leases", "x"), "b", 10*time.Second, 2*time.Second, 2)}
			for i := range 8 {
				other.step(now.Add(5*time.Second).Add(time.Duration(i)*time.Second/4), store)
			}
			So(other.lease.Held(now.Add(7*time.Second)), ShouldBeTrue)
			So(other.lease.Transitions(), ShouldEqual, 2)
		})
	})
}
