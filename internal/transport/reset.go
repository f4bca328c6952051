package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errReset says that a connection was reset, although a read reported its end.
var errReset = fmt.Errorf("%w, reported to a write before", syscall.ECONNRESET)

// endOfRead returns the error of a read from a connection. A socket reports its error once, to a read or to a write, and only its end
// after that: while a request is being written, a reset may look like the end of an answer without a length.
func endOfRead(conn net.Conn, err error) error {
	if errors.Is(err, io.EOF) && isHungUp(conn) {
		return errReset
	}
	return err
}

// isHungUp reports whether both directions of a connection are closed. The end of what the other side sends closes only one.
func isHungUp(conn net.Conn) bool {
	connected, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := connected.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		_, pollErr := unix.Poll(polled, 0)
		for errors.Is(pollErr, unix.EINTR) {
			_, pollErr = unix.Poll(polled, 0)
		}
		hungUp = pollErr == nil && polled[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp || err != nil
}
