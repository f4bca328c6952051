package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against requests that are admitted without a key, since the last key was taken away or is empty.
func TestKeysAreNeededWithoutAnyKey(t *testing.T) {
	Convey("Keys are needed as soon as the configuration has organisations, whether they have keys or not", t, func() {
		So(New(1).NeedsKeys(), ShouldBeFalse)
		So(New(1).WithKeys().NeedsKeys(), ShouldBeTrue)
		So(New(1).WithOrganisation(NewOrganisation("one", 0, false)).NeedsKeys(), ShouldBeTrue)
		So(New(1).WithOrganisation(NewOrganisation("one", 0, false), "k").NeedsKeys(), ShouldBeTrue)
	})

	Convey("An empty key admits nobody", t, func() {
		_, isKnown := New(1).WithOrganisation(NewOrganisation("one", 0, false), "", "k").Organisation("")
		So(isKnown, ShouldBeFalse)
	})
}

func TestCallsOfService(t *testing.T) {
	Convey("Given routes to two services", t, func() {
		to := func(service string) WeightedService { return NewWeightedService(service, 1) }
		config := New(1).WithRoutes(
			NewRoute("a", "pond", "/a/", Stream).WithTimes(8*time.Second, 0, 0).WithResumable(true).WithSplit(to("engines")),
			NewRoute("b", "pond", "/b/", Idempotent).WithTimes(20*time.Second, 0, 0).WithSplit(to("engines"), NewWeightedService("desk", 0)),
			NewRoute("c", "pond", "/c/", Once).WithTimes(time.Second, 0, 0).WithSplit(to("desk")),
		)
		Convey("their longest timeout, and whether all requests may be sent again, are known for each", func() {
			So(config.LongestTimeout("engines"), ShouldEqual, 20*time.Second)
			So(config.LongestTimeout("desk"), ShouldEqual, time.Second)
			So(config.IsRetryable("engines"), ShouldBeTrue)
			So(config.IsRetryable("desk"), ShouldBeFalse)
			once := config.WithRoutes(NewRoute("d", "pond", "/d/", Stream).WithSplit(to("engines")))
			So(once.IsRetryable("engines"), ShouldBeFalse)
		})
	})
}
