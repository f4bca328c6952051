package gateway

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/route"
)

func TestPanicOfReducer(t *testing.T) {
	Convey("Given a daemon whose state was not initialised, so that the handling of requests panics", t, func() {
		var log strings.Builder
		writer := NewLogWriter(&log)
		d, err := New(Settings{}, Adapter{}, writer)
		So(err, ShouldBeNil)
		now := time.Unix(1_700_000_000, 0)
		config := route.New(1).WithRoutes(route.NewRoute("a", "pond", "/a/", route.Once))
		d.apply(now, gateway.NewDispatchEvent(dispatch.NewConfigured(config)))
		request := dispatch.NewRequest(7, "name", "pond", "/a/x", "")

		Convey("a panic that is about a request ends that request, and is counted and logged", func() {
			effects := d.apply(now, gateway.NewDispatchEvent(dispatch.NewArrived(request)))
			var refused []dispatch.ID
			for _, effect := range effects {
				if e, isDispatch := effect.(gateway.DispatchEffect); isDispatch {
					if refuse, isRefuse := e.Effect().(dispatch.Refuse); isRefuse {
						refused = append(refused, refuse.ID())
					}
				}
			}
			So(refused, ShouldResemble, []dispatch.ID{7})
			count := 0
			d.registry.Each(func(name string, _ any) {
				if strings.Contains(name, "azurepond_calls_abandoned_total") {
					count++
				}
			})
			So(count, ShouldEqual, 1)
		})

		Convey("a panic that is about no request goes on", func() {
			So(func() { d.apply(now, gateway.NewTicked(now)) }, ShouldPanic)
		})
	})
}
