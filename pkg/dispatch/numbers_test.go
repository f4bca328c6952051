package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/route"
)

// largeTokens are numbers of tokens whose times or sums exceed the range of integers.
var largeTokens = []int{5e14, 1 << 62, math.MaxInt64 - 1, math.MaxInt64, math.MinInt64}

// replicaMemory is the number of tokens that fit into the memory of a replica.
const replicaMemory = 1_400_000

// arriveWithTokens sends a request with its tokens to a daemon. No replica has the memory for more than replicaMemory.
func (cl *cluster) arriveWithTokens(daemon, prompt, output int) *clusterCall {
	c := &clusterCall{id: ID(len(cl.calls)), daemon: daemon, arrived: cl.now, timeout: callTimeout, organisation: "one"}
	c.isTooLarge = prompt > replicaMemory || output > replicaMemory
	cl.calls = append(cl.calls, c)
	cl.feed(daemon, NewArrived(NewRequest(c.id, fmt.Sprint(c.id), "pond", "/draft/x", "one").WithModel("m", prompt, output).
		WithTimeout(callTimeout).WithContentHash(uint64(c.id+1000))))
	return c
}

func TestLargeTokensOfCallers(t *testing.T) {
	for _, withoutSlots := range []bool{false, true} {
		for _, tokens := range largeTokens {
			Convey(fmt.Sprintf("Prompts and answers of %d tokens end neither a daemon nor the calls of others (without slots: %v)", tokens, withoutSlots), t, func() {
				cl := newCluster(3, 4, withoutSlots)
				var large []*clusterCall
				for daemon := range cl.daemons {
					large = append(large, cl.arriveWithTokens(daemon, tokens, 80), cl.arriveWithTokens(daemon, 500, tokens),
						cl.arriveWithTokens(daemon, tokens, tokens))
				}
				cl.run(100 * time.Millisecond)
				usual := cl.arriveWithTokens(0, 500, 100)
				cl.run(callTimeout)
				for _, c := range large {
					So(c.isRefused, ShouldEqual, c.isTooLarge)
				}
				So(usual.firstEvent, ShouldBeGreaterThan, 0)
				So(usual.firstEvent, ShouldBeLessThan, callGoal)
				So(cl.daemons[0].Active(), ShouldEqual, 0)
			})
		}
	}
}

func TestLargeNumbersOfPeers(t *testing.T) {
	for _, number := range largeTokens {
		Convey(fmt.Sprintf("The number %d in messages of a peer about slots takes no slot from other daemons for good", number), t, func() {
			cl := newCluster(2, 4, false)
			for shard := range uint64(shardsPerModel) {
				cl.feed(0, NewSlotRequested("1", NewSlotRequest(shard, NewShard("m", shard), number).
					WithUrgency(number, math.MinInt64, math.MaxInt64).WithHistory(math.MaxInt64)))
			}
			for _, target := range cl.targets {
				cl.feed(0, NewUsageReported("1", map[string]ReplicaUsage{target.name: NewReplicaUsage(number, math.Inf(1))}))
				cl.feed(0, NewUsageReported("1", map[string]ReplicaUsage{target.name: NewReplicaUsage(0, math.NaN())}))
			}
			cl.feed(0, NewSlotReply(7, SlotGranted, number).WithSlot("h1", number).WithRetryAfter(math.MaxInt64))
			cl.run(100 * time.Millisecond)
			usual := cl.arriveWithTokens(0, 500, 100)
			cl.run(callTimeout)
			So(usual.firstEvent, ShouldBeGreaterThan, 0)
		})
	}
}

func TestLargeNumbersOfUpstreams(t *testing.T) {
	for _, number := range largeTokens {
		Convey(fmt.Sprintf("An upstream that reports %d requests and slots does not end the daemon", number), t, func() {
			cl := newCluster(1, 2, true)
			first := cl.arriveWithTokens(0, 500, 100)
			cl.feed(0, NewStarted(first.attempt, NewLoad(number, number, number).WithLimit(NewLimit(math.MaxFloat64))))
			second := cl.arriveWithTokens(0, 500, 100)
			cl.run(callTimeout)
			So(second.firstEvent, ShouldBeGreaterThan, 0)
		})
	}
}

func TestLowestCostIsAlwaysACandidate(t *testing.T) {
	Convey("The candidate with the lowest cost is picked, whatever the costs are", t, func() {
		s := New(NewSettings(1, RetryLimits{}))
		for _, cost := range []time.Duration{math.MinInt64, -time.Second, -1, 0, 1, math.MaxInt64 - 1} {
			picked := s.pick([]candidate{{cost: math.MaxInt64}, {cost: cost}})
			So(picked.cost, ShouldEqual, cost)
		}
	})
}

func TestLargeNumbersOfConfiguration(t *testing.T) {
	Convey("Times and sizes of engines at the limits of their types give times that can be added", t, func() {
		for _, number := range []float64{math.MaxFloat64, math.SmallestNonzeroFloat64, 1e18} {
			model := route.NewModel("m", 2, 1, number)
			engine := route.NewEngine(math.MaxInt64, model).
				WithStepTimes(math.MaxInt64/4, math.MaxInt64/4, math.MaxInt64, number, math.MaxInt64)
			for _, tokens := range append(largeTokens, 1) {
				sum := engine.Read(model, tokens) + engine.EventInterval(model, tokens) + engine.StepTime(model, tokens)
				So(sum, ShouldBeBetween, -100*365*24*time.Hour, 100*365*24*time.Hour)
			}
		}
	})
}

// This guards against calls that wait for seconds for a refusal, and whose demand takes the replicas of another model.
func TestCallsLargerThanMemory(t *testing.T) {
	Convey("Given replicas whose memory is known", t, func() {
		cl := newCluster(2, 4, false)
		engine := cl.config.Services()["engines"]
		cl.config = cl.config.WithServices(engine.WithEngine(engine.Engine().WithMemory(replicaMemory)))
		for daemon := range cl.daemons {
			cl.feed(daemon, NewConfigured(cl.config))
		}
		Convey("calls that are larger are refused at once, are not sent, and count as no demand", func() {
			for _, tokens := range append(largeTokens, replicaMemory+1) {
				if tokens < 0 {
					continue
				}
				for _, c := range []*clusterCall{cl.arriveWithTokens(0, tokens, 0), cl.arriveWithTokens(0, 1, tokens), cl.arriveWithTokens(0, replicaMemory, 1)} {
					So(c.isRefused, ShouldBeTrue)
					So(c.reason, ShouldEqual, TooLarge)
					So(c.retryAfter, ShouldEqual, 0)
					So(c.sends, ShouldEqual, 0)
				}
			}
			So(cl.daemons[0].TakeDemand(), ShouldBeEmpty)
		})
		Convey("calls that just fit are sent", func() {
			c := cl.arriveWithTokens(0, replicaMemory-80, 80)
			cl.run(callTimeout)
			So(c.firstEvent, ShouldBeGreaterThan, 0)
		})
	})
}
