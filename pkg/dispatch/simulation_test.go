package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/route"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

const (
	tickInterval     = 25 * time.Millisecond
	replicaSlotCount = 8
	callTime         = 800 * time.Millisecond // duration of a call at a replica
	firstEventDelay  = 80 * time.Millisecond  // time to its first event
	callGoal         = 300 * time.Millisecond
	callTimeout      = 6 * time.Second
)

// simulation is one daemon with replicas that serve a list of requests.
type simulation struct {
	state        State
	now          time.Time
	targets      []Target
	runningCalls map[string]int       // by upstream
	firstEvent   map[ID]time.Duration // time to the first event
	arrived      map[ID]time.Time
	organisation map[ID]string
	refused      map[ID]bool
	failed       map[ID]Reason
	forwarded    map[ID]bool // an error response was forwarded
	sends        map[ID]int
	running      map[AttemptID]Send
	timers       []timer
	opensAt      time.Time // when the next replica opens, zero for now
	retryAfter   map[ID]time.Duration
	failWith     func(Send) Failure       // returns the failure of an attempt, NoFailure for success
	throttleFor  map[string]time.Duration // Retry-After times of the upstreams that refuse requests
	sentTo       map[string]int           // requests, by upstream
	maxRunning   map[string]int           // requests that ran at once, by upstream
	way          relay.Route
	silent       map[string]bool // upstreams that answer nothing
	effects      []Effect        // all that were emitted
}

type timer struct {
	at  time.Time
	run func()
}

func newSimulation(replicas int, seed uint64) *simulation {
	sim := &simulation{
		now: epoch, runningCalls: map[string]int{}, firstEvent: map[ID]time.Duration{}, arrived: map[ID]time.Time{},
		organisation: map[ID]string{}, refused: map[ID]bool{}, failed: map[ID]Reason{}, forwarded: map[ID]bool{}, sends: map[ID]int{}, running: map[AttemptID]Send{},
		failWith: func(Send) Failure { return NoFailure }, retryAfter: map[ID]time.Duration{},
		throttleFor: map[string]time.Duration{}, silent: map[string]bool{}, sentTo: map[string]int{}, maxRunning: map[string]int{},
	}
	for i := range replicas {
		sim.targets = append(sim.targets, NewTarget(fmt.Sprintf("h%d", i), fmt.Sprintf("10.0.0.%d:1", i), true, replicaSlotCount))
	}
	sim.state = New(NewSettings(seed, NewRetryLimits(0.2, 100, 10*time.Second)))
	engine := route.NewEngine(replicaSlotCount, route.NewModel("m", 2, 1, 1)).
		WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	config := route.New(1).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine), route.NewService("desk", "/h", 100)).
		WithRoutes(
			route.NewRoute("draft", "pond", "/draft/", route.Stream).
				WithTimes(callTimeout, callGoal, callGoal).WithMaxAttempts(2).WithResumable(true).
				WithSplit(route.NewWeightedService("engines", 1)),
			route.NewRoute("issue", "pond", "/issue/", route.Once).WithTimes(time.Second, callGoal, 0).
				WithSplit(route.NewWeightedService("desk", 1)),
			route.NewRoute("read", "pond", "/read/", route.Idempotent).WithTimes(time.Second, callGoal, 0).WithMaxAttempts(2).
				WithSplit(route.NewWeightedService("desk", 1)),
		).
		WithOrganisation(route.NewOrganisation("large", 0, false), "large").
		WithOrganisation(route.NewOrganisation("small", 0, false), "small")
	sim.feed(NewConfigured(config))
	return sim
}

// Replicas returns the replicas of the simulation.
func (sim *simulation) Replicas(string) []Target { return sim.targets }

// Processes returns the same upstreams for a plain service.
func (sim *simulation) Processes(string) []Target { return sim.targets }

// Centre returns no data centre, as in a deployment with one.
func (*simulation) Centre() string { return "" }

// NextOpening returns when a replica opens.
func (sim *simulation) NextOpening(now time.Time, _ string) time.Time {
	if sim.opensAt.After(now) {
		return sim.opensAt
	}
	return now
}

// Way returns the way through a peer if there is one, else the direct way.
func (sim *simulation) Way(time.Time, string, route.Regions) relay.Route { return sim.way }

// IsWithin reports true: all upstreams are in all regions.
func (*simulation) IsWithin(string, route.Regions) bool { return true }

// Owner returns "", which stands for the daemon itself.
func (sim *simulation) Owner(Shard) string { return "" }

func (sim *simulation) feed(e Event) {
	for _, effect := range sim.state.Reduce(sim.now, sim, e) {
		sim.carryOut(effect)
	}
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.timers = append(sim.timers, timer{sim.now.Add(d), run})
}

// arrive sends a request of an organisation for path.
func (sim *simulation) arrive(id ID, organisation, path string) {
	sim.arrived[id], sim.organisation[id] = sim.now, organisation
	sim.feed(NewArrived(NewRequest(id, fmt.Sprint(id), "pond", path, organisation).WithModel("m", 500, 100).WithTimeout(callTimeout)))
}

func (sim *simulation) carryOut(effect Effect) {
	sim.effects = append(sim.effects, effect)
	switch effect := effect.(type) {
	case Send:
		sim.sends[effect.ID()]++
		sim.send(effect)
	case Cancel:
		sim.after(time.Millisecond, func() { sim.feed(NewFailed(effect.Attempt(), Halted)) })
	case Refuse:
		sim.refused[effect.ID()] = true
		sim.retryAfter[effect.ID()] = effect.RetryAfter()
	case ForwardFailure:
		sim.forwarded[effect.ID()] = true
	case Fail:
		sim.failed[effect.ID()] = effect.Reason()
	}
}

func (sim *simulation) send(send Send) {
	a := send.Attempt()
	sim.sentTo[send.Upstream()]++
	if wait := sim.throttleFor[send.Upstream()]; wait > 0 {
		sim.after(5*time.Millisecond, func() {
			sim.feed(NewThrottled(a, wait))
			sim.feed(NewFailed(a, NotRun))
		})
		return
	}
	if failure := sim.failWith(send); failure != NoFailure {
		sim.after(5*time.Millisecond, func() { sim.feed(NewFailed(a, failure)) })
		return
	}
	if sim.silent[send.Upstream()] {
		return
	}
	sim.running[a] = send
	sim.runningCalls[send.Upstream()]++
	sim.maxRunning[send.Upstream()] = max(sim.maxRunning[send.Upstream()], sim.runningCalls[send.Upstream()])
	sim.after(firstEventDelay, func() {
		sim.feed(NewStarted(a, NewLoad(sim.runningCalls[send.Upstream()], 0, replicaSlotCount)))
		if _, isKnown := sim.firstEvent[send.ID()]; !isKnown {
			sim.firstEvent[send.ID()] = sim.now.Sub(sim.arrived[send.ID()])
		}
		sim.feed(NewFirstEventReceived(a))
	})
	sim.after(callTime, func() {
		sim.runningCalls[send.Upstream()]--
		sim.feed(NewCompleted(a))
	})
}

// run advances the time.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(time.Millisecond)
		pending := sim.timers
		sim.timers = nil
		for _, next := range pending {
			if next.at.After(sim.now) {
				sim.timers = append(sim.timers, next)
				continue
			}
			next.run()
		}
		if sim.now.Sub(epoch)%tickInterval == 0 {
			sim.feed(NewTicked())
		}
	}
}

// onTime returns the fraction of an organisation's requests whose first event met the goal, or of all requests if
// organisation is empty.
func (sim *simulation) onTime(organisation string) float64 {
	all, good := 0, 0
	for id, requester := range sim.organisation {
		if organisation != "" && requester != organisation {
			continue
		}
		all++
		if first, isServed := sim.firstEvent[id]; isServed && first <= callGoal {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// arrivals schedules requests of an organisation at a rate, at random times drawn from seed.
func (sim *simulation) arrivals(from ID, organisation string, rate float64, d time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	var times []time.Duration
	for range int(rate * d.Seconds()) {
		times = append(times, time.Duration(random.Float64()*float64(d)))
	}
	slices.Sort(times)
	for i, at := range times {
		sim.after(at, func() { sim.arrive(from+ID(i), organisation, "/draft/x") })
	}
}
