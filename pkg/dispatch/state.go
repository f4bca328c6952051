package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// State is all that one daemon knows and decides about requests.
type State struct {
	settings              Settings
	config                route.Config
	isConfigured          bool // a configuration is in force
	random                *rand.Rand
	calls                 map[ID]*call
	attempts              map[AttemptID]*attempt
	lastAttempt           AttemptID
	upstreams             map[string]*upstream
	budgets               map[string]*budget
	queue                 []*call
	sharers               int
	stopping              bool
	lastCleanup           time.Time
	demand                map[string]float64 // work that came for each model since the last look, in replica-seconds
	answerRates           map[string]*rate
	crashes               map[uint64]*crashRecord // by content of requests, as far as they are counted here
	poisonMarks           map[uint64]poisonMark   // by content of requests that seem to crash upstreams
	recentSuccesses       successes
	pendingSlots          map[uint64]*pendingSlot
	lastSlotRequest       uint64               // the last question
	unresponsive          map[string]time.Time // daemons that did not answer, and until when they are not asked
	unreported            map[string]bool      // replicas whose count here is not told yet
	slotTables            map[Shard]*slotTable // the counts that are kept here
	shardLoads            map[Shard]shardLoad
	runningByOrganisation map[string]int // attempts of each organisation
	fifo                  bool           // calls wait in the order of their arrival, for comparison
	withoutSlots          bool           // calls are sent without asking for a place, for comparison
	effects               []Effect
}

// Settings are what the decisions depend on.
type Settings struct {
	seed    uint64
	retries RetryLimits
}

// NewSettings returns settings with a seed for random choices and the bound of retries.
func NewSettings(seed uint64, retries RetryLimits) Settings { return Settings{seed, retries} }

// New returns the state of a daemon that has taken no request yet.
func New(settings Settings) State {
	return State{
		settings:              settings,
		random:                rand.New(rand.NewPCG(settings.seed, randomStream)),
		calls:                 map[ID]*call{},
		attempts:              map[AttemptID]*attempt{},
		upstreams:             map[string]*upstream{},
		budgets:               map[string]*budget{},
		demand:                map[string]float64{},
		answerRates:           map[string]*rate{},
		crashes:               map[uint64]*crashRecord{},
		poisonMarks:           map[uint64]poisonMark{},
		pendingSlots:          map[uint64]*pendingSlot{},
		unresponsive:          map[string]time.Time{},
		unreported:            map[string]bool{},
		slotTables:            map[Shard]*slotTable{},
		shardLoads:            map[Shard]shardLoad{},
		runningByOrganisation: map[string]int{},
		sharers:               1,
	}
}

// dispatchSeed tells the draws of this part from those of others.
const randomStream = 11

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, up Upstreams, e Event) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case Configured:
		s.config, s.isConfigured = e.config, true
	case Arrived:
		s.handleArrived(now, up, e.request)
	case Started:
		s.handleStarted(now, e)
	case FirstEventReceived:
		s.handleFirstEvent(now, e.attempt)
	case StreamStalled:
		s.handleStreamStalled(now, e)
	case Completed:
		s.handleCompleted(now, up, e.attempt)
	case Failed:
		s.handleFailed(now, up, e)
	case SlotReply:
		s.handleSlotReply(now, up, e)
	case PeersChanged:
		s.handlePeersChanged(e.live)
	case CrashReported:
		s.handleCrashReported(now, e)
	case PoisonMarked:
		s.handlePoisonMarked(now, e)
	case UsageReported:
		s.handleUsageReported(now, up, e)
	case SlotRequested:
		s.emit(ReplySlot{e.from, s.decideSlotRequest(now, up, e.from, e.request)})
	case CallerLeft:
		s.handleCallerLeft(now, e.id)
	case ReplicaBroken:
		s.handleReplicaBroken(now, e.head)
	case BudgetPeersChanged:
		s.sharers = max(e.count, 1)
	case RetryLimitsChanged:
		s.settings.retries = e.limits
	case Stopping:
		s.stopping = true
	case Ticked:
		s.tick(now, up)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Active returns how many requests have not ended.
func (s *State) Active() int { return len(s.calls) }

// Queued returns how many requests wait for an upstream.
func (s *State) Queued() int { return len(s.queue) }

// AwaitingSlot returns how many requests ask or wait for a place at a replica.
func (s *State) AwaitingSlot() int { return len(s.pendingSlots) }

// SlotWaiters returns how many requests of all daemons wait for places whose count is kept here.
func (s *State) SlotWaiters() int {
	count := 0
	for _, l := range s.slotTables {
		count += len(l.waiters)
	}
	return count
}

// RetriesLeft returns how often requests to a service may still be sent again by this daemon.
func (s *State) RetriesLeft(now time.Time, service string) float64 {
	return s.budget(service).remaining(now, s.settings.retries, s.sharers)
}

// tick ends what is overdue and sends what waits.
func (s *State) tick(now time.Time, up Upstreams) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		if !now.Before(c.deadline) && c.finalEffect == nil {
			s.expire(now, c)
		}
	}
	s.checkPendingSlots(now, up)
	s.serveQueue(now, up)
	s.reportUsage(now, up)
	s.serveAllWaiters(now, up)
	if now.Sub(s.lastCleanup) >= upstreamTTL {
		s.lastCleanup = now
		s.forgetUpstreams(now)
		s.forgetReplicas(up)
		s.forgetCrashes(now)
	}
}

// note tells the log what was decided on a call.
func (s *State) note(now time.Time, c *call, decision, upstream, reason string, inputs Inputs) {
	s.emit(Note{c.name, c.contentHash, decision, c.route.Name(), upstream, reason, now.Sub(c.arrived), inputs})
}

func (s *State) budget(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{}
		s.budgets[service] = b
	}
	return b
}
