package replica

import "github.com/azurepond/azurepond/pkg/object"

// Effect is what a driver has to do: Store, Order, Look, Spread, Changed or Decided.
type Effect interface{ isEffect() }

// Store asks for one call to the object API, which answers with Resulted.
type Store struct{ request object.Request }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// Verb is what an order asks for.
type Verb uint8

// The verbs of orders.
const (
	VerbJoin Verb = iota
	VerbOpen
	VerbCloseCut
	VerbCloseWait
	VerbLeave
	VerbStage
)

var verbNames = [...]string{"join", "open", "close-cut", "close-wait", "leave", "stage"}

// String returns the name of the verb.
func (v Verb) String() string { return verbNames[v] }

// Order tells one instance what to do; the driver answers with Ordered.
type Order struct {
	verb    Verb
	id      ID
	address string
	replica string
	epoch   uint64
	model   string
	members []ID
	token   uint64
}

// Verb returns what is asked for.
func (o Order) Verb() Verb { return o.verb }

// ID returns the instance that the order is for.
func (o Order) ID() ID { return o.id }

// Address returns where the instance listens, as host:port.
func (o Order) Address() string { return o.address }

// Replica returns the replica that the order is about, empty for Stage.
func (o Order) Replica() string { return o.replica }

// Epoch returns the decision by which the replica was formed.
func (o Order) Epoch() uint64 { return o.epoch }

// Model returns the model of a Join or Stage.
func (o Order) Model() string { return o.model }

// Members returns the members of a Join, the head first.
func (o Order) Members() []ID { return o.members }

// Token returns the fencing number; later orders carry higher ones.
func (o Order) Token() uint64 { return o.token }

// Probe asks for one look at an instance, which answers with Looked.
type Probe struct {
	id      ID
	address string
}

// ID returns the instance to look at.
func (l Probe) ID() ID { return l.id }

// Address returns where the instance listens, as host:port.
func (l Probe) Address() string { return l.address }

// AnnounceDead tells the other daemons that an instance does not answer.
type AnnounceDead struct{ id ID }

// ID returns the instance that does not answer.
func (s AnnounceDead) ID() ID { return s.id }

// Counts says how the instances are used, for the log of the leader.
type Counts struct {
	alive, leaving, idle int
	recorded, open       map[string]int
	demand               map[string]float64
	notOpen              []string
}

// Alive returns how many instances answer.
func (c Counts) Alive() int { return c.alive }

// Leaving returns how many of them are about to end.
func (c Counts) Leaving() int { return c.leaving }

// Idle returns how many of the others are in no recorded replica.
func (c Counts) Idle() int { return c.idle }

// Recorded returns the recorded replicas of each model.
func (c Counts) Recorded() map[string]int { return c.recorded }

// Open returns the replicas of each model that take calls.
func (c Counts) Open() map[string]int { return c.open }

// Demand returns how many replicas the work of each model keeps busy.
func (c Counts) Demand() map[string]float64 { return c.demand }

// NotOpen returns the recorded replicas that take no calls, each with what its members do.
func (c Counts) NotOpen() []string { return c.notOpen }

// HeadsChanged says that another set of replicas takes calls.
type HeadsChanged struct{}

// LogEntry says what was decided about a replica, for the log.
type LogEntry struct {
	message string
	replica string
	model   string
	epoch   uint64
	members []ID
	reason  string
}

// Message returns the decision in a word.
func (d LogEntry) Message() string { return d.message }

// Replica returns the replica that it is about.
func (d LogEntry) Replica() string { return d.replica }

// Model returns the model of the replica.
func (d LogEntry) Model() string { return d.model }

// Epoch returns the number of the decision.
func (d LogEntry) Epoch() uint64 { return d.epoch }

// Members returns the members.
func (d LogEntry) Members() []ID { return d.members }

// Reason returns why it was decided.
func (d LogEntry) Reason() string { return d.reason }

func (Store) isEffect() {}

func (Order) isEffect() {}

func (Probe) isEffect() {}

func (AnnounceDead) isEffect() {}

func (Counts) isEffect() {}

func (HeadsChanged) isEffect() {}

func (LogEntry) isEffect() {}
