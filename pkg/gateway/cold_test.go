package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

func TestColdEntries(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	Convey("Given the entry of an upstream that is cold for three seconds", t, func() {
		l := listing{}
		l.apply(now, NewListed([]Upstream{entry("a").WithColdLeft(3 * time.Second)}), 0)
		coldUntil := func() time.Time { return l.entries["a"].instance.ColdUntil() }
		So(coldUntil(), ShouldEqual, at(3*time.Second))

		Convey("a message that is sent later carries the time that is left then", func() {
			data, err := listMessage{changed: []Upstream{l.entries["a"]}}.toSend(at(time.Second)).encode()
			So(err, ShouldBeNil)
			message, err := decodeListMessage(data)
			So(err, ShouldBeNil)
			So(message.changed[0].ColdLeft(), ShouldEqual, 2*time.Second)
			data, err = listMessage{changed: []Upstream{l.entries["a"]}}.toSend(at(time.Minute)).encode()
			So(err, ShouldBeNil)
			message, err = decodeListMessage(data)
			So(err, ShouldBeNil)
			So(message.changed[0].ColdLeft(), ShouldEqual, 0)
		})

		Convey("an older entry does not end the time, one that says cold again extends it", func() {
			l.apply(at(time.Second), NewListChanges([]Upstream{entry("a")}, nil), 0)
			So(coldUntil(), ShouldEqual, at(3*time.Second))
			l.apply(at(2*time.Second), NewListChanges([]Upstream{entry("a").WithColdLeft(3 * time.Second)}, nil), 0)
			So(coldUntil(), ShouldEqual, at(5*time.Second))
		})

		Convey("an entry of another start counts alone", func() {
			next := NewUpstream("desk", 6, replica.NewInstance("a", "10.0.0.1:1", "z", "", 2))
			l.apply(at(time.Second), NewListChanges([]Upstream{next}, nil), 0)
			So(coldUntil().After(now), ShouldBeFalse)
		})

		Convey("no entry states more than the time for which upstreams of the service are cold after they start", func() {
			l.configureCold(route.New(1).WithServices(route.NewService("desk", "/h", 1).WithCold(4*time.Second, 10)))
			l.apply(now, NewListChanges([]Upstream{entry("a").WithColdLeft(time.Hour)}, nil), 0)
			So(coldUntil(), ShouldEqual, at(4*time.Second))
		})
	})
}

func TestColdTargets(t *testing.T) {
	Convey("Only upstreams of a service with a cold rate are cold for placement, in the gauge and in the log", t, func() {
		for rate, isCold := range map[float64]bool{0: false, 17: true} {
			now := time.Unix(1_700_000_000, 0)
			var s State
			s.start(now, NewSettings("a", "c0", "1", 1))
			s.configure(now, route.New(1).WithServices(route.NewService("desk", "/h", 1).WithCold(3*time.Second, rate)))
			s.watchUpstreams(ownWatchInterval)
			s.effects = nil
			s.applyList(now, NewListed([]Upstream{entry("a").WithColdLeft(3 * time.Second)}))
			want := dispatch.NewTarget("a", "10.0.0.1:1", false, 6)
			if isCold {
				want = want.WithCold(now.Add(3*time.Second), rate)
			}
			So(s.Processes("desk"), ShouldResemble, []dispatch.Target{want})
			So(len(s.coldUntil) > 0, ShouldEqual, isCold)
			s.endCold(now.Add(3 * time.Second))
			So(s.coldUntil, ShouldBeEmpty)
			changes := []time.Duration{}
			for _, effect := range s.effects {
				if changed, isChange := effect.(ColdChanged); isChange {
					changes = append(changes, changed.Left())
				}
			}
			if isCold {
				So(changes, ShouldResemble, []time.Duration{3 * time.Second, 0})
			} else {
				So(changes, ShouldBeEmpty)
			}
		}
	})
}

func TestColdSpread(t *testing.T) {
	Convey("Given a fleet in which some daemons can't reach the store", t, func() {
		f := newFleet(mediumFleet(), time.Minute)
		f.run(8 * time.Second)
		e := f.engines[1]
		for _, d := range f.daemons[5:9] {
			d.storeCut = true
		}
		knowing := func() int {
			count := 0
			for _, d := range f.daemons {
				if d.listing.entries[e.id].instance.ColdUntil().After(f.now) {
					count++
				}
			}
			return count
		}

		Convey("all of them know of a cold upstream soon after its entry says so", func() {
			e.coldUntil = f.now.Add(3 * time.Second)
			f.changed(e)
			f.run(f.now.Sub(fleetEpoch) + 400*time.Millisecond)
			So(knowing(), ShouldEqual, len(f.daemons))
			f.run(f.now.Sub(fleetEpoch) + 4*time.Second)
			So(knowing(), ShouldEqual, 0)
		})

		Convey("all of them know it soon after it said so in an answer to one daemon", func() {
			f.feed(f.daemons[6], NewColdReported(e.id, 3*time.Second))
			f.run(f.now.Sub(fleetEpoch) + 1500*time.Millisecond)
			So(knowing(), ShouldEqual, len(f.daemons))
			f.run(f.now.Sub(fleetEpoch) + 4*time.Second)
			So(knowing(), ShouldEqual, 0)
		})
	})
}
