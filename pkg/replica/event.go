package replica

import (
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/route"
)

// Event is something that the formation of replicas reacts to: Configured, Listed, Looked, Suspected, Buried, Ordered, Resulted,
// Led, Demanded, Served or Ticked.
type Event interface{ isEvent() }

// Configured says what the engines can run.
type Configured struct{ engine route.Engine }

// NewConfigured returns the event that engines run by this description.
func NewConfigured(engine route.Engine) Configured { return Configured{engine} }

// Listed says what the platform's list of instances holds.
type Listed struct {
	instances []Instance
	gone      []ID
	complete  bool
}

// NewListed returns the event that instances are all there are.
func NewListed(instances []Instance) Listed { return Listed{instances: instances, complete: true} }

// NewListChanges returns the event that some instances changed and others are gone.
func NewListChanges(changed []Instance, gone []ID) Listed {
	return Listed{instances: changed, gone: gone}
}

// Probed says what one look at an instance showed.
type Probed struct {
	id       ID
	answered bool
	instance Instance
}

// NewProbed returns the event that an instance answered a look with what it says of itself.
func NewProbed(instance Instance) Probed { return Probed{instance.id, true, instance} }

// NewProbeFailed returns the event that the instance called id did not answer a look.
func NewProbeFailed(id ID) Probed { return Probed{id: id} }

// Suspected says that an instance may be dead: work on its replica fell silent, or a peer says so.
type Suspected struct{ id ID }

// NewSuspected returns the event that the instance called id may be dead.
func NewSuspected(id ID) Suspected { return Suspected{id} }

// DeclaredDead says that the leader found an instance dead.
type DeclaredDead struct{ id ID }

// NewDeclaredDead returns the event that the leader found the instance called id dead.
func NewDeclaredDead(id ID) DeclaredDead { return DeclaredDead{id} }

// Reply is how an instance answered an order.
type Reply uint8

// The replies to an order; Unanswered says that it may be carried out later.
const (
	ReplyUnanswered Reply = iota
	ReplyBegun
	ReplyDone
	ReplyUnfit
	ReplyStale
	ReplyMisdirected
)

var replyNames = [...]string{"unanswered", "begun", "done", "unfit", "stale", "misdirected"}

// String returns the name of the reply.
func (r Reply) String() string { return replyNames[r] }

// OrderAnswered says how an order was answered.
type OrderAnswered struct {
	order Order
	reply Reply
}

// NewOrderAnswered returns the event that order was answered with reply.
func NewOrderAnswered(order Order, reply Reply) OrderAnswered { return OrderAnswered{order, reply} }

// StoreCompleted says what became of a request to the store.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that a request ended with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// LeadershipChanged says whether this daemon forms the replicas from now on.
type LeadershipChanged struct{ leading bool }

// NewLeadershipChanged returns the event that this daemon leads, or does not.
func NewLeadershipChanged(leads bool) LeadershipChanged { return LeadershipChanged{leads} }

// DemandReported says how much work waits for each model.
type DemandReported struct{ demand map[string]float64 }

// NewDemandReported returns the event that models get that much work, in replicas kept busy.
func NewDemandReported(work map[string]float64) DemandReported { return DemandReported{work} }

// CallsArrived says that calls come: loads are not free any more, and replicas are not to be left waiting for them.
type CallsArrived struct{}

// NewCallsArrived returns the event that calls come.
func NewCallsArrived() CallsArrived { return CallsArrived{} }

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

func (Ticked) isEvent() {}
