package service

import (
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// phase is the recorded progress of the call of a claim.
type phase uint8

const (
	// phaseClaimed means that the call may run; only the writer of the claim sends it.
	phaseClaimed phase = iota
	// phaseDone means that the call ran and was answered.
	phaseDone
	// phaseUnclear means that the call was sent and its answer did not arrive.
	phaseUnclear
)

var phaseNames = [...]string{phaseClaimed: "claimed", phaseDone: "done", phaseUnclear: "unclear"}

// holderID identifies the call that holds a claim: the identity of a daemon since its start, and a number within it.
type holderID struct {
	writer string
	number uint64
}

// claim is the record of one key.
type claim struct {
	key          string
	holder       holderID
	fingerprint  uint64
	sendDeadline time.Time // the holder does not send the call after it
	phase        phase
	answer       Answer
}

// claims are the claims in one object, sorted by key.
type claims []claim

func (c claims) find(key string) (int, bool) {
	i := sort.Search(len(c), func(i int) bool { return c[i].key >= key })
	return i, i < len(c) && c[i].key == key
}

// with returns a copy of c in which changed replaces the claim of its key.
func (c claims) with(changed claim) claims {
	i, exists := c.find(changed.key)
	next := make(claims, 0, len(c)+1)
	next = append(next, c[:i]...)
	next = append(next, changed)
	if exists {
		i++
	}
	return append(next, c[i:]...)
}

// without returns a copy of c without the claim of key.
func (c claims) without(key string) claims {
	i, exists := c.find(key)
	if !exists {
		return c
	}
	next := make(claims, 0, len(c)-1)
	next = append(next, c[:i]...)
	return append(next, c[i+1:]...)
}

// withoutAnswers returns a copy of c without the bodies of the answers.
func (c claims) withoutAnswers() claims {
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
	Key          string      `json:"key"`
	Writer       string      `json:"writer"`
	Number       uint64      `json:"number"`
	Fingerprint  string      `json:"print"`
	SendDeadline int64       `json:"until"`
	Phase        string      `json:"phase"`
	Answer       *answerWire `json:"answer,omitempty"`
}

type answerWire struct {
	Status      int    `json:"status"`
	ContentType string `json:"kind,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyStored  bool   `json:"kept,omitempty"`
}

// encodeClaims returns c as JSON, without answers if it would exceed maxObjectBytes, and whether the result fits.
func encodeClaims(c claims) ([]byte, bool) {
	data := marshalClaims(c)
	if len(data) > maxObjectBytes {
		data = marshalClaims(c.withoutAnswers())
	}
	return data, len(data) <= maxObjectBytes
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
		Key:          c.key,
		Writer:       c.holder.writer,
		Number:       c.holder.number,
		Fingerprint:  strconv.FormatUint(c.fingerprint, 16),
		SendDeadline: c.sendDeadline.UnixMilli(),
		Phase:        phaseNames[c.phase],
	}
	if c.phase == phaseDone {
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
		c, err := decodeClaim(each)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		decoded = append(decoded, c)
	}
	if !sort.SliceIsSorted(decoded, func(i, j int) bool { return decoded[i].key < decoded[j].key }) {
		return nil, trace.BadParameter("claims are not sorted by key")
	}
	return decoded, nil
}

func decodeClaim(wire claimWire) (claim, error) {
	fingerprint, err := strconv.ParseUint(wire.Fingerprint, 16, 64)
	if err != nil {
		return claim{}, trace.Wrap(err)
	}
	decoded := claim{
		key:          wire.Key,
		holder:       holderID{wire.Writer, wire.Number},
		fingerprint:  fingerprint,
		sendDeadline: time.UnixMilli(wire.SendDeadline),
	}
	for i, name := range phaseNames {
		if name == wire.Phase {
			decoded.phase = phase(i)
			if wire.Answer != nil {
				decoded.answer = Answer{wire.Answer.Status, wire.Answer.ContentType, wire.Answer.Body, wire.Answer.BodyStored}
			}
			return decoded, nil
		}
	}
	return claim{}, trace.BadParameter("unknown claim phase %q", wire.Phase)
}
