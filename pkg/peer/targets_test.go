package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// scenario plays one kind of trouble on a fleet that is well and returns what is wrong.
type scenario func(f *fleet) []string

// lateness returns a complaint if done does not come true within limit.
func (f *fleet) lateness(what string, limit time.Duration, done func() bool) []string {
	if _, met := f.run(limit, done); met {
		return nil
	}
	return []string{fmt.Sprintf("%s takes more than %v", what, limit)}
}

func death(f *fleet) []string {
	f.workers["worker-007"].dead = true
	return f.lateness("knowing a death", knownSmall, func() bool {
		return f.believing("worker-007", false) == f.running()
	})
}

func acceptance(f *fleet) []string {
	f.write(2, 1000)
	return f.lateness("a configuration", inForceSmall, func() bool { return f.inForce(2) == f.running() })
}

// outage lets one daemon learn of an accepted revision just before the store goes out of sight of all, and then
// replaces two other daemons.
func outage(f *fleet) []string {
	found := f.watchOver(neverReverts())
	f.breakStore(func(int) bool { return true })
	f.feed(3, NewDocumentPublished(NewDocument("config", 2, []byte(`{"revision":2}`))))
	wrong := f.lateness("a configuration in an outage", inForceSmall, func() bool { return f.inForce(2) == f.running() })
	f.restart(5)
	f.restart(6)
	late := f.lateness("a restart in an outage", 20*time.Second, func() bool {
		return f.nodes[5].Synced(f.now) && f.nodes[6].Synced(f.now)
	})
	if f.inForce(2) != f.running() {
		late = append(late, "a restarted daemon serves with an old revision")
	}
	return slices.Concat(wrong, late, *found)
}

// laggard lets a daemon that missed a revision come back among the others.
func laggard(f *fleet) []string {
	found := f.watchOver(neverReverts())
	f.breakStore(func(node int) bool { return node == 2 })
	f.freeze(2, 8*time.Second)
	f.write(2, 1000)
	f.run(12*time.Second, nil)
	return *found
}

// brokenLink lets each daemon in turn lose sight of one upstream.
func brokenLink(f *fleet) []string {
	found := f.watchOver(neverUnseats())
	for i := range f.nodes {
		f.broken = func(watcher int, id string) bool { return watcher == i && id == "worker-001" }
		f.run(6*time.Second, nil)
	}
	return *found
}

func standstill(f *fleet) []string {
	found := f.watchOver(distrustsAfterFreeze(), neverInvents())
	f.run(time.Second, nil)
	f.freeze(4, 10*time.Second)
	f.workers["worker-001"].dead = true
	f.run(15*time.Second, nil)
	return *found
}

func ordinary(f *fleet) []string {
	found := f.watchOver(neverInvents(), newestWins())
	f.run(5*time.Second, nil)
	return *found
}

// silent breaks daemons so that they say nothing of their own accord.
func silent(f *fleet) {
	f.tamper = func(n *node, e Event) {
		n.nextRun = f.now.Add(time.Hour)
		n.rumours = nil
		if r, is := e.(Received); is && r.message.wants.isEmpty() {
			n.links = map[string]*link{}
		}
	}
}

// forgetful breaks all daemons but the laggard so that they take any revision for higher than theirs.
func forgetful(f *fleet) {
	f.tamper = func(n *node, e Event) {
		if _, is := e.(Received); is && n != f.nodes[2] {
			n.documents = map[string]Document{}
		}
	}
}

// credulous breaks daemons so that what they hold never grows old.
func credulous(f *fleet) {
	f.tamper = func(n *node, _ Event) {
		for _, m := range n.roster {
			m.holdsAt = f.now
		}
	}
}

// nostalgic breaks daemons so that older evidence outlives newer.
func nostalgic(f *fleet) {
	f.tamper = func(n *node, _ Event) {
		for _, u := range n.upstreams {
			u.sightedAt = time.Time{}
		}
		for _, m := range n.roster {
			m.holdsAt = time.Time{}
			for _, c := range m.claims {
				c.at = time.Time{}
			}
		}
	}
}

// sleepless breaks daemons so that they never notice that they stood still.
func sleepless(f *fleet) { f.tamper = func(n *node, _ Event) { n.last = f.now } }

func TestInvariantsCatchBrokenVariants(t *testing.T) {
	cases := []struct {
		name   string
		play   scenario
		tamper func(f *fleet)
		change func(Settings) Settings
	}{
		{"a death is known everywhere in time", death, silent, nil},
		{"a configuration is in force everywhere in time", acceptance, silent, nil},
		{"a configuration survives an outage and restarts", outage, silent, nil},
		{"a revision never reverts", laggard, forgetful, nil},
		{"one watcher's broken link unseats nothing", brokenLink, nil, func(s Settings) Settings { return s.WithWatchersPerUpstream(1) }},
		{"a daemon that stood still trusts nothing old", standstill, sleepless, nil},
		{"evidence is never invented", ordinary, credulous, nil},
		{"old evidence never outlives newer", ordinary, nostalgic, nil},
	}
	convey.Convey("Each invariant holds, and its check catches a broken variant", t, func() {
		for _, c := range cases {
			for seed := range uint64(3) {
				f := newFleet(8, 50, 3, seed)
				f.loss = float64(seed) / 200
				f.run(20*time.Second, nil)
				convey.SoMsg(c.name, c.play(f), convey.ShouldBeEmpty)
			}
			f := newFleet(8, 50, 3, 1)
			if c.change != nil {
				f = newFleet(8, 50, 3, 1, c.change)
			}
			f.run(20*time.Second, nil)
			if c.tamper != nil {
				c.tamper(f)
			}
			convey.SoMsg("broken variant: "+c.name, c.play(f), convey.ShouldNotBeEmpty)
		}
	})
}

// side tells on which side of a partition a daemon of a fleet with three data centres is.
func side(node int) bool { return node%3 == 0 }

// parted checks what each side promises while the store is seen by the side that holds it, and that both agree again.
func parted(f *fleet, blocked func(from, to int) bool) []string {
	f.blocked = blocked
	f.breakStore(func(node int) bool { return !side(node) })
	f.run(f.nodes[0].EvidenceTTL()+5*time.Second, nil)
	var wrong []string
	for i, n := range f.nodes {
		for _, m := range n.latest {
			if side(f.byName[m.name]) != side(i) {
				wrong = append(wrong, n.name+" still counts on "+m.name)
			}
		}
	}
	f.write(2, 1000)
	wrong = append(wrong, f.lateness("a configuration on the store's side", inForceSmall, func() bool {
		return f.inForce(2) == 3
	})...)
	f.workers["worker-003"].dead = true
	wrong = append(wrong, f.lateness("a death on both sides", knownSmall, func() bool {
		return f.believing("worker-003", false) == f.running()
	})...)
	f.blocked = func(int, int) bool { return false }
	return append(wrong, f.lateness("agreement after healing", inForceSmall, func() bool {
		return f.inForce(2) == f.running()
	})...)
}

func TestPartitions(t *testing.T) {
	convey.Convey("Each side of a partition keeps its promise, and after healing all agree in time", t, func() {
		for seed := range uint64(5) {
			f := newFleet(8, 50, 3, seed)
			found := f.watchOver(allCheckers()...)
			f.run(20*time.Second, nil)
			wrong := parted(f, func(from, to int) bool { return side(from) != side(to) })
			convey.SoMsg(fmt.Sprint("seed ", seed), append(wrong, *found...), convey.ShouldBeEmpty)
		}
	})

	convey.Convey("With one-way links all still learn of a death and of a configuration in time", t, func() {
		for seed := range uint64(5) {
			f := newFleet(8, 50, 3, seed)
			found := f.watchOver(append(allCheckers(), neverUnseats())...)
			f.run(20*time.Second, nil)
			f.blocked = func(from, to int) bool { return from < to && (from+to)%3 == 0 }
			f.run(20*time.Second, nil)
			wrong := slices.Concat(death(f), acceptance(f), *found)
			convey.SoMsg(fmt.Sprint("seed ", seed), wrong, convey.ShouldBeEmpty)
		}
	})
}

func TestFactsSpread(t *testing.T) {
	convey.Convey("Short facts reach all in three seconds, and so do large ones of all daemons of a small fleet", t, func() {
		for _, size := range []int{40, 300} {
			f := newFleet(8, 12, 3, 1)
			f.run(15*time.Second, nil)
			learned := map[string]int{}
			f.inspect = func(_ *node, _ Event, effects []Effect) {
				for _, effect := range effects {
					if l, is := effect.(LearnFact); is {
						learned[l.origin]++
					}
				}
			}
			for i := range f.nodes {
				f.feed(i, NewFactShared("usage", "", make([]byte, size), f.now.Add(time.Minute)))
			}
			late := f.lateness("a fact", knownSmall, func() bool {
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

func TestUnlistedUpstreamsAreForgotten(t *testing.T) {
	convey.Convey("An upstream that leaves the list is forgotten by all", t, func() {
		f := newFleet(8, 12, 3, 1)
		f.run(20*time.Second, nil)
		var rest []Upstream
		for _, id := range f.upstreamNames()[1:] {
			rest = append(rest, f.workers[id].Upstream)
		}
		for i := range f.nodes {
			f.feed(i, NewListed(rest))
		}
		f.run(5*time.Second, nil)
		for _, n := range f.nodes {
			convey.So(len(n.upstreams), convey.ShouldEqual, len(rest))
		}
	})
}
