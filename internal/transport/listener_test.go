package transport

import (
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// failingListener fails with errors, one after the other, and then accepts.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

func (l *failingListener) Close() error { return nil }

func acceptError(cause error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", cause)}
}

func TestRetry(t *testing.T) {
	Convey("A listener accepts again after temporary errors, which it reports", t, func() {
		var reported []error
		l := Retry(&failingListener{errors: []error{acceptError(syscall.EMFILE), acceptError(syscall.ECONNABORTED)}},
			func(err error) { reported = append(reported, err) })
		c, err := l.Accept()
		So(err, ShouldBeNil)
		So(c, ShouldNotBeNil)
		So(len(reported), ShouldEqual, 2)
	})

	Convey("Other errors are returned", t, func() {
		for _, cause := range []error{syscall.EINVAL, syscall.EBADF} {
			l := Retry(&failingListener{errors: []error{acceptError(cause)}}, func(error) {})
			_, err := l.Accept()
			So(err, ShouldNotBeNil)
		}
	})

	Convey("Closing the listener ends the wait for the next accept", t, func() {
		var errs []error
		for range 100 {
			errs = append(errs, acceptError(syscall.EMFILE)) // until the longest pause
		}
		var l net.Listener
		count := 0
		l = Retry(&failingListener{errors: errs}, func(error) {
			if count++; count == 3 {
				So(l.Close(), ShouldBeNil)
			}
		})
		_, err := l.Accept()
		So(err, ShouldEqual, net.ErrClosed)
		So(count, ShouldEqual, 3)
	})
}
