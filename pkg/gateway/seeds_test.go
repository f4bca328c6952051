package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/peer"
)

// This guards against settings whose new seeds are ignored until the next start.
func TestSeedsOfReloadedSettings(t *testing.T) {
	Convey("A daemon contacts the new seeds when its settings are loaded again", t, func() {
		f := newFleet(smallFleet(), time.Minute)
		f.run(2 * time.Second)
		d := f.daemons[0]
		isContacted := func(seed string) bool {
			for _, effect := range d.Reduce(f.now, NewReloaded(d.settings.WithSeeds(seed))) {
				sent, isPeer := effect.(PeerEffect)
				if !isPeer {
					continue
				}
				if send, isSend := sent.Effect().(peer.Send); isSend && send.Address() == seed {
					return true
				}
			}
			return false
		}
		So(isContacted("10.9.9.9:1"), ShouldBeTrue)
	})
}
