package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// crowd is several daemons before replicas that they share; each replica runs as many calls as it has slots and queues
// the others, and each daemon learns of a replica's load only by the answers that it gets itself.
type crowd struct {
	now     time.Time
	daemons []*State
	targets []Target
	running map[string][]*crowdCall
	waiting map[string][]*crowdCall
	calls   []*crowdCall
	later   []due
	letters int
	crashes int
	slow    map[string]int // how many times as long calls take at a replica
	silent  bool           // no daemon answers another
	blind   int            // that many daemons know of no replica
	owner   string         // of the next requests, "one" if it is empty
	again   time.Duration  // the time that is left to the callers of the next arrivals, 0 for all of it
}

// crowdCall is one request of a caller at one daemon.
type crowdCall struct {
	id       ID
	daemon   int
	arrived  time.Time
	patience time.Duration
	owner    string
	first    time.Duration // until the first event, 0 for none
	refused  bool
	again    time.Duration
	reason   Reason
	content  uint64
	attempt  AttemptID
	at       string
}

func newCrowd(daemons, replicas int, isOpen bool) *crowd {
	w := &crowd{now: epoch, running: map[string][]*crowdCall{}, waiting: map[string][]*crowdCall{}}
	for i := range replicas {
		w.targets = append(w.targets, NewTarget(fmt.Sprintf("h%d", i), fmt.Sprintf("10.0.0.%d:1", i), true, worldSlots))
	}
	engine := route.NewEngine(worldSlots, route.NewModel("m", 2, 1, 1)).
		WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	config := route.New(1).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine)).
		WithRoutes(route.NewRoute("draft", "pond", "/draft/", route.Stream).
			WithTimes(worldLimit, worldGoal, worldGoal).WithMaxAttempts(2).WithResumable(true).
			WithSplit(route.NewWeightedService("engines", 1))).
		WithOrganisation(route.NewOrganisation("one", 0, false), "one").
		WithOrganisation(route.NewOrganisation("two", 0, false), "two")
	for i := range daemons {
		s := New(NewSettings(uint64(i+1), NewRetryLimits(0.2, 100, 10*time.Second)))
		s.open = isOpen
		w.daemons = append(w.daemons, &s)
		w.feed(i, NewConfigured(config))
		w.feed(i, NewBudgetPeersChanged(daemons))
	}
	return w
}

// crowdTrip is the time of a message between two daemons.
const crowdTrip = 2 * time.Millisecond

// crowdView is what one daemon sees.
type crowdView struct {
	*crowd
	self int
}

// Replicas returns the replicas of the crowd.
func (v crowdView) Replicas(string) []Target {
	if v.self < v.blind {
		return nil
	}
	return v.targets
}

// Processes returns none.
func (v crowdView) Processes(string) []Target { return nil }

// Owner returns the daemon that keeps count of a share, by its number.
func (v crowdView) Owner(share Shard) string {
	owner := int(share.Number()) % len(v.daemons)
	if owner == v.self {
		return ""
	}
	return strconv.Itoa(owner)
}

func (w *crowd) after(d time.Duration, do func()) { w.later = append(w.later, due{w.now.Add(d), do}) }

func (w *crowd) feed(self int, e Event) {
	name := strconv.Itoa(self)
	for _, effect := range w.daemons[self].Reduce(w.now, crowdView{w, self}, e) {
		switch effect := effect.(type) {
		case RequestSlot:
			w.tell(effect.Owner(), NewSlotRequested(name, effect.Request()))
		case ReplySlot:
			w.tell(effect.To(), effect.Reply())
		case ReportUsage:
			w.tell(effect.Owner(), NewUsageReported(name, effect.Usage()))
		case Send:
			w.send(w.calls[effect.ID()], effect)
		case Refuse:
			c := w.calls[effect.ID()]
			c.refused, c.again, c.reason = true, effect.RetryAfter(), effect.Reason()
		case ReportCrash:
			w.tell(strconv.Itoa(int(effect.ContentHash()%uint64(len(w.daemons)))), NewCrashReported(effect.ContentHash(), effect.Upstream()))
		case MarkPoison:
			for other := range w.daemons {
				w.tell(strconv.Itoa(other), NewPoisonMarked(effect.ContentHash(), effect.Crashes(), effect.TTL()))
			}
		}
	}
}

// tell brings a message to a daemon.
func (w *crowd) tell(name string, e Event) {
	to, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	w.letters++
	if w.silent {
		return
	}
	w.after(crowdTrip, func() { w.feed(to, e) })
}

// arrive lets a caller ask a daemon for what nobody else asks for.
func (w *crowd) arrive(s int, patience time.Duration) {
	w.ask(s, patience, uint64(1000+len(w.calls)))
}

// ask lets a caller ask a daemon for content.
func (w *crowd) ask(s int, patience time.Duration, content uint64) {
	c := &crowdCall{id: ID(len(w.calls)), daemon: s, arrived: w.now, patience: patience, content: content, owner: cmp.Or(w.owner, "one")}
	w.calls = append(w.calls, c)
	w.feed(s, NewArrived(NewRequest(c.id, fmt.Sprint(c.id), "pond", "/draft/x", c.owner).WithModel("m", 500, 100).
		WithTimeout(patience).WithContentHash(content)))
}

func (w *crowd) send(c *crowdCall, send Send) {
	c.attempt, c.at = send.Attempt(), send.Upstream()
	w.waiting[c.at] = append(w.waiting[c.at], c)
	w.admit(c.at)
}

// admit begins the calls that wait at a replica as long as it has slots.
func (w *crowd) admit(name string) {
	for len(w.running[name]) < worldSlots && len(w.waiting[name]) > 0 {
		c := w.waiting[name][0]
		w.waiting[name] = w.waiting[name][1:]
		w.running[name] = append(w.running[name], c)
		if c.content == crashing {
			w.crash(name)
			return
		}
		a, slow := c.attempt, time.Duration(max(w.slow[name], 1))
		w.after(slow*worldFirst, func() { w.begin(c, a) })
		w.after(slow*worldTime, func() { w.end(c, a) })
	}
}

// crashing is the content of a request that crashes the replica that begins to run it.
const crashing = 13

// crash ends all that runs at a replica, which goes on at once.
func (w *crowd) crash(name string) {
	w.crashes++
	running := w.running[name]
	w.running[name] = nil
	for _, c := range running {
		a := c.attempt
		w.after(crowdTrip, func() { w.feed(c.daemon, NewFailed(a, Interrupted)) })
	}
}

// runs reports whether a try of a call runs where it was sent.
func (w *crowd) runs(c *crowdCall, a AttemptID) bool {
	return c.attempt == a && slices.Contains(w.running[c.at], c)
}

func (w *crowd) begin(c *crowdCall, a AttemptID) {
	if !w.runs(c, a) {
		return
	}
	c.first = w.now.Sub(c.arrived)
	load := NewLoad(len(w.running[c.at]), len(w.waiting[c.at]), worldSlots)
	w.feed(c.daemon, NewStarted(c.attempt, load))
	w.feed(c.daemon, NewFirstEventReceived(c.attempt))
}

func (w *crowd) end(c *crowdCall, a AttemptID) {
	if !w.runs(c, a) {
		return
	}
	w.running[c.at] = slices.DeleteFunc(w.running[c.at], func(other *crowdCall) bool { return other == c })
	w.admit(c.at)
	w.feed(c.daemon, NewCompleted(c.attempt))
}

// arrivals lets callers come at a rate for a while, at random daemons and times drawn from seed.
func (w *crowd) arrivals(rate float64, d time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	patience, owner := cmp.Or(w.again, worldLimit), w.owner
	for range int(rate * d.Seconds()) {
		at, s := time.Duration(random.Float64()*float64(d)), random.IntN(len(w.daemons))
		w.after(at, func() {
			w.owner = owner
			w.arrive(s, patience)
		})
	}
}

func (w *crowd) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		pending := w.later
		w.later = nil
		for _, one := range pending {
			if one.at.After(w.now) {
				w.later = append(w.later, one)
				continue
			}
			one.do()
		}
		if w.now.Sub(epoch)%worldTick == 0 {
			for s := range w.daemons {
				w.feed(s, NewTicked())
			}
		}
	}
}

// onTime returns the part of the calls that began to be answered within the goal, and the part that was answered at all.
func (w *crowd) onTime() (good, served float64) {
	for _, c := range w.calls {
		if c.first > 0 {
			served++
		}
		if c.first > 0 && c.first <= worldGoal {
			good++
		}
	}
	all := float64(max(len(w.calls), 1))
	return good / all, served / all
}
