package caller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	chaosSeeds  = 100
	chaosEvents = 600
	chaosStep   = 50 * time.Millisecond
)

// chaos feeds one daemon a seeded list of events and checks what comes back.
type chaos struct {
	now     time.Time
	random  *rand.Rand
	state   State
	last    ID
	calls   map[ID]Call
	running []ID
	halted  map[ID]bool
	stopped time.Time
	loses   func(Event) bool
	faults  []string
}

func newChaos(seed uint64, loses func(Event) bool) *chaos {
	c := &chaos{
		now:    golden.Epoch,
		random: rand.New(rand.NewPCG(seed, 4)),
		calls:  map[ID]Call{},
		halted: map[ID]bool{},
		loses:  loses,
	}
	c.feed(NewConfigured(c.settings()))
	return c
}

func (c *chaos) settings() Settings {
	targets := []Target{NewTarget("m", Model, 4), NewTarget("s", Service, 1+c.random.IntN(3))}
	settings := NewSettings("d0", "d0:1", "a").WithMaxQueue(1 + c.random.IntN(8)).
		WithTargets(targets[:1+c.random.IntN(2)]...)
	return settings.WithOrganisations(NewOrganisation("a", 1+c.random.IntN(3)), NewOrganisation("b", 1, "m"))
}

func (c *chaos) run() {
	for range chaosEvents {
		c.now = c.now.Add(time.Duration(c.random.Int64N(int64(chaosStep))))
		c.step()
	}
	for len(c.running) > 0 {
		c.finish(0)
	}
	c.now = c.now.Add(time.Hour)
	c.feed(NewTicked())
	for len(c.running) > 0 {
		c.finish(0)
	}
	if open := len(c.calls) + c.state.View().Calls(); open > 0 {
		c.report("%d calls never end", open)
	}
}

func (c *chaos) step() {
	switch roll := c.random.IntN(100); {
	case roll < 35:
		c.arrive()
	case roll < 60 && len(c.running) > 0:
		c.finish(c.random.IntN(len(c.running)))
	case roll < 65:
		c.feed(NewDisconnected(1 + ID(c.random.Uint64N(uint64(c.last)+1))))
	case roll < 70:
		c.feed(NewCapacityChanged("m", c.random.IntN(12)))
	case roll < 75:
		usage := NewUsage("m", "a", c.random.IntN(9))
		c.feed(NewUsageReported(c.peer(), []Allocation{NewAllocation("m", c.random.IntN(5))}, []Usage{usage}))
	case roll < 78:
		c.feed(NewPeersChanged([]Peer{NewPeer(c.peer(), "", "a", false, 0), NewPeer(c.peer(), "", "b", true, 0)}))
	case roll < 79:
		c.feed(NewConfigured(c.settings()))
	case roll < 80 && c.stopped.IsZero():
		c.stopped = c.now
		c.feed(NewStopRequested())
	case roll < 81:
		c.stopped = time.Time{}
		c.feed(NewStopCancelled())
	default:
		c.feed(NewTicked())
	}
}

func (c *chaos) peer() string { return fmt.Sprintf("d%d", c.random.IntN(3)) }

func (c *chaos) arrive() {
	c.last++
	target, kind := "m", Model
	if c.random.IntN(3) == 0 {
		target, kind = "s", Service
	}
	organisation := []string{"a", "b", "c"}[c.random.IntN(3)]
	limit := time.Duration(c.random.Int64N(int64(10 * time.Second)))
	call := NewCall(c.last, kind, target, organisation, c.now.Add(limit)).WithPriority(c.random.IntN(3))
	c.calls[c.last] = call
	c.feed(NewArrived(call))
}

func (c *chaos) finish(i int) {
	id := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	c.feed(NewFinished(id, []Outcome{Answered{}, NewUnknown(UpstreamFailed)}[c.random.IntN(2)]))
}

func (c *chaos) feed(event Event) {
	if c.loses != nil && c.loses(event) {
		return
	}
	for _, effect := range c.state.Reduce(c.now, event) {
		switch effect := effect.(type) {
		case Dispatch:
			c.begin(effect.Call())
		case Reject:
			c.end(effect.ID())
		case Cancel:
			c.halted[effect.ID()] = true
		}
	}
}

func (c *chaos) begin(call Call) {
	if !call.Deadline().After(c.now) {
		c.report("call %d is dispatched after its deadline", call.ID())
	}
	if !c.stopped.IsZero() && c.now.Sub(c.stopped) > 15*time.Second {
		c.report("call %d is dispatched long after the stop", call.ID())
	}
	for _, t := range c.state.View().Targets() {
		if t.Name() == call.Target() && t.Running() > max(t.Allocated(), 1) {
			c.report("%s runs %d of %d", t.Name(), t.Running(), t.Allocated())
		}
	}
	c.end(call.ID())
	c.running = append(c.running, call.ID())
}

// end checks that a call is dispatched or refused once.
func (c *chaos) end(id ID) {
	if _, isOpen := c.calls[id]; !isOpen {
		c.report("call %d ends twice", id)
	}
	delete(c.calls, id)
}

func (c *chaos) report(format string, arguments ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
}

func TestChaos(t *testing.T) {
	Convey("No seeded list of events breaks an invariant", t, func() {
		for seed := range uint64(chaosSeeds) {
			c := newChaos(seed, nil)
			c.run()
			So(fmt.Sprint(seed, c.faults), ShouldEqual, fmt.Sprint(seed, []string(nil)))
		}
	})
	Convey("The checks find a daemon that misses events", t, func() {
		c := newChaos(1, func(e Event) bool {
			_, isFinished := e.(Finished)
			return isFinished
		})
		c.run()
		So(strings.Join(c.faults, "\n"), ShouldContainSubstring, "never end")
	})
}
