package gateway

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/quantity"
)

// This guards against counts and times of peers that exceed what later sums can represent.
func TestLargeNumbersInMessages(t *testing.T) {
	for _, number := range []int64{math.MaxInt64, math.MinInt64, 1 << 62, -1} {
		Convey(fmt.Sprintf("The number %d in messages of a peer becomes a count or a time within the limits", number), t, func() {
			fields := func(values ...any) *decodedFields {
				return &decodedFields{decoder: msgpack.NewDecoder(bytes.NewReader(encoded(values...)))}
			}
			f := fields(uint64(7), "m", uint64(3), number, number, number, number, "one", "", number, []string{}, []string{}, "")
			request := f.slotRequest()
			So(f.err, ShouldBeNil)
			So(request.PromptTokens(), ShouldBeBetweenOrEqual, 0, quantity.MaxCount)
			for _, d := range []time.Duration{request.OnTimeWait(), request.MaxWait(), request.TimeLeft()} {
				So(d, ShouldBeBetweenOrEqual, -quantity.MaxDuration, quantity.MaxDuration)
			}
			f = fields(uint64(7), uint8(dispatch.SlotGranted), "i-1", number, number, number)
			reply := f.slotReply()
			So(f.err, ShouldBeNil)
			So(reply.Calls(), ShouldBeBetweenOrEqual, 0, quantity.MaxCount)
			So(reply.Excess(), ShouldBeBetweenOrEqual, -quantity.MaxCount, quantity.MaxCount)
			So(reply.RetryAfter(), ShouldBeBetweenOrEqual, -quantity.MaxDuration, quantity.MaxDuration)
			f = fields([]any{"i-1", number, number})
			usage := f.usage()["i-1"]
			So(f.err, ShouldBeNil)
			So(usage.Calls(), ShouldBeBetweenOrEqual, 0, quantity.MaxCount)
		})
	}
}

// This guards against a demand that makes the leader dissolve the replicas of other models.
func TestUncountableDemandOfPeers(t *testing.T) {
	for _, replicas := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		Convey(fmt.Sprintf("A report that %v replicas of a model are busy is refused", replicas), t, func() {
			data, err := msgpack.Marshal(map[string]float64{"m": replicas, "n": 2})
			So(err, ShouldBeNil)
			_, err = decodeDemand(data)
			So(err, ShouldNotBeNil)
		})
	}
}
