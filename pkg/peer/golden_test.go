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
	golden.Run(t, func(t *testing.T) golden.Handler {
		p := &player{fleet: &fleet{}, node: &node{}, refs: map[string]object.Ref{}}
		checkers := []checker{revisionsNeverDecrease(), evidenceNeverRegresses(), freezeInvalidatesEvidence()}
		return func(now time.Time, words []string) []string {
			if len(words) == 0 {
				return nil
			}
			p.fleet.now = now
			e := p.event(now, words)
			effects := p.node.Reduce(now, e)
			for _, check := range checkers {
				if violation := check(p.fleet, p.node, e, effects); violation != "" {
					t.Error(violation)
				}
			}
			return p.describe(now, effects)
		}
	})
}

// player converts the lines of a session into events, and effects into lines.
type player struct {
	fleet  *fleet
	node   *node
	refs   map[string]object.Ref
	number uint64
}

// event returns the event that the words of one line describe.
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
		return NewUpstreamsChanged(all)
	case "link-opened":
		return NewLinkOpened(words[1], words[1]+":1")
	case "link-closed":
		return NewLinkClosed(words[1], words[1]+":1")
	case "received":
		return NewReceived(words[1], p.message(now, words[1], words[2:]), 0)
	case "probed":
		return NewProbed(p.probeResult(now, words[1], words[2]))
	case "document-published":
		return NewDocumentPublished(testDocument(words[1]))
	case "fact-shared":
		return NewFactShared(words[1], words[2], []byte(words[3]), now.Add(time.Minute))
	case "leave-cancelled":
		return NewLeaveCancelled()
	case "leaving":
		return NewLeaving()
	case "found":
		return NewStoreCompleted(object.NewFound(p.refs["last"], "v", testDocument(words[1]).data))
	case "absent":
		return NewStoreCompleted(object.NewAbsent(p.refs["last"]))
	case "lost":
		return NewStoreCompleted(object.NewLost(p.refs["last"]))
	}
	return NewTicked()
}

func testDocument(number string) Document {
	return NewDocument("config", parseNumber(number), fmt.Appendf(nil, `{"revision":%s}`, number))
}

func (p *player) probeResult(now time.Time, id, boot string) instance.ProbeResult {
	if boot == "down" {
		return instance.NewFailedProbe(instance.ID(id), p.node.name, now)
	}
	return instance.NewProbeResult(instance.ID(id), instance.BootID(boot), instance.Assignment{}, instance.PhaseReady,
		instance.NewLoad(1, 0, 100), p.node.name, now)
}

func parseNumber(word string) uint64 {
	n, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// message returns a message from a peer. An item is a word of fields joined by colons.
func (p *player) message(now time.Time, from string, items []string) Message {
	p.number++
	m := Message{from: from, incarnation: 1, number: p.number, senderUptime: now.Sub(golden.Epoch), digest: 1}
	for _, item := range items {
		fields := append(strings.Split(item, ":"), "0", "0", "0", "0", "0")
		age := func(word string) time.Duration { return time.Duration(parseNumber(word)) * 100 * time.Millisecond }
		switch fields[0] {
		case "number":
			m.number = parseNumber(fields[1])
		case "uptime":
			m.senderUptime = age(fields[1])
		case "from":
			m.from = fields[1]
		case "synced":
			m.synced = true
		case "join":
			m.request.join = true
		case "member":
			m.members = append(m.members, memberInfo{
				name: fields[1], address: fields[1] + ":1", callerAddress: fields[1] + ":2", centre: fields[2],
				incarnation: 1, infoVersion: 1, sequence: parseNumber(fields[3]), age: age(fields[4]),
				reportVersion: parseNumber(fields[5]), revision: parseNumber(fields[6]),
			})
		case "heartbeat":
			m.heartbeats = append(m.heartbeats, heartbeat{
				member: handleOf(fields[1], 1), sequence: uint8(parseNumber(fields[2])), age: age(fields[3]),
				reportVersion: uint16(parseNumber(fields[4])),
			})
		case "change":
			e := reportEntry{upstream: fields[3], alive: fields[4] != "down", age: age(fields[5]), phase: instance.PhaseReady}
			if e.alive {
				e.boot = instance.BootID(fields[4])
			}
			m.reportChanges = append(m.reportChanges, reportChange{
				watcher: handleOf(fields[1], 1), version: parseNumber(fields[2]), entry: e,
			})
		case "revision":
			m.revisions = append(m.revisions, documentRevision{"config", parseNumber(fields[1])})
		case "document":
			m.documents = append(m.documents, testDocument(fields[1]))
		}
	}
	return m
}

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
		result := e.result
		state := string(result.Boot())
		if !result.Alive() {
			state = "down"
		}
		return fmt.Sprintf("apply %s %s by %s %v ago", result.ID(), state, result.Watcher(), now.Sub(result.At()))
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
	return "reset-links"
}

func (p *player) contents(m Message) string {
	var line strings.Builder
	for _, info := range m.members {
		fmt.Fprintf(&line, " member:%s", info.name)
	}
	for _, h := range m.heartbeats {
		fmt.Fprintf(&line, " heartbeat:%s:%d", p.node.members[h.member].name, h.sequence)
	}
	for _, c := range m.reportChanges {
		fmt.Fprintf(&line, " change:%s:%d:%s:%s", p.node.members[c.watcher].name, c.version, c.entry.upstream, c.entry.boot)
	}
	for _, r := range m.reports {
		fmt.Fprintf(&line, " report:%s:%d", p.node.members[r.watcher].name, r.version)
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
	if m.request.join {
		line.WriteString(" join")
	}
	if r := m.request; len(r.members)+len(r.heartbeats)+len(r.reports)+len(r.documents) > 0 {
		fmt.Fprintf(&line, " request:%d:%d:%d:%s",
			len(r.members), len(r.heartbeats), len(r.reports), strings.Join(r.documents, ","))
	}
	return line.String()
}
