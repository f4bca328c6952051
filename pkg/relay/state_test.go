package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var testStart = time.Unix(1_700_000_000, 0).UTC()

// upstreams are services with numbered upstreams.
type upstreams map[string]int

func (u upstreams) UpstreamNames(service string) []string {
	var names []string
	for i := range u[service] {
		names = append(names, fmt.Sprintf("%s-%02d", service, i))
	}
	return names
}

func (u upstreams) UpstreamAddress(name string) (service, address string) {
	service, _, _ = strings.Cut(name, "-")
	if !slices.Contains(u.UpstreamNames(service), name) {
		return "", ""
	}
	return service, name + ":80"
}

// node is a daemon whose connections to some upstreams fail.
type node struct {
	now      time.Time
	state    State
	known    upstreams
	lost     func(upstream string) bool
	checks   int
	accesses []Access
}

func newNode(peers ...Peer) *node {
	n := &node{
		now: testStart, state: New("a", 1), known: upstreams{"engine": 20, "desk": 3},
		lost: func(string) bool { return false },
	}
	n.feed(NewPeersChanged(peers))
	return n
}

func (n *node) feed(e Event) {
	for _, effect := range n.state.Reduce(n.now, n.known, e) {
		switch effect := effect.(type) {
		case Check:
			n.checks++
			n.connect(effect.Upstream())
		case AccessChanged:
			n.accesses = append(n.accesses, effect.Access())
		}
	}
}

// connect lets a connection to an upstream succeed or be refused.
func (n *node) connect(upstream string) {
	effects := n.state.effects
	if n.lost(upstream) {
		n.feed(NewConnectFailed(upstream, 0))
	} else {
		n.feed(NewConnected(upstream))
	}
	n.state.effects = effects
}

func (n *node) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(25 * time.Millisecond)
		n.feed(NewTicked(0))
	}
}

func (n *node) route(upstream string) Route { return n.state.Route(n.now, n.known, upstream) }

func twoPeers() []Peer { return []Peer{NewPeer("p", "p:1", "a"), NewPeer("q", "q:1", "b")} }

func TestCutFromAllUpstreamsOfService(t *testing.T) {
	Convey("A daemon that is cut from all engines knows that after the first connection that fails", t, func() {
		n := newNode(twoPeers()...)
		n.lost = func(upstream string) bool { return strings.HasPrefix(upstream, "engine") }
		n.connect("engine-00")
		So(n.state.Access(), ShouldEqual, AccessFull)
		n.feed(NewAnswered("p", "engine-19"))
		So(n.state.Access(), ShouldEqual, AccessNone)
		So(n.state.IsCut(n.known, "engine-19"), ShouldBeTrue)
		So(n.state.IsCut(n.known, "desk-00"), ShouldBeFalse)
		So(n.route("engine-19").IsDirect(), ShouldBeFalse)
		So(n.route("desk-00").IsDirect(), ShouldBeTrue)

		Convey("checks a few paths a second", func() {
			n.checks = 0
			n.run(4 * time.Second)
			So(n.state.Access(), ShouldEqual, AccessNone)
			So(n.checks, ShouldBeBetween, 8, 60)
		})

		Convey("reports at most one change while it reaches one engine of twenty", func() {
			n.lost = func(upstream string) bool { return upstream != "engine-11" && strings.HasPrefix(upstream, "engine") }
			n.accesses = nil
			for range 20 {
				n.feed(NewAnswered("p", "engine-05"))
				n.run(500 * time.Millisecond)
			}
			So(len(n.accesses), ShouldBeLessThanOrEqualTo, 1)
		})

		Convey("uses its paths within a second of their return, and leads no earlier than three seconds after", func() {
			n.run(4 * time.Second)
			n.lost = func(string) bool { return false }
			n.run(time.Second)
			for _, name := range n.known.UpstreamNames("engine") {
				So(n.route(name).IsDirect(), ShouldBeTrue)
			}
			So(n.state.Access(), ShouldEqual, AccessNone)
			n.run(3 * time.Second)
			So(n.state.Access(), ShouldEqual, AccessFull)
			So(n.state.LostPaths(), ShouldEqual, 0)
		})
	})

	Convey("If eight engines crash at the same moment, a daemon that calls them in a row is not cut", t, func() {
		n := newNode(twoPeers()...)
		n.lost = func(upstream string) bool { return upstream < "engine-08" && upstream >= "engine" }
		for i := range 8 {
			n.connect(fmt.Sprintf("engine-%02d", i))
			n.feed(NewAnswered("p", "engine-12"))
		}
		n.run(300 * time.Millisecond)
		So(n.accesses, ShouldBeEmpty)
		So(n.state.IsCut(n.known, "engine-12"), ShouldBeFalse)
	})

	Convey("If all processes of a service crash, no daemon has lost its paths as far as its peers know", t, func() {
		n := newNode(twoPeers()...)
		n.lost = func(upstream string) bool { return strings.HasPrefix(upstream, "desk") }
		n.connect("desk-01")
		n.feed(NewFailed("p", "desk-01", NoPath))
		n.run(time.Second)
		So(n.state.IsCut(n.known, "desk-00"), ShouldBeTrue)
		So(n.state.Access(), ShouldEqual, AccessFull)
	})

	Convey("A daemon that lost one path, or whose upstreams crash together, is not cut", t, func() {
		n := newNode(twoPeers()...)
		n.lost = func(upstream string) bool { return upstream < "engine-08" && upstream >= "engine" }
		for i := range 8 {
			n.connect(fmt.Sprintf("engine-%02d", i))
			n.now = n.now.Add(600 * time.Millisecond)
		}
		So(n.route("engine-07").IsDirect(), ShouldBeFalse)
		So(n.route("engine-12").IsDirect(), ShouldBeTrue)
		So(n.state.Access(), ShouldEqual, AccessFull)

		Convey("and forgets those that are not listed any more", func() {
			n.known = upstreams{"engine": 5}
			n.run(25 * time.Millisecond)
			So(n.state.LostPaths(), ShouldEqual, 5)
		})
	})

	Convey("A daemon has lost a path if it fails again while a peer reaches the upstream, and uses others only after a check", t, func() {
		n := newNode(twoPeers()...)
		n.lost = func(upstream string) bool { return upstream == "engine-07" }
		n.connect("engine-07")
		n.feed(NewAnswered("p", "engine-07"))
		So(n.state.Access(), ShouldEqual, AccessFull)
		n.connect("engine-07")
		So(n.state.Access(), ShouldEqual, AccessSome)
		So(n.route("engine-15").IsDirect(), ShouldBeFalse)
		n.run(25 * time.Millisecond)
		So(n.route("engine-15").IsDirect(), ShouldBeTrue)
		n.lost = func(string) bool { return false }
		n.run(6 * time.Second)
		So(n.state.Access(), ShouldEqual, AccessFull)
		So(n.route("engine-16").IsDirect(), ShouldBeTrue)
	})

	Convey("Connections that expire at a daemon that is late itself are no evidence", t, func() {
		n := newNode(twoPeers()...)
		n.feed(NewTicked(100 * time.Millisecond))
		n.feed(NewConnectFailed("engine-00", 250*time.Millisecond))
		So(n.route("engine-00").IsDirect(), ShouldBeTrue)
		n.feed(NewTicked(0))
		n.feed(NewConnectFailed("engine-00", 250*time.Millisecond))
		So(n.route("engine-00").IsDirect(), ShouldBeFalse)
	})

	Convey("A silent upstream is checked once a second", t, func() {
		n := newNode(twoPeers()...)
		for range 20 {
			n.feed(NewSuspected("engine-03"))
			n.now = n.now.Add(100 * time.Millisecond)
		}
		So(n.checks, ShouldEqual, 2)
	})
}

func TestChoiceOfRelays(t *testing.T) {
	first := func(n *node, count int) map[string]int {
		chosen := map[string]int{}
		for range count {
			chosen[n.route("engine-00").Relays()[0].Name()]++
		}
		return chosen
	}

	Convey("Peers in the own data centre pass requests on, unless most of them can't", t, func() {
		near := func(access ...Access) []Peer {
			peers := []Peer{NewPeer("x", "x:1", "b"), NewPeer("y", "y:1", "b")}
			for i, a := range access {
				peers = append(peers, NewPeer(fmt.Sprint("n", i), "n:1", "a").WithAccess(a))
			}
			return peers
		}
		n := newNode(near(AccessFull, AccessFull, AccessNone)...)
		So(first(n, 100), ShouldNotContainKey, "x")
		So(first(n, 100), ShouldNotContainKey, "n2")
		n.feed(NewPeersChanged(near(AccessFull, AccessNone, AccessNone)))
		So(first(n, 100), ShouldContainKey, "x")
		So(first(n, 100)["n0"], ShouldBeBetween, 10, 60)
	})

	Convey("Larger peers pass on more, up to eight times as much", t, func() {
		n := newNode(NewPeer("small", "s:1", "a"), NewPeer("large", "l:1", "a").WithCapacity(9))
		So(first(n, 900)["small"], ShouldBeBetween, 60, 150)
	})

	Convey("A peer that has no path to an upstream is not asked for it again at once, one that is not reached not at all", t, func() {
		n := newNode(twoPeers()...)
		n.feed(NewFailed("p", "engine-00", NoPath))
		So(first(n, 50), ShouldResemble, map[string]int{"q": 50})
		So(len(n.route("engine-01").Relays()), ShouldEqual, 1) // p is in the own data centre
		n.feed(NewFailed("p", "engine-00", NoRelay))
		So(n.route("engine-01").Relays()[0].Name(), ShouldEqual, "q")
		n.run(2100 * time.Millisecond)
		So(n.route("engine-00").Relays()[0].Name(), ShouldEqual, "p")
	})

	Convey("Without peers that have paths, a daemon uses its own connections", t, func() {
		n := newNode(NewPeer("p", "p:1", "a").WithAccess(AccessNone))
		n.lost = func(string) bool { return true }
		n.connect("engine-00")
		So(n.route("engine-00").IsDirect(), ShouldBeTrue)
	})

	Convey("Probes of one upstream go through different peers", t, func() {
		n := newNode(NewPeer("p", "p:1", "a"), NewPeer("q", "q:1", "b"), NewPeer("r", "r:1", "b"), NewPeer("s", "s:1", "b").WithAccess(AccessNone))
		witnesses := map[string]bool{}
		for missed := 1; missed <= 3; missed++ {
			witness, isFound := n.state.Witness(n.now, "engine-00", missed)
			So(isFound, ShouldBeTrue)
			witnesses[witness.Name()] = true
		}
		So(len(witnesses), ShouldEqual, 3)
		So(witnesses["s"], ShouldBeFalse)
	})
}
