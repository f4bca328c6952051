package replica

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"
)

// Event is an input of the planner: Configured, Listed, Probed, Suspected, DeclaredDead, OrderAnswered, StoreCompleted,
// LeadershipChanged, DemandReported, CallsArrived, StoreEra, ProbesPaused, CentresEvacuated, SilenceReported, AnsweredAgain,
// Delayed or Ticked.
type Event interface{ isEvent() }

// Configured carries what the engines can run.
type Configured struct {
	engine      route.Engine
	longestCall time.Duration
	isResumable bool
}

// NewConfigured returns the event that this description of the engines is in force.
func NewConfigured(engine route.Engine) Configured { return Configured{engine: engine} }

// WithLongestCall returns the event with the longest time that a call may take, 0 if unknown.
func (c Configured) WithLongestCall(d time.Duration) Configured {
	c.longestCall = d
	return c
}

// Listed carries the platform's list of instances, or changes of it.
type Listed struct {
	instances []Instance
	gone      []ID
	complete  bool // instances is the whole list
}

// NewListed returns the event that the platform lists exactly these instances.
func NewListed(instances []Instance) Listed { return Listed{instances: instances, complete: true} }

// NewListChanges returns the event that some instances changed and others were removed from the list.
func NewListChanges(changed []Instance, gone []ID) Listed {
	return Listed{instances: changed, gone: gone}
}

// Probed carries the result of one probe of an instance.
type Probed struct {
	id       ID
	answered bool
	expired  bool // no answer arrived within the timeout of the probe
	instance Instance

	inconclusive bool // no daemon with a path to the instance carried the probe out
}

// NewProbed returns the event that an instance answered a probe with this report.
func NewProbed(instance Instance) Probed {
	return Probed{id: instance.id, answered: true, instance: instance}
}

// NewProbeFailed returns the event that a probe of the instance called id ended without an answer, such as a refused connection.
func NewProbeFailed(id ID) Probed { return Probed{id: id} }

// NewProbeExpired returns the event that the instance called id did not answer within the timeout of a probe.
func NewProbeExpired(id ID) Probed { return Probed{id: id, expired: true} }

// NewProbeInconclusive returns the event that no daemon with a path to the instance called id carried a probe out.
func NewProbeInconclusive(id ID) Probed { return Probed{id: id, inconclusive: true} }

// ID returns the instance.
func (p Probed) ID() ID { return p.id }

// Answered reports whether the instance answered.
func (p Probed) Answered() bool { return p.answered }

// Suspected says that an instance may be dead: its replica stopped responding, or a peer reported it.
type Suspected struct{ id ID }

// NewSuspected returns the event that the instance called id may be dead.
func NewSuspected(id ID) Suspected { return Suspected{id} }

// DeclaredDead says that the leader found an instance dead.
type DeclaredDead struct{ id ID }

// NewDeclaredDead returns the event that the leader found the instance called id dead.
func NewDeclaredDead(id ID) DeclaredDead { return DeclaredDead{id} }

// WithResumable returns the event with whether all calls may go on at another replica after they were aborted.
func (c Configured) WithResumable(isResumable bool) Configured {
	c.isResumable = isResumable
	return c
}

// Reply is the answer of an instance to an order.
type Reply uint8

// The replies to an order.
const (
	ReplyUnanswered  Reply = iota // the order may still be carried out
	ReplyBegun                    // the instance carries out the order
	ReplyDone                     // the instance had carried out the order before
	ReplyUnfit                    // the state of the instance does not allow the order
	ReplyStale                    // the fencing token of the order is outdated
	ReplyMisdirected              // the order reached an instance that it was not meant for
)

var replyNames = [...]string{"unanswered", "begun", "done", "unfit", "stale", "misdirected"}

// String returns the name of the reply.
func (r Reply) String() string { return replyNames[r] }

// OrderAnswered carries the reply to an order.
type OrderAnswered struct {
	order Order
	reply Reply
}

// NewOrderAnswered returns the event that order was answered with reply.
func NewOrderAnswered(order Order, reply Reply) OrderAnswered { return OrderAnswered{order, reply} }

// StoreCompleted carries the result of a request to the store.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that a request ended with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// LeadershipChanged says whether this daemon is the leader, which forms the replicas.
type LeadershipChanged struct{ leading bool }

// NewLeadershipChanged returns the event that this daemon became the leader, or stopped being it.
func NewLeadershipChanged(leading bool) LeadershipChanged { return LeadershipChanged{leading} }

// DemandReported carries how much work arrived for each model in the last second.
type DemandReported struct{ demand map[string]float64 }

// NewDemandReported returns the event that the models keep this many replicas busy.
func NewDemandReported(demand map[string]float64) DemandReported { return DemandReported{demand} }

// CallsArrived says that callers send calls. From then on loads from the weight store are limited, and replicas are
// formed of warm instances, so that they don't wait for loads.
type CallsArrived struct{}

// NewCallsArrived returns the event that callers send calls.
func NewCallsArrived() CallsArrived { return CallsArrived{} }

// StoreEra carries the era of the store.
type StoreEra struct{ era uint64 }

// NewStoreEra returns the event that the store answers in this era, which rises when it is restored from an older snapshot.
func NewStoreEra(era uint64) StoreEra { return StoreEra{era} }

// ProbesPaused says that an instance must not be probed for a time.
type ProbesPaused struct {
	id    ID
	until time.Time
}

// NewProbesPaused returns the event that the instance called id must not be probed before until.
func NewProbesPaused(id ID, until time.Time) ProbesPaused { return ProbesPaused{id, until} }

// SilenceReported says that an instance misses the probes of another daemon, but may still be alive.
type SilenceReported struct {
	id    ID
	until time.Time
}

// NewSilenceReported returns the event that the instance called id is silent for another daemon; its replica gets no new calls before until.
func NewSilenceReported(id ID, until time.Time) SilenceReported { return SilenceReported{id, until} }

// AnsweredAgain says that a dead instance answered another daemon.
type AnsweredAgain struct{ id ID }

// NewAnsweredAgain returns the event that the instance called id answered another daemon.
func NewAnsweredAgain(id ID) AnsweredAgain { return AnsweredAgain{id} }

// Delayed says that this daemon handles its events late.
type Delayed struct{ lag time.Duration }

// NewDelayed returns the event that a timer of this daemon is handled lag after it was due.
func NewDelayed(lag time.Duration) Delayed { return Delayed{lag} }

// Ticked says that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Listed) isEvent() {}

func (Probed) isEvent() {}

func (Suspected) isEvent() {}

func (DeclaredDead) isEvent() {}

func (OrderAnswered) isEvent() {}

func (StoreCompleted) isEvent() {}

func (LeadershipChanged) isEvent() {}

func (DemandReported) isEvent() {}

func (CallsArrived) isEvent() {}

func (StoreEra) isEvent() {}

func (ProbesPaused) isEvent() {}

func (SilenceReported) isEvent() {}

func (AnsweredAgain) isEvent() {}

func (Delayed) isEvent() {}

func (Ticked) isEvent() {}
