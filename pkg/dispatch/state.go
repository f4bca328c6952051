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
	settings       Settings
	config         route.Config
	known          bool // a configuration is in force
	random         *rand.Rand
	calls          map[ID]*call
	attempts       map[AttemptID]*attempt
	last           AttemptID
	upstreams      map[string]*upstream
	budgets        map[string]*budget
	queue          []*call
	sharers        int
	stopping       bool
	cleaned        time.Time
	demand         map[string]float64 // work that came for each model since the last look, in replica-seconds
	rates          map[string]*rate
	crashes        map[uint64]*crashed // by content of requests, as far as they are counted here
	condemned      map[uint64]sentence // by content of requests that seem to crash upstreams
	answeredLately successes
	asks           map[uint64]*ask
	asked          uint64               // the last question
	mute           map[string]time.Time // daemons that did not answer, and until when they are not asked
	changed        map[string]bool      // replicas whose count here is not told yet
	ledgers        map[Shard]*ledger    // the counts that are kept here
	pressures      map[Shard]pressure
	running        map[string]int // attempts of each organisation
	plain          bool           // calls wait in the order of their arrival, for comparison
	open           bool           // calls are sent without asking for a place, for comparison
	effects        []Effect
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
		settings:  settings,
		random:    rand.New(rand.NewPCG(settings.seed, dispatchSeed)),
		calls:     map[ID]*call{},
		attempts:  map[AttemptID]*attempt{},
		upstreams: map[string]*upstream{},
		budgets:   map[string]*budget{},
		demand:    map[string]float64{},
		rates:     map[string]*rate{},
		crashes:   map[uint64]*crashed{},
		condemned: map[uint64]sentence{},
		asks:      map[uint64]*ask{},
		mute:      map[string]time.Time{},
		changed:   map[string]bool{},
		ledgers:   map[Shard]*ledger{},
		pressures: map[Shard]pressure{},
		running:   map[string]int{},
		sharers:   1,
	}
}

// dispatchSeed tells the draws of this part from those of others.
const dispatchSeed = 11

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, up Upstreams, e Event) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case Configured:
		s.config, s.known = e.config, true
	case Arrived:
		s.arrive(now, up, e.request)
	case Started:
		s.start(now, e)
	case FirstEventReceived:
		s.flow(now, e.attempt)
	case StreamStalled:
		s.silence(now, e)
	case Completed:
		s.end(now, up, e.attempt)
	case Failed:
		s.fail(now, up, e)
	case SlotReply:
		s.answered(now, up, e)
	case PeersChanged:
		s.dropClaims(e.live)
	case CrashReported:
		s.count(now, e)
	case PoisonMarked:
		s.condemn(now, e)
	case UsageReported:
		s.claimed(now, up, e)
	case SlotRequested:
		s.emit(ReplySlot{e.from, s.consider(now, up, e.from, e.request)})
	case CallerLeft:
		s.leave(now, e.id)
	case ReplicaBroken:
		s.breakOff(now, e.head)
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
func (s *State) AwaitingSlot() int { return len(s.asks) }

// SlotWaiters returns how many requests of all daemons wait for places whose count is kept here.
func (s *State) SlotWaiters() int {
	count := 0
	for _, l := range s.ledgers {
		count += len(l.wishes)
	}
	return count
}

// RetriesLeft returns how often requests to a service may still be sent again by this daemon.
func (s *State) RetriesLeft(now time.Time, service string) float64 {
	return s.budget(service).left(now, s.settings.retries, s.sharers)
}

// tick ends what is overdue and sends what waits.
func (s *State) tick(now time.Time, up Upstreams) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		if !now.Before(c.ends) && c.halted == nil {
			s.expire(now, c)
		}
	}
	s.checkAsks(now, up)
	s.serveQueue(now, up)
	s.tellClaims(now, up)
	s.serveLines(now, up)
	if now.Sub(s.cleaned) >= forgetAfter {
		s.cleaned = now
		s.forget(now)
		s.forgetHeads(up)
		s.forgetCrashes(now)
	}
}

// note tells the log what was decided on a call.
func (s *State) note(now time.Time, c *call, what, upstream, reason string, inputs Inputs) {
	s.emit(Note{c.name, c.contentHash, what, c.route.Name(), upstream, reason, now.Sub(c.arrived), inputs})
}

func (s *State) budget(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{}
		s.budgets[service] = b
	}
	return b
}
