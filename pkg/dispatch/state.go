package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/clock"
	"github.com/azurepond/azurepond/pkg/route"
)

// State is the request scheduling state of one daemon.
type State struct {
	settings              Settings
	config                route.Config
	isConfigured          bool // false until the first configuration
	random                *rand.Rand
	calls                 map[ID]*call
	attempts              map[AttemptID]*attempt
	lastAttempt           AttemptID
	upstreams             map[string]*upstream // by name
	budgets               map[string]*budget   // retry budgets by service
	answerSeconds         map[string]float64   // average by route of a plain service
	queue                 []*call
	fleetSize             int // number of daemons, 0 while it is unknown
	retrySharers          int // number of daemons that share the burst of the retry budgets, 0 while it is unknown
	stopping              bool
	shutdown              Shutdown
	lastCleanup           time.Time
	demand                map[Demander]float64    // work since the last TakeDemand, in replica-seconds
	answerRates           map[string]*rate        // first events per second, by queue key
	crashes               map[uint64]*crashRecord // by content hash, for requests whose crashes this daemon counts
	ownCrashes            map[uint64]time.Time    // the last one that this daemon reported, by content hash
	poisonMarks           map[uint64]poisonMark   // by content hash
	recentSuccesses       successes
	controls              controls
	parts                 partCrashes
	pendingSlots          map[uint64]*pendingSlot
	lastSlotRequest       uint64               // id of the last slot request
	unresponsive          map[string]time.Time // end of the backoff of each daemon that did not reply
	unreported            map[string]bool      // replicas whose usage changed since the last report
	slotTables            map[Shard]*slotTable // of the shards that this daemon owns
	shardLoads            map[Shard]shardLoad
	runningByOrganisation map[string]int           // running attempts
	limits                map[string]upstreamLimit // by the name of the upstream
	lag                   clock.Lag                // of this daemon
	coldShards            []Shard                  // of the services whose upstreams may be cold
	ownedSince            map[Shard]time.Time      // those that this daemon owns
	tickedAt              time.Time                // the last tick
	staleUntil            time.Time                // until when granted slots of cold upstreams may be from before a pause of this daemon
	policy                policy
	currentCall           *call          // that the present event is handled for, nil for none
	currentRequest        slotRequestKey // of another daemon, instead
	effects               []Effect
}

// Settings are the parameters of the scheduling decisions.
type Settings struct {
	seed    uint64
	retries RetryLimits
	cold    ColdBound
}

// NewSettings returns settings with a seed for random choices and the limits of retries.
func NewSettings(seed uint64, retries RetryLimits) Settings {
	return Settings{seed: seed, retries: retries}
}

// New returns the initial state of a daemon.
func New(settings Settings) State {
	return State{
		settings:              settings,
		random:                rand.New(rand.NewPCG(settings.seed, randomStream)),
		calls:                 map[ID]*call{},
		attempts:              map[AttemptID]*attempt{},
		upstreams:             map[string]*upstream{},
		budgets:               map[string]*budget{},
		answerSeconds:         map[string]float64{},
		demand:                map[Demander]float64{},
		answerRates:           map[string]*rate{},
		crashes:               map[uint64]*crashRecord{},
		ownCrashes:            map[uint64]time.Time{},
		poisonMarks:           map[uint64]poisonMark{},
		pendingSlots:          map[uint64]*pendingSlot{},
		unresponsive:          map[string]time.Time{},
		unreported:            map[string]bool{},
		slotTables:            map[Shard]*slotTable{},
		shardLoads:            map[Shard]shardLoad{},
		runningByOrganisation: map[string]int{},
		limits:                map[string]upstreamLimit{},
		ownedSince:            map[Shard]time.Time{},
		fleetSize:             1,
		retrySharers:          1,
	}
}

// randomStream separates the random numbers of this package from those of other packages with the same seed.
const randomStream = 11

// Reduce applies an event that happened at now and returns the effects to carry out, in order.
func (s *State) Reduce(now time.Time, up Upstreams, e Event) []Effect {
	s.effects, s.currentCall, s.currentRequest = nil, nil, slotRequestKey{}
	switch e := e.(type) {
	case Configured:
		s.config, s.isConfigured = e.config, true
		s.selectColdShards()
		s.forgetAnswers(now)
	case Arrived:
		s.handleArrived(now, up, e.request)
	case Started:
		s.handleStarted(now, up, e)
	case FirstEventReceived:
		s.handleFirstEvent(now, e.attempt)
	case PositionChanged:
		s.handlePositionChanged(e)
	case StreamStalled:
		s.handleStreamStalled(now, up, e)
	case Completed:
		s.handleCompleted(now, up, e.attempt)
	case Failed:
		s.handleFailed(now, up, e)
	case Throttled:
		s.handleThrottled(now, e)
	case LimitReported:
		s.handleLimitReported(now, up, e)
	case SlotReply:
		s.handleSlotReply(now, up, e)
	case PeersChanged:
		s.handlePeersChanged(e.live)
	case CrashReported:
		s.handleCrashReported(now, e)
	case PoisonMarked:
		s.handlePoisonMarked(now, e)
	case PartCrashReported:
		s.handlePartCrashReported(now, e)
	case PartAnswered:
		s.handlePartAnswered(now, e)
	case PartsAsked:
		s.handlePartsAsked(e)
	case PartMarked:
		s.handlePartMarked(now, e)
	case UsageReported:
		s.handleUsageReported(now, up, e)
	case SlotRequested:
		s.emit(ReplySlot{e.from, s.decideSlotRequest(now, up, e.from, e.request)})
	case CallerLeft:
		s.handleCallerLeft(now, e.id)
	case ReplicaBroken:
		s.handleReplicaBroken(now, up, e.head)
	case ReplicaSilent:
		s.handleReplicaSilent(now, up, e.head)
	case ReplicaSuspended:
		s.handleReplicaSuspended(e)
	case ReplicaResumed:
		s.handleReplicaResumed(e.head)
	case PathLost:
		s.handlePathLost(now, up, e.upstream)
	case UpstreamsClosed:
		s.handleUpstreamsClosed(now, up)
	case UpstreamThrottled:
		s.throttle(s.upstream(e.upstream), e.upstream, now.Add(e.wait))
	case FleetSizeChanged:
		s.fleetSize = e.count
	case RetrySharersChanged:
		s.retrySharers = e.count
	case RetryLimitsChanged:
		s.settings.retries = e.limits
	case ColdBoundChanged:
		s.settings.cold = e.bound
	case Suspended:
		s.noteSuspension(now, e.duration)
	case Delayed:
		s.lag.Observe(now, e.lag)
	case Stopping:
		s.stopping, s.shutdown = true, e.shutdown
	case Ticked:
		s.tick(now, up)
	}
	s.currentCall, s.currentRequest = nil, slotRequestKey{}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Active returns the number of requests that have not ended, including those that wait.
func (s *State) Active() int { return len(s.calls) }

// Queued returns the number of requests in this daemon's own queue.
func (s *State) Queued() int { return len(s.queue) }

// AwaitingSlot returns the number of requests with a pending slot request.
func (s *State) AwaitingSlot() int { return len(s.pendingSlots) }

// SlotWaiters returns the number of requests of all daemons that wait for a slot in the shards that this daemon owns.
func (s *State) SlotWaiters() int {
	count := 0
	for _, table := range s.slotTables {
		count += len(table.waiters)
	}
	return count
}

// RetriesLeft returns the number of retries of a service that this daemon's budget still allows.
func (s *State) RetriesLeft(now time.Time, service string) float64 {
	return s.budget(service).remaining(now, s.settings.retries, s.retrySharers)
}

// tick expires overdue calls and slot requests, serves the queues, reports the usage of replicas, and removes unused
// state.
func (s *State) tick(now time.Time, up Upstreams) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		if !now.Before(c.deadline) && c.finalEffect == nil {
			s.expire(now, c)
		}
	}
	s.proceedShutdown(now)
	s.refreshColdShards(now, up)
	s.judgeParts(now)
	s.checkSilentAttempts(now)
	s.checkPendingSlots(now, up)
	s.requestQueuedSlots(now, up)
	s.serveQueue(now, up)
	s.reportUsage(now, up)
	s.serveAllWaiters(now, up)
	if now.Sub(s.lastCleanup) >= upstreamTTL {
		s.lastCleanup = now
		s.forgetUpstreams(now)
		s.forgetReplicas(up)
		s.forgetAnswers(now)
		s.forgetCrashes(now)
		s.forgetParts(now)
		s.forgetLimits(now, up)
		s.forgetBudgets(now)
		s.forgetShards(now)
	}
}

// note emits a Note of a decision on a call.
func (s *State) note(now time.Time, c *call, decision, upstream, reason string, inputs Inputs) {
	s.emit(Note{c.name, c.contentHash, c.parts, decision, c.route.Name(), upstream, reason, now.Sub(c.arrived), inputs})
}

func (s *State) budget(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{}
		s.budgets[service] = b
	}
	return b
}
