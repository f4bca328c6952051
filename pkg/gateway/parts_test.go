package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

// isPartRefused reports whether a daemon refuses a new request with a part.
func (f *fleet) isPartRefused(d *fleetDaemon, part string) bool {
	d.nextCall++
	request := dispatch.NewRequest(d.nextCall, "r", "pond", "/draft/x", "one").WithModel("small", 100, 10).WithParts(part)
	refused := false
	for _, effect := range d.Reduce(f.now, NewDispatchEvent(dispatch.NewArrived(request))) {
		if sent, isDispatch := effect.(DispatchEffect); isDispatch {
			refusal, isRefusal := sent.Effect().(dispatch.Refuse)
			refused = refused || isRefusal && refusal.Reason() == dispatch.Poison
		}
	}
	return refused
}

func TestRefusedPartAfterRestart(t *testing.T) {
	Convey("A part that crashed four upstreams is refused by all daemons, also by those that start again", t, func() {
		f := newFleet(smallFleet(), time.Minute)
		f.run(8 * time.Second)
		reporter := f.daemons[0]
		for _, upstream := range []string{"i-1", "i-2", "i-3", "i-4"} {
			for _, effect := range reporter.Reduce(f.now, NewDispatchEvent(dispatch.NewPartCrashReported("poison", upstream))) {
				f.apply(reporter, effect)
			}
			f.run(f.now.Sub(fleetEpoch) + 1100*time.Millisecond) // crashes that come together count once
		}
		f.run(f.now.Sub(fleetEpoch) + 500*time.Millisecond)
		for _, d := range f.daemons {
			So(f.isPartRefused(d, "poison"), ShouldBeTrue)
			So(f.isPartRefused(d, "sound"), ShouldBeFalse)
		}
		for _, d := range f.daemons {
			f.restart(d)
			f.run(f.now.Sub(fleetEpoch) + 1500*time.Millisecond)
			So(f.isPartRefused(d, "poison"), ShouldBeTrue)
		}
	})
}
