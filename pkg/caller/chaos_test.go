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
	chaosSeeds   = 100
	chaosEvents  = 600
	maxChaosStep = 50 * time.Millisecond
)

// chaos feeds one daemon a random sequence of events and checks the effects.
type chaos struct {
	now             time.Time
	random          *rand.Rand
	state           State
	lastID          ID
	calls           map[ID]Call
	running         []ID
	cancelled       map[ID]bool
	stopRequestedAt time.Time
	drops           func(Event) bool
	violations      []string
}

func newChaos(seed uint64, drops func(Event) bool) *chaos {
	c := &chaos{
		now:       golden.Epoch,
		random:    rand.New(rand.NewPCG(seed, 4)),
		calls:     map[ID]Call{},
		cancelled: map[ID]bool{},
		drops:     drops,
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
		c.now = c.now.Add(time.Duration(c.random.Int64N(int64(maxChaosStep))))
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
	if openCount := len(c.calls) + c.state.View().Calls(); openCount > 0 {
		c.addViolation("%d calls never end", openCount)
	}
}

func (c *chaos) step() {
	switch roll := c.random.IntN(100); {
	case roll < 35:
		c.arrive()
	case roll < 60 && len(c.running) > 0:
		c.finish(c.random.IntN(len(c.running)))
	case roll < 65:
		c.feed(NewDisconnected(1 + ID(c.random.Uint64N(uint64(c.lastID)+1))))
	case roll < 70:
		c.feed(NewCapacityChanged("m", c.random.IntN(12)))
	case roll < 75:
		usage := NewUsage("m", "a", c.random.IntN(9))
		c.feed(NewUsageReported(c.peer(), []Allocation{NewAllocation("m", c.random.IntN(5))}, []Usage{usage}))
	case roll < 78:
		c.feed(NewPeersChanged([]Peer{NewPeer(c.peer(), "", "a", false, 0), NewPeer(c.peer(), "", "b", true, 0)}))
	case roll < 79:
		c.feed(NewConfigured(c.settings()))
	case roll < 80 && c.stopRequestedAt.IsZero():
		c.stopRequestedAt = c.now
		c.feed(NewStopRequested())
	case roll < 81:
		c.stopRequestedAt = time.Time{}
		c.feed(NewStopCancelled())
	default:
		c.feed(NewTicked())
	}
}

func (c *chaos) peer() string { return fmt.Sprintf("d%d", c.random.IntN(3)) }

func (c *chaos) arrive() {
	c.lastID++
	target, kind := "m", Model
	if c.random.IntN(3) == 0 {
		target, kind = "s", Service
	}
	organisation := []string{"a", "b", "c"}[c.random.IntN(3)]
	timeout := time.Duration(c.random.Int64N(int64(10 * time.Second)))
	call := NewCall(c.lastID, kind, target, organisation, c.now.Add(timeout)).WithPriority(c.random.IntN(3))
	c.calls[c.lastID] = call
	c.feed(NewArrived(call))
}

func (c *chaos) finish(i int) {
	id := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	c.feed(NewFinished(id, []Outcome{Answered{}, NewUnknown(UpstreamFailed)}[c.random.IntN(2)]))
}

func (c *chaos) feed(event Event) {
	if c.drops != nil && c.drops(event) {
		return
	}
	for _, effect := range c.state.Reduce(c.now, event) {
		switch effect := effect.(type) {
		case Dispatch:
			c.checkDispatch(effect.Call())
		case Reject:
			c.closeCall(effect.ID())
		case Cancel:
			c.cancelled[effect.ID()] = true
		}
	}
}

func (c *chaos) checkDispatch(call Call) {
	if !call.Deadline().After(c.now) {
		c.addViolation("call %d is dispatched after its deadline", call.ID())
	}
	if !c.stopRequestedAt.IsZero() && c.now.Sub(c.stopRequestedAt) > 15*time.Second {
		c.addViolation("call %d is dispatched long after the stop was requested", call.ID())
	}
	for _, t := range c.state.View().Targets() {
		if t.Name() == call.Target() && t.Running() > max(t.Allocated(), 1) {
			c.addViolation("%s runs %d calls with %d allocated slots", t.Name(), t.Running(), t.Allocated())
		}
	}
	c.closeCall(call.ID())
	c.running = append(c.running, call.ID())
}

// closeCall checks that a call is dispatched or rejected once.
func (c *chaos) closeCall(id ID) {
	if _, isOpen := c.calls[id]; !isOpen {
		c.addViolation("call %d ends twice", id)
	}
	delete(c.calls, id)
}

func (c *chaos) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func TestChaos(t *testing.T) {
	Convey("No random sequence of events violates an invariant", t, func() {
		for seed := range uint64(chaosSeeds) {
			c := newChaos(seed, nil)
			c.run()
			So(fmt.Sprint(seed, c.violations), ShouldEqual, fmt.Sprint(seed, []string(nil)))
		}
	})
	Convey("The checks detect a daemon that loses events", t, func() {
		c := newChaos(1, func(e Event) bool {
			_, isFinished := e.(Finished)
			return isFinished
		})
		c.run()
		So(strings.Join(c.violations, "\n"), ShouldContainSubstring, "never end")
	})
}
