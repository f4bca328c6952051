package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/replica"
)

// newEvacuationReader returns a daemon that watches the list, with two processes and a replica of two instances in two data centres.
func newEvacuationReader(grace time.Duration) *State {
	var s State
	s.start(fleetEpoch, NewSettings("a", "c0", "1", 1).WithEvacuationGrace(grace))
	s.watchUpstreams(readerWatchInterval)
	s.engineService = "engines"
	at := func(id, centre, service string, m replica.Membership) Upstream {
		return NewUpstream(service, 6, replica.NewInstance(replica.ID(id), id+":1", centre, "d", 1).WithMembership(m))
	}
	s.Reduce(fleetEpoch, NewListed([]Upstream{
		at("desk-0", "c0", "desk", replica.Membership{}), at("desk-1", "c1", "desk", replica.Membership{}),
		at("head", "c0", "engines", replica.NewMembership("r", 1, 0, replica.PhaseOpen)),
		at("member", "c1", "engines", replica.NewMembership("r", 1, 1, replica.PhaseReady)),
	}))
	return &s
}

func (s *State) phase(centre string) EvacuationPhase { return s.evacuations.byCentre[centre].phase }

func TestEvacuationPhases(t *testing.T) {
	at := func(d time.Duration) time.Time { return fleetEpoch.Add(d) }
	centres := []string{"c1"}
	read := func(s *State, d time.Duration, e Evacuations) { s.Reduce(at(d), e) }

	Convey("A daemon that reads the set", t, func() {
		s := newEvacuationReader(time.Second)

		Convey("closes a data centre that it lists at its start at once, as the age of the evacuation is unknown", func() {
			read(s, 0, NewEvacuationsListed(centres, 5, 1))
			So(s.phase("c1"), ShouldEqual, EvacuationClosed)
		})

		Convey("closes one that it lists after the watch failed, a grace time after the last answer", func() {
			read(s, 0, NewEvacuationsListed(nil, 5, 1))
			read(s, 300*time.Millisecond, NewEvacuationsCurrent(nil, 6, 1))
			read(s, 900*time.Millisecond, NewEvacuationsListed(centres, 7, 1))
			So(s.phase("c1"), ShouldEqual, EvacuationAnnounced)
			s.Reduce(at(1300*time.Millisecond), NewTicked(at(1300*time.Millisecond)))
			So(s.phase("c1"), ShouldEqual, EvacuationClosed)
		})

		Convey("counts the time for which its instance was suspended", func() {
			read(s, 0, NewEvacuationsCurrent(centres, 5, 1))
			s.Reduce(at(100*time.Millisecond), NewSuspended(time.Second))
			s.Reduce(at(100*time.Millisecond), NewTicked(at(100*time.Millisecond)))
			So(s.phase("c1"), ShouldEqual, EvacuationClosed)
		})

		Convey("keeps a newer set of the era, whichever way an older one arrives", func() {
			read(s, 0, NewEvacuationsCurrent(centres, 5, 2))
			read(s, 1, NewEvacuationsListed(nil, 4, 2))
			s.evacuationsReceived(at(2), evacuationSet{known: true, era: 2, version: 4})
			s.evacuationsReceived(at(2), evacuationSet{known: true, era: 1, version: 9})
			s.evacuationsReceived(at(2), evacuationSet{})
			So(s.phase("c1"), ShouldEqual, EvacuationAnnounced)
			s.evacuationsReceived(at(3), evacuationSet{known: true, era: 2, version: 6})
			So(s.evacuations.byCentre, ShouldBeEmpty)
		})

		Convey("ends an evacuation at once whose object is deleted after a restore of the store", func() {
			read(s, 0, NewEvacuationsCurrent(centres, 5, 1))
			read(s, 1, NewEvacuationsListed(centres, 3, 2))
			read(s, 2, NewEvacuationsCurrent(nil, 4, 2))
			So(s.evacuations.byCentre, ShouldBeEmpty)
		})

		Convey("replaces a watch that the store does not answer", func() {
			s.settings.watchWait = time.Second
			read(s, 0, NewEvacuationsCurrent(nil, 5, 1))
			later := at(1500*time.Millisecond + readerWatchInterval + time.Millisecond)
			s.Reduce(later, NewListUnchanged())
			So(s.Reduce(later, NewTicked(later)), ShouldContain, WatchUpstreams{readerWatchInterval})
		})

		Convey("passes no calls of peers on to a closed data centre or to a replica with a member there, but orders", func() {
			read(s, 0, NewEvacuationsListed(centres, 5, 1))
			decide := func(upstream string, isCall bool) RelayRefusal {
				for _, effect := range s.Reduce(at(1), NewRelayRequested(1, upstream, isCall)) {
					if decided, isDecided := effect.(RelayDecided); isDecided {
						return decided.Refusal()
					}
				}
				return RelayBusy
			}
			So(decide("desk-0", true), ShouldEqual, NotRefused)
			So(decide("desk-1", true), ShouldEqual, RelayUnfit)
			So(decide("head", true), ShouldEqual, RelayUnfit)
			So(decide("member", false), ShouldEqual, NotRefused)
			So(len(s.Processes("desk")), ShouldEqual, 1)
		})
	})

	Convey("A daemon without a grace time ignores evacuations and sends none", t, func() {
		s := newEvacuationReader(0)
		read(s, 0, NewEvacuationsListed(centres, 5, 1))
		s.evacuationsReceived(at(1), evacuationSet{true, 1, 5, map[string]time.Duration{"c1": unknownAge}})
		So(s.evacuations.report(at(1)).values(), ShouldBeEmpty)
		So(len(s.Processes("desk")), ShouldEqual, 2)
	})
}

func TestEvacuationMessage(t *testing.T) {
	Convey("A set is decoded as it was encoded, and one that is not known as such", t, func() {
		for _, set := range []evacuationSet{
			{},
			{true, 3, 9, map[string]time.Duration{}},
			{true, 3, 9, map[string]time.Duration{"c0": unknownAge, "c1": 0, "c2": 1250 * time.Millisecond}},
		} {
			data, err := listMessage{complete: true, evacuations: set}.encode()
			So(err, ShouldBeNil)
			decoded, err := decodeListMessage(data)
			So(err, ShouldBeNil)
			So(decoded.evacuations, ShouldResemble, set)
			for n := range len(data) {
				_, err := decodeListMessage(data[:n])
				So(err, ShouldNotBeNil)
			}
		}
	})
}
