package instance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// idlePool returns a draft over idle instances in domains of the given sizes, before any replica is recorded.
func idlePool(models []Model, domains ...int) *draft {
	now := harnessStart
	s := &State{}
	s.Reduce(now, NewConfigured(NewSettings("a", 1, models)))
	var listed []Instance
	for domain, size := range domains {
		for i := range size {
			id := ID(fmt.Sprintf("d%d-%02d", domain, i))
			listed = append(listed, NewInstance(id, string(id)+":1", fmt.Sprint(domain), fmt.Sprint(domain), 8).WithPool("p"))
		}
	}
	s.Reduce(now, NewListed(listed))
	for _, i := range listed {
		s.Reduce(now, NewProbed(NewProbeResult(i.id, "b", Assignment{}, PhaseIdle, Load{}, "a", now)))
	}
	return newDraft(s, s.pools[0], now.Add(time.Millisecond))
}

func TestMixedSpans(t *testing.T) {
	models := []Model{
		NewModel("notices", "p", 4, 3).WithAccelerators(8).WithCostWeights(10, 1),
		NewModel("guests", "p", 4, 7).WithAccelerators(8).WithCostWeights(10, 1),
		NewModel("claims", "p", 8, 1).WithAccelerators(8).WithCostWeights(10, 1),
	}
	Convey("If all wanted replicas fit, those of small span don't fragment the domain that the large one needs", t, func() {
		d := idlePool(models, 17, 17, 16)
		d.formWanted()
		for _, m := range models {
			So(fmt.Sprint(m.name, d.countReplicas(m)), ShouldEqual, fmt.Sprint(m.name, m.replicas))
		}
	})
	Convey("If they don't fit, the replicas with the highest weight per instance are formed first", t, func() {
		d := idlePool(models, 9, 9)
		d.formWanted()
		So(d.countReplicas(models[2]), ShouldEqual, 0)
		So(d.countReplicas(models[0])+d.countReplicas(models[1]), ShouldEqual, 4)
	})
}
