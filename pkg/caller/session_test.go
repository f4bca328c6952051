package caller

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Handler {
		p := &player{t: t}
		return p.play
	})
}

// player feeds the lines of a session to a State.
type player struct {
	t        *testing.T
	state    State
	settings Settings
}

func (p *player) play(now time.Time, words []string) []string {
	event := p.event(now, words[0], words[1:])
	if event == nil {
		return p.query(now, words)
	}
	var lines []string
	for _, effect := range p.state.Reduce(now, event) {
		lines = append(lines, describe(effect))
	}
	return lines
}

// event parses: daemon NAME DC; target NAME SLOTS; organisation NAME WEIGHT [TARGET...]; queue CALLS; arrive ID TARGET
// ORGANISATION TIMEOUT [PRIORITY]; answered|failed ID; disconnected ID; usage-reported DAEMON SLOTS
// ORGANISATION=CALLS...; peers NAME/DC[/leaving]...; capacity TARGET SLOTS; stop-requested; stop-cancelled; tick.
func (p *player) event(now time.Time, verb string, words []string) Event {
	switch verb {
	case "daemon":
		p.settings = NewSettings(words[0], words[0]+":1", words[1])
	case "target":
		p.settings = p.settings.WithTargets(append(p.settings.targets, NewTarget(words[0], Model, p.count(words[1])))...)
	case "organisation":
		next := NewOrganisation(words[0], p.count(words[1]), words[2:]...)
		p.settings = p.settings.WithOrganisations(append(p.settings.organisations, next)...)
	case "queue":
		p.settings = p.settings.WithMaxQueue(p.count(words[0]))
	case "arrive":
		return p.arrival(now, words)
	case "answered":
		return NewFinished(p.id(words[0]), Answered{})
	case "failed":
		return NewFinished(p.id(words[0]), NewUnknown(UpstreamFailed))
	case "disconnected":
		return NewDisconnected(p.id(words[0]))
	case "usage-reported":
		return p.usageReport(words)
	case "peers":
		return p.peers(words)
	case "capacity":
		return NewCapacityChanged(words[0], p.count(words[1]))
	case "stop-requested":
		return NewStopRequested()
	case "stop-scheduled":
		ends, err := time.ParseDuration(words[0])
		if err != nil {
			p.t.Fatal(err)
		}
		return NewStopScheduled(now.Add(ends))
	case "stop-cancelled":
		return NewStopCancelled()
	case "tick":
		return NewTicked()
	default:
		return nil
	}
	return NewConfigured(p.settings)
}

func (p *player) arrival(now time.Time, words []string) Event {
	timeout, err := time.ParseDuration(words[3])
	if err != nil {
		p.t.Fatal(err)
	}
	call := NewCall(p.id(words[0]), Model, words[1], words[2], now.Add(timeout))
	if len(words) > 4 {
		call = call.WithPriority(p.count(words[4]))
	}
	return NewArrived(call)
}

func (p *player) usageReport(words []string) Event {
	target := p.settings.targets[0].name
	var usages []Usage
	for _, word := range words[2:] {
		organisation, calls, _ := strings.Cut(word, "=")
		usages = append(usages, NewUsage(target, organisation, p.count(calls)))
	}
	return NewUsageReported(words[0], []Allocation{NewAllocation(target, p.count(words[1]))}, usages)
}

func (p *player) peers(words []string) Event {
	var peers []Peer
	for _, word := range words {
		parts := strings.Split(word, "/")
		peers = append(peers, NewPeer(parts[0], parts[0]+":1", parts[1], len(parts) > 2, 0))
	}
	return NewPeersChanged(peers)
}

// query parses: addresses DC.
func (p *player) query(now time.Time, words []string) []string {
	if words[0] != "addresses" {
		p.t.Fatalf("unknown event %q", words)
	}
	addresses := p.state.Addresses(now, words[1])
	return []string{fmt.Sprintf("addresses %s ttl %v", strings.Join(addresses.List(), " "), addresses.TTL())}
}

func (p *player) count(word string) int {
	number, err := strconv.Atoi(word)
	if err != nil {
		p.t.Fatal(err)
	}
	return number
}

func (p *player) id(word string) ID { return ID(p.count(word)) }

func describe(effect Effect) string {
	switch e := effect.(type) {
	case Dispatch:
		return fmt.Sprintf("dispatch %d", e.Call().ID())
	case Reject:
		return fmt.Sprintf("reject %d %s retry-after %v",
			e.ID(), e.Outcome().Reason(), e.Outcome().RetryAfter().Round(time.Millisecond))
	case Cancel:
		return fmt.Sprintf("cancel %d", e.ID())
	case ReportUsage:
		words := []string{"report-usage"}
		for _, allocation := range e.Allocations() {
			words = append(words, fmt.Sprintf("allocated %s=%d", allocation.Target(), allocation.Slots()))
		}
		for _, usage := range e.Usages() {
			words = append(words, fmt.Sprintf("%s/%s=%d", usage.Target(), usage.Organisation(), usage.Calls()))
		}
		return strings.Join(words, " ")
	}
	if _, isEnd := effect.(EndCalls); isEnd {
		return "end-calls"
	}
	return "complete-stop"
}
