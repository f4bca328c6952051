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
	part    Part
	request object.Request
}

// Part returns the part that the result goes to.
func (s Store) Part() Part { return s.part }

// Request returns the call to make.
func (s Store) Request() object.Request { return s.request }

// Decode asks for a configuration to be read, which answers with Decoded.
type Decode struct{ document peer.Document }

// Document returns the configuration as the store holds it.
func (d Decode) Document() peer.Document { return d.document }

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

// Refusing says that new connections are not worth accepting any more, since this daemon stops.
type Refusing struct{}

// Stopped says that nothing is left to wait for: the process may end.
type Stopped struct{}

// Led says that this daemon forms the replicas from now on, or no longer does.
type Led struct {
	leads  bool
	leader string
}

// Leads reports whether this daemon forms the replicas.
func (l Led) Leads() bool { return l.leads }

// Leader returns the daemon that does, empty for none.
func (l Led) Leader() string { return l.leader }

// Follow says whether this daemon reads the platform's list of upstreams from now on.
type Follow struct{ on bool }

// On reports whether it does.
func (f Follow) On() bool { return f.on }

// Measured tells what the daemon has under way, once a second.
type Measured struct {
	running int
	waiting int
	asking  int
	lines   int
	repeats map[string]float64
}

// Running returns how many requests have not ended.
func (m Measured) Running() int { return m.running }

// Waiting returns how many requests wait here for an upstream.
func (m Measured) Waiting() int { return m.waiting }

// Asking returns how many requests ask or wait for a place at a replica.
func (m Measured) Asking() int { return m.asking }

// Lines returns how many requests of all daemons wait for places whose count is kept here.
func (m Measured) Lines() int { return m.lines }

// Repeats returns how often requests to each service may still be sent again by this daemon.
func (m Measured) Repeats() map[string]float64 { return m.repeats }

// Problem is an error that is passed over, for the log.
type Problem struct{ what, reason string }

// What returns what went wrong.
func (p Problem) What() string { return p.what }

// Reason returns why.
func (p Problem) Reason() string { return p.reason }

// ToPeer is an effect towards peers: peer.Send or Reset.
type ToPeer struct{ effect peer.Effect }

// Effect returns the effect of pkg/peer.
func (t ToPeer) Effect() peer.Effect { return t.effect }

// ToReplica is an effect towards engines: replica.Order, Look or Decided.
type ToReplica struct{ effect replica.Effect }

// Effect returns the effect of pkg/replica.
func (t ToReplica) Effect() replica.Effect { return t.effect }

// ToDispatch is an effect on requests: any of pkg/dispatch but Suspect.
type ToDispatch struct{ effect dispatch.Effect }

// Effect returns the effect of pkg/dispatch.
func (t ToDispatch) Effect() dispatch.Effect { return t.effect }

func (Store) isEffect() {}

func (Decode) isEffect() {}

func (Advertise) isEffect() {}

func (Ready) isEffect() {}

func (Refusing) isEffect() {}

func (Stopped) isEffect() {}

func (Led) isEffect() {}

func (Follow) isEffect() {}

func (Measured) isEffect() {}

func (Problem) isEffect() {}

func (ToPeer) isEffect() {}

func (ToReplica) isEffect() {}

func (ToDispatch) isEffect() {}
