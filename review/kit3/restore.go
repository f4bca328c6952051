package main

import (
	"fmt"
	"sync"
	"time"
)

// The times of the case. A drill restores the store from a copy that is at most copyAge old.
const (
	drills          = 3
	betweenDrills   = time.Second
	rewriteTime     = 300 * time.Millisecond // after which workers and the operator have written their objects again
	untilStaged     = 10 * time.Second
	recoveryTime    = 12 * time.Second // recovery-s
	measured        = 40               // requests
	betweenRequests = 250 * time.Millisecond
)

// runRestore restores the store several times while one daemon leads. A worker is added, one of a group is lost for good, all processes of
// the daemons are killed and start again.
func runRestore(o *deploymentOptions) int {
	d, err := newDeployment(o, 2, 0, modelM0)
	if err != nil {
		return couldntRun
	}
	defer d.stopAll()
	d.store.record = o.record
	if err := d.startDaemons(3); err != nil || !waitFor(30*time.Second, func() bool { return d.isReady() && d.heads() == 1 }) {
		o.record.log("the deployment did not become ready: %v", err)
		return couldntRun
	}
	time.Sleep(4 * time.Second)
	if d.callUsual("start") != len(d.daemons) {
		return couldntRun
	}
	time.Sleep(time.Second)
	before := d.measure("before", 12)
	taken := d.store.copy()
	takenAt := time.Now()
	for i := range drills {
		time.Sleep(betweenDrills)
		if o.trouble {
			d.drill(taken, takenAt, i+1)
		}
	}
	added, err := startWorker(d.store, o.record, "i-engine-2", "engines", "d1")
	if err != nil {
		return couldntRun
	}
	d.engines = append(d.engines, added)
	o.record.log("worker=%s is added, empty", added.id)
	if !waitFor(untilStaged, added.isStaged) {
		o.record.log("worker=%s got no order", added.id)
		return couldntRun
	}
	for _, e := range d.engines {
		if e.isMember() {
			e.crash()
		}
	}
	o.record.log("all daemons are killed")
	err = d.killAll(func() {
		if o.trouble {
			d.drill(taken, takenAt, drills+1)
		}
	})
	if err != nil {
		return couldntRun
	}
	time.Sleep(recoveryTime)
	after := d.measure("after", measured)
	o.record.log("served before the final fault: %d of 12; later than %v after the daemons were back: %d of %d", before, recoveryTime, after, measured)
	switch {
	case before < 3:
		return couldntRun
	case after*4 < measured:
		return broken
	}
	return held
}

// drill restores the store from a copy. Workers and the operator write their objects again.
func (d *deployment) drill(taken snapshot, takenAt time.Time, number int) {
	d.store.restore(taken)
	d.record.log("drill %d: the store comes back from a copy that is %.1f s old", number, time.Since(takenAt).Seconds())
	time.Sleep(rewriteTime)
	d.store.write("config", "main", d.config(7))
	for _, e := range d.engines {
		e.register()
	}
}

// measure sends requests of the usual size to all daemons in turn, and returns how many were served.
func (d *deployment) measure(name string, count int) int {
	var group sync.WaitGroup
	var mutex sync.Mutex
	served := 0
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			a := d.call(d.daemons[i%len(d.daemons)], "POST", "/draft/1", fmt.Sprintf("%s-%d", name, i),
				map[string]string{"X-Model": modelM0, "X-Tokens": "1460,80", "X-Deadline-Ms": "8000", "X-Prompt-Prefix": "5c1e07a2:800"}, "a prompt")
			if a.err == nil && a.status == 200 && a.stamp != "" {
				mutex.Lock()
				defer mutex.Unlock()
				served++
			}
		}()
		time.Sleep(betweenRequests)
	}
	group.Wait()
	return served
}
