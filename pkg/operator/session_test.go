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

// TestSessions runs the sessions in testdata and compares the effects of each event.
func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Handler {
		p := &sessionPlayer{t: t}
		return p.play
	})
}

// sessionPlayer is one daemon with a store whose results are scripted by the session.
type sessionPlayer struct {
	t       *testing.T
	state   operator.State
	request object.Request
	version int
	data    []byte
}

// play processes one line: an event, or the result of the last request to the store.
func (p *sessionPlayer) play(now time.Time, words []string) []string {
	if words[0] == "other-daemon" {
		p.changeByOtherDaemon(now, words[1:])
		return nil
	}
	var lines []string
	for _, effect := range p.state.Reduce(now, ownsAllTargets{}, p.event(words)) {
		lines = append(lines, p.formatEffect(effect))
	}
	return lines
}

func (p *sessionPlayer) event(words []string) operator.Event {
	switch words[0] {
	case "configure":
		return operator.NewConfigured(words[1], 1)
	case "apply": // ID TEAM REPLICAS BASE [retry]
		e := operator.NewApplyRequested(operator.RequestID(words[1]), "maria",
			variant(words[2], p.number(words[3]), p.number(words[4])))
		if len(words) > 5 {
			return e.AsRetry()
		}
		return e
	case "action": // ID TEAM VERB KIND TARGET
		action := operator.NewAction(operator.Verb(words[3]), operator.Kind(words[4]), words[5])
		return operator.NewActionRequested(operator.RequestID(words[1]), "maria", words[2], action)
	case "read": // ID TEAM
		return operator.NewReadRequested(operator.RequestID(words[1]), words[2])
	case "receive":
		return operator.NewConfigReceived(p.data)
	case "tick":
		return operator.Ticked{}
	}
	return operator.NewStoreCompleted(p.result(words))
}

// result returns the store's result for the last request. A write takes effect on "stored" and on "lost after-write".
func (p *sessionPlayer) result(words []string) object.Result {
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
		return object.NewRefused(ref, "unavailable")
	case "lost":
		return object.NewLost(ref)
	case "stored", "lost after-write":
		if !isPut {
			p.t.Fatalf("last request is not a write: %T", p.request)
		}
		p.version, p.data = p.version+1, put.Data()
		if words[0] == "lost" {
			return object.NewLost(ref)
		}
		return object.NewStored(ref, object.Version(fmt.Sprint(p.version)))
	}
	p.t.Fatalf("unknown event: %q", words)
	return nil
}

// changeByOtherDaemon applies a configuration at another daemon on the same store. The words are TEAM REPLICAS BASE.
func (p *sessionPlayer) changeByOtherDaemon(now time.Time, words []string) {
	other := &sessionPlayer{t: p.t, version: p.version, data: p.data}
	other.play(now, []string{"apply", "other-" + strings.Join(words, "-"), words[0], words[1], words[2]})
	if other.version == 0 {
		other.play(now, []string{"absent"})
	} else {
		other.play(now, []string{"found"})
	}
	other.play(now, []string{"stored"})
	p.version, p.data = other.version, other.data
}

func (p *sessionPlayer) formatEffect(effect operator.Effect) string {
	switch effect := effect.(type) {
	case operator.Store:
		p.request = effect.Request()
		if put, isPut := p.request.(object.Put); isPut {
			return fmt.Sprintf("put %s expecting version %q", put.Key(), put.ExpectedVersion())
		}
		return "get " + p.request.Key().String()
	case operator.Answer:
		return fmt.Sprintf("answer %s %s", effect.Request(), formatOutcome(effect.Outcome()))
	case operator.Publish:
		return fmt.Sprintf("publish %d", effect.Revision())
	case operator.ExecuteAction:
		return fmt.Sprintf("execute %s for %s", effect.Action(), effect.Author())
	}
	return fmt.Sprintf("%T", effect)
}

func formatOutcome(outcome operator.Outcome) string {
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
		return fmt.Sprintf("read revision %d, %d changes", o.Current().Revision(), len(o.Changes()))
	}
	return fmt.Sprintf("%T", outcome)
}

func (p *sessionPlayer) number(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		p.t.Fatal(err)
	}
	return number
}

// ownsAllTargets resolves all targets, except "nobody", to the model koinonia-notices.
type ownsAllTargets struct{}

func (ownsAllTargets) ResolveTarget(_ operator.Kind, target string) (name string, known bool) {
	return "koinonia-notices", target != "nobody"
}
