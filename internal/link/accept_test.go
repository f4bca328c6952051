package link

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/peer"
)

// exhaustedListener fails with an error as often as it is told, and then accepts.
type exhaustedListener struct {
	net.Listener
	err      error
	failures atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// TestHubAfterFailedAccept guards against a hub that accepts no peers any more after it was out of descriptors.
func TestHubAfterFailedAccept(t *testing.T) {
	newHub := func(name string, deliver func(peer.Event)) (*Hub, net.Listener) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		h, err := New(name, listener.Addr().String(), TLSFiles{}, metrics.NewRegistry(), deliver)
		So(err, ShouldBeNil)
		return h, listener
	}

	Convey("A hub that was out of descriptors accepts peers again", t, func() {
		opened := make(chan peer.Event, 10)
		h, listener := newHub("a", func(e peer.Event) { opened <- e })
		exhausted := &exhaustedListener{Listener: listener, err: syscall.EMFILE}
		exhausted.failures.Store(3)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- h.Run(ctx, exhausted) }()
		other, otherListener := newHub("b", func(peer.Event) {})
		otherEnded := make(chan error, 1)
		go func() { otherEnded <- other.Run(ctx, otherListener) }()
		other.Send("a", listener.Addr().String(), firstMessage("b", otherListener.Addr().String(), listener.Addr().String()))
		select {
		case e := <-opened:
			_, isOpened := e.(peer.LinkOpened)
			So(isOpened, ShouldBeTrue)
		case err := <-ended:
			t.Fatal("the hub has ended:", err)
		}
		So(h.counters.acceptFailures.Count(), ShouldEqual, 3)
		cancel()
		So(<-ended, ShouldBeNil)
		So(<-otherEnded, ShouldBeNil)
	})

	Convey("A hub whose listener fails for good ends with an error", t, func() {
		h, listener := newHub("a", func(peer.Event) {})
		exhausted := &exhaustedListener{Listener: listener, err: syscall.EINVAL}
		exhausted.failures.Store(1)
		So(h.Run(context.Background(), exhausted), ShouldNotBeNil)
		So(listener.Close(), ShouldBeNil)
	})
}
