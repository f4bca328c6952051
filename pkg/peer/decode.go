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

// The limits of decoded values. A message beyond them is refused as malformed.
const (
	maxTextBytes = 1 << 10
	maxBlobBytes = 1 << 20
	maxItems     = 1 << 12
	// maxDuration limits ages and TTLs.
	maxDuration = 30 * 24 * time.Hour
)

// Decode returns the message encoded in data (msgpack). It refuses malformed messages and those beyond the limits.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, trace.LimitExceeded("message too large: %d bytes, limit is %d", len(data), MaxMessageBytes)
	}
	source := bytes.NewReader(data)
	r := reader{decoder: msgpack.NewDecoder(source)}
	m := r.message()
	if r.err == nil && source.Len() > 0 {
		r.fail("%d trailing bytes", source.Len())
	}
	if r.err != nil {
		return Message{}, trace.Wrap(r.err)
	}
	return m, nil
}

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

func (r *reader) recordLength(n int) {
	if got := r.length(maxItems); r.err == nil && got != n {
		r.fail("record has %d fields, expected %d", got, n)
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

func (r *reader) message() Message {
	var m Message
	r.recordLength(7)
	m.from = r.text()
	m.incarnation = r.number()
	m.number = r.number()
	m.senderUptime = time.Duration(r.numberUpTo(math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	m.digest = uint32(r.numberUpTo(math.MaxUint32))
	m.synced = r.flag()
	r.sections(&m)
	return m
}

func (r *reader) sections(m *Message) {
	if r.err != nil {
		return
	}
	count, err := r.decoder.DecodeMapLen()
	if !r.checkError(err) {
		return
	}
	next := uint64(0)
	for range count {
		key := r.number()
		if r.err == nil && key < next {
			r.fail("section %d repeated or out of order", key)
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
	case sectionMembers:
		m.members = r.members()
	case sectionHeartbeats:
		m.heartbeats = r.heartbeats()
	case sectionReportChanges:
		m.reportChanges = r.reportChanges()
	case sectionReports:
		m.reports = r.reports()
	case sectionFacts:
		m.facts = r.facts()
	case sectionRevisions:
		m.revisions = r.revisions()
	case sectionDocuments:
		m.documents = r.documents()
	case sectionRequest:
		m.request = r.request()
	case sectionDirectMessages:
		m.directMessages = r.directMessages()
	default:
		r.fail("unknown section %d", key)
	}
}

func (r *reader) members() []memberInfo {
	var members []memberInfo
	for range r.length(maxItems) {
		r.recordLength(11)
		info := memberInfo{name: r.text(), address: r.text(), callerAddress: r.text(), centre: r.text()}
		info.incarnation, info.infoVersion, info.leaving = r.number(), r.number(), r.flag()
		info.sequence, info.age, info.reportVersion, info.revision = r.number(), r.duration(), r.number(), r.number()
		members = append(members, info)
		if r.err != nil {
			return nil
		}
	}
	return members
}

func (r *reader) heartbeats() []heartbeat {
	var heartbeats []heartbeat
	packed := r.blob(maxBlobBytes)
	for len(packed) > 0 {
		h, size := unpackHeartbeat(packed)
		if size == 0 || len(heartbeats) >= maxItems {
			r.fail("heartbeats truncated or more than %d", maxItems)
			return nil
		}
		heartbeats = append(heartbeats, h)
		packed = packed[size:]
	}
	return heartbeats
}

// unpackHeartbeat returns the first heartbeat of packed and its size in bytes, 0 if packed is truncated.
func unpackHeartbeat(packed []byte) (heartbeat, int) {
	if len(packed) < packedHeartbeatBytes {
		return heartbeat{}, 0
	}
	version := binary.BigEndian.Uint16(packed[6:])
	h := heartbeat{
		member:        handle(binary.BigEndian.Uint32(packed)),
		sequence:      packed[4],
		age:           time.Duration(packed[5]) * ageUnit,
		reportVersion: version % loadCodesFlag,
		revision:      packed[8],
	}
	if version < loadCodesFlag {
		return h, packedHeartbeatBytes
	}
	if len(packed) == packedHeartbeatBytes {
		return heartbeat{}, 0
	}
	end := packedHeartbeatBytes + 1 + int(packed[packedHeartbeatBytes])
	if len(packed) < end || end == packedHeartbeatBytes+1 {
		return heartbeat{}, 0
	}
	h.loadCodes = packed[packedHeartbeatBytes+1 : end]
	return h, end
}

func (r *reader) reportEntry() reportEntry {
	r.recordLength(10)
	var e reportEntry
	e.upstream, e.alive, e.boot = r.text(), r.flag(), instance.BootID(r.text())
	replica := instance.ReplicaID(r.text())
	e.assignment = instance.NewAssignment(replica, instance.FencingToken(r.number()))
	e.phase = instance.Phase(r.numberUpTo(uint64(instance.PhaseStopping)))
	e.loadedPercent = uint8(r.numberUpTo(100))
	e.primary = r.flag()
	e.loadCode = uint8(r.numberUpTo(math.MaxUint8))
	e.age = r.duration()
	return e
}

func (r *reader) reportChanges() []reportChange {
	var changes []reportChange
	for range r.length(maxItems) {
		r.recordLength(4)
		c := reportChange{watcher: r.handle(), version: r.number(), removed: r.flag(), entry: r.reportEntry()}
		changes = append(changes, c)
		if r.err != nil {
			return nil
		}
	}
	return changes
}

func (r *reader) handle() handle { return handle(r.numberUpTo(math.MaxUint32)) }

func (r *reader) reports() []report {
	var reports []report
	for range r.length(maxItems) {
		r.recordLength(4)
		rep := report{watcher: r.handle(), version: r.number(), age: r.duration()}
		for range r.length(maxItems) {
			rep.entries = append(rep.entries, r.reportEntry())
			if r.err != nil {
				return nil
			}
		}
		reports = append(reports, rep)
		if r.err != nil {
			return nil
		}
	}
	return reports
}

func (r *reader) directMessages() []directMessage {
	var messages []directMessage
	for range r.length(maxItems) {
		r.recordLength(2)
		messages = append(messages, directMessage{topic: r.text(), data: r.blob(maxBlobBytes)})
		if r.err != nil {
			return nil
		}
	}
	return messages
}

func (r *reader) facts() []fact {
	var facts []fact
	for range r.length(maxItems) {
		r.recordLength(6)
		f := fact{topic: r.text(), key: r.text(), origin: r.text(), sequence: r.number()}
		f.value, f.ttl = r.blob(maxFactBytes), r.duration()
		facts = append(facts, f)
		if r.err != nil {
			return nil
		}
	}
	return facts
}

func (r *reader) revisions() []documentRevision {
	var revisions []documentRevision
	for range r.length(maxDocuments) {
		r.recordLength(2)
		revisions = append(revisions, documentRevision{name: r.text(), number: r.number()})
	}
	return revisions
}

func (r *reader) documents() []Document {
	var documents []Document
	total := 0
	for range r.length(maxDocuments) {
		r.recordLength(3)
		d := Document{name: r.text(), revision: r.number()}
		d.data = r.inflate(r.blob(maxBlobBytes))
		total += len(d.data)
		if total > object.MaxValueBytes {
			r.fail("documents larger than %d bytes in total", object.MaxValueBytes)
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
	r.checkError(err)
	if len(data) > object.MaxValueBytes {
		r.fail("document larger than %d bytes", object.MaxValueBytes)
	}
	return data
}

func (r *reader) request() peerRequest {
	r.recordLength(5)
	request := peerRequest{join: r.flag(), members: r.handles(), heartbeats: r.handles(), reports: r.handles()}
	for range r.length(maxDocuments) {
		request.documents = append(request.documents, r.text())
	}
	return request
}

func (r *reader) handles() []handle {
	packed := r.blob(4 * maxItems)
	if len(packed)%4 != 0 {
		r.fail("handles have %d bytes, not a multiple of 4", len(packed))
		return nil
	}
	var handles []handle
	for ; len(packed) > 0; packed = packed[4:] {
		handles = append(handles, handle(binary.BigEndian.Uint32(packed)))
	}
	return handles
}
