package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/route"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(*testing.T) golden.Player {
		p := &player{state: New(NewSettings(1, NewRetries(0.2, 10, 10*time.Second)))}
		return func(now time.Time, words []string) []string {
			if len(words) == 0 {
				return nil
			}
			e := p.event(words)
			if e == nil {
				return nil
			}
			var lines []string
			for _, effect := range p.state.Reduce(now, p, e) {
				if line := p.line(effect); line != "" {
					lines = append(lines, line)
				}
			}
			return lines
		}
	})
}

// player turns the words of a session into events, and effects into words; the daemon keeps count itself unless the
// session names another one.
type player struct {
	state   State
	targets []Target
	owner   string
}

func (p *player) Replicas(string) []Target  { return p.targets }
func (p *player) Processes(string) []Target { return p.targets }
func (p *player) Owner(Share) string        { return p.owner }

// event returns the event that the words of one line stand for, nil for what only changes the surroundings.
func (p *player) event(words []string) Event {
	number := func(i int) uint64 {
		n, err := strconv.ParseUint(words[i], 10, 64)
		if err != nil {
			panic(err)
		}
		return n
	}
	switch words[0] {
	case "targets":
		p.targets = nil
		for _, name := range words[1:] {
			p.targets = append(p.targets, NewTarget(name, name+":1", true, 2))
		}
		return nil
	case "owner":
		p.owner = words[1]
		return nil
	case "configure":
		return NewConfigured(sessionConfig(number(1)))
	case "arrive": // id organisation path patience content
		patience, err := time.ParseDuration(words[4])
		if err != nil {
			panic(err)
		}
		return NewArrived(NewRequest(ID(number(1)), "r"+words[1], "pond", words[3], words[2]).
			WithModel("m", 500, 100).WithPatience(patience).WithContent(number(5)))
	case "started":
		return NewStarted(Attempt(number(1)), Load{})
	case "flowed":
		return NewFlowed(Attempt(number(1)))
	case "ended":
		return NewEnded(Attempt(number(1)))
	case "failed": // attempt failure [last]
		failure := Failure(slices.Index(failureNames[:], strings.ReplaceAll(words[2], "-", " ")))
		e := NewFailed(Attempt(number(1)), failure)
		if len(words) > 3 {
			e = e.WithProgress(words[3])
		}
		return e
	case "left":
		return NewLeft(ID(number(1)))
	case "broke":
		return NewBroke(words[1])
	case "crashed":
		return NewCrashed(number(1), words[2])
	case "condemned":
		return NewCondemned(number(1), int(number(2)), time.Minute)
	case "given":
		return NewGranted(number(1), Given, 0).WithPlace(words[2], 1)
	case "waits":
		return NewGranted(number(1), Waits, 3)
	case "denied":
		return NewGranted(number(1), Denied, 5)
	case "wished": // from ask left
		left, err := time.ParseDuration(words[3])
		if err != nil {
			panic(err)
		}
		return NewWished(words[1], NewWish(number(2), shareOf("m", p.targets[0].name), 500).WithPatience(0, left/4, left))
	case "claimed":
		return NewClaimed(words[1], map[string]Held{words[2]: NewHeld(int(number(3)), 0)})
	case "stopping":
		return NewStopping()
	}
	return NewTicked()
}

func sessionConfig(revision uint64) route.Config {
	engine := route.NewEngine(2, route.NewModel("m", 2, 1, 1)).WithPace(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	return route.New(revision).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine), route.NewService("desk", "/h", 100)).
		WithOrganisation(route.NewOrganisation("one", 0, false), "one").
		WithRoutes(
			route.NewRoute("draft", "pond", "/draft/", route.Stream).WithTimes(6*time.Second, 300*time.Millisecond, 200*time.Millisecond).
				WithAttempts(2).WithResumable(true).WithShares(route.NewShare("engines", 1)),
			route.NewRoute("issue", "pond", "/issue/", route.Once).WithTimes(time.Second, 300*time.Millisecond, 0).
				WithShares(route.NewShare("desk", 1)),
		)
}

// line returns the words for an effect, empty for notes of what other effects say.
func (p *player) line(effect Effect) string {
	switch effect := effect.(type) {
	case Send:
		return fmt.Sprintf("send %d as %d to %s last %q", effect.ID(), effect.Attempt(), effect.Upstream(), effect.Last())
	case Cancel:
		return fmt.Sprintf("cancel %d", effect.Attempt())
	case Refuse:
		return fmt.Sprintf("refuse %d %s again %s", effect.ID(), effect.Reason(), effect.Again().Round(time.Millisecond))
	case Fail:
		return fmt.Sprintf("fail %d %s", effect.ID(), effect.Reason())
	case Deliver:
		return fmt.Sprintf("deliver %d", effect.ID())
	case Drop:
		return fmt.Sprintf("drop %d", effect.ID())
	case Suspect:
		return fmt.Sprintf("suspect %s: %s", effect.Upstream(), effect.Reason())
	case Ask:
		return fmt.Sprintf("ask %s number %d left %s", effect.Owner(), effect.Wish().Ask(), effect.Wish().Left().Round(time.Millisecond))
	case Grant:
		a := effect.Answer()
		return fmt.Sprintf("answer %s number %d verdict %d at %q", effect.To(), a.Ask(), a.Verdict(), a.Upstream())
	case Claim:
		var words []string
		for _, head := range slices.Sorted(maps.Keys(effect.Held())) {
			words = append(words, fmt.Sprintf("%s=%d", head, effect.Held()[head].Calls()))
		}
		return "claim " + effect.Owner() + " " + strings.Join(words, " ")
	case Crash:
		return fmt.Sprintf("crash %d at %s", effect.Content(), effect.Upstream())
	case Condemn:
		return fmt.Sprintf("condemn %d at %d crashes", effect.Content(), effect.Crashes())
	}
	return ""
}
