package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxMessageBytes is the largest encoded message, in bytes: one document of the largest size and what goes with it.
const MaxMessageBytes = 1<<20 + 1<<17

// quantum is the unit of ages of beats on the wire; ages are rounded up to it, so none becomes younger.
const quantum = 100 * time.Millisecond

// maxBeatAge is the oldest beat that is passed on.
const maxBeatAge = 255 * quantum

// beatBytes is the size of one packed beat without load codes: handle, sequence, age, version, revision.
const beatBytes = 4 + 1 + 1 + 2 + 1

// codesFlag is set in the packed version of a beat that is followed by the number of its load codes and the codes;
// the bits below it hold the version.
const codesFlag = 1 << versionBits

// versionBits is the number of bits of a statement's version that travel with a beat.
const versionBits = 15

// maxCodes is the largest number of load codes of one beat.
const maxCodes = 255

// The keys of the sections of an encoded message; an empty section is left out.
const (
	sectionCards = iota
	sectionBeats
	sectionChanges
	sectionStatements
	sectionFacts
	sectionRevisions
	sectionDocuments
	sectionWants
	sectionLetters
)

// Encode returns the msgpack form of a message; it fails if the message is larger than MaxMessage.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	w := writer{encoder: msgpack.NewEncoder(&buffer)}
	w.encoder.UseCompactInts(true)
	w.message(m)
	if w.err != nil {
		return nil, trace.Wrap(w.err)
	}
	if buffer.Len() > MaxMessageBytes {
		return nil, trace.LimitExceeded("message of %d bytes, at most %d are sent", buffer.Len(), MaxMessageBytes)
	}
	return buffer.Bytes(), nil
}

// writer encodes value by value and keeps the first error.
type writer struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *writer) keep(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) list(n int)          { w.keep(w.encoder.EncodeArrayLen(n)) }
func (w *writer) number(n uint64)     { w.keep(w.encoder.EncodeUint(n)) }
func (w *writer) text(s string)       { w.keep(w.encoder.EncodeString(s)) }
func (w *writer) bytes(b []byte)      { w.keep(w.encoder.EncodeBytes(b)) }
func (w *writer) flag(b bool)         { w.keep(w.encoder.EncodeBool(b)) }
func (w *writer) age(d time.Duration) { w.number(uint64(ceil(d, time.Millisecond))) }

// lifetime writes a duration rounded down, so that nothing lives longer than it was given.
func (w *writer) lifetime(d time.Duration) { w.number(uint64(max(0, d/time.Millisecond))) }

// ceil returns an age in whole units, rounded up; an age beyond maxLifetime stays there.
func ceil(age, unit time.Duration) int64 {
	return int64((min(max(0, age), maxLifetime-unit) + unit - 1) / unit)
}

func (w *writer) message(m Message) {
	w.list(7)
	w.text(m.from)
	w.number(m.incarnation)
	w.number(m.number)
	w.lifetime(m.sent)
	w.number(uint64(m.digest))
	w.flag(m.settled)
	w.sections(m)
}

func (w *writer) sections(m Message) {
	type section struct {
		key   uint64
		size  int
		write func()
	}
	all := []section{
		{sectionCards, len(m.cards), func() { w.cards(m.cards) }},
		{sectionBeats, len(m.beats), func() { w.bytes(packBeats(m.beats)) }},
		{sectionChanges, len(m.changes), func() { w.changes(m.changes) }},
		{sectionStatements, len(m.statements), func() { w.statements(m.statements) }},
		{sectionFacts, len(m.facts), func() { w.facts(m.facts) }},
		{sectionRevisions, len(m.revisions), func() { w.revisions(m.revisions) }},
		{sectionDocuments, len(m.documents), func() { w.documents(m.documents) }},
	}
	if !m.wants.isEmpty() {
		all = append(all, section{sectionWants, 1, func() { w.wants(m.wants) }})
	}
	all = append(all, section{sectionLetters, len(m.letters), func() { w.letters(m.letters) }})
	count := 0
	for _, s := range all {
		if s.size > 0 {
			count++
		}
	}
	w.keep(w.encoder.EncodeMapLen(count))
	for _, s := range all {
		if s.size > 0 {
			w.number(s.key)
			s.write()
		}
	}
}

func (w *writer) letters(letters []letter) {
	w.list(len(letters))
	for _, l := range letters {
		w.list(2)
		w.text(l.topic)
		w.bytes(l.data)
	}
}

func (w *writer) cards(cards []card) {
	w.list(len(cards))
	for _, c := range cards {
		w.list(11)
		w.text(c.name)
		w.text(c.address)
		w.text(c.caller)
		w.text(c.centre)
		w.number(c.incarnation)
		w.number(c.edition)
		w.flag(c.leaving)
		w.number(c.sequence)
		w.age(c.age)
		w.number(c.version)
		w.number(c.revision)
	}
}

func packBeats(beats []beat) []byte {
	packed := make([]byte, 0, len(beats)*beatBytes)
	for _, b := range beats {
		version := b.version % codesFlag
		if len(b.codes) > 0 {
			version |= codesFlag
		}
		packed = binary.BigEndian.AppendUint32(packed, uint32(b.of))
		packed = append(packed, b.sequence, packAge(b.age))
		packed = binary.BigEndian.AppendUint16(packed, version)
		packed = append(packed, b.revision)
		if len(b.codes) > 0 {
			packed = append(packed, uint8(len(b.codes)))
			packed = append(packed, b.codes...)
		}
	}
	return packed
}

func packAge(age time.Duration) uint8 {
	return uint8(min(ceil(age, quantum), int64(maxBeatAge/quantum)))
}

func (w *writer) entry(e entry) {
	w.list(10)
	w.text(e.upstream)
	w.flag(e.alive)
	w.text(string(e.boot))
	w.text(string(e.assignment.Replica()))
	w.number(uint64(e.assignment.FencingToken()))
	w.number(uint64(e.phase))
	w.number(uint64(e.loaded))
	w.flag(e.primary)
	w.number(uint64(e.code))
	w.age(e.age)
}

func (w *writer) changes(changes []change) {
	w.list(len(changes))
	for _, c := range changes {
		w.list(4)
		w.number(uint64(c.of))
		w.number(c.version)
		w.flag(c.removed)
		w.entry(c.entry)
	}
}

func (w *writer) statements(statements []statement) {
	w.list(len(statements))
	for _, s := range statements {
		w.list(4)
		w.number(uint64(s.of))
		w.number(s.version)
		w.age(s.age)
		w.list(len(s.entries))
		for _, e := range s.entries {
			w.entry(e)
		}
	}
}

func (w *writer) facts(facts []fact) {
	w.list(len(facts))
	for _, f := range facts {
		w.list(6)
		w.text(f.topic)
		w.text(f.key)
		w.text(f.origin)
		w.number(f.sequence)
		w.bytes(f.value)
		w.lifetime(f.lifetime)
	}
}

func (w *writer) revisions(revisions []revision) {
	w.list(len(revisions))
	for _, r := range revisions {
		w.list(2)
		w.text(r.name)
		w.number(r.number)
	}
}

func (w *writer) documents(documents []Document) {
	w.list(len(documents))
	for _, d := range documents {
		w.list(3)
		w.text(d.name)
		w.number(d.revision)
		w.bytes(w.deflate(d.data))
	}
}

func (w *writer) deflate(data []byte) []byte {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		w.keep(err)
		return nil
	}
	_, err = compressor.Write(data)
	w.keep(err)
	w.keep(compressor.Close())
	return buffer.Bytes()
}

func (w *writer) wants(want wants) {
	w.list(5)
	w.flag(want.join)
	w.handles(want.cards)
	w.handles(want.beats)
	w.handles(want.statements)
	w.list(len(want.documents))
	for _, name := range want.documents {
		w.text(name)
	}
}

func (w *writer) handles(handles []handle) {
	packed := make([]byte, 0, 4*len(handles))
	for _, h := range handles {
		packed = binary.BigEndian.AppendUint32(packed, uint32(h))
	}
	w.bytes(packed)
}
