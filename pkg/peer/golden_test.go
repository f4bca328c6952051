package peer

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

func TestSessions(t *testing.T) {
	golden.Run(t, func(t *testing.T) golden.Player {
		p := &player{fleet: &fleet{}, node: &node{}, refs: map[string]object.Ref{}}
		checkers := []checker{neverReverts(), newestWins(), distrustsAfterFreeze()}
		return func(now time.Time, words []string) []string {
			if len(words) == 0 {
				return nil
			}
			p.fleet.now = now
			e := p.event(now, words)
			effects := p.node.Reduce(now, e)
			for _, check := range checkers {
				if wrong := check(p.fleet, p.node, e, effects); wrong != "" {
					t.Error(wrong)
				}
			}
			return p.describe(now, effects)
		}
	})
}

// player turns the words of a session into events, and effects into words.
type player struct {
	fleet  *fleet
	node   *node
	refs   map[string]object.Ref
	number uint64
}

// event returns the event that the words of one line stand for.
func (p *player) event(now time.Time, words []string) Event {
	switch words[0] {
	case "configure":
		p.node.name = words[1]
		return NewConfigured(NewSettings(words[1], words[1]+":1", words[1]+":2", words[2], 1).
			WithSeeds(words[3:]...).WithDocuments(NewDocumentSource("config", configKey, "revision")))
	case "list":
		var all []Upstream
		for _, id := range words[1:] {
			all = append(all, NewUpstream(id, id+":3", "c1", "d1"))
		}
		return NewListed(all)
	case "dialled":
		return NewLinkOpened(words[1], words[1]+":1")
	case "closed":
		return NewLinkClosed(words[1], words[1]+":1")
	case "received":
		return NewReceived(words[1], p.message(now, words[1], words[2:]), 0)
	case "probed":
		return NewProbed(p.sighting(now, words[1], words[2]))
	case "published":
		return NewDocumentPublished(document(words[1]))
	case "shared":
		return NewFactShared(words[1], words[2], []byte(words[3]), now.Add(time.Minute))
	case "returning":
		return NewLeaveCancelled()
	case "leaving":
		return NewLeaving()
	case "found":
		return NewStoreCompleted(object.NewFound(p.refs["last"], "v", document(words[1]).data))
	case "absent":
		return NewStoreCompleted(object.NewAbsent(p.refs["last"]))
	case "lost":
		return NewStoreCompleted(object.NewLost(p.refs["last"]))
	}
	return NewTicked()
}

func document(number string) Document {
	return NewDocument("config", natural(number), fmt.Appendf(nil, `{"revision":%s}`, number))
}

func (p *player) sighting(now time.Time, id, boot string) instance.ProbeResult {
	if boot == "down" {
		return instance.NewFailedProbe(instance.ID(id), p.node.name, now)
	}
	return instance.NewProbeResult(instance.ID(id), instance.BootID(boot), instance.Assignment{}, instance.PhaseReady,
		instance.NewLoad(1, 0, 100), p.node.name, now)
}

func natural(word string) uint64 {
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// message returns what a peer says; an item is a word of fields joined by colons.
func (p *player) message(now time.Time, from string, items []string) Message {
	p.number++
	m := Message{from: from, incarnation: 1, number: p.number, sent: now.Sub(golden.Epoch), digest: 1}
	for _, item := range items {
		f := append(strings.Split(item, ":"), "0", "0", "0", "0", "0")
		age := func(word string) time.Duration { return time.Duration(natural(word)) * 100 * time.Millisecond }
		switch f[0] {
		case "number":
			m.number = natural(f[1])
		case "sent":
			m.sent = age(f[1])
		case "from":
			m.from = f[1]
		case "settled":
			m.settled = true
		case "join":
			m.wants.join = true
		case "card":
			m.cards = append(m.cards, card{
				name: f[1], address: f[1] + ":1", caller: f[1] + ":2", centre: f[2], incarnation: 1, edition: 1,
				sequence: natural(f[3]), age: age(f[4]), version: natural(f[5]), revision: natural(f[6]),
			})
		case "beat":
			m.beats = append(m.beats, beat{
				of: handleOf(f[1], 1), sequence: uint8(natural(f[2])), age: age(f[3]), version: uint16(natural(f[4])),
			})
		case "change":
			e := entry{upstream: f[3], alive: f[4] != "down", age: age(f[5]), phase: instance.PhaseReady}
			if e.alive {
				e.boot = instance.BootID(f[4])
			}
			m.changes = append(m.changes, change{of: handleOf(f[1], 1), version: natural(f[2]), entry: e})
		case "revision":
			m.revisions = append(m.revisions, revision{"config", natural(f[1])})
		case "document":
			m.documents = append(m.documents, document(f[1]))
		}
	}
	return m
}

// describe returns one line for each effect.
func (p *player) describe(now time.Time, effects []Effect) []string {
	var lines []string
	for _, effect := range effects {
		lines = append(lines, p.line(now, effect))
	}
	return lines
}

func (p *player) line(now time.Time, effect Effect) string {
	switch e := effect.(type) {
	case Send:
		return "send " + e.address + p.contents(e.message)
	case Probe:
		return "probe " + e.upstream.id
	case ApplyProbeResult:
		s := e.result
		state := string(s.Boot())
		if !s.Alive() {
			state = "down"
		}
		return fmt.Sprintf("sight %s %s by %s %v ago", s.ID(), state, s.Watcher(), now.Sub(s.At()))
	case Adopt:
		return fmt.Sprintf("adopt %s %d", e.document.name, e.document.revision)
	case LearnFact:
		return fmt.Sprintf("learn %s %s %s of %s", e.topic, e.key, e.value, e.origin)
	case Members:
		line := "members"
		for _, m := range e.members {
			line += " " + m.name
			if m.leaving {
				line += "(leaving)"
			}
		}
		return line
	case Store:
		p.refs["last"] = e.request.Ref()
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e.request), "object.")) + " " + e.request.Key().String()
	}
	return "reset"
}

func (p *player) contents(m Message) string {
	var line strings.Builder
	for _, c := range m.cards {
		fmt.Fprintf(&line, " card:%s", c.name)
	}
	for _, b := range m.beats {
		fmt.Fprintf(&line, " beat:%s:%d", p.node.members[b.of].name, b.sequence)
	}
	for _, c := range m.changes {
		fmt.Fprintf(&line, " change:%s:%d:%s:%s", p.node.members[c.of].name, c.version, c.entry.upstream, c.entry.boot)
	}
	for _, st := range m.statements {
		fmt.Fprintf(&line, " statement:%s:%d", p.node.members[st.of].name, st.version)
	}
	for _, f := range m.facts {
		fmt.Fprintf(&line, " fact:%s:%s:%s", f.topic, f.key, f.origin)
	}
	for _, r := range m.revisions {
		fmt.Fprintf(&line, " revision:%d", r.number)
	}
	for _, d := range m.documents {
		fmt.Fprintf(&line, " document:%d", d.revision)
	}
	if m.wants.join {
		line.WriteString(" join")
	}
	if w := m.wants; len(w.cards)+len(w.beats)+len(w.statements)+len(w.documents) > 0 {
		fmt.Fprintf(&line, " wants:%d:%d:%d:%s", len(w.cards), len(w.beats), len(w.statements), strings.Join(w.documents, ","))
	}
	return line.String()
}
