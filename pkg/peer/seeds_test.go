package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against seeds of changed settings that are not contacted before the next start.
func TestSeedsChanged(t *testing.T) {
	Convey("New seeds are contacted at once, and those that were replaced no more", t, func() {
		now := time.Unix(1_700_000_000, 0)
		var s State
		s.Reduce(now, NewConfigured(NewSettings("a", "10.0.0.1:1", "10.0.0.1:2", "athens", 1).WithSeeds("10.0.0.2:1")))
		contacted := func(effects []Effect) map[string]bool {
			addresses := map[string]bool{}
			for _, effect := range effects {
				if send, isSend := effect.(Send); isSend {
					addresses[send.Address()] = true
				}
			}
			return addresses
		}
		now = now.Add(10 * time.Millisecond)
		So(contacted(s.Reduce(now, NewSeedsChanged([]string{"10.0.0.3:1"}))), ShouldResemble, map[string]bool{"10.0.0.3:1": true})
		now = now.Add(2 * joinInterval)
		So(contacted(s.Reduce(now, NewTicked())), ShouldResemble, map[string]bool{"10.0.0.3:1": true})
	})
}
