package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/entries"
	"github.com/azurepond/azurepond/pkg/replica"
)

// replaceDaemon kills the last daemon and starts one with a new name in its place.
func (f *fleet) replaceDaemon(name string) {
	i := len(f.daemons) - 1
	former := f.daemons[i]
	former.life++
	former.down = true
	f.closeLinks(former)
	d := &fleetDaemon{
		name: name, address: fmt.Sprintf("10.2.0.1:%d", 7000+len(f.byAddr)),
		relays: map[RelayID]func(RelayDecided){}, messages: former.messages, events: former.events, orders: former.orders,
	}
	f.daemons[i] = d
	f.byName[d.name], f.byAddr[d.address] = d, d
	f.start(d, i)
}

// replaceEngine kills an engine and lists one with a new id in its place.
func (f *fleet) replaceEngine(i int, id replica.ID) {
	former := f.engines[i]
	f.kill(former)
	e := &fleetEngine{id: id, centre: former.centre, domain: former.domain}
	f.engines[i], f.byID[id] = e, e
	f.list(e)
}

// boundsElsewhere are the limits of the paths whose entries are kept for longer than the test runs.
var boundsElsewhere = map[string]string{
	".peer.allMembers":      "members of pkg/peer, kept for an hour",
	".peer.members":         "members of pkg/peer, kept for an hour",
	".peer.handleByName":    "members of pkg/peer, kept for an hour",
	".members.disconnected": "members of pkg/peer, kept for an hour",
	".listSync.goneIn":      "maxRememberedGone",
	".listSync.changedIn":   "listed upstreams",
}

// This guards against memory that grows with each daemon and engine that there ever was.
func TestStateOfFormerLives(t *testing.T) {
	Convey("Daemons and engines that are gone leave nothing behind", t, func() {
		size := firstStart()
		size.daemons, size.engines, size.centres, size.domain, size.callsPerSecond = 5, 24, 1, 24, 20
		size.large, size.small = 4, 2
		f := newFleet(size, benchTraffic)
		now := benchTraffic
		f.run(now)
		settle := func() entries.Counts {
			f.size.callsPerSecond = 1
			now += 3 * time.Minute
			f.run(now)
			counts := entries.Count(&f.daemons[0].State)
			f.size.callsPerSecond = size.callsPerSecond
			return counts
		}
		before := settle()
		const lives = 40
		for i := range lives {
			f.replaceDaemon(fmt.Sprintf("life-%03d", i))
			f.replaceEngine(i%len(f.engines), replica.ID(fmt.Sprintf("i-life-%03d", i)))
			now += 4 * time.Second
			f.run(now)
			if i%2 == 0 {
				f.cutStore(f.daemons[len(f.daemons)-1])
			}
		}
		after := settle()
		for path, count := range after {
			if count > before[path]+lives/2 && boundsElsewhere[path] == "" {
				t.Errorf("%s has %d entries, %d before", path, count, before[path])
			}
		}
		So(len(f.daemons[0].members.live), ShouldEqual, size.daemons)
	})
}
