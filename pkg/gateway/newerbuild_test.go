package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

// newField is the value of a field that this build does not know.
var newField = []any{map[string]any{"list": []any{1, []any{}}}, nil, "text"}

func encoded(values ...any) []byte {
	data, err := encodeValues(values)
	So(err, ShouldBeNil)
	return data
}

func TestMessagesOfNewerBuildAreRead(t *testing.T) {
	Convey("Further fields of a message about slots, crashes or limits are skipped", t, func() {
		request := dispatch.NewSlotRequest(7, dispatch.NewShard("m", 3), 40).WithHistory(time.Second, "i-1").WithCentre("z1")
		reply := dispatch.NewSlotReply(7, dispatch.SlotGranted, 0).WithSlot("i-1", 2).WithRetryAfter(time.Second)
		usage := map[string]dispatch.ReplicaUsage{"i-1": dispatch.NewReplicaUsage(3, 1.5), "i-2": dispatch.NewReplicaUsage(4, 1)}
		var newerUsage []any
		for _, entry := range usageValues(usage) {
			newerUsage = append(newerUsage, append(entry.([]any), newField))
		}
		for topic, messages := range map[string][2][]any{
			slotRequestTopic: {slotRequestValues(request), append(slotRequestValues(request), newField)},
			slotReplyTopic:   {slotReplyValues(reply), append(slotReplyValues(reply), newField)},
			usageTopic:       {usageValues(usage), newerUsage},
			crashTopic:       {{uint64(1), "i-1"}, {uint64(1), "i-1", newField}},
			limitTopic:       {{"i-1", 2.5}, {"i-1", 2.5, newField}},
		} {
			want, err := decodeSlotMessage(topic, "a", encoded(messages[0]...))
			So(err, ShouldBeNil)
			got, err := decodeSlotMessage(topic, "a", encoded(messages[1]...))
			So(err, ShouldBeNil)
			So(got, ShouldResemble, want)
		}
	})

	Convey("Further fields of a message about parts of prompts are skipped", t, func() {
		for topic, values := range map[string][]any{
			partCrashTopic: {"p", "i-1"}, partAnsweredTopic: {"p"}, partMarkTopic: {"p", int64(2000)},
		} {
			want, err := decodePartMessage(topic, encoded(values...))
			So(err, ShouldBeNil)
			got, err := decodePartMessage(topic, encoded(append(values, newField)...))
			So(err, ShouldBeNil)
			So(got, ShouldResemble, want)
		}
	})

	Convey("Given an update of the list with a replica and an evacuated data centre", t, func() {
		instance := replica.NewInstance("i-1", "10.0.0.1:1", "z1", "d1", 5).WithModels("m", "n").
			WithMembership(replica.NewMembership("r-1", 9, 1, replica.PhaseReady))
		update := listMessage{
			readerStart: 1, toRevision: 2, complete: true, changed: []Upstream{NewUpstream("engines", 8, instance)},
			gone: []replica.ID{"i-2"}, evacuations: evacuationSet{true, 1, 2, map[string]time.Duration{"z2": time.Second}},
		}
		data, err := update.encode()
		So(err, ShouldBeNil)
		want, err := decodeListMessage(data)
		So(err, ShouldBeNil)
		var values []any
		So(msgpack.Unmarshal(data, &values), ShouldBeNil)
		upstreams, evacuated := values[6].([]any), values[8].([]any)
		upstream := upstreams[0].([]any)

		Convey("further fields are skipped at each level", func() {
			upstream[12] = append(upstream[12].([]any), newField)
			upstreams[0] = append(upstream, newField)
			centres := evacuated[2].([]any)
			centres[0] = append(centres[0].([]any), newField)
			values[8] = append(evacuated, newField)
			got, err := decodeListMessage(encoded(append(values, newField)...))
			So(err, ShouldBeNil)
			So(got, ShouldResemble, want)
		})

		Convey("an upstream in an unknown phase is read as one in no replica, with the others", func() {
			upstream[12] = []any{1, uint8(replica.PhaseBroken + 1)}
			values[6] = append(upstreams, upstreamValues(NewUpstream("desk", 6, replica.NewInstance("i-3", "10.0.0.3:1", "z1", "", 1))))
			got, err := decodeListMessage(encoded(values...))
			So(err, ShouldBeNil)
			So(len(got.changed), ShouldEqual, 2)
			So(got.changed[0].instance.Membership(), ShouldResemble, replica.Membership{})
		})

		Convey("fewer fields than this build needs are refused", func() {
			_, err := decodeListMessage(encoded(values[:8]...))
			So(err, ShouldNotBeNil)
			values[8] = evacuated[:2]
			_, err = decodeListMessage(encoded(values...))
			So(err, ShouldNotBeNil)
		})
	})
}
