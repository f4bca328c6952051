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
	simDaemons      = 8
	simSlots        = 400
	simStep         = 20 * time.Millisecond
	simDuration     = 60 * time.Second
	simDemandStart  = 30 * time.Second
	simMeanCallTime = 4 * time.Second
)

// allocationSim runs daemons that share the capacity of one target by gossip, under a fake clock. Isolated daemons receive
// neither peers nor reports.
type allocationSim struct {
	now             time.Time
	random          *rand.Rand
	states          []*State
	timers          map[time.Time][]func()
	lastID          ID
	openCalls       map[ID]string
	running         map[string]int
	maxExcess       float64
	convergenceTime time.Duration
	violations      []string
	isIsolated      bool
}

func newAllocationSim(seed uint64, isIsolated bool) *allocationSim {
	s := &allocationSim{
		now:        golden.Epoch,
		random:     rand.New(rand.NewPCG(seed, 3)),
		timers:     map[time.Time][]func(){},
		openCalls:  map[ID]string{},
		running:    map[string]int{},
		isIsolated: isIsolated,
	}
	var peers []Peer
	for i := range simDaemons {
		peers = append(peers, NewPeer(fmt.Sprintf("d%d", i), "", "a", false, 0))
	}
	for i := range simDaemons {
		state := &State{}
		s.states = append(s.states, state)
		settings := NewSettings(fmt.Sprintf("d%d", i), "", "a").WithTargets(NewTarget("m", Model, simSlots))
		s.feed(i, NewConfigured(settings.WithOrganisations(NewOrganisation("a", 1), NewOrganisation("b", 1))))
		if !isIsolated {
			s.feed(i, NewPeersChanged(peers))
		}
	}
	return s
}

func (s *allocationSim) after(delay time.Duration, run func()) {
	at := s.now.Add(delay).Truncate(simStep).Add(simStep)
	s.timers[at] = append(s.timers[at], run)
}

// run sends more calls of organisation a than the fleet can run, and after simDemandStart also calls of b that need its
// half of the capacity.
func (s *allocationSim) run() {
	start := s.now
	for s.now.Before(start.Add(simDuration)) {
		s.now = s.now.Add(simStep)
		for _, run := range s.timers[s.now] {
			run()
		}
		delete(s.timers, s.now)
		for i := range s.states {
			if s.random.IntN(5) == 0 {
				s.feed(i, NewTicked())
			}
		}
		s.arrive("a", 6)
		if since := s.now.Sub(start.Add(simDemandStart)); since > 0 {
			s.arrive("b", 3)
			s.noteConvergence(since)
		}
		if s.now.Sub(start) > 2*time.Second {
			s.maxExcess = max(s.maxExcess, float64(s.running["a"]+s.running["b"])/simSlots-1)
		}
	}
}

func (s *allocationSim) noteConvergence(since time.Duration) {
	if s.convergenceTime == 0 && float64(s.running["b"]) >= 0.95*simSlots/2 {
		s.convergenceTime = since
	}
}

func (s *allocationSim) arrive(organisation string, calls int) {
	for range calls {
		s.lastID++
		s.openCalls[s.lastID] = organisation
		call := NewCall(s.lastID, Model, "m", organisation, s.now.Add(20*time.Second))
		s.feed(s.random.IntN(simDaemons), NewArrived(call))
	}
}

func (s *allocationSim) feed(i int, event Event) {
	for _, effect := range s.states[i].Reduce(s.now, event) {
		switch effect := effect.(type) {
		case Dispatch:
			s.startCall(i, effect.Call().ID())
		case Reject:
			s.closeCall(effect.ID())
		case ReportUsage:
			s.gossip(i, effect)
		}
	}
}

func (s *allocationSim) startCall(i int, id ID) {
	organisation := s.closeCall(id)
	s.running[organisation]++
	callTime := time.Duration(s.random.ExpFloat64() * float64(simMeanCallTime))
	s.after(callTime, func() {
		s.running[organisation]--
		s.feed(i, NewFinished(id, Answered{}))
	})
}

// closeCall checks that a call is dispatched or rejected once.
func (s *allocationSim) closeCall(id ID) string {
	organisation, isOpen := s.openCalls[id]
	if !isOpen {
		s.violations = append(s.violations, fmt.Sprintf("call %d ends twice", id))
	}
	delete(s.openCalls, id)
	return organisation
}

func (s *allocationSim) gossip(from int, usage ReportUsage) {
	report := NewUsageReported(fmt.Sprintf("d%d", from), usage.Allocations(), usage.Usages())
	for to := range s.states {
		if to != from && !s.isIsolated {
			delay := time.Duration(100+s.random.IntN(300)) * time.Millisecond
			s.after(delay, func() { s.feed(to, report) })
		}
	}
}

func TestAllocationSim(t *testing.T) {
	Convey("Eight daemons exceed the capacity by at most 5% and converge within 10 s when the demand changes", t, func() {
		for seed := range uint64(5) {
			s := newAllocationSim(seed, false)
			s.run()
			t.Logf("seed %d: excess %.3f, converged after %v, a runs %d, b runs %d",
				seed, s.maxExcess, s.convergenceTime, s.running["a"], s.running["b"])
			So(s.violations, ShouldBeEmpty)
			So(s.maxExcess, ShouldBeLessThanOrEqualTo, 0.05)
			So(s.convergenceTime, ShouldBeBetween, 0, 10*time.Second)
		}
	})
	Convey("Daemons that receive no usage reports exceed the capacity by more than 5%", t, func() {
		s := newAllocationSim(1, true)
		s.run()
		So(s.maxExcess, ShouldBeGreaterThan, 0.05)
	})
}
