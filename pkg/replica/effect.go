package replica

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// Effect is an action for the driver: Store, Order, Probe, InstanceSilent, AnnounceDead, Counts, HeadsChanged or LogEntry.
type Effect interface{ isEffect() }

// Store requests one call to the object API. The driver answers with StoreCompleted.
type Store struct{ request object.Request }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// Verb is the operation that an order requests.
type Verb uint8

// The verbs of orders. VerbCloseCut aborts the calls of a replica, VerbCloseWait lets them finish.
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

// Order is a command to one instance. The driver answers with OrderAnswered.
type Order struct {
	verb         Verb
	id           ID
	address      string
	replica      string
	epoch        uint64
	model        string
	members      []ID
	fencingToken uint64
}

// Verb returns the requested operation.
func (o Order) Verb() Verb { return o.verb }

// ID returns the instance that receives the order.
func (o Order) ID() ID { return o.id }

// Address returns where the instance listens, as host:port.
func (o Order) Address() string { return o.address }

// Replica returns the replica that the order applies to, empty for VerbStage.
func (o Order) Replica() string { return o.replica }

// Epoch returns the epoch in which the replica was formed.
func (o Order) Epoch() uint64 { return o.epoch }

// Model returns the model of a VerbJoin or VerbStage.
func (o Order) Model() string { return o.model }

// Members returns the members of a VerbJoin, the head first.
func (o Order) Members() []ID { return o.members }

// FencingToken returns the fencing token. Later orders have higher tokens.
func (o Order) FencingToken() uint64 { return o.fencingToken }

// Probe requests one probe of an instance. The driver answers with Probed.
type Probe struct {
	id      ID
	address string
	timeout time.Duration
	missed  int // including inconclusive ones
}

// ID returns the instance to probe.
func (p Probe) ID() ID { return p.id }

// Address returns where the instance listens, as host:port.
func (p Probe) Address() string { return p.address }

// Timeout returns how long to wait for the answer.
func (p Probe) Timeout() time.Duration { return p.timeout }

// Missed returns how many probes in a row were missed or inconclusive before, so that this one is carried out by another daemon.
func (p Probe) Missed() int { return p.missed }

// InstanceSilent reports that an instance misses probes, but may still be alive.
type InstanceSilent struct{ id ID }

// ID returns the instance.
func (i InstanceSilent) ID() ID { return i.id }

// AnnounceDead reports to the other daemons that an instance does not answer.
type AnnounceDead struct{ id ID }

// ID returns the instance that does not answer.
func (a AnnounceDead) ID() ID { return a.id }

// Counts are the numbers of instances and replicas that the leader logs.
type Counts struct {
	alive, leaving, idle int
	recorded, open       map[string]int
	demand               map[string]float64
	notOpen              []string
}

// Alive returns how many instances answer.
func (c Counts) Alive() int { return c.alive }

// Leaving returns how many of them are shutting down or evacuated.
func (c Counts) Leaving() int { return c.leaving }

// Idle returns how many of the others belong to no recorded replica.
func (c Counts) Idle() int { return c.idle }

// Recorded returns the number of recorded replicas of each model.
func (c Counts) Recorded() map[string]int { return c.recorded }

// Open returns the number of replicas of each model that accept calls.
func (c Counts) Open() map[string]int { return c.open }

// Demand returns how many replicas the work of each model keeps busy.
func (c Counts) Demand() map[string]float64 { return c.demand }

// NotOpen returns the recorded replicas that accept no calls, each with the states of its members.
func (c Counts) NotOpen() []string { return c.notOpen }

// HeadsChanged says that the set of replicas that accept calls changed.
type HeadsChanged struct{}

// LogEntry is a line for the log about a replica, an instance or the record.
type LogEntry struct {
	message string
	replica string
	model   string
	epoch   uint64
	members []ID
	reason  string
}

// Message returns what happened, in a few words.
func (l LogEntry) Message() string { return l.message }

// Replica returns the name of the replica.
func (l LogEntry) Replica() string { return l.replica }

// Model returns the model of the replica.
func (l LogEntry) Model() string { return l.model }

// Epoch returns the epoch in which the replica was formed.
func (l LogEntry) Epoch() uint64 { return l.epoch }

// Members returns the members.
func (l LogEntry) Members() []ID { return l.members }

// Reason returns why it happened.
func (l LogEntry) Reason() string { return l.reason }

func (Store) isEffect() {}

func (Order) isEffect() {}

func (Probe) isEffect() {}

func (InstanceSilent) isEffect() {}

func (AnnounceDead) isEffect() {}

func (Counts) isEffect() {}

func (HeadsChanged) isEffect() {}

func (LogEntry) isEffect() {}
