package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

func TestColdMembers(t *testing.T) {
	Convey("Given idle instances of two domains with equal load times, some of them cold", t, func() {
		now := simStart
		s := New(Settings{})
		s.Reduce(now, NewConfigured(route.NewEngine(26, large, small)))
		list := func(id ID, domain string, cold time.Duration, staged ...string) {
			i := NewInstance(id, "", "z", domain, 1).WithModels("", staged...).WithColdUntil(now.Add(cold))
			s.Reduce(now, NewListChanges([]Instance{i}, nil))
		}
		members := func() []ID {
			var ids []ID
			for _, m := range s.newDraft(now.Add(time.Second), record{}).fastestMembers(small) {
				ids = append(ids, m.id)
			}
			return ids
		}
		list("a1", "a", 4*time.Second)
		list("a2", "a", 3*time.Second)
		list("a3", "a", 2*time.Second)

		Convey("the ones that are cold for the shortest time join, with the least cold one as the head", func() {
			So(members(), ShouldResemble, []ID{"a3", "a2"})
		})

		Convey("a domain with a warm head is preferred, also if it has fewer idle instances", func() {
			list("b1", "b", 5*time.Second)
			list("b2", "b", 0)
			So(members(), ShouldResemble, []ID{"b2", "b1"})
		})

		Convey("a shorter load is worth more than a warm start", func() {
			list("a4", "a", 0)
			list("a1", "a", 4*time.Second, small.Name())
			list("a2", "a", 3*time.Second, small.Name())
			So(members(), ShouldResemble, []ID{"a2", "a1"})
		})
	})
}
