package gateway

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

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

// exactLength reads the length of an array, which must be n.
func (f *decodedFields) exactLength(n int) {
	if got := f.length(n); got != n {
		f.setError(trace.BadParameter("array of %d elements, want %d", got, n))
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
	if n := f.length(listMessageFields); n != listMessageFields {
		f.setError(trace.BadParameter("list message of %d fields", n))
	}
	l := listMessage{
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
	return l, f.err
}

func (f *decodedFields) upstream() Upstream {
	if n := f.length(upstreamFields); n != upstreamFields {
		f.setError(trace.BadParameter("upstream of %d fields", n))
	}
	service, slots := f.text(), int(f.signed())
	id, address, centre, domain := replica.ID(f.text()), f.text(), f.text(), f.text()
	i := replica.NewInstance(id, address, centre, domain, f.signed()).WithLeaving(f.flag())
	loaded := f.text()
	var staged []string
	for range f.length(maxListEntries) {
		staged = append(staged, f.text())
	}
	name, epoch := f.text(), f.number()
	f.length(2)
	rank, phase := int(f.signed()), replica.Phase(f.number())
	if phase > replica.PhaseBroken {
		f.setError(trace.BadParameter("phase %d", phase))
		return Upstream{}
	}
	i = i.WithModels(loaded, staged...).WithMembership(replica.NewMembership(name, epoch, rank, phase))
	return NewUpstream(service, slots, i).WithColdLeft(f.milliseconds())
}
