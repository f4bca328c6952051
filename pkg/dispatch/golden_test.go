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
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/route"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(*testing.T) golden.Handler {
		p := &player{state: New(NewSettings(1, NewRetryLimits(0.2, 10, 10*time.Second)))}
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

// player parses the lines of a session as events and formats effects; the daemon owns all shards unless the session
// names another owner.
type player struct {
	state   State
	targets []Target
	owner   string
}

// Centre returns no data centre, as in a deployment with one.
func (*player) Centre() string { return "" }

func (p *player) Replicas(string) []Target                      { return p.targets }
func (p *player) Processes(string) []Target                     { return p.targets }
func (p *player) NextOpening(now time.Time, _ string) time.Time { return now }

func (*player) Way(time.Time, string, route.Regions) relay.Route { return relay.Route{} }

// IsWithin reports true: all upstreams are in all regions.
func (*player) IsWithin(string, route.Regions) bool { return true }

func (p *player) Owner(Shard) string { return p.owner }

// event returns the event of one line, nil for a line that only changes the environment.
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
	case "configured":
		return NewConfigured(sessionConfig(number(1)))
	case "arrived": // id organisation path timeout content-hash [part ...]
		timeout, err := time.ParseDuration(words[4])
		if err != nil {
			panic(err)
		}
		return NewArrived(NewRequest(ID(number(1)), "r"+words[1], "pond", words[3], words[2]).
			WithModel("m", 500, 100).WithTimeout(timeout).WithContentHash(number(5)).WithParts(words[6:]...))
	case "started":
		return NewStarted(AttemptID(number(1)), Load{})
	case "first-event":
		return NewFirstEventReceived(AttemptID(number(1)))
	case "completed":
		return NewCompleted(AttemptID(number(1)))
	case "failed": // attempt failure [last-event-id]
		failure := Failure(slices.Index(failureNames[:], strings.ReplaceAll(words[2], "-", " ")))
		e := NewFailed(AttemptID(number(1)), failure)
		if len(words) > 3 {
			e = e.WithProgress(words[3])
		}
		return e
	case "caller-left":
		return NewCallerLeft(ID(number(1)))
	case "replica-broken":
		return NewReplicaBroken(words[1])
	case "crash-reported":
		return NewCrashReported(number(1), words[2])
	case "poison-marked":
		return NewPoisonMarked(number(1), int(number(2)), time.Minute)
	case "part-crash-reported":
		return NewPartCrashReported(words[1], words[2])
	case "part-answered":
		return NewPartAnswered(words[1])
	case "parts-asked":
		return NewPartsAsked(words[1:]...)
	case "part-marked": // part seconds
		return NewPartMarked(words[1], time.Duration(number(2))*time.Second)
	case "slot-granted":
		return NewSlotReply(number(1), SlotGranted, 0).WithSlot(words[2], 1)
	case "slot-queued":
		return NewSlotReply(number(1), SlotQueued, 3)
	case "slot-denied":
		return NewSlotReply(number(1), SlotDenied, 5)
	case "slot-requested": // from id max-wait
		maxWait, err := time.ParseDuration(words[3])
		if err != nil {
			panic(err)
		}
		return NewSlotRequested(words[1],
			NewSlotRequest(number(2), shardOf("m", p.targets[0].name), 500).WithUrgency(0, maxWait/4, maxWait))
	case "usage-reported":
		return NewUsageReported(words[1], map[string]ReplicaUsage{words[2]: NewReplicaUsage(int(number(3)), 0)})
	case "stopping":
		return NewStopping(Shutdown{})
	}
	return NewTicked()
}

func sessionConfig(revision uint64) route.Config {
	engine := route.NewEngine(2, route.NewModel("m", 2, 1, 1)).WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	return route.New(revision).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine), route.NewService("desk", "/h", 100)).
		WithOrganisation(route.NewOrganisation("one", 0, false), "one").
		WithRoutes(
			route.NewRoute("draft", "pond", "/draft/", route.Stream).WithTimes(6*time.Second, 300*time.Millisecond, 200*time.Millisecond).
				WithMaxAttempts(2).WithResumable(true).WithSplit(route.NewWeightedService("engines", 1)),
			route.NewRoute("issue", "pond", "/issue/", route.Once).WithTimes(time.Second, 300*time.Millisecond, 0).
				WithSplit(route.NewWeightedService("desk", 1)),
		)
}

// line returns the line of an effect, empty for a Note, which repeats other effects.
func (p *player) line(effect Effect) string {
	switch effect := effect.(type) {
	case Send:
		return fmt.Sprintf("send %d as %d to %s after %q", effect.ID(), effect.Attempt(), effect.Upstream(), effect.LastEventID())
	case Cancel:
		return fmt.Sprintf("cancel %d", effect.Attempt())
	case Refuse:
		return fmt.Sprintf("refuse %d %s retry-after %s",
			effect.ID(), effect.Reason(), effect.RetryAfter().Round(time.Millisecond))
	case Fail:
		return fmt.Sprintf("fail %d %s", effect.ID(), effect.Reason())
	case ForwardFailure:
		return fmt.Sprintf("forward-failure %d", effect.ID())
	case Drop:
		return fmt.Sprintf("drop %d", effect.ID())
	case Suspect:
		return fmt.Sprintf("suspect %s: %s", effect.Upstream(), effect.Reason())
	case RequestSlot:
		return fmt.Sprintf("request-slot %s id %d max-wait %s", effect.Owner(), effect.Request().RequestID(), effect.Request().MaxWait().Round(time.Millisecond))
	case ReplySlot:
		a := effect.Reply()
		return fmt.Sprintf("reply-slot %s id %d status %d at %q", effect.To(), a.RequestID(), a.Status(), a.Upstream())
	case ReportUsage:
		var words []string
		for _, head := range slices.Sorted(maps.Keys(effect.Usage())) {
			words = append(words, fmt.Sprintf("%s=%d", head, effect.Usage()[head].Calls()))
		}
		return "report-usage " + effect.Owner() + " " + strings.Join(words, " ")
	case ReportCrash:
		return fmt.Sprintf("report-crash %d at %s", effect.ContentHash(), effect.Upstream())
	case ReportPartCrash:
		return fmt.Sprintf("report-part-crash %s at %s", effect.Part(), effect.Upstream())
	case ReportPartAnswered:
		return "report-part-answered " + effect.Part()
	case AskParts:
		return "ask-parts " + strings.Join(effect.Parts(), " ")
	case MarkPart:
		return fmt.Sprintf("mark-part %s for %s", effect.Part(), effect.TTL())
	case MarkPoison:
		return fmt.Sprintf("mark-poison %d at %d crashes", effect.ContentHash(), effect.Crashes())
	}
	return ""
}
