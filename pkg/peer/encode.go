package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxMessageBytes is the size of the largest encoded message: one document of the largest size and the other sections.
const MaxMessageBytes = 1<<20 + 1<<17

// ageUnit is the unit of the ages of heartbeats on the wire. Ages are rounded up, so that encoding never makes evidence
// younger.
const ageUnit = 100 * time.Millisecond

// maxHeartbeatAge is the age above which a heartbeat is not forwarded, because its age is sent in 8 bits.
const maxHeartbeatAge = 255 * ageUnit

// packedHeartbeatBytes is the size of one packed heartbeat without load codes: handle, sequence, age, report version and
// configuration revision.
const packedHeartbeatBytes = 4 + 1 + 1 + 2 + 1

// loadCodesFlag is set in the packed version of a heartbeat that is followed by the number of its load codes and the
// codes. The bits below it contain the version.
const loadCodesFlag = 1 << versionBits

// versionBits is the number of bits of a report's version that are sent with a heartbeat.
const versionBits = 15

// maxLoadCodes is the largest number of load codes in one heartbeat. The number is encoded in one byte.
const maxLoadCodes = 255

// The keys of the sections of an encoded message; an empty section is left out.
const (
	sectionMembers = iota
	sectionHeartbeats
	sectionReportChanges
	sectionReports
	sectionFacts
	sectionRevisions
	sectionDocuments
	sectionRequest
	sectionDirectMessages
)

// Encode returns the msgpack encoding of a message. It fails if the encoding is larger than MaxMessageBytes.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	w := writer{encoder: msgpack.NewEncoder(&buffer)}
	w.encoder.UseCompactInts(true)
	w.message(m)
	if w.err != nil {
		return nil, trace.Wrap(w.err)
	}
	if buffer.Len() > MaxMessageBytes {
		return nil, trace.LimitExceeded("message too large: %d bytes, limit is %d", buffer.Len(), MaxMessageBytes)
	}
	return buffer.Bytes(), nil
}

// writer encodes values one by one and keeps the first error.
type writer struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *writer) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) list(n int)          { w.setError(w.encoder.EncodeArrayLen(n)) }
func (w *writer) number(n uint64)     { w.setError(w.encoder.EncodeUint(n)) }
func (w *writer) text(s string)       { w.setError(w.encoder.EncodeString(s)) }
func (w *writer) bytes(b []byte)      { w.setError(w.encoder.EncodeBytes(b)) }
func (w *writer) flag(b bool)         { w.setError(w.encoder.EncodeBool(b)) }
func (w *writer) age(d time.Duration) { w.number(uint64(ceilUnits(d, time.Millisecond))) }

// floorDuration writes a duration rounded down, so that no fact outlives its expiry.
func (w *writer) floorDuration(d time.Duration) { w.number(uint64(max(0, d/time.Millisecond))) }

// ceilUnits returns an age in whole units, rounded up and limited to maxDuration.
func ceilUnits(age, unit time.Duration) int64 {
	return int64((min(max(0, age), maxDuration-unit) + unit - 1) / unit)
}

func (w *writer) message(m Message) {
	w.list(7)
	w.text(m.from)
	w.number(m.incarnation)
	w.number(m.number)
	w.floorDuration(m.senderUptime)
	w.number(uint64(m.digest))
	w.flag(m.synced)
	w.sections(m)
}

func (w *writer) sections(m Message) {
	type section struct {
		key   uint64
		size  int
		write func()
	}
	all := []section{
		{sectionMembers, len(m.members), func() { w.members(m.members) }},
		{sectionHeartbeats, len(m.heartbeats), func() { w.bytes(packHeartbeats(m.heartbeats)) }},
		{sectionReportChanges, len(m.reportChanges), func() { w.reportChanges(m.reportChanges) }},
		{sectionReports, len(m.reports), func() { w.reports(m.reports) }},
		{sectionFacts, len(m.facts), func() { w.facts(m.facts) }},
		{sectionRevisions, len(m.revisions), func() { w.revisions(m.revisions) }},
		{sectionDocuments, len(m.documents), func() { w.documents(m.documents) }},
	}
	if !m.request.isEmpty() {
		all = append(all, section{sectionRequest, 1, func() { w.request(m.request) }})
	}
	all = append(all, section{sectionDirectMessages, len(m.directMessages), func() { w.directMessages(m.directMessages) }})
	count := 0
	for _, s := range all {
		if s.size > 0 {
			count++
		}
	}
	w.setError(w.encoder.EncodeMapLen(count))
	for _, s := range all {
		if s.size > 0 {
			w.number(s.key)
			s.write()
		}
	}
}

func (w *writer) directMessages(messages []directMessage) {
	w.list(len(messages))
	for _, m := range messages {
		w.list(2)
		w.text(m.topic)
		w.bytes(m.data)
	}
}

func (w *writer) members(members []memberInfo) {
	w.list(len(members))
	for _, info := range members {
		w.list(11)
		w.text(info.name)
		w.text(info.address)
		w.text(info.callerAddress)
		w.text(info.centre)
		w.number(info.incarnation)
		w.number(info.infoVersion)
		w.flag(info.leaving)
		w.number(info.sequence)
		w.age(info.age)
		w.number(info.reportVersion)
		w.number(info.revision)
	}
}

func packHeartbeats(heartbeats []heartbeat) []byte {
	packed := make([]byte, 0, len(heartbeats)*packedHeartbeatBytes)
	for _, h := range heartbeats {
		version := h.reportVersion % loadCodesFlag
		if len(h.loadCodes) > 0 {
			version |= loadCodesFlag
		}
		packed = binary.BigEndian.AppendUint32(packed, uint32(h.member))
		packed = append(packed, h.sequence, packAge(h.age))
		packed = binary.BigEndian.AppendUint16(packed, version)
		packed = append(packed, h.revision)
		if len(h.loadCodes) > 0 {
			packed = append(packed, uint8(len(h.loadCodes)))
			packed = append(packed, h.loadCodes...)
		}
	}
	return packed
}

func packAge(age time.Duration) uint8 {
	return uint8(min(ceilUnits(age, ageUnit), int64(maxHeartbeatAge/ageUnit)))
}

func (w *writer) reportEntry(e reportEntry) {
	w.list(10)
	w.text(e.upstream)
	w.flag(e.alive)
	w.text(string(e.boot))
	w.text(string(e.assignment.Replica()))
	w.number(uint64(e.assignment.FencingToken()))
	w.number(uint64(e.phase))
	w.number(uint64(e.loadedPercent))
	w.flag(e.primary)
	w.number(uint64(e.loadCode))
	w.age(e.age)
}

func (w *writer) reportChanges(changes []reportChange) {
	w.list(len(changes))
	for _, c := range changes {
		w.list(4)
		w.number(uint64(c.watcher))
		w.number(c.version)
		w.flag(c.removed)
		w.reportEntry(c.entry)
	}
}

func (w *writer) reports(reports []report) {
	w.list(len(reports))
	for _, r := range reports {
		w.list(4)
		w.number(uint64(r.watcher))
		w.number(r.version)
		w.age(r.age)
		w.list(len(r.entries))
		for _, e := range r.entries {
			w.reportEntry(e)
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
		w.floorDuration(f.ttl)
	}
}

func (w *writer) revisions(revisions []documentRevision) {
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
		w.setError(err)
		return nil
	}
	_, err = compressor.Write(data)
	w.setError(err)
	w.setError(compressor.Close())
	return buffer.Bytes()
}

func (w *writer) request(r peerRequest) {
	w.list(5)
	w.flag(r.join)
	w.handles(r.members)
	w.handles(r.heartbeats)
	w.handles(r.reports)
	w.list(len(r.documents))
	for _, name := range r.documents {
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
