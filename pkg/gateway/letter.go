package gateway

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/replica"
)

// listTopic is the topic of letters about the platform's list of upstreams.
const listTopic = "list"

// letter is what daemons tell each other of the list of upstreams: a question is of one that does not read the list
// itself, all else is of one that does.
type letter struct {
	question bool
	start    uint64 // of the reader whose numbers these are
	from, to uint64 // the changes between these numbers; in a question, to is what is held
	whole    bool   // these upstreams are all there are
	broken   bool   // the reader can't read the list now
	changed  []Upstream
	gone     []replica.ID
}

// fieldsOfLetter and fieldsOfUpstream are the lengths of the arrays that stand for them.
const (
	fieldsOfLetter   = 8
	fieldsOfUpstream = 13
	maxListed        = 4096
)

func (l letter) encode() ([]byte, error) {
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseCompactInts(true)
	upstreams := make([]any, 0, len(l.changed))
	for _, u := range l.changed {
		upstreams = append(upstreams, upstreamFields(u))
	}
	gone := make([]any, 0, len(l.gone))
	for _, id := range l.gone {
		gone = append(gone, string(id))
	}
	err := e.Encode([]any{l.question, l.start, l.from, l.to, l.whole, l.broken, upstreams, gone})
	return buffer.Bytes(), trace.Wrap(err)
}

func upstreamFields(u Upstream) []any {
	i, m := u.instance, u.instance.Membership()
	staged := make([]any, 0, len(i.StagedModels()))
	for _, model := range i.StagedModels() {
		staged = append(staged, model)
	}
	return []any{
		u.service, u.slots, string(i.ID()), i.Address(), i.Centre(), i.Domain(), i.Incarnation(), i.Leaving(), i.LoadedModel(), staged,
		m.Replica(), m.Epoch(),
		[]any{m.Rank(), uint8(m.Phase())},
	}
}

// fields reads values one after the other and keeps the first error.
type fields struct {
	decoder *msgpack.Decoder
	err     error
}

func (f *fields) keep(err error) {
	if f.err == nil && err != nil {
		f.err = trace.BadParameter("malformed letter: %v", err)
	}
}

func (f *fields) length(most int) int {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeArrayLen()
	f.keep(err)
	if n > most {
		f.keep(trace.LimitExceeded("list of %d, at most %d are taken", n, most))
		return 0
	}
	return max(n, 0)
}

func (f *fields) flag() bool {
	if f.err != nil {
		return false
	}
	b, err := f.decoder.DecodeBool()
	f.keep(err)
	return b
}

func (f *fields) number() uint64 {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeUint64()
	f.keep(err)
	return n
}

func (f *fields) signed() int64 {
	if f.err != nil {
		return 0
	}
	n, err := f.decoder.DecodeInt64()
	f.keep(err)
	return n
}

func (f *fields) text() string {
	if f.err != nil {
		return ""
	}
	s, err := f.decoder.DecodeString()
	f.keep(err)
	return s
}

func decodeLetter(data []byte) (letter, error) {
	f := fields{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	if n := f.length(fieldsOfLetter); n != fieldsOfLetter {
		f.keep(trace.BadParameter("%d fields", n))
	}
	l := letter{
		question: f.flag(), start: f.number(), from: f.number(), to: f.number(), whole: f.flag(), broken: f.flag(),
	}
	for range f.length(maxListed) {
		l.changed = append(l.changed, f.upstream())
	}
	for range f.length(maxListed) {
		l.gone = append(l.gone, replica.ID(f.text()))
	}
	return l, f.err
}

func (f *fields) upstream() Upstream {
	if n := f.length(fieldsOfUpstream); n != fieldsOfUpstream {
		f.keep(trace.BadParameter("upstream of %d fields", n))
	}
	service, slots := f.text(), int(f.signed())
	id, address, centre, domain := replica.ID(f.text()), f.text(), f.text(), f.text()
	i := replica.NewInstance(id, address, centre, domain, f.signed()).WithLeaving(f.flag())
	loaded := f.text()
	var staged []string
	for range f.length(maxListed) {
		staged = append(staged, f.text())
	}
	name, epoch := f.text(), f.number()
	f.length(2)
	rank, phase := int(f.signed()), replica.Phase(f.number())
	if phase > replica.PhaseBroken {
		f.keep(trace.BadParameter("phase %d", phase))
		return Upstream{}
	}
	i = i.WithModels(loaded, staged...).WithMembership(replica.NewMembership(name, epoch, rank, phase))
	return NewUpstream(service, slots, i)
}
