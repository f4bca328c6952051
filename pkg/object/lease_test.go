package object

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var leaseStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// contender is one process with a lease; while paused, it neither ticks nor applies results.
type contender struct {
	lease          Lease
	refs           Refs
	pausedUntil    time.Time
	pendingResults []Result
}

// runContenders runs five contenders on a fakeStore. It returns the greatest number of holders at the same time, and how
// often the lease was acquired.
func runContenders(seed uint64, lossPercent int, margin time.Duration) (maxHolders, acquired int) {
	store := newFakeStore(seed, lossPercent)
	random := rand.New(rand.NewPCG(seed, 9))
	var contenders []*contender
	for i := range 5 {
		name := fmt.Sprintf("p%d", i)
		contenders = append(contenders, &contender{
			lease: NewLease(NewKey("leases", "x"), name, 10*time.Second, margin, seed+uint64(i)),
		})
	}
	for now := leaseStart; now.Before(leaseStart.Add(10 * time.Minute)); now = now.Add(200 * time.Millisecond) {
		holders := 0
		for _, c := range contenders {
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
		maxHolders = max(maxHolders, holders)
	}
	return maxHolders, acquired
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
	Convey("Two processes never hold a lease at the same time, whatever responses are lost and processes paused", t, func() {
		for seed := range uint64(20) {
			maxHolders, acquired := runContenders(seed, 20, 2*time.Second)
			So(maxHolders, ShouldEqual, 1)
			So(acquired, ShouldBeGreaterThan, 1)
		}
	})
	Convey("Two processes hold the lease at the same time if a negative margin extends it", t, func() {
		maxHolders, _ := runContenders(1, 20, -20*time.Second)
		So(maxHolders, ShouldBeGreaterThan, 1)
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
		Convey("after a pause beyond the duration Held is false at once, and the first tick returns Lapsed", func() {
			late := now.Add(time.Minute)
			So(c.lease.Held(late), ShouldBeFalse)
			_, transition := c.lease.Tick(late, &c.refs)
			So(transition, ShouldEqual, Lapsed)
		})
		Convey("a holder that resigns releases it, so that another process acquires it at once", func() {
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
