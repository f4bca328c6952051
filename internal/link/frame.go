package link

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
)

// frameHeaderBytes is the length of the frame header, which holds the length of the payload.
const frameHeaderBytes = 4

// maxSmallFrameBytes is the size above which a frame counts as large. At most maxLargeReads of these are read at once.
const maxSmallFrameBytes = 1 << 16

// maxHelloBytes limits the first frame, as the peer is not identified yet.
const maxHelloBytes = 1 << 10

// writeFrame writes the payload with its frame header.
func writeFrame(w io.Writer, payload []byte) error {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	_, err := w.Write(append(frame, payload...))
	return trace.Wrap(err)
}

// readSize reads a frame header. It returns a trace.LimitExceeded error if the payload is longer than limit bytes.
func readSize(r io.Reader, limit int) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, trace.Wrap(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > uint32(limit) {
		return 0, trace.LimitExceeded("a frame of %d bytes exceeds the limit of %d", size, limit)
	}
	return int(size), nil
}

// readPayload reads size bytes. It allocates memory as the bytes arrive, not in advance.
func readPayload(r io.Reader, size int) ([]byte, error) {
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, r, int64(size)); err != nil {
		return nil, trace.Wrap(err)
	}
	return payload.Bytes(), nil
}

// readFrame reads a frame with a payload of at most limit bytes.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	size, err := readSize(r, limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return readPayload(r, size)
}
