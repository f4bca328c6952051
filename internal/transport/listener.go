package transport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// The pauses after a failed accept.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// temporaryAcceptErrors are errors of accept after which a later one may succeed.
var temporaryAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN,
}

// listener accepts again after temporary errors.
type listener struct {
	net.Listener
	onError   func(error)
	closed    chan struct{}
	closeOnce sync.Once
}

// Retry returns a listener that waits after a temporary error, such as too many open files, and accepts again. It calls onError with
// each such error. Accept fails only for good.
func Retry(l net.Listener, onError func(error)) net.Listener {
	return &listener{Listener: l, onError: onError, closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return c, err
		}
		l.onError(err)
		timer := time.NewTimer(pause)
		select {
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		case <-timer.C:
		}
	}
}

func isTemporary(err error) bool {
	for _, temporary := range temporaryAcceptErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// Close closes the listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
