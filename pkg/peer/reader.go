package peer

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// reader decodes values one by one and keeps the first error. After an error all values are zero.
type reader struct {
	decoder *msgpack.Decoder
	err     error
}

func (r *reader) fail(format string, arguments ...any) {
	if r.err == nil {
		r.err = trace.BadParameter(format, arguments...)
	}
}

func (r *reader) checkError(err error) bool {
	if r.err == nil && err != nil {
		r.err = trace.BadParameter("invalid msgpack: %v", err)
	}
	return r.err == nil
}

func (r *reader) length(maxLength int) int {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeArrayLen()
	if !r.checkError(err) {
		return 0
	}
	if n < 0 || n > maxLength {
		r.fail("list too long: %d elements, limit is %d", n, maxLength)
		return 0
	}
	return n
}

// record reads a record of at least n fields with read. It skips further fields, which a newer build may send.
func (r *reader) record(n int, read func()) {
	got := r.length(maxItems)
	if r.err == nil && got < n {
		r.fail("record has %d fields, expected %d", got, n)
	}
	if r.err != nil {
		return
	}
	read()
	r.skip(got - n)
}

// skip skips n values.
func (r *reader) skip(n int) {
	if r.err == nil {
		r.checkError(SkipValues(r.decoder, n))
	}
}

func (r *reader) number() uint64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeUint64()
	r.checkError(err)
	return n
}

func (r *reader) numberUpTo(maxValue uint64) uint64 {
	n := r.number()
	if n > maxValue {
		r.fail("number too large: %d, limit is %d", n, maxValue)
		return 0
	}
	return n
}

func (r *reader) flag() bool {
	if r.err != nil {
		return false
	}
	b, err := r.decoder.DecodeBool()
	r.checkError(err)
	return b
}

func (r *reader) text() string { return string(r.blob(maxTextBytes)) }

func (r *reader) blob(maxLength int) []byte {
	if r.err != nil {
		return nil
	}
	n, err := r.decoder.DecodeBytesLen()
	if !r.checkError(err) || n <= 0 {
		return nil
	}
	if n > maxLength {
		r.fail("value too large: %d bytes, limit is %d", n, maxLength)
		return nil
	}
	data := make([]byte, n)
	r.checkError(r.decoder.ReadFull(data))
	return data
}

func (r *reader) duration() time.Duration {
	return time.Duration(r.numberUpTo(uint64(maxDuration/time.Millisecond))) * time.Millisecond
}
