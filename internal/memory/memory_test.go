package memory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPool(t *testing.T) {
	Convey("Holders take memory up to the limit, and large ones leave half of it to others", t, func() {
		var p Pool
		p.SetLimit(10 * smallHolderBytes)
		So(p.Take(5*smallHolderBytes, 0), ShouldBeTrue)
		So(p.Take(1, 5*smallHolderBytes), ShouldBeFalse)
		for range 5 {
			So(p.Take(smallHolderBytes, 0), ShouldBeTrue)
		}
		So(p.Take(1, 0), ShouldBeFalse)
		So(p.Usage().Refused(), ShouldEqual, 2)
		p.Give(5*smallHolderBytes, 0)
		So(p.Take(5*smallHolderBytes, 0), ShouldBeTrue) // the half of large holders is free again
		p.Give(5*smallHolderBytes, 0)
		for range 5 {
			p.Give(smallHolderBytes, 0)
		}
		So(p.Usage().Used(), ShouldEqual, 0)
		So(p.Usage().Peak(), ShouldEqual, 10*smallHolderBytes)
	})

	Convey("The zero value has no limit", t, func() {
		var p Pool
		So(p.Take(1<<40, 0), ShouldBeTrue)
	})
}

func TestWait(t *testing.T) {
	const large = 3 * smallHolderBytes
	newPool := func() *Pool {
		var p Pool
		p.SetLimit(2 * large)
		return &p
	}
	// begin waits in another goroutine, and returns when it waits.
	begin := func(ctx context.Context, p *Pool, bytes int64) chan bool {
		before, result := p.Usage().Waiting(), make(chan bool, 1)
		go func() { result <- p.Wait(ctx, bytes) }()
		for p.Usage().Waiting() == before {
			runtime.Gosched()
		}
		return result
	}

	Convey("Large holders get memory in the order of their arrival, and small ones do not wait for them", t, func() {
		p := newPool()
		So(p.Wait(context.Background(), large), ShouldBeTrue)
		first := begin(context.Background(), p, large)
		second := begin(context.Background(), p, large-1)
		So(p.Wait(context.Background(), smallHolderBytes), ShouldBeTrue)
		p.Give(large, 0)
		So(<-first, ShouldBeTrue)
		So(p.Usage().Waiting(), ShouldEqual, 1)
		p.Give(large, 0)
		So(<-second, ShouldBeTrue)
		p.Give(large-1, 0)
		p.Give(smallHolderBytes, 0)
		So(p.Usage().Used(), ShouldEqual, 0)
	})

	Convey("One that gives up lets those behind it have the memory", t, func() {
		p := newPool()
		So(p.Wait(context.Background(), large-smallHolderBytes-1), ShouldBeTrue)
		ctx, cancel := context.WithCancel(context.Background())
		first := begin(ctx, p, large)
		second := begin(context.Background(), p, smallHolderBytes+1)
		cancel()
		So(<-first, ShouldBeFalse)
		So(<-second, ShouldBeTrue)
		So(p.Usage().Refused(), ShouldEqual, 1)
	})

	Convey("One that needs more than there is gets it alone", t, func() {
		p := newPool()
		So(p.Wait(context.Background(), 10*large), ShouldBeTrue)
		next := begin(context.Background(), p, smallHolderBytes+1)
		p.Give(10*large, 0)
		So(<-next, ShouldBeTrue)
	})
}

func TestBuffer(t *testing.T) {
	Convey("Bodies of all lengths are held and written whole, and their memory is given back", t, func() {
		var p Pool
		p.SetLimit(1 << 20)
		for _, size := range []int{0, 1, firstPartBytes - 1, firstPartBytes, firstPartBytes + 1, firstPartBytes + partBytes, 200_000} {
			text := strings.Repeat("x", size)
			for _, read := range []io.Reader{strings.NewReader(text), iotest.HalfReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				b := NewBuffer(&p)
				isWhole, err := b.ReadAll(read, size)
				So(err, ShouldBeNil)
				So(isWhole, ShouldBeTrue)
				So(b.Len(), ShouldEqual, size)
				So(p.Usage().Used(), ShouldBeGreaterThanOrEqualTo, size-firstPartBytes)
				So(p.Usage().Used(), ShouldBeLessThan, size+partBytes)
				var written bytes.Buffer
				n, err := b.WriteTo(&written)
				So(err, ShouldBeNil)
				So(n, ShouldEqual, size)
				So(written.String() == text, ShouldBeTrue)
				So(p.Usage().Used(), ShouldEqual, 0)
			}
		}
	})

	Convey("A body above its limit, or above what is left, is not whole, and what was read of it comes first", t, func() {
		var p Pool
		p.SetLimit(100_000)
		for _, limit := range []int{10_000, 1 << 20} {
			b := NewBuffer(&p)
			body := strings.NewReader(strings.Repeat("x", 300_000))
			isWhole, err := b.ReadAll(body, limit)
			So(err, ShouldBeNil)
			So(isWhole, ShouldBeFalse)
			So(b.Len()+body.Len(), ShouldEqual, 300_000)
			b.Free()
			So(p.Usage().Used(), ShouldEqual, 0)
		}
	})

	Convey("The error of the body, and that of the writer, are returned, and nothing is kept", t, func() {
		var p Pool
		errBroken := errors.New("broken")
		b := NewBuffer(&p)
		isWhole, err := b.ReadAll(io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), iotest.ErrReader(errBroken)), 1<<20)
		So(err, ShouldEqual, errBroken)
		So(isWhole, ShouldBeFalse)
		reader, writer := io.Pipe()
		So(reader.CloseWithError(errBroken), ShouldBeNil)
		_, err = b.WriteTo(writer)
		So(err, ShouldEqual, errBroken)
		b.Free()
		So(p.Usage().Used(), ShouldEqual, 0)
	})
}

func TestReadBody(t *testing.T) {
	ctx := context.Background()
	const limit = 200_000

	Convey("Bodies of known and unknown length are read whole, and their memory is given back", t, func() {
		var p Pool
		p.SetLimit(1 << 20)
		for _, size := range []int{0, 1, FreeBodyBytes, FreeBodyBytes + 1, smallHolderBytes, smallHolderBytes + 1, limit - 1, limit} {
			text := strings.Repeat("x", size)
			for _, length := range []int64{int64(size), -1} {
				for _, r := range []io.Reader{strings.NewReader(text), iotest.HalfReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
					b, err := ReadBody(ctx, &p, r, length, limit)
					So(err, ShouldBeNil)
					So(string(b.Bytes()) == text, ShouldBeTrue)
					if size > FreeBodyBytes {
						So(p.Usage().Used(), ShouldBeGreaterThanOrEqualTo, size-FreeBodyBytes-2) // a byte more is read of each size
					}
					b.Free()
					So(p.Usage().Used(), ShouldEqual, 0)
				}
			}
		}
	})

	Convey("A body that breaks off, or is longer than its length or limit, is an error", t, func() {
		var p Pool
		broken := iotest.ErrReader(io.ErrUnexpectedEOF) // as of a body in chunks that is cut
		for _, size := range []int{0, 1, FreeBodyBytes, smallHolderBytes, limit} {
			text := strings.Repeat("x", size)
			_, err := ReadBody(ctx, &p, strings.NewReader(text), int64(size)+1, limit)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
			_, err = ReadBody(ctx, &p, io.MultiReader(strings.NewReader(text), broken), -1, limit)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
			_, err = ReadBody(ctx, &p, strings.NewReader(text+"x"), int64(size), limit)
			So(err, ShouldEqual, errTooLong)
		}
		_, err := ReadBody(ctx, &p, strings.NewReader(strings.Repeat("x", limit+1)), -1, limit)
		So(err, ShouldEqual, errTooLong)
		So(p.Usage().Used(), ShouldEqual, 0)
	})

	Convey("Without memory, nothing of a long body is read, and a short one is read all the same", t, func() {
		var p Pool
		p.SetLimit(limit)
		So(p.Wait(ctx, limit), ShouldBeTrue)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		long := strings.NewReader(strings.Repeat("x", limit))
		_, err := ReadBody(ended, &p, long, limit, limit)
		So(err, ShouldEqual, ErrNoMemory)
		So(long.Len(), ShouldEqual, limit)
		_, err = ReadBody(ended, &p, strings.NewReader("short"), -1, limit)
		So(err, ShouldBeNil)
		So(p.Usage().Used(), ShouldEqual, limit)
	})
}

// endlessLetters is a body that never ends.
type endlessLetters struct{ read int64 }

func (l *endlessLetters) Read(p []byte) (int, error) {
	l.read += int64(len(p))
	if l.read > 2*maxUnreadBytes {
		return 0, errors.New("connection reset")
	}
	return len(p), nil
}

// This guards against memory that a body only announces: a limit may be as high as an integer.
func TestBodyOfHugeLength(t *testing.T) {
	for _, length := range []int64{-1, math.MaxInt64, 1 << 40} {
		Convey(fmt.Sprintf("A body that announces a length of %d takes no more memory than twice what has arrived", length), t, func() {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := ReadBody(context.Background(), &Pool{}, &endlessLetters{}, length, math.MaxInt64)
			runtime.ReadMemStats(&after)
			So(err, ShouldNotBeNil)
			So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, 8*maxUnreadBytes)
		})
	}
}
