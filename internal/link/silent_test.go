package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// soTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const soTCPUserTimeout = 0x12

// tcpOptionOf returns a TCP option of the connection to a peer.
func tcpOptionOf(c *conn, option int) int {
	raw, err := c.Conn.(countedConn).Conn.(*net.TCPConn).SyscallConn()
	So(err, ShouldBeNil)
	value := 0
	var optionErr error
	So(raw.Control(func(fd uintptr) {
		value, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
	}), ShouldBeNil)
	So(optionErr, ShouldBeNil)
	return value
}

func TestSilentLinkStaysOpen(t *testing.T) {
	Convey("Both ends of a link whose path falls silent close it within two seconds, whether data is on its way or not", t, func() {
		one, two := startHub(t, "one", TLSFiles{}), startHub(t, "two", TLSFiles{})
		one.Send("two", two.address, firstMessage("one", one.address, two.address))
		So(two.receiveSender(), ShouldEqual, "one")
		for _, c := range []*conn{one.newestConn("two"), two.newestConn("one")} {
			So(tcpOptionOf(c, soTCPUserTimeout), ShouldBeBetweenOrEqual, 1, 2000)
			So(tcpOptionOf(c, syscall.TCP_KEEPIDLE)+tcpOptionOf(c, syscall.TCP_KEEPINTVL), ShouldBeLessThanOrEqualTo, 2)
		}
	})
}

func TestKeepAlivesOfManyLinks(t *testing.T) {
	Convey("The keepalive probes of all links of a daemon in a large fleet are a few dozen per second at most", t, func() {
		perSecond := 0.0
		for links := range 330 {
			perSecond += 1 / keepAliveIdle(links).Seconds()
		}
		So(perSecond, ShouldBeLessThan, 40)
		So(keepAliveIdle(7), ShouldBeLessThan, 2*time.Second)
	})
}
