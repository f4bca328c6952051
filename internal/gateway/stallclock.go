package gateway

import (
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

// stallClock measures for how long a stream has made no progress. Events without an id and data, such as comments and empty lines, are
// no progress, since a stalled upstream may send them. The time in which the caller takes an event does not count, since the upstream is
// not to blame for a slow caller.
type stallClock struct {
	mutex        sync.Mutex
	timeout      time.Duration
	progressedAt time.Time
	writingSince time.Time // zero while no event is written
}

func (c *stallClock) begin(now time.Time, timeout time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.timeout, c.progressedAt, c.writingSince = timeout, now, time.Time{}
}

func (c *stallClock) beginWrite(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writingSince = now
}

func (c *stallClock) endWrite(now time.Time, isProgress bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if isProgress {
		c.progressedAt = now
	} else {
		c.progressedAt = c.progressedAt.Add(now.Sub(c.writingSince))
	}
	c.writingSince = time.Time{}
}

// timeouts returns for how many stall timeouts in a row there was no progress.
func (c *stallClock) timeouts(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.writingSince.IsZero() || c.timeout <= 0 {
		return 0
	}
	return int(now.Sub(c.progressedAt) / c.timeout)
}

// reportStalls reports a stall at each tick that finds no progress for a stall timeout or more.
func (e *exchange) reportStalls(attempt dispatch.AttemptID, ticker *time.Ticker, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			if timeouts := e.stalls.timeouts(time.Now()); timeouts > 0 {
				e.daemon.enqueueDispatch(dispatch.NewStreamStalled(attempt, timeouts))
			}
		}
	}
}
