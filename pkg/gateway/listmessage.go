package gateway

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// listTopic is the topic of messages about the platform's list of upstreams.
const listTopic = "list"

// listMessage is a message about the list of upstreams: a request from a daemon that does not read the list from the
// store, or an update from a reader.
type listMessage struct {
	isRequest                bool
	readerStart              uint64 // identifies the start of the reader that counts the revisions
	fromRevision, toRevision uint64 // range of the changes; in a request, toRevision is what the sender has
	complete                 bool   // changed is the whole list
	unavailable              bool   // the reader can't read the list now
	changed                  []Upstream
	gone                     []replica.ID
	evacuations              evacuationSet // not in a request
}

// The lengths of the encoded arrays, and the limit of those with one element for each entry.
const (
	listMessageFields = 9
	upstreamFields    = 14
	membershipFields  = 2 // rank and phase
	maxListEntries    = 4096
)

func (l listMessage) encode() ([]byte, error) {
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseCompactInts(true)
	upstreams := make([]any, 0, len(l.changed))
	for _, u := range l.changed {
		upstreams = append(upstreams, upstreamValues(u))
	}
	gone := make([]any, 0, len(l.gone))
	for _, id := range l.gone {
		gone = append(gone, string(id))
	}
	err := e.Encode([]any{l.isRequest, l.readerStart, l.fromRevision, l.toRevision, l.complete, l.unavailable, upstreams, gone, l.evacuations.values()})
	return buffer.Bytes(), trace.Wrap(err)
}

func upstreamValues(u Upstream) []any {
	i, m := u.instance, u.instance.Membership()
	staged := make([]any, 0, len(i.StagedModels()))
	for _, model := range i.StagedModels() {
		staged = append(staged, model)
	}
	return []any{
		u.service, u.slots, string(i.ID()), i.Address(), i.Centre(), i.Domain(),
		i.Incarnation(), i.Leaving(), i.LoadedModel(), staged,
		m.Replica(), m.Epoch(),
		[]any{m.Rank(), uint8(m.Phase())},
		u.coldLeft.Milliseconds(),
	}
}

// decodedFields reads values in sequence and keeps the first error.
type decodedFields struct {
	decoder *msgpack.Decoder
	err     error
}

func (f *decodedFields) setError(err error) {
	if f.err == nil && err != nil {
		f.err = trace.BadParameter("malformed message: %v", err)
	}
}

func (f *decodedFields) length(limit int) int {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeArrayLen()
	f.setError(err)
	if n > limit {
		f.setError(trace.LimitExceeded("array of %d elements, at most %d are allowed", n, limit))
		return 0
	}
	return max(n, 0)
}

// record reads an array of at least n elements with read. It skips further elements, which a newer build may send.
func (f *decodedFields) record(n int, read func()) {
	got := f.length(maxListEntries)
	if got < n {
		f.setError(trace.BadParameter("array of %d elements, want %d", got, n))
	}
	if f.err != nil {
		return
	}
	read()
	f.skip(got - n)
}

// skip skips n values.
func (f *decodedFields) skip(n int) {
	if f.err == nil {
		f.setError(peer.SkipValues(f.decoder, n))
	}
}

func (f *decodedFields) flag() bool {
	if f.err != nil {
		return false
	}
	b, err := f.decoder.DecodeBool()
	f.setError(err)
	return b
}

func (f *decodedFields) number() uint64 {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeUint64()
	f.setError(err)
	return n
}

func (f *decodedFields) signed() int64 {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeInt64()
	f.setError(err)
	return n
}

func (f *decodedFields) float() float64 {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeFloat64()
	f.setError(err)
	return n
}

func (f *decodedFields) text() string {
	if f.err != nil {
		return ""
	}
	s, err := f.decoder.DecodeString()
	f.setError(err)
	return s
}

func decodeListMessage(data []byte) (listMessage, error) {
	f := decodedFields{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	var l listMessage
	f.record(listMessageFields, func() {
		l = listMessage{
			isRequest: f.flag(), readerStart: f.number(),
			fromRevision: f.number(), toRevision: f.number(),
			complete: f.flag(), unavailable: f.flag(),
		}
		for range f.length(maxListEntries) {
			l.changed = append(l.changed, f.upstream())
		}
		for range f.length(maxListEntries) {
			l.gone = append(l.gone, replica.ID(f.text()))
		}
		l.evacuations = f.evacuations()
	})
	return l, f.err
}

func (f *decodedFields) upstream() Upstream {
	var u Upstream
	f.record(upstreamFields, func() {
		service, slots := f.text(), f.count()
		id, address, centre, domain := replica.ID(f.text()), f.text(), f.text(), f.text()
		i := replica.NewInstance(id, address, centre, domain, f.signed()).WithLeaving(f.flag())
		loaded := f.text()
		var staged []string
		for range f.length(maxListEntries) {
			staged = append(staged, f.text())
		}
		i = i.WithModels(loaded, staged...).WithMembership(f.membership())
		u = NewUpstream(service, slots, i).WithColdLeft(f.milliseconds())
	})
	return u
}

// membership reads the replica of an upstream. An upstream in a phase that this build does not know belongs to no replica, as one in
// an unknown state in the store.
func (f *decodedFields) membership() replica.Membership {
	name, epoch := f.text(), f.number()
	var rank int
	var phase replica.Phase
	f.record(membershipFields, func() { rank, phase = int(f.signed()), phaseOf(f.number()) })
	if phase == replica.PhaseNone {
		return replica.Membership{}
	}
	return replica.NewMembership(name, epoch, rank, phase)
}

func phaseOf(number uint64) replica.Phase {
	if number > uint64(replica.PhaseBroken) {
		return replica.PhaseNone
	}
	return replica.Phase(number)
}
