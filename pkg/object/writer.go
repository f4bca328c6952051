package object

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Outcome is what a step of a Writer settled: nil for nothing yet, Current, Written, Overtaken or Unreadable.
type Outcome interface{ isOutcome() }

// ReadCompleted says that a read ended: the value is known.
type ReadCompleted struct{}

// Written says that the last write certainly took effect.
type Written struct{}

// Superseded says that another write came between: the value is what that one left.
type Superseded struct{}

// Unreadable says that the object exists but holds no value of a Writer; it is never overwritten.
type Unreadable struct{}

func (ReadCompleted) isOutcome() {}

func (Written) isOutcome() {}

func (Superseded) isOutcome() {}

func (Unreadable) isOutcome() {}

// Writer writes one object: each value is stamped with the writer's identity and a sequence number, and a write whose
// answer was lost is settled by reading back, and by sending the same write again, before the next one.
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

// pendingWrite is one write that is not settled; doubt says that an answer was lost.
type pendingWrite struct {
	sequence        uint64
	expectedVersion Version
	value           []byte
	uncertain       bool
	reread          bool
}

// NewWriter returns a writer of key for identity, which must be new at each start of a process; seed spreads retries.
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

// Synced reports whether the value is known and no write is open.
func (w *Writer) Synced() bool { return w.valueKnown && w.write == nil && !w.readRequested }

// Value returns the JSON value that was last read or written, nil if the object does not exist.
func (w *Writer) Value() []byte { return w.value }

// Version returns the version of Value.
func (w *Writer) Version() Version { return w.version }

// Failures returns how many requests failed since the last success.
func (w *Writer) Failures() int { return w.backoff.Failures() }

// Read asks for the value anew at the next tick, once any open write is settled.
func (w *Writer) Read() { w.readRequested = true }

// Reset drops what is known and under way and asks for the value anew, by a read that begins after this.
func (w *Writer) Reset() { w.write, w.pending, w.valueKnown, w.readRequested = nil, 0, false, true }

// Write asks to replace the known value by value (JSON) at the next tick; it panics unless Known.
func (w *Writer) Write(value []byte) {
	if !w.Synced() {
		panic("object: write of a value that is not known")
	}
	w.sequence++
	w.write = &pendingWrite{sequence: w.sequence, expectedVersion: w.version, value: value}
}

// Abandon forgets an open write: it may still take effect, so the value is unknown until it is read anew.
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

// Apply applies the result of one of the writer's requests; results of others change nothing.
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

// doubt makes the writer read back before it does anything else.
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

// settle applies what a read found; an open write is settled by the stamp, or sent again if the version is unchanged,
// since until the version moves on it may still take effect.
func (w *Writer) settle(version Version, value []byte, writer string, sequence uint64) Outcome {
	open := w.write
	if open != nil && version == open.expectedVersion {
		open.reread = false
		return nil
	}
	w.valueKnown, w.version, w.value = true, version, value
	w.write, w.readRequested = nil, false
	if open == nil {
		return ReadCompleted{}
	}
	if writer == w.identity && sequence == open.sequence {
		return Written{}
	}
	return Superseded{}
}

// stampWire is a value with the identity of its writer and the number of its write.
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
		return "", 0, nil, trace.BadParameter("object holds no stamped value")
	}
	return wire.Writer, wire.Sequence, wire.Value, nil
}
