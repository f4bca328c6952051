package main

import (
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// The times of the case.
const (
	untilKill      = 500 * time.Millisecond // from the opening of the group
	untilCrash     = 1500 * time.Millisecond
	untilClosed    = 3900 * time.Millisecond // from the crash of a member; the head would be broken after stall-ms, 4 s
	untilCutOff    = 100 * time.Millisecond
	untilLateOpen  = 200 * time.Millisecond
	cutOffTime     = 2700 * time.Millisecond // less than three heartbeats, after which the entry would be removed
	untilJudgement = 2 * time.Second
)

// runTwo forms a group whose head leaves the first order to open unanswered, kills the leader, has the other member crash for good, and adds
// a worker while the head is partitioned from the store. The head carries out the order to open meanwhile.
func runTwo(o *deploymentOptions) int {
	d, err := newDeployment(o, 6, 0, modelM0)
	if err != nil {
		return couldntRun
	}
	defer d.stopAll()
	d.store.record = o.record
	var holdsOpen atomic.Bool
	holdsOpen.Store(o.trouble)
	for _, e := range d.engines {
		e.fleet = d.engine
		e.holdsOpen = &holdsOpen
	}
	if err := d.startDaemons(3); err != nil || !waitFor(30*time.Second, func() bool { return d.isReady() && d.heads() == 3 }) {
		o.record.log("the deployment did not become ready: %v", err)
		return couldntRun
	}
	opened := time.Now()
	head, member := d.groupOfLateOpen()
	time.Sleep(untilKill)
	leader := d.leader()
	if leader == nil {
		return couldntRun
	}
	_ = leader.command.Process.Kill()
	o.record.log("daemon=%s, which leads, is killed", leader.name)
	var rest []*daemon
	for _, one := range d.daemons {
		if one != leader {
			rest = append(rest, one)
		}
	}
	steady := d.startLoadOn(rest, modelM0, 2)
	defer steady.stop()
	if !waitFor(5*time.Second, func() bool { l := d.leader(); return l != nil && l != leader }) {
		return couldntRun
	}
	time.Sleep(untilCrash)
	member.crash()
	if !waitFor(untilClosed, func() bool { return !head.isOpen() }) {
		o.record.log("the head was not closed")
		return couldntRun
	}
	time.Sleep(untilCutOff)
	head.setCutOff(true)
	o.record.log("worker=%s is partitioned from the store", head.id)
	if o.trouble {
		time.Sleep(untilLateOpen)
		head.carryOutLate()
		o.record.log("that is %.1f s after the group was open for the first time", time.Since(opened).Seconds())
	}
	added, err := startWorker(d.store, o.record, "i-engine-6", "engines", "d1")
	if err != nil {
		return couldntRun
	}
	added.fleet = d.engine
	d.addEngine(added)
	o.record.log("worker=%s is added, empty", added.id)
	time.Sleep(cutOffTime)
	head.setCutOff(false)
	time.Sleep(untilJudgement)
	count := 0
	for _, e := range d.engines {
		e.mutex.Lock()
		count += len(e.violations)
		e.mutex.Unlock()
	}
	o.record.log("joins of another group while the head of the worker's group was open: %d", count)
	if count > 0 {
		return broken
	}
	return held
}

// groupOfLateOpen returns the head and the other member of the group whose open was left unanswered, or of any group if none was.
func (d *deployment) groupOfLateOpen() (head, member *worker) {
	for _, e := range d.engines {
		e.mutex.Lock()
		if e.phase == "open" && (head == nil || e.late != nil) {
			head, member = e, d.engine(e.members[1])
		}
		e.mutex.Unlock()
	}
	return head, member
}

// setCutOff partitions the worker from the store, or ends that. Orders and requests reach it all the same.
func (k *worker) setCutOff(isCutOff bool) {
	k.mutex.Lock()
	k.isCutOff = isCutOff
	k.mutex.Unlock()
	if !isCutOff {
		k.register()
	}
}

// leader returns the running daemon that leads by its log, nil if none does.
func (d *deployment) leader() *daemon {
	for _, one := range d.daemons {
		data, err := os.ReadFile(one.logPath)
		if err != nil || one.hasExited() {
			continue
		}
		leads := false
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "replica: leader") {
				leads = strings.Contains(line, "self=true")
			}
		}
		if leads {
			return one
		}
	}
	return nil
}
