package engine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Handler {
		p := &player{t: t}
		p.state.Reduce(golden.Epoch, &p.replicas, NewConfigured(NewSettings("d1", "a")))
		return p.play
	})
}

var failureNames = map[string]Failure{
	"notsent": NotSent, "overload": RefusedOverload, "refused": RefusedPermanently,
	"broken": Broken, "mismatch": IdentityMismatch,
	"crashed": Crashed, "timeout": TimedOut, "halted": Halted,
}

var verdictNames = []string{"suspicious", "passed", "cleared", "poisonous"}

// player runs the lines of a session on a State.
type player struct {
	t        *testing.T
	state    State
	replicas fakeReplicas
}

func (p *player) play(now time.Time, words []string) []string {
	var lines []string
	if event := p.event(now, words[0], words[1:]); event != nil {
		for _, effect := range p.state.Reduce(now, &p.replicas, event) {
			lines = append(lines, describe(effect))
		}
	}
	return lines
}

// event parses: replica NAME DC CALLS; remove NAME; submit ID TIMEOUT FINGERPRINT [once] [PREFIX...];
// started|completed ATTEMPT; progressed ATTEMPT TOKENS; FAILURE ATTEMPT TOKENS; cancelled ID;
// cached|snapshot REPLICA SEQUENCE [STORED...]; cachedby BOOT REPLICA SEQUENCE [STORED...];
// VERDICT FINGERPRINT OWNER REPLICA...; drained|undrained REPLICA; tick. An owner of - is none; once marks a call that
// isn't idempotent.
func (p *player) event(now time.Time, verb string, words []string) Event {
	if failure, isFailure := failureNames[verb]; isFailure {
		return NewFailed(AttemptID(p.count(words[0])), failure, p.count(words[1]))
	}
	switch verb {
	case "replica":
		p.setReplica(now, words)
		return nil
	case "remove":
		p.removeReplica(instance.ReplicaID(words[0]))
		return nil
	case "submit":
		return NewSubmitted(p.call(now, words))
	case "started":
		return NewStarted(AttemptID(p.count(words[0])))
	case "completed":
		return NewCompleted(AttemptID(p.count(words[0])))
	case "progressed":
		return NewProgressed(AttemptID(p.count(words[0])), p.count(words[1]))
	case "cancelled":
		return NewCancelled(caller.ID(p.count(words[0])))
	case "cached":
		return p.cacheReported(words)
	case "cachedby":
		return p.cacheReported(words[1:]).WithBoot(instance.BootID(words[0]))
	case "snapshot":
		return NewCacheSnapshot(instance.ReplicaID(words[0]), uint64(p.count(words[1])), p.hashes(words[2:]))
	case "drained", "undrained":
		return NewDrainChanged(instance.ReplicaID(words[0]), verb == "drained")
	case "tick":
		return NewTicked()
	}
	return p.suspicionReceived(verb, words)
}

func (p *player) setReplica(now time.Time, words []string) {
	name := instance.ReplicaID(words[0])
	upstream := NewUpstream(name, words[0]+":1", words[1]).WithLoad(instance.NewLoad(p.count(words[2]), 0, 0), now)
	if i, isKnown := p.replicas.index[name]; isKnown {
		p.replicas.list[i] = upstream
		return
	}
	p.replicas.list = append(p.replicas.list, upstream)
	p.reindex()
}

func (p *player) cacheReported(words []string) CacheReported {
	return NewCacheReported(instance.ReplicaID(words[0]), uint64(p.count(words[1])), p.hashes(words[2:]), nil)
}

func (p *player) removeReplica(name instance.ReplicaID) {
	i := p.replicas.index[name]
	p.replicas.list = append(p.replicas.list[:i], p.replicas.list[i+1:]...)
	p.reindex()
}

func (p *player) reindex() {
	p.replicas.index = map[instance.ReplicaID]int{}
	for i, upstream := range p.replicas.list {
		p.replicas.index[upstream.replica] = i
	}
}

func (p *player) call(now time.Time, words []string) caller.Call {
	limit, err := time.ParseDuration(words[1])
	if err != nil {
		p.t.Fatal(err)
	}
	rest := words[3:]
	call := caller.NewCall(caller.ID(p.count(words[0])), caller.Model, fakeModel, "o", now.Add(limit))
	if len(rest) > 0 && rest[0] == "once" {
		rest = rest[1:]
	} else {
		call = call.WithIdempotent()
	}
	return call.WithHashes(uint64(p.count(words[2])), p.hashes(rest))
}

func (p *player) suspicionReceived(verb string, words []string) Event {
	for verdict, name := range verdictNames {
		if name != verb {
			continue
		}
		var crashes []instance.ReplicaID
		for _, word := range words[2:] {
			crashes = append(crashes, instance.ReplicaID(word))
		}
		owner := strings.TrimPrefix(words[1], "-")
		return NewSuspicionReceived(NewSuspicion(uint64(p.count(words[0])), Verdict(verdict), crashes, owner))
	}
	p.t.Fatalf("unknown event %q", verb)
	return nil
}

func (p *player) hashes(words []string) []uint64 {
	var result []uint64
	for _, word := range words {
		result = append(result, uint64(p.count(word)))
	}
	return result
}

func (p *player) count(word string) int {
	number, err := strconv.Atoi(word)
	if err != nil {
		p.t.Fatal(err)
	}
	return number
}

func describe(effect Effect) string {
	switch e := effect.(type) {
	case Send:
		return fmt.Sprintf("send %d call %d to %s from %d", e.Attempt(), e.Call().ID(), e.Replica(), e.TokenOffset())
	case Cancel:
		return fmt.Sprintf("cancel %d", e.Attempt())
	case Finish:
		return fmt.Sprintf("finish %d %s", e.ID(), describeOutcome(e.Outcome()))
	case PublishSuspicion:
		s := e.Suspicion()
		return fmt.Sprintf("publish %d %s %v %s", s.Fingerprint(), verdictNames[s.Verdict()], s.CrashedReplicas(), s.Owner())
	case ReadCacheEvents:
		return fmt.Sprintf("read %s after %d", e.Replica(), e.After())
	case ResyncCache:
		return fmt.Sprintf("resync %s", e.Replica())
	}
	return "unknown"
}

func describeOutcome(outcome caller.Outcome) string {
	switch o := outcome.(type) {
	case caller.NotRun:
		return fmt.Sprintf("not run, %s, retry after %v", o.Reason(), o.RetryAfter().Round(time.Millisecond))
	case caller.Unknown:
		return fmt.Sprintf("unknown, %s", o.Reason())
	}
	return "answered"
}
