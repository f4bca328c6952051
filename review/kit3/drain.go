package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The streams of the case, which take 20 events of 250 ms.
const (
	drainStreams  = 24
	drainEvents   = 20
	drainPerEvent = 250 * time.Millisecond
	drained       = 2 // of 8 workers, a quarter
	drainAfter    = time.Second
)

// runDrain drains a quarter of the workers while streams run that may not be resumed.
func runDrain(o *deploymentOptions) int {
	d, err := newDeployment(o, 8, 0, modelM0)
	if err != nil {
		return couldntRun
	}
	defer d.stopAll()
	if err := d.startDaemons(3); err != nil || !waitFor(30*time.Second, func() bool { return d.isReady() && d.heads() >= 4 }) {
		o.record.log("the deployment did not become ready: %v", err)
		return couldntRun
	}
	time.Sleep(4 * time.Second)
	var conns []*keptConn
	for i := range drainStreams {
		c, err := openKept(d.daemons[i%len(d.daemons)])
		if err != nil {
			return couldntRun
		}
		defer func() { _ = c.Close() }()
		if status, _, err := c.stream(modelM0, "/once/1", fmt.Sprintf("first-%d", i)); err != nil || status != http.StatusOK {
			return couldntRun
		}
		conns = append(conns, c)
	}
	for _, e := range d.engines {
		e.mutex.Lock()
		e.events, e.perEvent = drainEvents, drainPerEvent
		e.mutex.Unlock()
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	lost := 0
	for i, c := range conns {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("second-%d", i)
			status, events, err := c.stream(modelM0, "/once/1", id)
			o.record.log("client request=%s on a kept connection: status=%d, %d of %d events, err=%v", id, status, events, drainEvents, err)
			if err != nil && d.ran(id) {
				mutex.Lock()
				defer mutex.Unlock()
				lost++
			}
		}()
	}
	time.Sleep(drainAfter)
	if o.trouble {
		left := drained
		for _, e := range d.engines {
			if left > 0 && e.isMember() {
				e.drain()
				left--
			}
		}
	}
	group.Wait()
	o.record.log("%d of %d streams on kept connections were passed on to a sound worker and cut; LOST allows three", lost, drainStreams)
	if lost > 3 {
		return broken
	}
	return held
}

// isMember reports whether the worker is a member of a group and not its head.
func (k *worker) isMember() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.group != "" && k.members[0] != k.id
}
