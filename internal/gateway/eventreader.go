package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/azurepond/azurepond/internal/memory"
)

// The limits of the events of a stream.
const (
	maxEventBytes      = 1 << 20
	minEventBytes      = 512      // that are allocated
	smallEventBytes    = 16 << 10 // that a stream takes in any case
	maxEventsWithoutID = 1024     // in a row, if they have no data or earlier ones had ids
)

var (
	errTruncatedEvent = errors.New("stream ended within an event")
	errMalformedEvent = errors.New("event has a line that is no field")
	errEventTooLong   = errors.New("event exceeds the size limit")
	errEventMemory    = errors.New("event exceeds the memory that is left for events")
)

// eventReader reads the events of a stream, all into the same buffer. A buffer above smallEventBytes is taken from a pool.
type eventReader struct {
	reader *bufio.Reader
	pool   *memory.Pool
	buffer []byte
}

func newEventReader(r io.Reader, pool *memory.Pool) *eventReader {
	return &eventReader{reader: bufio.NewReader(r), pool: pool}
}

// next returns the next complete event, including its final empty line, and its id. The event is valid until the next call. next
// returns io.EOF only between events.
func (r *eventReader) next() (event []byte, id string, err error) {
	if cap(r.buffer) > smallEventBytes {
		r.free()
	}
	event = r.buffer[:0]
	start := 0 // of the last line
	for {
		part, readErr := r.reader.ReadSlice('\n')
		if event, err = r.extend(event, part); err != nil {
			return nil, "", err
		}
		isLong := errors.Is(readErr, bufio.ErrBufferFull)
		switch {
		case len(event) > maxEventBytes:
			return nil, "", errEventTooLong
		case isLong:
			continue
		case errors.Is(readErr, io.EOF) && len(event) > 0:
			return nil, "", errTruncatedEvent
		case readErr != nil:
			return nil, "", readErr
		}
		line := event[start:]
		start = len(event)
		if !isEventLine(line) {
			return nil, "", errMalformedEvent
		}
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
	}
}

// extend adds a part to the event, or returns errEventMemory.
func (r *eventReader) extend(event, part []byte) ([]byte, error) {
	if needed := len(event) + len(part); needed > cap(event) {
		grown, isGrown := r.grow(event, needed)
		if !isGrown {
			return nil, errEventMemory
		}
		event = grown
	}
	return append(event, part...), nil
}

// grow returns the event in a buffer with room for needed bytes, and reports whether there was memory for it.
func (r *eventReader) grow(event []byte, needed int) ([]byte, bool) {
	size := max(needed, 2*cap(event), minEventBytes)
	if size > smallEventBytes && r.pool != nil && !r.pool.Take(int64(size), 0) {
		return nil, false
	}
	grown := append(make([]byte, 0, size), event...)
	r.free()
	r.buffer = grown
	return grown, true
}

// free gives the buffer back.
func (r *eventReader) free() {
	if size := cap(r.buffer); size > smallEventBytes && r.pool != nil {
		r.pool.Give(int64(size), 0)
	}
	r.buffer = nil
}
