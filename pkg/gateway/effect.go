package gateway

import (
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// Effect is an action that the driver of the state machine executes.
type Effect interface{ isEffect() }

// Store requests one call to the object API on behalf of a component; StoreCompleted carries its result.
type Store struct {
	component Component
	request   object.Request
}

// Component returns the component that receives the result.
func (s Store) Component() Component { return s.component }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// DecodeConfig requests that a configuration be decoded; ConfigDecoded carries the result.
type DecodeConfig struct {
	document peer.Document
	source   string
	storeAge time.Duration
}

// Document returns the configuration as stored.
func (d DecodeConfig) Document() peer.Document { return d.document }

// Source returns where the configuration came from: the name of a peer, or peer.StoreSource.
func (d DecodeConfig) Source() string { return d.source }

// StoreAge returns how long ago the store last answered for the configuration, 0 if it never did.
func (d DecodeConfig) StoreAge() time.Duration { return d.storeAge }

// Advertise sets the addresses that callers receive from now on.
type Advertise struct{ addresses []Address }

// Addresses returns the addresses of the daemons that callers may connect to, this daemon's own first if it is ready and not
// stopping.
func (a Advertise) Addresses() []Address { return a.addresses }

// Ready sets whether this daemon reports itself as ready.
type Ready struct {
	ready  bool
	reason string
}

// Ready reports whether the daemon is ready.
func (r Ready) Ready() bool { return r.ready }

// Reason returns why the daemon is ready or not.
func (r Ready) Reason() string { return r.reason }

// StopScheduled tells the driver when a graceful shutdown closes all connections.
type StopScheduled struct{ ends time.Time }

// Ends returns the end of the shutdown.
func (s StopScheduled) Ends() time.Time { return s.ends }

// StopAccepting tells the driver that new requests are refused from now on, since this daemon stops.
type StopAccepting struct{}

// Stopped tells the driver that no request is active any more and the process may exit.
type Stopped struct{}

// LeaderChanged reports a new leader; the leader forms the replicas.
type LeaderChanged struct {
	leading bool
	leader  string
}

// Leading reports whether this daemon is the leader.
func (l LeaderChanged) Leading() bool { return l.leading }

// Leader returns the name of the leader, empty for none.
func (l LeaderChanged) Leader() string { return l.leader }

// ShardOwnersChanged reports the daemons that grant the slots of the replicas, as this daemon sees them.
type ShardOwnersChanged struct{ owners []string }

// Owners returns their names, by rank.
func (s ShardOwnersChanged) Owners() []string { return s.owners }

// RetrySharersChanged reports among how many daemons this daemon divides the burst of the retry budget.
type RetrySharersChanged struct{ count int }

// Count returns the number of daemons, this one included, or 0 while it is unknown.
func (r RetrySharersChanged) Count() int { return r.count }

// ResetStore closes the connections to the store that are not in use, so that the next calls open new ones. A watch delivered
// nothing on one of them.
type ResetStore struct {
	watch   string
	silence time.Duration
}

// Watch returns the name of what was watched.
func (r ResetStore) Watch() string { return r.watch }

// Silence returns the time since the last answer of the watch.
func (r ResetStore) Silence() time.Duration { return r.silence }

// PartsSuspected reports that this daemon asks its peers about parts of prompts that may crash upstreams.
type PartsSuspected struct{ parts []string }

// Parts returns the names of the parts.
func (p PartsSuspected) Parts() []string { return p.parts }

// PartMarked reports that this daemon tells its peers to refuse the requests with a part, or no longer to do so.
type PartMarked struct {
	part string
	ttl  time.Duration
}

// Part returns the name of the part.
func (p PartMarked) Part() string { return p.part }

// TTL returns how long requests with the part are refused, 0 if they no longer are.
func (p PartMarked) TTL() time.Duration { return p.ttl }

// WatchUpstreams starts, restarts or stops watching the platform's list of upstreams.
type WatchUpstreams struct{ interval time.Duration }

// Enabled reports whether the watch is to run.
func (w WatchUpstreams) Enabled() bool { return w.interval > 0 }

// Interval returns the minimum time between two reads of changes.
func (w WatchUpstreams) Interval() time.Duration { return w.interval }

// StoreRestored reports that the store was restored from an older snapshot.
type StoreRestored struct{ before, era uint64 }

// Before returns the era before.
func (s StoreRestored) Before() uint64 { return s.before }

// Era returns the present era.
func (s StoreRestored) Era() uint64 { return s.era }

// StoreAnswerOutdated reports that an answer of the store was dropped, as it is of an earlier era.
type StoreAnswerOutdated struct{ era, current uint64 }

// Era returns the era of the answer.
func (s StoreAnswerOutdated) Era() uint64 { return s.era }

// Current returns the present era.
func (s StoreAnswerOutdated) Current() uint64 { return s.current }

// UpstreamLeaving reports that an upstream shuts down, before its entry in the list says so.
type UpstreamLeaving struct {
	id     replica.ID
	source string
}

// ID returns the upstream.
func (u UpstreamLeaving) ID() replica.ID { return u.id }

// Source returns the daemon that reported it, or "answer" if the upstream announced it to this daemon.
func (u UpstreamLeaving) Source() string { return u.source }

// ColdChanged reports that an upstream is cold, so that it gets requests at a low rate, or no longer is.
type ColdChanged struct {
	id        replica.ID
	left      time.Duration
	perSecond float64
}

// ID returns the upstream.
func (c ColdChanged) ID() replica.ID { return c.id }

// Left returns for how much longer the upstream is cold, 0 if it no longer is.
func (c ColdChanged) Left() time.Duration { return c.left }

// PerSecond returns the requests per second that it tolerates until then.
func (c ColdChanged) PerSecond() float64 { return c.perSecond }

// Stats counts the work in progress at this daemon; it is emitted once a second.
type Stats struct {
	active       int
	queued       int
	awaitingSlot int
	slotWaiters  int
	retriesLeft  map[string]float64
	lag          time.Duration
	leaving      int
	throttling   int
	limited      int
	cold         int
	lostPaths    int
	demand       map[dispatch.Demander]float64
}

// Active returns how many requests have not ended.
func (s Stats) Active() int { return s.active }

// Queued returns how many requests wait at this daemon for an upstream.
func (s Stats) Queued() int { return s.queued }

// AwaitingSlot returns how many requests asked for a slot at a replica and have not got one.
func (s Stats) AwaitingSlot() int { return s.awaitingSlot }

// SlotWaiters returns how many requests of all daemons wait for slots in shards that this daemon owns.
func (s Stats) SlotWaiters() int { return s.slotWaiters }

// RetriesLeft returns how many retries this daemon's budget still allows for each service.
func (s Stats) RetriesLeft() map[string]float64 { return s.retriesLeft }

// Lag returns the longest time from when a tick was due until this daemon handled it, since the last Stats.
func (s Stats) Lag() time.Duration { return s.lag }

// Leaving returns how many listed upstreams shut down.
func (s Stats) Leaving() int { return s.leaving }

// Throttling returns how many upstreams throttle this daemon now.
func (s Stats) Throttling() int { return s.throttling }

// Limited returns how many upstreams name a limit of the rate of requests that they accept.
func (s Stats) Limited() int { return s.limited }

// Cold returns how many upstreams are cold.
func (s Stats) Cold() int { return s.cold }

// LostPaths returns to how many upstreams this daemon lost its path.
func (s Stats) LostPaths() int { return s.lostPaths }

// Demand returns the work that arrived since the last Stats by organisation and model, in replica-seconds.
func (s Stats) Demand() map[dispatch.Demander]float64 { return s.demand }

// Problem is an error to log; processing continues.
type Problem struct{ message, reason string }

// Message returns what went wrong.
func (p Problem) Message() string { return p.message }

// Reason returns the cause.
func (p Problem) Reason() string { return p.reason }

// PeerEffect is an effect of pkg/peer: Send, ResetLinks or StopWatches.
type PeerEffect struct{ effect peer.Effect }

// Effect returns the effect of pkg/peer.
func (p PeerEffect) Effect() peer.Effect { return p.effect }

// RelayEffect is an effect of pkg/relay.
type RelayEffect struct{ effect relay.Effect }

// Effect returns the effect of pkg/relay.
func (r RelayEffect) Effect() relay.Effect { return r.effect }

// SendOrder sends an order to an instance.
type SendOrder struct {
	order replica.Order
	via   relay.Peer
}

// Order returns the order.
func (s SendOrder) Order() replica.Order { return s.order }

// Via returns the peer through which the order goes, the zero value if it goes directly.
func (s SendOrder) Via() relay.Peer { return s.via }

// SendProbe sends a probe to an instance; ProbeEnded carries the result.
type SendProbe struct {
	probe replica.Probe
	via   relay.Peer
}

// Probe returns the probe.
func (s SendProbe) Probe() replica.Probe { return s.probe }

// Via returns the peer through which the probe goes, the zero value if it goes directly.
func (s SendProbe) Via() relay.Peer { return s.via }

// RelayDecided tells the driver whether it passes a request of a peer on.
type RelayDecided struct {
	id       RelayID
	upstream string
	address  string
	refusal  RelayRefusal
}

// ID returns the id of the request.
func (r RelayDecided) ID() RelayID { return r.id }

// Upstream returns the name of the upstream.
func (r RelayDecided) Upstream() string { return r.upstream }

// Address returns where the upstream listens, as host:port, empty if the request is refused.
func (r RelayDecided) Address() string { return r.address }

// Refusal returns why the request is not passed on.
func (r RelayDecided) Refusal() RelayRefusal { return r.refusal }

// ReplicaEffect is an effect of pkg/replica: LogEntry or Counts.
type ReplicaEffect struct{ effect replica.Effect }

// Effect returns the effect of pkg/replica.
func (r ReplicaEffect) Effect() replica.Effect { return r.effect }

// DispatchEffect is an effect of pkg/dispatch, except Suspect, CheckPath, PauseProbes and the messages to other daemons.
type DispatchEffect struct{ effect dispatch.Effect }

// Effect returns the effect of pkg/dispatch.
func (d DispatchEffect) Effect() dispatch.Effect { return d.effect }

func (Store) isEffect() {}

func (DecodeConfig) isEffect() {}

func (Advertise) isEffect() {}

func (Ready) isEffect() {}

func (StopAccepting) isEffect() {}

func (StopScheduled) isEffect() {}

func (Stopped) isEffect() {}

func (LeaderChanged) isEffect() {}

func (ShardOwnersChanged) isEffect() {}

func (RetrySharersChanged) isEffect() {}

func (PartsSuspected) isEffect() {}

func (PartMarked) isEffect() {}

func (ResetStore) isEffect() {}

func (WatchUpstreams) isEffect() {}

func (Stats) isEffect() {}

func (Problem) isEffect() {}

func (PeerEffect) isEffect() {}

func (ReplicaEffect) isEffect() {}

func (RelayEffect) isEffect() {}

func (SendOrder) isEffect() {}

func (SendProbe) isEffect() {}

func (RelayDecided) isEffect() {}

func (DispatchEffect) isEffect() {}

func (StoreRestored) isEffect() {}

func (StoreAnswerOutdated) isEffect() {}

func (UpstreamLeaving) isEffect() {}

func (ColdChanged) isEffect() {}
