package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/entries"
)

// This guards against memory that grows with each service, model or daemon that there ever was.
func TestStateOfFormerNames(t *testing.T) {
	Convey("Services, shards and owners that are gone leave nothing behind", t, func() {
		cl := newCluster(1, 2, false)
		s := cl.daemons[0]
		cl.run(2 * upstreamTTL)
		before := entries.Count(s)
		const lives = 300
		for i := range lives {
			service, owner := fmt.Sprint("service-", i), fmt.Sprint("daemon-", i)
			s.budget(service).countRequest(cl.now, s.settings.retries.window)
			c := &call{Request: Request{id: ID(1_000_000 + i)}, service: service, hasEnded: true}
			for id, status := range []SlotStatus{SlotNoReplicas, SlotDenied} {
				request := uint64(1_000_000 + 2*i + id)
				s.pendingSlots[request] = &pendingSlot{call: c, shard: NewServiceShard(service), owner: owner, sentAt: cl.now}
				cl.feed(0, SlotReply{requestID: request, status: status})
			}
			cl.run(10 * time.Millisecond)
		}
		So(s.shardLoads, ShouldNotBeEmpty)
		cl.run(2 * upstreamTTL)
		after := entries.Count(s)
		for path, count := range after {
			if count > before[path]+lives/10 {
				So(fmt.Sprint(path, " has ", count, " entries, ", before[path], " before"), ShouldBeEmpty)
			}
		}
	})
}
