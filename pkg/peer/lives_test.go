package peer

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/entries"
)

// This guards against daemons that find no place since others that have ended are remembered.
func TestLivesOfPeers(t *testing.T) {
	Convey("After ten thousand lives of peers within an hour, the live ones are members and the state is bounded", t, func() {
		now := epoch
		var s State
		s.Reduce(now, NewConfigured(NewSettings("self", "self:1", "self:2", "c0", 1)))
		const lives = 10000
		for i := range lives {
			now = now.Add(200 * time.Millisecond)
			name := fmt.Sprint("life-", i)
			s.Reduce(now, NewLinkOpened(name, name+":1"))
			info := memberInfo{name: name, address: name + ":1", centre: "c0", incarnation: uint64(i + 1), sequence: 1, infoVersion: 1}
			s.acceptMemberInfo(now, 0, info, true)
			s.Reduce(now, NewTicked())
			s.Reduce(now, NewLinkClosed(name, name+":1"))
		}
		So(s.IsKnown(fmt.Sprint("life-", lives-1)), ShouldBeTrue)
		So(s.IsKnown("life-0"), ShouldBeFalse)
		So(entries.Count(&s).Above(maxMembers), ShouldBeEmpty)
	})
}
