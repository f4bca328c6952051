package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/route"
)

func TestSlotMessages(t *testing.T) {
	request := dispatch.NewSlotRequest(7, dispatch.NewShard("large", 3), 1460).
		WithUrgency(1, 90*time.Millisecond, 1500*time.Millisecond).WithOrganisation("one").WithHistory(6*time.Second, "i-3").
		WithRegions(route.NewRegions("north", "south"))
	plain := dispatch.NewSlotRequest(8, dispatch.NewServiceShard("desk"), 0).WithHistory(time.Second)
	reply := dispatch.NewSlotReply(7, dispatch.SlotGranted, -3).WithSlot("i-1", 25).WithRetryAfter(700 * time.Millisecond)
	usage := map[string]dispatch.ReplicaUsage{"i-1": dispatch.NewReplicaUsage(3, 1.2), "i-2": dispatch.NewReplicaUsage(0, 0)}
	messages := []struct {
		topic  string
		values []any
		event  dispatch.Event
	}{
		{slotRequestTopic, slotRequestValues(request), dispatch.NewSlotRequested("a", request)},
		{slotRequestTopic, slotRequestValues(plain), dispatch.NewSlotRequested("a", plain)},
		{slotReplyTopic, slotReplyValues(reply), reply},
		{limitTopic, []any{"i-1", 2.5}, dispatch.NewLimitReported("i-1", 2.5, "a")},
		{usageTopic, usageValues(usage), dispatch.NewUsageReported("a", usage)},
		{crashTopic, []any{uint64(13), "i-1"}, dispatch.NewCrashReported(13, "i-1").From("a")},
	}
	for _, message := range messages {
		Convey("A message of the topic "+message.topic+" is decoded as it was encoded, and refused if it is truncated", t, func() {
			data, err := encodeValues(message.values)
			So(err, ShouldBeNil)
			event, err := decodeSlotMessage(message.topic, "a", data)
			So(err, ShouldBeNil)
			So(event, ShouldResemble, message.event)
			for n := range data {
				_, err := decodeSlotMessage(message.topic, "a", data[:n])
				So(err, ShouldNotBeNil)
			}
		})
	}
}

func TestPartMessages(t *testing.T) {
	messages := []struct {
		topic  string
		values []any
		event  dispatch.Event
	}{
		{partCrashTopic, []any{"5c1e07a2", "i-1"}, dispatch.NewPartCrashReported("5c1e07a2", "i-1")},
		{partAnsweredTopic, []any{"5c1e07a2"}, dispatch.NewPartAnswered("5c1e07a2")},
		{partsAskedTopic, []any{"5c1e07a2", "91bd3f06"}, dispatch.NewPartsAsked("5c1e07a2", "91bd3f06")},
		{partMarkTopic, []any{"5c1e07a2", int64(60000)}, dispatch.NewPartMarked("5c1e07a2", time.Minute)},
	}
	for _, message := range messages {
		Convey("A message of the topic "+message.topic+" is decoded as it was encoded, and refused if it is truncated", t, func() {
			data, err := encodeValues(message.values)
			So(err, ShouldBeNil)
			event, err := decodePartMessage(message.topic, data)
			So(err, ShouldBeNil)
			So(event, ShouldResemble, message.event)
			for n := range data {
				_, err := decodePartMessage(message.topic, data[:n])
				So(err, ShouldNotBeNil)
			}
		})
	}
}

func TestShardOwner(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	owner := func(self string, owners []string, number uint64) string {
		s := State{shardOwners: owners, ownerByShard: map[dispatch.Shard]string{}}
		s.members.self = self
		if name := s.Owner(dispatch.NewShard("large", number)); name != "" {
			return name
		}
		return self
	}
	Convey("All daemons choose the same owner of a shard, and it stays when another daemon leaves", t, func() {
		for number := range uint64(4) {
			expected := owner("a", names, number)
			for i, name := range names {
				So(owner(name, names, number), ShouldEqual, expected)
				if name == expected {
					continue
				}
				rest := slices.Delete(slices.Clone(names), i, i+1)
				So(owner(expected, rest, number), ShouldEqual, expected)
			}
		}
	})
	Convey("The eight shards of two models are spread over at least four daemons", t, func() {
		owners := map[string]int{}
		for i := range 8 {
			s := State{shardOwners: names, ownerByShard: map[dispatch.Shard]string{}}
			owners[s.Owner(dispatch.NewShard(fmt.Sprint("m", i/4), uint64(i)))]++
		}
		So(len(owners), ShouldBeGreaterThan, 3)
	})
}
