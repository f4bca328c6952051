package operator_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
)

// TestSessions plays each session of testdata: events, each with the effects that it causes.
func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Player {
		p := &player{t: t}
		return p.play
	})
}

// player is one daemon with a store that does what the session says.
type player struct {
	t       *testing.T
	state   operator.State
	request object.Request
	version int
	data    []byte
}

// play feeds one line: an event, or what the store does with the last request.
func (p *player) play(now time.Time, words []string) []string {
	if words[0] == "other" {
		p.other(now, words[1:])
		return nil
	}
	var lines []string
	for _, effect := range p.state.Reduce(now, knowAll{}, p.event(words)) {
		lines = append(lines, p.line(effect))
	}
	return lines
}

func (p *player) event(words []string) operator.Event {
	switch words[0] {
	case "configure":
		return operator.NewConfigured(words[1], 1)
	case "apply": // ID TEAM REPLICAS BASE [again]
		e := operator.NewApplyRequested(operator.RequestID(words[1]), "maria", variant(words[2], p.number(words[3]), p.number(words[4])))
		if len(words) > 5 {
			return e.AsRetry()
		}
		return e
	case "plan": // ID TEAM VERB KIND TARGET
		action := operator.NewAction(operator.Verb(words[3]), operator.Kind(words[4]), words[5])
		return operator.NewActionRequested(operator.RequestID(words[1]), "maria", words[2], action)
	case "ask": // ID TEAM
		return operator.NewReadRequested(operator.RequestID(words[1]), words[2])
	case "adopt":
		return operator.NewConfigReceived(p.data)
	case "tick":
		return operator.Ticked{}
	}
	return operator.NewStoreCompleted(p.result(words))
}

// result returns what the store says to the last request, which takes effect unless it is refused or lost before.
func (p *player) result(words []string) object.Result {
	ref := p.request.Ref()
	put, isPut := p.request.(object.Put)
	switch strings.Join(words, " ") {
	case "found":
		return object.NewFound(ref, object.Version(fmt.Sprint(p.version)), p.data)
	case "absent":
		return object.NewAbsent(ref)
	case "conflict":
		return object.NewConflict(ref)
	case "refused":
		return object.NewRefused(ref, "out")
	case "lost":
		return object.NewLost(ref)
	case "stored", "lost after":
		if !isPut {
			p.t.Fatalf("the last request is no write: %T", p.request)
		}
		p.version, p.data = p.version+1, put.Data()
		if words[0] == "lost" {
			return object.NewLost(ref)
		}
		return object.NewStored(ref, object.Version(fmt.Sprint(p.version)))
	}
	p.t.Fatalf("no such event: %q", words)
	return nil
}

// other lets another daemon change the configuration: TEAM REPLICAS BASE.
func (p *player) other(now time.Time, words []string) {
	q := &player{t: p.t, version: p.version, data: p.data}
	q.play(now, []string{"apply", "other-" + strings.Join(words, "-"), words[0], words[1], words[2]})
	if q.version == 0 {
		q.play(now, []string{"absent"})
	} else {
		q.play(now, []string{"found"})
	}
	q.play(now, []string{"stored"})
	p.version, p.data = q.version, q.data
}

func (p *player) line(effect operator.Effect) string {
	switch effect := effect.(type) {
	case operator.Store:
		p.request = effect.Request()
		if put, isPut := p.request.(object.Put); isPut {
			return fmt.Sprintf("put %s after version %q", put.Key(), put.ExpectedVersion())
		}
		return "get " + p.request.Key().String()
	case operator.Answer:
		return fmt.Sprintf("answer %s %s", effect.Request(), describe(effect.Outcome()))
	case operator.Publish:
		return fmt.Sprintf("publish %d", effect.Revision())
	case operator.ExecuteAction:
		return fmt.Sprintf("plan %s for %s", effect.Action(), effect.Author())
	}
	return fmt.Sprintf("%T", effect)
}

func describe(outcome operator.Outcome) string {
	switch o := outcome.(type) {
	case operator.Accepted:
		return fmt.Sprintf("accepted %d", o.Revision())
	case operator.Conflict:
		text := fmt.Sprintf("conflict base %d current %d", o.Base().Revision(), o.Current().Revision())
		for _, difference := range operator.Diff(o.Base(), o.Current()) {
			text += " " + difference.String()
		}
		return text
	case operator.Refused:
		return "refused " + o.Mistakes()[0].String()
	case operator.Unknown:
		return "unknown " + o.Reason()
	case operator.ReadResult:
		return fmt.Sprintf("told revision %d, %d changes", o.Current().Revision(), len(o.Changes()))
	}
	return fmt.Sprintf("%T", outcome)
}

func (p *player) number(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return number
}

// knowAll knows every target but those called nobody's, as ones of the model koinonia-notices.
type knowAll struct{}

func (knowAll) ResolveTarget(_ operator.Kind, target string) (owner string, known bool) {
	return "koinonia-notices", target != "nobody"
}
