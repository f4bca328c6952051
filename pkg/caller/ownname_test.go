package caller

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOwnName(t *testing.T) {
	Convey("A daemon that received the peers before its own name does not count itself as a peer", t, func() {
		now := time.Unix(0, 0)
		peers := []Peer{NewPeer("a", "a:1", "here", false, 0), NewPeer("b", "b:1", "here", false, 0)}
		early, late := &State{}, &State{}
		early.Reduce(now, NewPeersChanged(peers))
		early.Reduce(now, NewConfigured(NewSettings("a", "a:1", "here")))
		late.Reduce(now, NewConfigured(NewSettings("a", "a:1", "here")))
		late.Reduce(now, NewPeersChanged(peers))
		So(late.View().Peers(), ShouldEqual, 1)
		So(early.View().Peers(), ShouldEqual, 1)
	})
}
