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

// Decode returns the message encoded in data (msgpack). It refuses malformed messages and those
// beyond the limits, and skips sections and fields of newer builds.
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

func (r *reader) message() Message {
	var m Message
	r.record(7, func() {
		m.from = r.text()
		m.incarnation = r.number()
		m.number = r.number()
		m.senderUptime = time.Duration(r.numberUpTo(math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
		m.digest = uint32(r.numberUpTo(math.MaxUint32))
		m.synced = r.flag()
		r.sections(&m)
	})
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
		if r.err == nil && (key < next || key == math.MaxUint64) {
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
		r.skip(1) // a section of a newer build
	}
}

func (r *reader) members() []memberInfo {
	var members []memberInfo
	for range r.length(maxItems) {
		var info memberInfo
		r.record(11, func() {
			info = memberInfo{name: r.text(), address: r.text(), callerAddress: r.text(), centre: r.text()}
			info.incarnation, info.infoVersion, info.leaving = r.number(), r.number(), r.flag()
			info.sequence, info.age, info.reportVersion, info.revision = r.number(), r.duration(), r.number(), r.number()
		})
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
	var e reportEntry
	r.record(10, func() {
		e.upstream, e.alive, e.boot = r.text(), r.flag(), instance.BootID(r.text())
		replica := instance.ReplicaID(r.text())
		e.assignment = instance.NewAssignment(replica, instance.FencingToken(r.number()))
		e.phase = r.phase()
		e.loadedPercent = uint8(r.numberUpTo(100))
		e.primary = r.flag()
		e.loadCode = uint8(r.numberUpTo(math.MaxUint8))
		e.age = r.duration()
	})
	return e
}

// phase reads a phase. An instance in a phase that this build does not know gets no calls, as one that stops.
func (r *reader) phase() instance.Phase {
	return instance.Phase(min(r.number(), uint64(instance.PhaseStopping)))
}

func (r *reader) reportChanges() []reportChange {
	var changes []reportChange
	for range r.length(maxItems) {
		var c reportChange
		r.record(4, func() {
			c = reportChange{watcher: r.handle(), version: r.number(), removed: r.flag(), entry: r.reportEntry()}
		})
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
		var rep report
		r.record(4, func() {
			rep = report{watcher: r.handle(), version: r.number(), age: r.duration()}
			for range r.length(maxItems) {
				rep.entries = append(rep.entries, r.reportEntry())
				if r.err != nil {
					return
				}
			}
		})
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
		r.record(2, func() {
			messages = append(messages, directMessage{topic: r.text(), data: r.blob(maxBlobBytes)})
		})
		if r.err != nil {
			return nil
		}
	}
	return messages
}

func (r *reader) facts() []fact {
	var facts []fact
	for range r.length(maxItems) {
		var f fact
		r.record(6, func() {
			f = fact{topic: r.text(), key: r.text(), origin: r.text(), sequence: r.number()}
			f.value, f.ttl = r.blob(maxFactBytes), r.duration()
		})
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
		r.record(2, func() {
			revisions = append(revisions, documentRevision{name: r.text(), number: r.number()})
		})
	}
	return revisions
}

func (r *reader) documents() []Document {
	var documents []Document
	total := 0
	for range r.length(maxDocuments) {
		var d Document
		r.record(3, func() {
			d = Document{name: r.text(), revision: r.number()}
			d.data = r.inflate(r.blob(maxBlobBytes))
		})
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
	var request peerRequest
	r.record(5, func() {
		request = peerRequest{join: r.flag(), members: r.handles(), heartbeats: r.handles(), reports: r.handles()}
		for range r.length(maxDocuments) {
			request.documents = append(request.documents, r.text())
		}
	})
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
