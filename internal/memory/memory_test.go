package memory

import (
	"bytes"
	"errors"
	"io"
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
		p.Give(10 * smallHolderBytes)
		So(p.Usage().Used(), ShouldEqual, 0)
		So(p.Usage().Peak(), ShouldEqual, 10*smallHolderBytes)
	})

	Convey("The zero value has no limit", t, func() {
		var p Pool
		So(p.Take(1<<40, 0), ShouldBeTrue)
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
