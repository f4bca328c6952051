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
	whole     bool
}

// NewListed returns the event that instances are all there are.
func NewListed(instances []Instance) Listed { return Listed{instances: instances, whole: true} }

// NewRelisted returns the event that some instances changed and others are gone.
func NewRelisted(changed []Instance, gone []ID) Listed { return Listed{instances: changed, gone: gone} }

// Looked says what one look at an instance showed.
type Looked struct {
	id       ID
	answered bool
	instance Instance
}

// NewLooked returns the event that an instance answered a look with what it says of itself.
func NewLooked(instance Instance) Looked { return Looked{instance.id, true, instance} }

// NewMissed returns the event that the instance called id did not answer a look.
func NewMissed(id ID) Looked { return Looked{id: id} }

// Suspected says that an instance may be dead: work on its replica fell silent, or a peer says so.
type Suspected struct{ id ID }

// NewSuspected returns the event that the instance called id may be dead.
func NewSuspected(id ID) Suspected { return Suspected{id} }

// Buried says that the leader found an instance dead.
type Buried struct{ id ID }

// NewBuried returns the event that the leader found the instance called id dead.
func NewBuried(id ID) Buried { return Buried{id} }

// Reply is how an instance answered an order.
type Reply uint8

// The replies to an order; Unanswered says that it may be carried out later.
const (
	Unanswered Reply = iota
	Begun
	Done
	Unfit
	Stale
	Misdirected
)

var replyNames = [...]string{"unanswered", "begun", "done", "unfit", "stale", "misdirected"}

// String returns the name of the reply.
func (r Reply) String() string { return replyNames[r] }

// Ordered says how an order was answered.
type Ordered struct {
	order Order
	reply Reply
}

// NewOrdered returns the event that order was answered with reply.
func NewOrdered(order Order, reply Reply) Ordered { return Ordered{order, reply} }

// Resulted says what became of a request to the store.
type Resulted struct{ result object.Result }

// NewResulted returns the event that a request ended with result.
func NewResulted(result object.Result) Resulted { return Resulted{result} }

// Led says whether this daemon forms the replicas from now on.
type Led struct{ leads bool }

// NewLed returns the event that this daemon leads, or does not.
func NewLed(leads bool) Led { return Led{leads} }

// Demanded says how much work waits for each model.
type Demanded struct{ work map[string]float64 }

// NewDemanded returns the event that models get that much work, in replicas kept busy.
func NewDemanded(work map[string]float64) Demanded { return Demanded{work} }

// Served says that calls come: loads are not free any more, and replicas are not to be left waiting for them.
type Served struct{}

// NewServed returns the event that calls come.
func NewServed() Served { return Served{} }

// Ticked says that time has passed.
type Ticked struct{}

// NewTicked returns the event that time has passed.
func NewTicked() Ticked { return Ticked{} }

func (Configured) isEvent() {}

func (Listed) isEvent() {}

func (Looked) isEvent() {}

func (Suspected) isEvent() {}

func (Buried) isEvent() {}

func (Ordered) isEvent() {}

func (Resulted) isEvent() {}

func (Led) isEvent() {}

func (Demanded) isEvent() {}

func (Served) isEvent() {}

func (Ticked) isEvent() {}
