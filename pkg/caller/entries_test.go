package caller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	entriesCount = 8
	entriesSlots = 400
	entriesStep  = 20 * time.Millisecond
	entriesTime  = 60 * time.Second
	entriesBack  = 30 * time.Second
	entriesTake  = 4 * time.Second
)

// entries are daemons that share the capacity of one target by gossip, under a fake clock.
type entries struct {
	now     time.Time
	random  *rand.Rand
	states  []*State
	due     map[time.Time][]func()
	last    ID
	open    map[ID]string
	running map[string]int
	over    float64
	returns time.Duration
	faults  []string
	isDeaf  bool
}

func newEntries(seed uint64, isDeaf bool) *entries {
	e := &entries{
		now:     golden.Epoch,
		random:  rand.New(rand.NewPCG(seed, 3)),
		due:     map[time.Time][]func(){},
		open:    map[ID]string{},
		running: map[string]int{},
		isDeaf:  isDeaf,
	}
	var peers []Peer
	for i := range entriesCount {
		peers = append(peers, NewPeer(fmt.Sprintf("d%d", i), "", "a", false, 0))
	}
	for i := range entriesCount {
		state := &State{}
		e.states = append(e.states, state)
		settings := NewSettings(fmt.Sprintf("d%d", i), "", "a").WithTargets(NewTarget("m", Model, entriesSlots))
		e.feed(i, NewConfigured(settings.WithOrganisations(NewOrganisation("a", 1), NewOrganisation("b", 1))))
		if !isDeaf {
			e.feed(i, NewPeersChanged(peers))
		}
	}
	return e
}

func (e *entries) after(delay time.Duration, run func()) {
	at := e.now.Add(delay).Truncate(entriesStep).Add(entriesStep)
	e.due[at] = append(e.due[at], run)
}

// run lets organisation a want more than everything at all daemons, and b, after a while, its half.
func (e *entries) run() {
	start := e.now
	for e.now.Before(start.Add(entriesTime)) {
		e.now = e.now.Add(entriesStep)
		for _, run := range e.due[e.now] {
			run()
		}
		delete(e.due, e.now)
		for i := range e.states {
			if e.random.IntN(5) == 0 {
				e.feed(i, NewTicked())
			}
		}
		e.arrive("a", 6)
		if since := e.now.Sub(start.Add(entriesBack)); since > 0 {
			e.arrive("b", 3)
			e.noteReturn(since)
		}
		if e.now.Sub(start) > 2*time.Second {
			e.over = max(e.over, float64(e.running["a"]+e.running["b"])/entriesSlots-1)
		}
	}
}

func (e *entries) noteReturn(since time.Duration) {
	if e.returns == 0 && float64(e.running["b"]) >= 0.95*entriesSlots/2 {
		e.returns = since
	}
}

func (e *entries) arrive(organisation string, calls int) {
	for range calls {
		e.last++
		e.open[e.last] = organisation
		call := NewCall(e.last, Model, "m", organisation, e.now.Add(20*time.Second))
		e.feed(e.random.IntN(entriesCount), NewArrived(call))
	}
}

func (e *entries) feed(i int, event Event) {
	for _, effect := range e.states[i].Reduce(e.now, event) {
		switch effect := effect.(type) {
		case Dispatch:
			e.begin(i, effect.Call().ID())
		case Reject:
			e.close(effect.ID())
		case ReportUsage:
			e.spread(i, effect)
		}
	}
}

func (e *entries) begin(i int, id ID) {
	organisation := e.close(id)
	e.running[organisation]++
	took := time.Duration(e.random.ExpFloat64() * float64(entriesTake))
	e.after(took, func() {
		e.running[organisation]--
		e.feed(i, NewFinished(id, Answered{}))
	})
}

// close checks that a call is dispatched or refused once.
func (e *entries) close(id ID) string {
	organisation, isOpen := e.open[id]
	if !isOpen {
		e.faults = append(e.faults, fmt.Sprintf("call %d ends twice", id))
	}
	delete(e.open, id)
	return organisation
}

func (e *entries) spread(from int, share ReportUsage) {
	news := NewUsageReported(fmt.Sprintf("d%d", from), share.Allocations(), share.Usages())
	for to := range e.states {
		if to != from && !e.isDeaf {
			lag := time.Duration(100+e.random.IntN(300)) * time.Millisecond
			e.after(lag, func() { e.feed(to, news) })
		}
	}
}

func TestEntries(t *testing.T) {
	Convey("Eight entries keep to the capacity, lend what isn't wanted, and give it back", t, func() {
		for seed := range uint64(5) {
			e := newEntries(seed, false)
			e.run()
			t.Logf("seed %d: over %.3f, back after %v, a runs %d, b runs %d", seed, e.over, e.returns, e.running["a"], e.running["b"])
			So(e.faults, ShouldBeEmpty)
			So(e.over, ShouldBeLessThanOrEqualTo, 0.05)
			So(e.returns, ShouldBeBetween, 0, 10*time.Second)
		}
	})
	Convey("Entries that don't hear of each other exceed the capacity", t, func() {
		e := newEntries(1, true)
		e.run()
		So(e.over, ShouldBeGreaterThan, 0.05)
	})
}
