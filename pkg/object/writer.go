package object

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Outcome is the end of a read or write of a Writer: ReadCompleted, Written, Superseded or Unreadable; nil if it has not
// ended.
type Outcome interface{ isOutcome() }

// ReadCompleted reports that a read ended and the value is known.
type ReadCompleted struct{}

// Written reports that the last write certainly took effect.
type Written struct{}

// Superseded reports that another write came first: the value is the one that it stored.
type Superseded struct{}

// Unreadable reports that the object exists but contains no value of a Writer; it is never overwritten.
type Unreadable struct{}

func (ReadCompleted) isOutcome() {}

func (Written) isOutcome() {}

func (Superseded) isOutcome() {}

func (Unreadable) isOutcome() {}

// Writer writes one object. Each value is stamped with the writer's identity and a sequence number. If the response to a
// write is lost, the writer reads the object back, and sends the same write again if needed, before the next write.
type Writer struct {
	key      Key
	identity string
	backoff  Backoff

	valueKnown bool
	version    Version
	value      []byte
	sequence   uint64

	readRequested bool
	write         *pendingWrite
	pending       Ref
	nextRequestAt time.Time
}

// pendingWrite is a write whose result is not known yet; uncertain reports that a response was lost, and reread that the
// object must be read before the next write.
type pendingWrite struct {
	sequence        uint64
	expectedVersion Version
	value           []byte
	uncertain       bool
	reread          bool
}

// NewWriter returns a writer of key for identity, which must be unique to each start of a process; seed randomises the
// retries.
func NewWriter(key Key, identity string, seed uint64) Writer {
	return Writer{key: key, identity: identity, backoff: NewBackoff(0, 0, seed)}
}

// WithBackoff returns the writer with another backoff.
func (w Writer) WithBackoff(backoff Backoff) Writer {
	w.backoff = backoff
	return w
}

// Key returns the object that is written.
func (w *Writer) Key() Key { return w.key }

// Synced reports whether the value is known and no read or write is pending.
func (w *Writer) Synced() bool { return w.valueKnown && w.write == nil && !w.readRequested }

// Value returns the JSON value that was last read or written, nil if the object does not exist.
func (w *Writer) Value() []byte { return w.value }

// Version returns the version of Value.
func (w *Writer) Version() Version { return w.version }

// Failures returns how many requests failed since the last success.
func (w *Writer) Failures() int { return w.backoff.Failures() }

// Read requests a read of the value at the next tick, after any pending write.
func (w *Writer) Read() { w.readRequested = true }

// Reset discards the value and any pending request, and requests a read that begins after this call.
func (w *Writer) Reset() { w.write, w.pending, w.valueKnown, w.readRequested = nil, 0, false, true }

// Write requests to replace the known value by value (JSON) at the next tick; it panics unless Synced.
func (w *Writer) Write(value []byte) {
	if !w.Synced() {
		panic("object: Write called while the current value is not known")
	}
	w.sequence++
	w.write = &pendingWrite{sequence: w.sequence, expectedVersion: w.version, value: value}
}

// Abandon discards a pending write: it may still take effect, so the value is unknown until the next read.
func (w *Writer) Abandon() {
	if w.write == nil {
		return
	}
	w.write, w.pending, w.valueKnown = nil, 0, false
}

// Tick returns the requests that are due at now.
func (w *Writer) Tick(now time.Time, refs *Refs) []Request {
	if w.pending != 0 || now.Before(w.nextRequestAt) {
		return nil
	}
	if w.write != nil && !w.write.reread {
		w.pending = refs.Next()
		data := encodeStamped(w.identity, w.write.sequence, w.write.value)
		return []Request{NewPut(w.pending, w.key, w.write.expectedVersion, data)}
	}
	if w.write != nil || w.readRequested {
		w.pending = refs.Next()
		return []Request{NewGet(w.pending, w.key)}
	}
	return nil
}

// Apply applies the result of one of the writer's requests; other results are ignored.
func (w *Writer) Apply(now time.Time, result Result) Outcome {
	if w.pending == 0 || result.Ref() != w.pending {
		return nil
	}
	w.pending = 0
	switch r := result.(type) {
	case Found:
		return w.applyFound(r)
	case Absent:
		w.backoff.Reset()
		return w.settle("", nil, "", 0)
	case Stored:
		return w.applyStored(r.Version())
	case Conflict:
		w.write.reread = true
		return nil
	case Lost:
		w.markUncertain()
	}
	w.nextRequestAt = now.Add(w.backoff.Next())
	return nil
}

// markUncertain makes the writer read the object back first.
func (w *Writer) markUncertain() {
	if w.write == nil {
		return
	}
	w.write.uncertain = true
	w.write.reread = true
}

func (w *Writer) applyStored(version Version) Outcome {
	w.backoff.Reset()
	w.valueKnown, w.version, w.value = true, version, w.write.value
	w.write = nil
	return Written{}
}

func (w *Writer) applyFound(f Found) Outcome {
	w.backoff.Reset()
	writer, sequence, value, err := decodeStamped(f.Data())
	if err != nil {
		w.write, w.readRequested, w.valueKnown = nil, false, false
		return Unreadable{}
	}
	return w.settle(f.Version(), value, writer, sequence)
}

// settle applies what a read found. The stamp decides whether a pending write took effect. While the version is unchanged,
// the write may still take effect, so the same write is sent again.
func (w *Writer) settle(version Version, value []byte, writer string, sequence uint64) Outcome {
	pending := w.write
	if pending != nil && version == pending.expectedVersion {
		pending.reread = false
		return nil
	}
	w.valueKnown, w.version, w.value = true, version, value
	w.write, w.readRequested = nil, false
	if pending == nil {
		return ReadCompleted{}
	}
	if writer == w.identity && sequence == pending.sequence {
		return Written{}
	}
	return Superseded{}
}

// stampedWire is the JSON form of a value with the identity of its writer and the sequence number of the write.
type stampedWire struct {
	Writer   string          `json:"writer"`
	Sequence uint64          `json:"sequence"`
	Value    json.RawMessage `json:"value"`
}

func encodeStamped(writer string, sequence uint64, value []byte) []byte {
	data, err := json.Marshal(stampedWire{Writer: writer, Sequence: sequence, Value: value})
	if err != nil {
		panic(trace.Wrap(err))
	}
	return data
}

func decodeStamped(data []byte) (writer string, sequence uint64, value []byte, err error) {
	var wire stampedWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return "", 0, nil, trace.Wrap(err)
	}
	if wire.Writer == "" || len(wire.Value) == 0 {
		return "", 0, nil, trace.BadParameter("object contains no stamped value")
	}
	return wire.Writer, wire.Sequence, wire.Value, nil
}
