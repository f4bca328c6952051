package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

func TestPlaceLetters(t *testing.T) {
	wish := dispatch.NewSlotRequest(7, dispatch.NewShard("large", 3), 1460).
		WithUrgency(1, 90*time.Millisecond, 1500*time.Millisecond).WithOrganisation("one")
	place := dispatch.NewSlotReply(7, dispatch.SlotGranted, -3).WithSlot("i-1", 25)
	claims := map[string]dispatch.ReplicaUsage{"i-1": dispatch.NewReplicaUsage(3, 1.2), "i-2": dispatch.NewReplicaUsage(0, 0)}
	letters := []struct {
		topic  string
		values []any
		event  dispatch.Event
	}{
		{wishTopic, valuesOfWish(wish), dispatch.NewSlotRequested("a", wish)},
		{placeTopic, valuesOfPlace(place), place},
		{claimTopic, valuesOfClaims(claims), dispatch.NewUsageReported("a", claims)},
		{crashTopic, []any{uint64(13), "i-1"}, dispatch.NewCrashReported(13, "i-1")},
	}
	for _, one := range letters {
		Convey("A letter on a "+one.topic+" is read as it was written, and refused if it is cut", t, func() {
			data, err := encodeValues(one.values)
			So(err, ShouldBeNil)
			event, err := decodePlaces(one.topic, "a", data)
			So(err, ShouldBeNil)
			So(event, ShouldResemble, one.event)
			for n := range data {
				_, err := decodePlaces(one.topic, "a", data[:n])
				So(err, ShouldNotBeNil)
			}
		})
	}
}

func TestOwner(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	owner := func(self string, keepers []string, number uint64) string {
		s := State{keepers: keepers, owners: map[dispatch.Shard]string{}}
		s.members.self = self
		if name := s.Owner(dispatch.NewShard("large", number)); name != "" {
			return name
		}
		return self
	}
	Convey("All daemons name the same owner of a share, and it stays when another daemon goes", t, func() {
		for number := range uint64(4) {
			first := owner("a", names, number)
			for i, name := range names {
				So(owner(name, names, number), ShouldEqual, first)
				if name == first {
					continue
				}
				rest := slices.Delete(slices.Clone(names), i, i+1)
				So(owner(first, rest, number), ShouldEqual, first)
			}
		}
	})
	Convey("The shares of some models have different owners", t, func() {
		owners := map[string]int{}
		for i := range 8 {
			s := State{keepers: names, owners: map[dispatch.Shard]string{}}
			owners[s.Owner(dispatch.NewShard(fmt.Sprint("m", i/4), uint64(i)))]++
		}
		So(len(owners), ShouldBeGreaterThan, 3)
	})
}
