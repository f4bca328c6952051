package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"math"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// The limits of what is decoded; a message beyond them is refused as malformed.
const (
	maxText  = 1 << 10
	maxBytes = 1 << 20
	maxItems = 1 << 12
	// maxLifetime bounds ages and lifetimes.
	maxLifetime = 30 * 24 * time.Hour
)

// Decode returns the message that data (msgpack) holds; it refuses what Encode would not write.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, trace.LimitExceeded("message of %d bytes, at most %d are taken", len(data), MaxMessageBytes)
	}
	source := bytes.NewReader(data)
	r := reader{decoder: msgpack.NewDecoder(source)}
	m := r.message()
	if r.err == nil && source.Len() > 0 {
		r.refuse("%d bytes after the end", source.Len())
	}
	if r.err != nil {
		return Message{}, trace.Wrap(r.err)
	}
	return m, nil
}

// reader decodes value by value and keeps the first error; after it all values are zero.
type reader struct {
	decoder *msgpack.Decoder
	err     error
}

func (r *reader) refuse(format string, arguments ...any) {
	if r.err == nil {
		r.err = trace.BadParameter(format, arguments...)
	}
}

func (r *reader) keep(err error) bool {
	if r.err == nil && err != nil {
		r.err = trace.BadParameter("malformed: %v", err)
	}
	return r.err == nil
}

func (r *reader) length(most int) int {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeArrayLen()
	if !r.keep(err) {
		return 0
	}
	if n < 0 || n > most {
		r.refuse("list of %d, at most %d are taken", n, most)
		return 0
	}
	return n
}

func (r *reader) shape(n int) {
	if got := r.length(maxItems); r.err == nil && got != n {
		r.refuse("record of %d fields, not %d", got, n)
	}
}

func (r *reader) number() uint64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeUint64()
	r.keep(err)
	return n
}

func (r *reader) upTo(most uint64) uint64 {
	n := r.number()
	if n > most {
		r.refuse("number %d, at most %d is taken", n, most)
		return 0
	}
	return n
}

func (r *reader) flag() bool {
	if r.err != nil {
		return false
	}
	b, err := r.decoder.DecodeBool()
	r.keep(err)
	return b
}

func (r *reader) text() string { return string(r.raw(maxText)) }

func (r *reader) raw(most int) []byte {
	if r.err != nil {
		return nil
	}
	n, err := r.decoder.DecodeBytesLen()
	if !r.keep(err) || n <= 0 {
		return nil
	}
	if n > most {
		r.refuse("%d bytes, at most %d are taken", n, most)
		return nil
	}
	data := make([]byte, n)
	r.keep(r.decoder.ReadFull(data))
	return data
}

func (r *reader) duration() time.Duration {
	return time.Duration(r.upTo(uint64(maxLifetime/time.Millisecond))) * time.Millisecond
}

func (r *reader) message() Message {
	var m Message
	r.shape(7)
	m.from = r.text()
	m.incarnation = r.number()
	m.number = r.number()
	m.sent = time.Duration(r.upTo(math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	m.digest = uint32(r.upTo(math.MaxUint32))
	m.settled = r.flag()
	r.sections(&m)
	return m
}

func (r *reader) sections(m *Message) {
	if r.err != nil {
		return
	}
	count, err := r.decoder.DecodeMapLen()
	if !r.keep(err) {
		return
	}
	next := uint64(0)
	for range count {
		key := r.number()
		if r.err == nil && key < next {
			r.refuse("section %d again or out of order", key)
		}
		if r.err != nil {
			return
		}
		next = key + 1
		r.section(key, m)
	}
}

func (r *reader) section(key uint64, m *Message) {
	switch key {
	case sectionCards:
		m.cards = r.cards()
	case sectionBeats:
		m.beats = r.beats()
	case sectionChanges:
		m.changes = r.changes()
	case sectionStatements:
		m.statements = r.statements()
	case sectionFacts:
		m.facts = r.facts()
	case sectionRevisions:
		m.revisions = r.revisions()
	case sectionDocuments:
		m.documents = r.documents()
	case sectionWants:
		m.wants = r.wants()
	case sectionLetters:
		m.letters = r.letters()
	default:
		r.refuse("unknown section %d", key)
	}
}

func (r *reader) cards() []card {
	var cards []card
	for range r.length(maxItems) {
		r.shape(11)
		c := card{name: r.text(), address: r.text(), caller: r.text(), centre: r.text()}
		c.incarnation, c.edition, c.leaving = r.number(), r.number(), r.flag()
		c.sequence, c.age, c.version, c.revision = r.number(), r.duration(), r.number(), r.number()
		cards = append(cards, c)
		if r.err != nil {
			return nil
		}
	}
	return cards
}

func (r *reader) beats() []beat {
	var beats []beat
	packed := r.raw(maxBytes)
	for len(packed) > 0 {
		b, size := unpackBeat(packed)
		if size == 0 || len(beats) >= maxItems {
			r.refuse("beats end early or are more than %d", maxItems)
			return nil
		}
		beats = append(beats, b)
		packed = packed[size:]
	}
	return beats
}

// unpackBeat returns the first beat of packed and its size in bytes, 0 if packed ends early.
func unpackBeat(packed []byte) (beat, int) {
	if len(packed) < beatBytes {
		return beat{}, 0
	}
	version := binary.BigEndian.Uint16(packed[6:])
	b := beat{
		of:       handle(binary.BigEndian.Uint32(packed)),
		sequence: packed[4],
		age:      time.Duration(packed[5]) * quantum,
		version:  version % codesFlag,
		revision: packed[8],
	}
	if version < codesFlag {
		return b, beatBytes
	}
	if len(packed) == beatBytes {
		return beat{}, 0
	}
	end := beatBytes + 1 + int(packed[beatBytes])
	if len(packed) < end || end == beatBytes+1 {
		return beat{}, 0
	}
	b.codes = packed[beatBytes+1 : end]
	return b, end
}

func (r *reader) entry() entry {
	r.shape(10)
	var e entry
	e.upstream, e.alive, e.boot = r.text(), r.flag(), instance.BootID(r.text())
	replica := instance.ReplicaID(r.text())
	e.assignment = instance.NewAssignment(replica, instance.FencingToken(r.number()))
	e.phase = instance.Phase(r.upTo(uint64(instance.PhaseStopping)))
	e.loaded = uint8(r.upTo(100))
	e.primary = r.flag()
	e.code = uint8(r.upTo(math.MaxUint8))
	e.age = r.duration()
	return e
}

func (r *reader) changes() []change {
	var changes []change
	for range r.length(maxItems) {
		r.shape(4)
		c := change{of: r.handle(), version: r.number(), removed: r.flag(), entry: r.entry()}
		changes = append(changes, c)
		if r.err != nil {
			return nil
		}
	}
	return changes
}

func (r *reader) handle() handle { return handle(r.upTo(math.MaxUint32)) }

func (r *reader) statements() []statement {
	var statements []statement
	for range r.length(maxItems) {
		r.shape(4)
		s := statement{of: r.handle(), version: r.number(), age: r.duration()}
		for range r.length(maxItems) {
			s.entries = append(s.entries, r.entry())
			if r.err != nil {
				return nil
			}
		}
		statements = append(statements, s)
		if r.err != nil {
			return nil
		}
	}
	return statements
}

func (r *reader) letters() []letter {
	var letters []letter
	for range r.length(maxItems) {
		r.shape(2)
		letters = append(letters, letter{topic: r.text(), data: r.raw(maxBytes)})
		if r.err != nil {
			return nil
		}
	}
	return letters
}

func (r *reader) facts() []fact {
	var facts []fact
	for range r.length(maxItems) {
		r.shape(6)
		f := fact{topic: r.text(), key: r.text(), origin: r.text(), sequence: r.number()}
		f.value, f.lifetime = r.raw(maxFactBytes), r.duration()
		facts = append(facts, f)
		if r.err != nil {
			return nil
		}
	}
	return facts
}

func (r *reader) revisions() []revision {
	var revisions []revision
	for range r.length(maxDocuments) {
		r.shape(2)
		revisions = append(revisions, revision{name: r.text(), number: r.number()})
	}
	return revisions
}

func (r *reader) documents() []Document {
	var documents []Document
	total := 0
	for range r.length(maxDocuments) {
		r.shape(3)
		d := Document{name: r.text(), revision: r.number()}
		d.data = r.inflate(r.raw(maxBytes))
		total += len(d.data)
		if total > object.MaxValueBytes {
			r.refuse("documents of more than %d bytes", object.MaxValueBytes)
		}
		if r.err != nil {
			return nil
		}
		documents = append(documents, d)
	}
	return documents
}

func (r *reader) inflate(packed []byte) []byte {
	if r.err != nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), object.MaxValueBytes+1))
	r.keep(err)
	if len(data) > object.MaxValueBytes {
		r.refuse("document of more than %d bytes", object.MaxValueBytes)
	}
	return data
}

func (r *reader) wants() wants {
	r.shape(5)
	w := wants{join: r.flag(), cards: r.handles(), beats: r.handles(), statements: r.handles()}
	for range r.length(maxDocuments) {
		w.documents = append(w.documents, r.text())
	}
	return w
}

func (r *reader) handles() []handle {
	packed := r.raw(4 * maxItems)
	if len(packed)%4 != 0 {
		r.refuse("%d bytes of handles", len(packed))
		return nil
	}
	var handles []handle
	for ; len(packed) > 0; packed = packed[4:] {
		handles = append(handles, handle(binary.BigEndian.Uint32(packed)))
	}
	return handles
}
