package service

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Handler {
		p := &player{t: t, store: newStore(), daemons: map[string]*State{}}
		return p.play
	})
}

var failureNames = map[string]Failure{
	"not-sent": NotSent, "incomplete": AnswerIncomplete, "mismatch": IdentityMismatch, "halted": Halted,
}

// player feeds the lines of a session to several daemons with one store.
type player struct {
	t        *testing.T
	store    *store
	daemons  map[string]*State
	requests map[string]object.Request
}

// play parses: DAEMON VERB WORDS; event lists the verbs.
func (p *player) play(now time.Time, words []string) []string {
	d := p.daemons[words[0]]
	if d == nil {
		d = &State{}
		p.daemons[words[0]] = d
		d.Reduce(now, NewConfigured(NewSettings(words[0], "athens", 1, NewService("desk", false))))
		d.sweeper.nextTime = now.Add(24 * time.Hour)
	}
	event := p.event(now, words[0], words[1], words[2:])
	if event == nil {
		return nil
	}
	var lines []string
	for _, effect := range d.Reduce(now, event) {
		if s, isStore := effect.(Store); isStore {
			p.remember(words[0], s.Request())
		}
		lines = append(lines, describe(now, effect))
	}
	return lines
}

func (p *player) remember(daemon string, request object.Request) {
	if p.requests == nil {
		p.requests = map[string]object.Request{}
	}
	p.requests[daemon+"/"+strconv.FormatUint(uint64(request.Ref()), 10)] = request
}

// event parses: upstreams ADDRESS...; submit ID TIMEOUT AGE (idempotent|no-key|KEY FINGERPRINT); store REF (applied and
// answered); lost REF (applied, answer lost); refused REF; replied ATTEMPT STATUS BODY; FAILURE ATTEMPT; cancelled ID;
// tick.
func (p *player) event(now time.Time, daemon, verb string, words []string) Event {
	if failure, isFailure := failureNames[verb]; isFailure {
		return NewFailed(AttemptID(p.count(words[0])), failure)
	}
	switch verb {
	case "upstreams":
		var live []Upstream
		for _, address := range words {
			live = append(live, NewUpstream(address, "athens", 0))
		}
		return NewUpstreamsChanged("desk", live...)
	case "submit":
		return NewSubmitted(p.call(now, words))
	case "store", "lost", "refused":
		return NewStoreCompleted(p.result(daemon, verb, words[0]))
	case "replied":
		return NewReplied(AttemptID(p.count(words[0])), NewAnswer(p.count(words[1]), "text/plain", []byte(words[2])))
	case "cancelled":
		return NewCancelled(caller.ID(p.count(words[0])))
	case "tick":
		return NewTicked()
	}
	p.t.Fatalf("unknown verb %q", verb)
	return nil
}

func (p *player) result(daemon, verb, ref string) object.Result {
	request := p.requests[daemon+"/"+ref]
	if request == nil {
		p.t.Fatalf("%s made no request %s", daemon, ref)
	}
	switch verb {
	case "lost":
		p.store.do(request)
		return object.NewLost(request.Ref())
	case "refused":
		return object.NewRefused(request.Ref(), "out")
	}
	return p.store.do(request)
}

func (p *player) call(now time.Time, words []string) caller.Call {
	deadline := now.Add(p.duration(words[1]))
	c := caller.NewCall(caller.ID(p.count(words[0])), caller.Service, "desk", "koinonia", deadline)
	if words[3] == "idempotent" {
		return c.WithIdempotent()
	}
	if words[3] == "no-key" {
		return c
	}
	key := keyAt(now.Add(-p.duration(words[2])), words[3])
	return c.WithKey(key).WithHashes(uint64(p.count(words[4])), nil)
}

// keyAt returns a UUID of version 7 with time t and with name as its random part.
func keyAt(t time.Time, name string) string {
	var id uuid.UUID
	milliseconds := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	copy(id[7:], name)
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id.String()
}

func (p *player) count(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func (p *player) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	if err != nil {
		p.t.Fatal(err)
	}
	return d
}

func describe(now time.Time, effect Effect) string {
	switch e := effect.(type) {
	case Store:
		return describeRequest(e.Request())
	case Send:
		limit := e.NotAfter().Sub(now).Round(time.Millisecond)
		return fmt.Sprintf("send %d: call %d to %s within %s", e.Attempt(), e.Call().ID(), e.Address(), limit)
	case Cancel:
		return fmt.Sprintf("cancel %d", e.Attempt())
	case Finish:
		return fmt.Sprintf("finish %d: %s", e.ID(), describeOutcome(e.Outcome()))
	case Replay:
		return fmt.Sprintf("replay %d: %d %s", e.ID(), e.Answer().Status(), e.Answer().Body())
	}
	return "?"
}

func describeRequest(request object.Request) string {
	switch r := request.(type) {
	case object.Put:
		return fmt.Sprintf("put %d: %s if %q", r.Ref(), describeClaims(r.Data()), r.ExpectedVersion())
	case object.Delete:
		return fmt.Sprintf("delete %d", r.Ref())
	}
	return fmt.Sprintf("get %d", request.Ref())
}

func describeOutcome(outcome caller.Outcome) string {
	switch o := outcome.(type) {
	case caller.NotRun:
		return "not run, " + string(o.Reason())
	case caller.Unknown:
		return "unknown, " + string(o.Reason())
	}
	return "answered"
}

// describeClaims lists the claims in a stored value as holder=phase.
func describeClaims(data []byte) string {
	var found []string
	for _, each := range decodeStored(data) {
		found = append(found, each.holder.String()+"="+phaseNames[each.phase])
	}
	return "[" + strings.Join(found, " ") + "]"
}
