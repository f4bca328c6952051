package service

import (
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// phase is how far the call of a claim is known to have come.
type phase uint8

const (
	// claimed says that the call may run; nobody but the claim's writer sends it.
	claimed phase = iota
	// done says that the call ran and was answered.
	done
	// unclear says that the call was sent and its answer did not come.
	unclear
)

var phaseNames = [...]string{claimed: "claimed", done: "done", unclear: "unclear"}

// stamp names the call that holds a claim: the start of a daemon, and a number within it.
type stamp struct {
	writer string
	number uint64
}

// claim is what is recorded about one key.
type claim struct {
	key    string
	holder stamp
	print  uint64
	until  time.Time
	phase  phase
	answer Answer
}

// claims are the claims in one object, in the order of their keys.
type claims []claim

func (c claims) find(key string) (int, bool) {
	at := sort.Search(len(c), func(i int) bool { return c[i].key >= key })
	return at, at < len(c) && c[at].key == key
}

// with returns a copy of c in which the claim of its key is changed.
func (c claims) with(changed claim) claims {
	at, exists := c.find(changed.key)
	next := make(claims, 0, len(c)+1)
	next = append(next, c[:at]...)
	next = append(next, changed)
	if exists {
		at++
	}
	return append(next, c[at:]...)
}

// without returns a copy of c that holds no claim of key.
func (c claims) without(key string) claims {
	at, exists := c.find(key)
	if !exists {
		return c
	}
	next := make(claims, 0, len(c)-1)
	next = append(next, c[:at]...)
	return append(next, c[at+1:]...)
}

// shortened returns a copy of c that keeps no answers.
func (c claims) shortened() claims {
	next := make(claims, len(c))
	for i, each := range c {
		each.answer = Answer{status: each.answer.status, contentType: each.answer.contentType}
		next[i] = each
	}
	return next
}

type claimsWire struct {
	Claims []claimWire `json:"claims"`
}

type claimWire struct {
	Key    string      `json:"key"`
	Writer string      `json:"writer"`
	Number uint64      `json:"number"`
	Print  string      `json:"print"`
	Until  int64       `json:"until"`
	Phase  string      `json:"phase"`
	Answer *answerWire `json:"answer,omitempty"`
}

type answerWire struct {
	Status int    `json:"status"`
	Kind   string `json:"kind,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Kept   bool   `json:"kept,omitempty"`
}

// encodeClaims returns c as JSON that fits an object, without the answers if need be, and whether it fits at all.
func encodeClaims(c claims) ([]byte, bool) {
	data := marshalClaims(c)
	if len(data) > maxValue {
		data = marshalClaims(c.shortened())
	}
	return data, len(data) <= maxValue
}

func marshalClaims(c claims) []byte {
	wire := claimsWire{Claims: make([]claimWire, 0, len(c))}
	for _, each := range c {
		wire.Claims = append(wire.Claims, encodeClaim(each))
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(trace.Wrap(err))
	}
	return data
}

func encodeClaim(c claim) claimWire {
	wire := claimWire{
		Key:    c.key,
		Writer: c.holder.writer,
		Number: c.holder.number,
		Print:  strconv.FormatUint(c.print, 16),
		Until:  c.until.UnixMilli(),
		Phase:  phaseNames[c.phase],
	}
	if c.phase == done {
		wire.Answer = &answerWire{c.answer.status, c.answer.contentType, c.answer.body, c.answer.bodyStored}
	}
	return wire
}

func decodeClaims(data []byte) (claims, error) {
	if data == nil {
		return nil, nil
	}
	var wire claimsWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, trace.Wrap(err)
	}
	decoded := make(claims, 0, len(wire.Claims))
	for _, each := range wire.Claims {
		one, err := decodeClaim(each)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		decoded = append(decoded, one)
	}
	if !sort.SliceIsSorted(decoded, func(i, j int) bool { return decoded[i].key < decoded[j].key }) {
		return nil, trace.BadParameter("claims are not in order")
	}
	return decoded, nil
}

func decodeClaim(wire claimWire) (claim, error) {
	digest, err := strconv.ParseUint(wire.Print, 16, 64)
	if err != nil {
		return claim{}, trace.Wrap(err)
	}
	decoded := claim{
		key:    wire.Key,
		holder: stamp{wire.Writer, wire.Number},
		print:  digest,
		until:  time.UnixMilli(wire.Until),
	}
	for i, name := range phaseNames {
		if name == wire.Phase {
			decoded.phase = phase(i)
			if wire.Answer != nil {
				decoded.answer = Answer{wire.Answer.Status, wire.Answer.Kind, wire.Answer.Body, wire.Answer.Kept}
			}
			return decoded, nil
		}
	}
	return claim{}, trace.BadParameter("unknown phase %q", wire.Phase)
}
