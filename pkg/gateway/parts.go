package gateway

import (
	"bytes"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
)

// The topics of messages about parts of prompts that may crash upstreams. A refused part is a fact of all shard owners besides, since a
// daemon that starts again learns no fact of its own.
const (
	partCrashTopic    = "part-crash"
	partAnsweredTopic = "part-answered"
	partsAskedTopic   = "parts-asked"
	partMarkTopic     = "part-refused"
)

// The lengths of the encoded arrays.
const (
	partCrashFields    = 2
	partAnsweredFields = 1
	partMarkFields     = 2
	maxPartsAsked      = 64
)

// sendPartMessage sends an effect that is a message about parts, and reports whether the effect was handled.
func (s *State) sendPartMessage(now time.Time, effect dispatch.Effect) bool {
	switch effect := effect.(type) {
	case dispatch.ReportPartCrash:
		s.sendPart(now, []string{s.ownerOf(effect.Part())}, partCrashTopic, effect.Part(), effect.Upstream())
	case dispatch.ReportPartAnswered:
		s.sendPart(now, []string{s.ownerOf(effect.Part())}, partAnsweredTopic, effect.Part())
	case dispatch.AskParts:
		values := make([]any, 0, len(effect.Parts()))
		for _, part := range effect.Parts() {
			values = append(values, part)
		}
		s.emit(PartsSuspected{effect.Parts()})
		s.sendPart(now, s.liveNames, partsAskedTopic, values...)
	case dispatch.MarkPart:
		s.emit(PartMarked{effect.Part(), effect.TTL()})
		s.sendPart(now, s.liveNames, partMarkTopic, effect.Part(), effect.TTL().Milliseconds())
	default:
		return false
	}
	return true
}

// sendPart sends a message to several daemons, which may include this one.
func (s *State) sendPart(now time.Time, names []string, topic string, values ...any) {
	data, err := encodeValues(values)
	if err != nil {
		s.emit(Problem{topic + " not encoded", err.Error()})
		return
	}
	for _, name := range names {
		if name == s.members.self {
			s.receivePartMessage(now, topic, name, data)
			continue
		}
		s.reducePeer(now, peer.NewDirectMessageRequested(name, topic, data))
	}
}

// receivePartMessage handles a message about parts.
func (s *State) receivePartMessage(now time.Time, topic, from string, data []byte) {
	event, err := decodePartMessage(topic, data)
	if err != nil {
		s.emit(Problem{topic + " from " + from + " not decoded", err.Error()})
		return
	}
	if mark, isMark := event.(dispatch.PartMarked); isMark && slices.Contains(s.shardOwners, s.members.self) {
		s.sharePartMark(now, mark)
	}
	s.reduceDispatch(now, event)
}

// sharePartMark shares that a part is refused with the daemons that start later, or withdraws that.
func (s *State) sharePartMark(now time.Time, mark dispatch.PartMarked) {
	value, ttl := []byte{1}, mark.TTL()
	if ttl <= 0 {
		value, ttl = nil, deadFactTTL
	}
	s.reducePeer(now, peer.NewFactShared(partMarkTopic, mark.Part(), value, now.Add(ttl)))
}

// receivePartFact handles that a peer shares a refused part.
func (s *State) receivePartFact(now time.Time, fact peer.LearnFact) {
	ttl := fact.Expiry().Sub(now)
	if len(fact.Value()) == 0 {
		ttl = 0
	}
	s.reduceDispatch(now, dispatch.NewPartMarked(fact.Key(), ttl))
}

func decodePartMessage(topic string, data []byte) (dispatch.Event, error) {
	f := decodedFields{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	switch topic {
	case partCrashTopic:
		var e dispatch.Event
		f.record(partCrashFields, func() { e = dispatch.NewPartCrashReported(f.text(), f.text()) })
		return e, f.err
	case partAnsweredTopic:
		var e dispatch.Event
		f.record(partAnsweredFields, func() { e = dispatch.NewPartAnswered(f.text()) })
		return e, f.err
	case partsAskedTopic:
		var parts []string
		for range f.length(maxPartsAsked) {
			parts = append(parts, f.text())
		}
		return dispatch.NewPartsAsked(parts...), f.err
	default:
		var e dispatch.Event
		f.record(partMarkFields, func() { e = dispatch.NewPartMarked(f.text(), f.milliseconds()) })
		return e, f.err
	}
}
