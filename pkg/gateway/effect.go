package gateway

import (
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// Effect is what a driver has to carry out.
type Effect interface{ isEffect() }

// Store asks for one call to the object API on behalf of a part, which answers with Resulted.
type Store struct {
	component Component
	request   object.Request
}

// Component returns the part that the result goes to.
func (s Store) Component() Component { return s.component }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// DecodeConfig asks for a configuration to be read, which answers with Decoded.
type DecodeConfig struct{ document peer.Document }

// Document returns the configuration as the store holds it.
func (d DecodeConfig) Document() peer.Document { return d.document }

// Advertise says which addresses callers are told from now on.
type Advertise struct{ addresses []string }

// Addresses returns the addresses (host:port), this daemon's own first unless it stops.
func (a Advertise) Addresses() []string { return a.addresses }

// Ready says whether this daemon counts as ready from now on.
type Ready struct {
	ready  bool
	reason string
}

// Ready reports whether the daemon is ready.
func (r Ready) Ready() bool { return r.ready }

// Reason returns why.
func (r Ready) Reason() string { return r.reason }

// StopAccepting says that new connections are not worth accepting any more, since this daemon stops.
type StopAccepting struct{}

// Stopped says that nothing is left to wait for: the process may end.
type Stopped struct{}

// LeaderChanged says that this daemon forms the replicas from now on, or no longer does.
type LeaderChanged struct {
	leading bool
	leader  string
}

// Leading reports whether this daemon forms the replicas.
func (l LeaderChanged) Leading() bool { return l.leading }

// Leader returns the daemon that does, empty for none.
func (l LeaderChanged) Leader() string { return l.leader }

// WatchUpstreams says whether this daemon reads the platform's list of upstreams from now on.
type WatchUpstreams struct{ enabled bool }

// Enabled reports whether it does.
func (f WatchUpstreams) Enabled() bool { return f.enabled }

// Stats tells what the daemon has under way, once a second.
type Stats struct {
	active       int
	queued       int
	awaitingSlot int
	slotWaiters  int
	retriesLeft  map[string]float64
}

// Active returns how many requests have not ended.
func (m Stats) Active() int { return m.active }

// Queued returns how many requests wait here for an upstream.
func (m Stats) Queued() int { return m.queued }

// AwaitingSlot returns how many requests ask or wait for a place at a replica.
func (m Stats) AwaitingSlot() int { return m.awaitingSlot }

// SlotWaiters returns how many requests of all daemons wait for places whose count is kept here.
func (m Stats) SlotWaiters() int { return m.slotWaiters }

// RetriesLeft returns how often requests to each service may still be sent again by this daemon.
func (m Stats) RetriesLeft() map[string]float64 { return m.retriesLeft }

// Problem is an error that is passed over, for the log.
type Problem struct{ message, reason string }

// Message returns what went wrong.
func (p Problem) Message() string { return p.message }

// Reason returns why.
func (p Problem) Reason() string { return p.reason }

// PeerEffect is an effect towards peers: peer.Send or Reset.
type PeerEffect struct{ effect peer.Effect }

// Effect returns the effect of pkg/peer.
func (t PeerEffect) Effect() peer.Effect { return t.effect }

// ReplicaEffect is an effect towards engines: replica.Order, Look or Decided.
type ReplicaEffect struct{ effect replica.Effect }

// Effect returns the effect of pkg/replica.
func (t ReplicaEffect) Effect() replica.Effect { return t.effect }

// DispatchEffect is an effect on requests: any of pkg/dispatch but Suspect.
type DispatchEffect struct{ effect dispatch.Effect }

// Effect returns the effect of pkg/dispatch.
func (t DispatchEffect) Effect() dispatch.Effect { return t.effect }

func (Store) isEffect() {}

func (DecodeConfig) isEffect() {}

func (Advertise) isEffect() {}

func (Ready) isEffect() {}

func (StopAccepting) isEffect() {}

func (Stopped) isEffect() {}

func (LeaderChanged) isEffect() {}

func (WatchUpstreams) isEffect() {}

func (Stats) isEffect() {}

func (Problem) isEffect() {}

func (PeerEffect) isEffect() {}

func (ReplicaEffect) isEffect() {}

func (DispatchEffect) isEffect() {}
