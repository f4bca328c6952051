package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/route"
)

// cluster simulates several daemons that share replicas. Each replica runs as many calls as it has slots and queues the
// others, and each daemon learns a replica's load only from its own responses.
type cluster struct {
	now             time.Time
	daemons         []*State
	targets         []Target
	running         map[string][]*clusterCall // by replica
	waiting         map[string][]*clusterCall // by replica
	calls           []*clusterCall
	timers          []timer
	spareTimers     []timer // an unused array for timers
	messages        int
	crashes         int            // of replicas
	slowdown        map[string]int // factor on the times of a replica
	firstEventTime  time.Duration  // from the start of a call, 0 for firstEventDelay
	dropsMessages   bool           // messages between daemons are lost
	lateness        time.Duration  // with which daemons handle messages
	withoutReplicas int            // number of daemons that list no replica
	organisation    string         // of the next requests, empty for "one"
	path            string         // of the next requests, empty for /draft/x
	callerTimeout   time.Duration  // of the next arrivals, 0 for callTimeout
	downTime        time.Duration  // for which a replica that crashed does not answer
	downUntil       map[string]time.Time
	poisonSends     []time.Time // of requests with the part that crashes upstreams
	processes       []Target    // of the plain service
	limited         map[string]*limitedUpstream
	disturbedAt     map[int]time.Time // end of the last restart or freeze of a daemon
	downSince       map[int]time.Time // of the daemons that are frozen
	heldBack        map[int][]Event   // events that frozen daemons have not read
	lives           map[int]int       // number of the restarts of a daemon
	crashedAt       []time.Time
	cold            map[string]*coldUpstream
	coldRate        float64
	shardOwner      func(self int) int // nil for the owner by the number of the shard
	callTime        time.Duration      // of a call at a replica, 0 for callTime
	config          route.Config
	regions         map[string]string // of upstreams
	centres         int               // data centres of daemons and replicas, 0 for none
	remoteSends     int               // to replicas in another data centre
}

// clusterCall is a request to one daemon.
type clusterCall struct {
	id           ID
	daemon       int
	arrived      time.Time
	timeout      time.Duration
	organisation string
	firstEvent   time.Duration // time to the first event, 0 for none
	isRefused    bool
	retryAfter   time.Duration
	refusedAfter time.Duration
	reason       Reason
	contentHash  uint64
	parts        []string
	sends        int
	begunAtFirst bool // its first attempt delivered an event
	isTooLarge   bool // for the memory of any replica
	attempt      AttemptID
	upstream     string
}

func newCluster(daemons, replicas int, withoutSlots bool) *cluster {
	cl := &cluster{
		now: epoch, running: map[string][]*clusterCall{}, waiting: map[string][]*clusterCall{}, downUntil: map[string]time.Time{},
		limited: map[string]*limitedUpstream{}, disturbedAt: map[int]time.Time{}, downSince: map[int]time.Time{},
		heldBack: map[int][]Event{}, lives: map[int]int{}, cold: map[string]*coldUpstream{},
	}
	for i := range replicas {
		cl.targets = append(cl.targets, NewTarget(fmt.Sprintf("h%d", i), fmt.Sprintf("10.0.0.%d:1", i), true, replicaSlotCount))
	}
	engine := route.NewEngine(replicaSlotCount, route.NewModel("m", 2, 1, 1)).
		WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	cl.config = route.New(1).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine), route.NewService("desk", "/h", 100)).
		WithRoutes(route.NewRoute("draft", "pond", "/draft/", route.Stream).
			WithTimes(callTimeout, callGoal, callGoal).WithMaxAttempts(2).WithResumable(true).
			WithSplit(route.NewWeightedService("engines", 1)),
			route.NewRoute("read", "pond", "/read/", route.Idempotent).WithTimes(callTimeout, callGoal, 0).WithMaxAttempts(2).
				WithSplit(route.NewWeightedService("desk", 1))).
		WithOrganisation(route.NewOrganisation("one", 0, false), "one").
		WithOrganisation(route.NewOrganisation("two", 0, false), "two")
	for i := range daemons {
		daemon := New(NewSettings(uint64(i+1), NewRetryLimits(0.2, 100, 10*time.Second)))
		if withoutSlots {
			daemon.policy = noSlots{}
		}
		cl.daemons = append(cl.daemons, &daemon)
		cl.feed(i, NewConfigured(cl.config))
		cl.feed(i, NewFleetSizeChanged(daemons))
		cl.feed(i, NewRetrySharersChanged(daemons))
	}
	return cl
}

// messageDelay is the latency of a message between two daemons.
const messageDelay = 2 * time.Millisecond

// daemonView is the cluster as one daemon sees it.
type daemonView struct {
	*cluster
	self int
}

// Replicas returns the replicas of the cluster, none for a daemon without replicas.
func (v daemonView) Replicas(string) []Target {
	if v.self < v.withoutReplicas {
		return nil
	}
	if v.centres > 0 {
		return v.targetsByCentre()
	}
	if v.downTime == 0 {
		return v.withCold(v.targets)
	}
	return slices.DeleteFunc(slices.Clone(v.targets), func(t Target) bool { return v.isDown(t.name) })
}

// Processes returns the processes of the plain service, or the replicas.
func (v daemonView) Processes(service string) []Target {
	if service == "engines" {
		return v.targets
	}
	return v.withCold(v.processes)
}

// NextOpening returns now: a replica may open at any time.
func (v daemonView) NextOpening(now time.Time, _ string) time.Time { return now }

// Owner returns the daemon that the number of the shard selects, "" if that is this one.
func (daemonView) Way(time.Time, string, route.Regions) relay.Route { return relay.Route{} }

// IsWithin reports whether an upstream is in some regions; all upstreams are in all regions unless the test names the region of each.
func (v daemonView) IsWithin(upstream string, regions route.Regions) bool {
	return v.regions == nil || regions.Allows(v.regions[upstream])
}

func (v daemonView) Owner(shard Shard) string {
	owner := int(shard.Number()) % len(v.daemons)
	if v.shardOwner != nil {
		owner = v.shardOwner(v.self)
	}
	for range v.daemons {
		if v.shardOwner != nil || v.mayOwn(v.self, owner) {
			break
		}
		owner = (owner + 1) % len(v.daemons)
	}
	if owner == v.self {
		return ""
	}
	return strconv.Itoa(owner)
}

func (cl *cluster) after(d time.Duration, run func()) {
	cl.timers = append(cl.timers, timer{cl.now.Add(d), run})
}

func (cl *cluster) feed(self int, e Event) {
	if !cl.downSince[self].IsZero() {
		cl.holdBack(self, e)
		return
	}
	name := strconv.Itoa(self)
	for _, effect := range cl.daemons[self].Reduce(cl.now, daemonView{cl, self}, e) {
		switch effect := effect.(type) {
		case RequestSlot:
			cl.deliver(effect.Owner(), NewSlotRequested(name, effect.Request()))
		case ReplySlot:
			cl.deliver(effect.To(), effect.Reply())
		case ReportLimit:
			cl.deliver(effect.Owner(), NewLimitReported(effect.Upstream(), effect.PerSecond(), name))
		case ShareLimit:
			cl.shareLimit(self, effect)
		case ReportUsage:
			cl.deliver(effect.Owner(), NewUsageReported(name, effect.Usage()))
		case Send:
			cl.countArrival(effect.Upstream(), self)
			cl.countRemote(effect.Upstream(), self)
			cl.countColdArrival(effect.Upstream())
			cl.send(cl.calls[effect.ID()], effect)
		case Cancel:
			cl.cancel(effect.Attempt(), self)
		case Refuse:
			c := cl.calls[effect.ID()]
			c.isRefused, c.retryAfter, c.reason = true, effect.RetryAfter(), effect.Reason()
			c.refusedAfter = cl.now.Sub(c.arrived)
		case ReportCrash:
			cl.deliver(strconv.Itoa(int(effect.ContentHash()%uint64(len(cl.daemons)))),
				NewCrashReported(effect.ContentHash(), effect.Upstream()).From(strconv.Itoa(self)))
		case ReportPartCrash:
			cl.deliver(cl.ownerOfPart(effect.Part()), NewPartCrashReported(effect.Part(), effect.Upstream()))
		case ReportPartAnswered:
			cl.deliver(cl.ownerOfPart(effect.Part()), NewPartAnswered(effect.Part()))
		case AskParts:
			for other := range cl.daemons {
				cl.deliver(strconv.Itoa(other), NewPartsAsked(effect.Parts()...))
			}
		case MarkPart:
			for other := range cl.daemons {
				cl.deliver(strconv.Itoa(other), NewPartMarked(effect.Part(), effect.TTL()))
			}
		case MarkPoison:
			for other := range cl.daemons {
				cl.deliver(strconv.Itoa(other), NewPoisonMarked(effect.ContentHash(), effect.Crashes(), effect.TTL()))
			}
		}
	}
}

// deliver sends a message to a daemon.
func (cl *cluster) deliver(name string, e Event) {
	to, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	cl.messages++
	if cl.dropsMessages {
		return
	}
	cl.after(messageDelay+cl.lateness, func() { cl.feed(to, e) })
}

// arrive sends a request with unique content to a daemon.
func (cl *cluster) arrive(daemon int, timeout time.Duration) {
	cl.arriveWith(daemon, timeout, uint64(1000+len(cl.calls)))
}

// arriveWith sends a request with a content hash to a daemon.
func (cl *cluster) arriveWith(daemon int, timeout time.Duration, contentHash uint64) {
	c := &clusterCall{id: ID(len(cl.calls)), daemon: daemon, arrived: cl.now, timeout: timeout, contentHash: contentHash, organisation: cmp.Or(cl.organisation, "one")}
	cl.calls = append(cl.calls, c)
	cl.feed(daemon, NewArrived(NewRequest(c.id, fmt.Sprint(c.id), "pond", cmp.Or(cl.path, "/draft/x"), c.organisation).WithModel("m", 500, 100).
		WithTimeout(timeout).WithContentHash(contentHash)))
}

func (cl *cluster) send(c *clusterCall, send Send) {
	c.attempt, c.upstream = send.Attempt(), send.Upstream()
	c.sends++
	if slices.Contains(c.parts, poisonPart) {
		cl.poisonSends = append(cl.poisonSends, cl.now)
	}
	if cl.isDown(c.upstream) {
		a := c.attempt
		cl.after(messageDelay, func() { cl.feed(c.daemon, NewFailed(a, NotSent)) })
		return
	}
	if c.isTooLarge {
		a := c.attempt
		cl.after(messageDelay, func() { cl.feed(c.daemon, NewFailed(a, NotRun)) })
		return
	}
	cl.waiting[c.upstream] = append(cl.waiting[c.upstream], c)
	cl.admit(c.upstream)
}

// admit starts the calls that wait at a replica while it has free slots.
func (cl *cluster) admit(name string) {
	for len(cl.running[name]) < replicaSlotCount && len(cl.waiting[name]) > 0 {
		c := cl.waiting[name][0]
		cl.waiting[name] = cl.waiting[name][1:]
		cl.running[name] = append(cl.running[name], c)
		if c.contentHash == crashingContent {
			cl.crash(name)
			return
		}
		a, slow := c.attempt, time.Duration(max(cl.slowdown[name], 1))
		cl.after(slow*cmp.Or(cl.firstEventTime, firstEventDelay), func() { cl.begin(c, a) })
		cl.after(slow*cmp.Or(cl.callTime, callTime), func() { cl.end(c, a) })
	}
}

// crashingContent is the content hash of a request that crashes each replica that runs it.
const crashingContent = 13

// crash interrupts all running calls of a replica, which restarts at once.
func (cl *cluster) crash(name string) {
	cl.crashes++
	running := cl.running[name]
	cl.running[name] = nil
	if cl.downTime > 0 {
		running = append(running, cl.waiting[name]...)
		cl.waiting[name] = nil
		cl.crashedAt = append(cl.crashedAt, cl.now)
		cl.downUntil[name] = cl.now.Add(cl.downTime)
	}
	for _, c := range running {
		a := c.attempt
		cl.after(messageDelay, func() { cl.feed(c.daemon, NewFailed(a, Interrupted)) })
	}
}

// isRunning reports whether an attempt of a call runs at its upstream.
func (cl *cluster) isRunning(c *clusterCall, a AttemptID) bool {
	return c.attempt == a && slices.Contains(cl.running[c.upstream], c)
}

func (cl *cluster) begin(c *clusterCall, a AttemptID) {
	if !cl.isRunning(c, a) {
		return
	}
	if slices.Contains(c.parts, poisonPart) {
		cl.crash(c.upstream)
		return
	}
	if c.firstEvent == 0 {
		c.begunAtFirst = c.sends == 1
		c.firstEvent = cl.now.Sub(c.arrived)
	}
	load := NewLoad(len(cl.running[c.upstream]), len(cl.waiting[c.upstream]), replicaSlotCount).
		WithLimit(cl.answerLimit(c.upstream, c.daemon))
	cl.feed(c.daemon, NewStarted(c.attempt, load))
	cl.feed(c.daemon, NewFirstEventReceived(c.attempt))
}

func (cl *cluster) end(c *clusterCall, a AttemptID) {
	if !cl.isRunning(c, a) {
		return
	}
	cl.running[c.upstream] = slices.DeleteFunc(cl.running[c.upstream], func(other *clusterCall) bool { return other == c })
	cl.admit(c.upstream)
	cl.feed(c.daemon, NewCompleted(c.attempt))
}

// arrivals schedules requests at a rate, at random daemons and times drawn from seed.
func (cl *cluster) arrivals(rate float64, d time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	timeout, organisation, path := cmp.Or(cl.callerTimeout, callTimeout), cl.organisation, cl.path
	for range int(rate * d.Seconds()) {
		at, daemon := time.Duration(random.Float64()*float64(d)), random.IntN(len(cl.daemons))
		cl.after(at, func() {
			cl.organisation, cl.path = organisation, path
			cl.arrive(daemon, timeout)
		})
	}
}

func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); {
		cl.now = cl.now.Add(time.Millisecond)
		pending := cl.timers
		cl.timers = cl.spareTimers[:0]
		for _, next := range pending {
			if next.at.After(cl.now) {
				cl.timers = append(cl.timers, next)
				continue
			}
			next.run()
		}
		cl.spareTimers = pending
		if cl.now.Sub(epoch)%tickInterval == 0 {
			for daemon := range cl.daemons {
				cl.feed(daemon, NewTicked())
			}
		}
	}
}

// meanRefusal returns the mean time after which calls were refused.
func (cl *cluster) meanRefusal() time.Duration {
	var total, count time.Duration
	for _, c := range cl.calls {
		if c.isRefused {
			total += c.refusedAfter
			count++
		}
	}
	return total / max(count, 1)
}

// onTime returns the fraction of the calls whose first event met the goal, and the fraction that had a first event at
// all.
func (cl *cluster) onTime() (good, served float64) {
	for _, c := range cl.calls {
		if c.firstEvent > 0 {
			served++
		}
		if c.firstEvent > 0 && c.firstEvent <= callGoal {
			good++
		}
	}
	all := float64(max(len(cl.calls), 1))
	return good / all, served / all
}
