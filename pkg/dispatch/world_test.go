package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

const (
	worldTick  = 25 * time.Millisecond
	worldSlots = 8
	worldTime  = 800 * time.Millisecond // of one call at a replica
	worldFirst = 80 * time.Millisecond  // until its first event
	worldGoal  = 300 * time.Millisecond
	worldLimit = 6 * time.Second
)

// replay is a daemon before replicas that serve a list of requests.
type replay struct {
	state   State
	now     time.Time
	targets []Target
	load    map[string]int
	first   map[ID]time.Duration // until the first event
	arrived map[ID]time.Time
	owner   map[ID]string
	refused map[ID]bool
	failed  map[ID]Reason
	passed  map[ID]bool // the failure of an upstream was passed on
	sends   map[ID]int
	begun   map[AttemptID]Send
	later   []due
	lose    func(Send) Failure // how an attempt fails, NoFailure for none
}

type due struct {
	at time.Time
	do func()
}

func newReplay(replicas int, seed uint64) *replay {
	r := &replay{
		now: epoch, load: map[string]int{}, first: map[ID]time.Duration{}, arrived: map[ID]time.Time{},
		owner: map[ID]string{}, refused: map[ID]bool{}, failed: map[ID]Reason{}, passed: map[ID]bool{}, sends: map[ID]int{}, begun: map[AttemptID]Send{},
		lose: func(Send) Failure { return NoFailure },
	}
	for i := range replicas {
		r.targets = append(r.targets, NewTarget(fmt.Sprintf("h%d", i), fmt.Sprintf("10.0.0.%d:1", i), true, worldSlots))
	}
	r.state = New(NewSettings(seed, NewRetryLimits(0.2, 100, 10*time.Second)))
	engine := route.NewEngine(worldSlots, route.NewModel("m", 2, 1, 1)).
		WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	config := route.New(1).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine), route.NewService("desk", "/h", 100)).
		WithRoutes(
			route.NewRoute("draft", "pond", "/draft/", route.Stream).
				WithTimes(worldLimit, worldGoal, worldGoal).WithMaxAttempts(2).WithResumable(true).
				WithSplit(route.NewWeightedService("engines", 1)),
			route.NewRoute("issue", "pond", "/issue/", route.Once).WithTimes(time.Second, worldGoal, 0).
				WithSplit(route.NewWeightedService("desk", 1)),
			route.NewRoute("read", "pond", "/read/", route.Idempotent).WithTimes(time.Second, worldGoal, 0).WithMaxAttempts(2).
				WithSplit(route.NewWeightedService("desk", 1)),
		).
		WithOrganisation(route.NewOrganisation("large", 0, false), "large").
		WithOrganisation(route.NewOrganisation("small", 0, false), "small")
	r.feed(NewConfigured(config))
	return r
}

// Replicas returns the replicas of the replay.
func (r *replay) Replicas(string) []Target { return r.targets }

// Processes returns the same upstreams for plain services.
func (r *replay) Processes(string) []Target { return r.targets }

// Owner returns that the daemon of the replay keeps count itself.
func (r *replay) Owner(Shard) string { return "" }

func (r *replay) feed(e Event) {
	for _, effect := range r.state.Reduce(r.now, r, e) {
		r.carryOut(effect)
	}
}

func (r *replay) after(d time.Duration, do func()) { r.later = append(r.later, due{r.now.Add(d), do}) }

// arrive sends a request of an organisation for path.
func (r *replay) arrive(id ID, organisation, path string) {
	r.arrived[id], r.owner[id] = r.now, organisation
	r.feed(NewArrived(NewRequest(id, fmt.Sprint(id), "pond", path, organisation).WithModel("m", 500, 100).WithTimeout(worldLimit)))
}

func (r *replay) carryOut(effect Effect) {
	switch effect := effect.(type) {
	case Send:
		r.sends[effect.ID()]++
		r.send(effect)
	case Cancel:
		r.after(time.Millisecond, func() { r.feed(NewFailed(effect.Attempt(), Halted)) })
	case Refuse:
		r.refused[effect.ID()] = true
	case ForwardFailure:
		r.passed[effect.ID()] = true
	case Fail:
		r.failed[effect.ID()] = effect.Reason()
	}
}

func (r *replay) send(send Send) {
	a := send.Attempt()
	if failure := r.lose(send); failure != NoFailure {
		r.after(5*time.Millisecond, func() { r.feed(NewFailed(a, failure)) })
		return
	}
	r.begun[a] = send
	r.load[send.Upstream()]++
	r.after(worldFirst, func() {
		r.feed(NewStarted(a, NewLoad(r.load[send.Upstream()], 0, worldSlots)))
		if _, isKnown := r.first[send.ID()]; !isKnown {
			r.first[send.ID()] = r.now.Sub(r.arrived[send.ID()])
		}
		r.feed(NewFirstEventReceived(a))
	})
	r.after(worldTime, func() {
		r.load[send.Upstream()]--
		r.feed(NewCompleted(a))
	})
}

// run lets time pass.
func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(time.Millisecond)
		pending := r.later
		r.later = nil
		for _, one := range pending {
			if one.at.After(r.now) {
				r.later = append(r.later, one)
				continue
			}
			one.do()
		}
		if r.now.Sub(epoch)%worldTick == 0 {
			r.feed(NewTicked())
		}
	}
}

// onTime returns the part of an organisation's requests that were answered within the objective, all for "".
func (r *replay) onTime(organisation string) float64 {
	all, good := 0, 0
	for id, owner := range r.owner {
		if organisation != "" && owner != organisation {
			continue
		}
		all++
		if first, isServed := r.first[id]; isServed && first <= worldGoal {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// arrivals lets requests of an organisation come at a rate for a while, at random times drawn from seed.
func (r *replay) arrivals(from ID, organisation string, rate float64, d time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	var times []time.Duration
	for range int(rate * d.Seconds()) {
		times = append(times, time.Duration(random.Float64()*float64(d)))
	}
	slices.Sort(times)
	for i, at := range times {
		r.after(at, func() { r.arrive(from+ID(i), organisation, "/draft/x") })
	}
}
