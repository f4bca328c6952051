package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that counts. The two clocks are not read at the same moment.
const minSuspension = 250 * time.Millisecond

// suspensionClock notices that the instance was suspended. The steady clock, by which Go measures time, stops meanwhile; the boot clock
// does not.
type suspensionClock struct {
	read  func(clock int32) (time.Duration, error)
	ahead time.Duration // of the boot clock
	known bool
}

// suspended returns for how long the instance was suspended since the last call, 0 if it was not.
func (c *suspensionClock) suspended() (time.Duration, error) {
	steady, err := c.read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, err
	}
	boot, err := c.read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	ahead, before, known := boot-steady, c.ahead, c.known
	c.ahead, c.known = ahead, true
	if !known || ahead-before < minSuspension {
		return 0, nil
	}
	return ahead - before, nil
}

// readClock returns the time of one of the system's clocks.
func readClock(clock int32) (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
