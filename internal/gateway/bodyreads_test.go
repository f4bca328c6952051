package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// deadlineWriter records the deadline of reads.
type deadlineWriter struct {
	http.ResponseWriter
	deadline time.Time
}

// SetReadDeadline sets the deadline of reads.
func (w *deadlineWriter) SetReadDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// This guards against callers that hold the memory for a body and send little of it, or stop before its end.
func TestSlowBodiesAreHalted(t *testing.T) {
	// newRead returns a body of which bytes have arrived after a time, and whose present read waits since now.
	newRead := func(b *bodyReads, now time.Time, bytes int64, after time.Duration) (*bodyRead, *deadlineWriter) {
		w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
		read := b.begin(w, nil, time.Minute)
		read.bytes, read.readTime, read.readSince = bytes, after, now
		return read, w
	}
	now := time.Now()

	Convey("Only while others wait for memory", t, func() {
		var b bodyReads
		stopped, w := newRead(&b, now, 4<<20, time.Millisecond)
		b.haltSlow(now.Add(time.Hour), 0)
		So(stopped.isHalted(), ShouldBeFalse)
		b.haltSlow(now.Add(maxBodyPause-1), 1)
		So(stopped.isHalted(), ShouldBeFalse)
		b.haltSlow(now.Add(maxBodyPause), 1)
		So(stopped.isHalted(), ShouldBeTrue)
		So(w.deadline, ShouldHappenBefore, now)
		b.end(stopped)
		So(w.deadline.IsZero(), ShouldBeTrue) // it may have arrived in the same moment
	})

	Convey("A body that arrives at the least rate is read on, a slower one is not", t, func() {
		var b bodyReads
		sound, _ := newRead(&b, now, 10*minBodyRate, 9*time.Second)
		slow, _ := newRead(&b, now, 5*minBodyRate, 9*time.Second)
		young, _ := newRead(&b, now, 0, 0)
		b.haltSlow(now.Add(maxBodyPause/2), 1)
		So(sound.isHalted(), ShouldBeFalse)
		So(slow.isHalted(), ShouldBeTrue)
		So(young.isHalted(), ShouldBeFalse)
	})

	Convey("The time in which the daemon does not read does not count", t, func() {
		var b bodyReads
		waiting, w := newRead(&b, time.Time{}, 64<<10, time.Millisecond)
		b.haltSlow(now.Add(time.Hour), 1)
		So(waiting.isHalted(), ShouldBeFalse)
		So(w.deadline, ShouldHappenAfter, now)
		b.end(waiting)
		So(w.deadline.IsZero(), ShouldBeTrue)
		So(b.reads, ShouldBeEmpty)
	})

	Convey("What is read is counted", t, func() {
		var b bodyReads
		read := b.begin(&deadlineWriter{ResponseWriter: httptest.NewRecorder()}, io.LimitReader(&endless{text: "x"}, 100), time.Minute)
		data, err := io.ReadAll(read)
		So(err, ShouldBeNil)
		So(len(data), ShouldEqual, 100)
		So(read.bytes, ShouldEqual, 100)
		So(read.readSince.IsZero(), ShouldBeTrue)
	})
}
