package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// scenario injects one kind of fault into a healthy fleet and returns the violations.
type scenario func(f *fleet) []string

// checkDeadline returns a violation if done does not return true within limit.
func (f *fleet) checkDeadline(what string, limit time.Duration, done func() bool) []string {
	if _, met := f.run(limit, done); met {
		return nil
	}
	return []string{fmt.Sprintf("%s takes more than %v", what, limit)}
}

func upstreamDeath(f *fleet) []string {
	f.upstreams["worker-007"].dead = true
	return f.checkDeadline("detecting a dead upstream", maxDetectionTimeSmall, func() bool {
		return f.countResults("worker-007", false) == f.countRunning()
	})
}

func configChange(f *fleet) []string {
	f.writeConfig(2, 1000)
	return f.checkDeadline("a configuration change", maxConfigTimeSmall, func() bool {
		return f.countInForce(2) == f.countRunning()
	})
}

// storeOutage delivers an accepted revision to one daemon at the moment at which the store becomes unreachable for all, and
// then restarts two other daemons.
func storeOutage(f *fleet) []string {
	recorded := f.attachCheckers(revisionsNeverDecrease())
	f.setStoreOutage(func(int) bool { return true })
	f.deliver(3, NewDocumentPublished(NewDocument("config", 2, []byte(`{"revision":2}`))))
	violations := f.checkDeadline("a configuration change during an outage", maxConfigTimeSmall, func() bool {
		return f.countInForce(2) == f.countRunning()
	})
	f.restart(5)
	f.restart(6)
	restartViolations := f.checkDeadline("a restart during an outage", 20*time.Second, func() bool {
		return f.nodes[5].Synced(f.now) && f.nodes[6].Synced(f.now)
	})
	if f.countInForce(2) != f.countRunning() {
		restartViolations = append(restartViolations, "a restarted daemon serves with an old revision")
	}
	return slices.Concat(violations, restartViolations, *recorded)
}

// staleDaemon freezes a daemon that then misses a revision, and resumes it.
func staleDaemon(f *fleet) []string {
	recorded := f.attachCheckers(revisionsNeverDecrease())
	f.setStoreOutage(func(node int) bool { return node == 2 })
	f.freeze(2, 8*time.Second)
	f.writeConfig(2, 1000)
	f.run(12*time.Second, nil)
	return *recorded
}

// brokenProbePath makes one upstream unreachable for each daemon in turn.
func brokenProbePath(f *fleet) []string {
	recorded := f.attachCheckers(runningNeverReportedDead())
	for i := range f.nodes {
		f.probeBlocked = func(watcher int, id string) bool { return watcher == i && id == "worker-001" }
		f.run(6*time.Second, nil)
	}
	return *recorded
}

func processFreeze(f *fleet) []string {
	recorded := f.attachCheckers(freezeInvalidatesEvidence(), evidenceWasObserved())
	f.run(time.Second, nil)
	f.freeze(4, 10*time.Second)
	f.upstreams["worker-001"].dead = true
	f.run(15*time.Second, nil)
	return *recorded
}

func normalOperation(f *fleet) []string {
	recorded := f.attachCheckers(evidenceWasObserved(), evidenceNeverRegresses())
	f.run(5*time.Second, nil)
	return *recorded
}

// muteDaemons makes all daemons send replies only.
func muteDaemons(f *fleet) {
	f.tamper = func(n *node, e Event) {
		n.nextGossip = f.now.Add(time.Hour)
		n.updates = nil
		if r, ok := e.(Received); ok && r.message.request.isEmpty() {
			n.links = map[string]*link{}
		}
	}
}

// forgetRevisions makes all daemons but the stale one accept any revision as higher than theirs.
func forgetRevisions(f *fleet) {
	f.tamper = func(n *node, e Event) {
		if _, ok := e.(Received); ok && n != f.nodes[2] {
			n.documents = map[string]Document{}
		}
	}
}

// keepEvidenceFresh makes the evidence of all daemons never expire.
func keepEvidenceFresh(f *fleet) {
	f.tamper = func(n *node, _ Event) {
		for _, m := range n.allMembers {
			m.confirmedAt = f.now
		}
	}
}

// forgetEvidenceTimes makes all daemons replace evidence by older evidence.
func forgetEvidenceTimes(f *fleet) {
	f.tamper = func(n *node, _ Event) {
		for _, u := range n.upstreams {
			u.appliedAt = time.Time{}
		}
		for _, m := range n.allMembers {
			m.confirmedAt = time.Time{}
			for _, o := range m.observations {
				o.seenAt = time.Time{}
			}
		}
	}
}

// hideFreezes makes all daemons fail to detect freezes.
func hideFreezes(f *fleet) { f.tamper = func(n *node, _ Event) { n.lastEventAt = f.now } }

func TestInvariantChecksDetectBrokenVariants(t *testing.T) {
	cases := []struct {
		name   string
		run    scenario
		tamper func(f *fleet)
		change func(Settings) Settings
	}{
		{"a dead upstream is detected everywhere in time", upstreamDeath, muteDaemons, nil},
		{"a configuration is in force everywhere in time", configChange, muteDaemons, nil},
		{"a configuration survives an outage and restarts", storeOutage, muteDaemons, nil},
		{"a revision never reverts", staleDaemon, forgetRevisions, nil},
		{"one watcher's broken link marks no running upstream as dead", brokenProbePath, nil, func(s Settings) Settings {
			return s.WithWatchersPerUpstream(1)
		}},
		{"a daemon that was frozen uses no evidence from before", processFreeze, hideFreezes, nil},
		{"evidence was observed by its watcher", normalOperation, keepEvidenceFresh, nil},
		{"evidence is never replaced by older evidence", normalOperation, forgetEvidenceTimes, nil},
	}
	convey.Convey("Each invariant holds, and its check fails for a broken variant", t, func() {
		for _, c := range cases {
			for seed := range uint64(3) {
				f := newFleet(8, 50, 3, seed)
				f.loss = float64(seed) / 200
				f.run(20*time.Second, nil)
				convey.SoMsg(c.name, c.run(f), convey.ShouldBeEmpty)
			}
			f := newFleet(8, 50, 3, 1)
			if c.change != nil {
				f = newFleet(8, 50, 3, 1, c.change)
			}
			f.run(20*time.Second, nil)
			if c.tamper != nil {
				c.tamper(f)
			}
			convey.SoMsg("broken variant: "+c.name, c.run(f), convey.ShouldNotBeEmpty)
		}
	})
}

// onStoreSide reports whether a daemon of a fleet with three data centres is on the side of the partition that reaches the
// store.
func onStoreSide(node int) bool { return node%3 == 0 }

// checkPartition checks both sides of a partition while only one of them reaches the store, and that they converge again.
func checkPartition(f *fleet, blocked func(from, to int) bool) []string {
	f.linkBlocked = blocked
	f.setStoreOutage(func(node int) bool { return !onStoreSide(node) })
	f.run(f.nodes[0].EvidenceTTL()+5*time.Second, nil)
	var violations []string
	for i, n := range f.nodes {
		for _, m := range n.liveMembers {
			if onStoreSide(f.byName[m.name]) != onStoreSide(i) {
				violations = append(violations, n.name+" still lists as live "+m.name)
			}
		}
	}
	f.writeConfig(2, 1000)
	violations = append(violations,
		f.checkDeadline("a configuration change on the store's side", maxConfigTimeSmall, func() bool {
			return f.countInForce(2) == 3
		})...)
	f.upstreams["worker-003"].dead = true
	violations = append(violations,
		f.checkDeadline("detecting a dead upstream on both sides", maxDetectionTimeSmall, func() bool {
			return f.countResults("worker-003", false) == f.countRunning()
		})...)
	f.linkBlocked = func(int, int) bool { return false }
	return append(violations, f.checkDeadline("convergence after healing", maxConfigTimeSmall, func() bool {
		return f.countInForce(2) == f.countRunning()
	})...)
}

func TestPartitions(t *testing.T) {
	convey.Convey("Each side of a partition applies changes in time, and both converge in time after healing", t, func() {
		for seed := range uint64(5) {
			f := newFleet(8, 50, 3, seed)
			recorded := f.attachCheckers(allCheckers()...)
			f.run(20*time.Second, nil)
			violations := checkPartition(f, func(from, to int) bool { return onStoreSide(from) != onStoreSide(to) })
			convey.SoMsg(fmt.Sprint("seed ", seed), append(violations, *recorded...), convey.ShouldBeEmpty)
		}
	})

	convey.Convey("With one-way links a dead upstream and a configuration change still reach all in time", t, func() {
		for seed := range uint64(5) {
			f := newFleet(8, 50, 3, seed)
			recorded := f.attachCheckers(append(allCheckers(), runningNeverReportedDead())...)
			f.run(20*time.Second, nil)
			f.linkBlocked = func(from, to int) bool { return from < to && (from+to)%3 == 0 }
			f.run(20*time.Second, nil)
			violations := slices.Concat(upstreamDeath(f), configChange(f), *recorded)
			convey.SoMsg(fmt.Sprint("seed ", seed), violations, convey.ShouldBeEmpty)
		}
	})
}

func TestFactsSpread(t *testing.T) {
	convey.Convey("Short facts, and bulk facts in a small fleet, reach all daemons within three seconds", t, func() {
		for _, size := range []int{40, 300} {
			f := newFleet(8, 12, 3, 1)
			f.run(15*time.Second, nil)
			learned := map[string]int{}
			f.inspect = func(_ *node, _ Event, effects []Effect) {
				for _, effect := range effects {
					if l, ok := effect.(LearnFact); ok {
						learned[l.origin]++
					}
				}
			}
			for i := range f.nodes {
				f.deliver(i, NewFactShared("usage", "", make([]byte, size), f.now.Add(time.Minute)))
			}
			late := f.checkDeadline("a fact", maxDetectionTimeSmall, func() bool {
				all := 0
				for _, count := range learned {
					all += count
				}
				return all == len(f.nodes)*(len(f.nodes)-1)
			})
			convey.SoMsg(fmt.Sprint(size, " bytes"), late, convey.ShouldBeEmpty)
		}
	})
}

func TestUnlistedUpstreamsAreRemoved(t *testing.T) {
	convey.Convey("All daemons remove an upstream that is no longer listed", t, func() {
		f := newFleet(8, 12, 3, 1)
		f.run(20*time.Second, nil)
		var rest []Upstream
		for _, id := range f.upstreamNames()[1:] {
			rest = append(rest, f.upstreams[id].Upstream)
		}
		for i := range f.nodes {
			f.deliver(i, NewUpstreamsChanged(rest))
		}
		f.run(5*time.Second, nil)
		for _, n := range f.nodes {
			convey.So(len(n.upstreams), convey.ShouldEqual, len(rest))
		}
	})
}
