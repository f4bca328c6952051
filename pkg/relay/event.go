package relay

import "time"

// Event is an input of State: Connected, ConnectFailed, Suspected, Answered, Failed, PeersChanged or Ticked.
type Event interface{ isEvent() }

// Connected reports that this daemon established a connection to an upstream.
type Connected struct{ upstream string }

// NewConnected returns the event of a new connection to an upstream.
func NewConnected(upstream string) Connected { return Connected{upstream} }

// ConnectFailed reports that this daemon could not establish a connection to an upstream.
type ConnectFailed struct {
	upstream string
	timeout  time.Duration
}

// NewConnectFailed returns the event of a connection to an upstream that was refused or reset, or not established within timeout, which
// is 0 otherwise.
func NewConnectFailed(upstream string, timeout time.Duration) ConnectFailed {
	return ConnectFailed{upstream, timeout}
}

// Suspected reports that an upstream is silent, so that the path to it may be lost.
type Suspected struct{ upstream string }

// NewSuspected returns the event of an upstream that is silent.
func NewSuspected(upstream string) Suspected { return Suspected{upstream} }

// Answered reports that an upstream answered through a peer.
type Answered struct{ peer, upstream string }

// NewAnswered returns the event of an answer of an upstream through a peer.
func NewAnswered(peer, upstream string) Answered { return Answered{peer, upstream} }

// Failure is why a peer did not pass a request on.
type Failure uint8

// The failures of a relay.
const (
	// NoRelay means that the peer was not reached, or passes nothing on now.
	NoRelay Failure = iota
	// Unfit means that the peer has lost its path to the upstream, or must not send to it, and has not tried.
	Unfit
	// NoPath means that the peer could not establish a connection to the upstream either.
	NoPath
)

// Failed reports that a peer did not pass a request on.
type Failed struct {
	peer, upstream string
	failure        Failure
}

// NewFailed returns the event of a request to an upstream that a peer did not pass on.
func NewFailed(peer, upstream string, failure Failure) Failed {
	return Failed{peer, upstream, failure}
}

// Access is which upstreams a daemon reaches over its own connections.
type Access uint8

// The access of a daemon, the best first.
const (
	AccessFull Access = iota // all that its peers reach
	AccessSome               // a peer reaches upstreams that this daemon does not
	AccessNone               // a peer reaches upstreams of a service of which this daemon reaches none
)

var accessNames = [...]string{"full", "some", "none"}

// String returns the access as written to logs.
func (a Access) String() string { return accessNames[a] }

// Peer is another daemon that may pass requests on.
type Peer struct {
	name, address, centre string
	capacity              int
	access                Access
}

// NewPeer returns the peer called name in a data centre, which accepts requests to pass on at address (host:port).
func NewPeer(name, address, centre string) Peer {
	return Peer{name: name, address: address, centre: centre}
}

// WithCapacity returns the peer with the class of its resources, in factors of two.
func (p Peer) WithCapacity(class int) Peer {
	p.capacity = class
	return p
}

// WithAccess returns the peer with its access to upstreams.
func (p Peer) WithAccess(access Access) Peer {
	p.access = access
	return p
}

// Name returns the name of the daemon.
func (p Peer) Name() string { return p.name }

// Address returns where the peer accepts requests to pass on, as host:port.
func (p Peer) Address() string { return p.address }

// PeersChanged reports the live peers.
type PeersChanged struct{ peers []Peer }

// NewPeersChanged returns the event of a new list of live peers, without this daemon.
func NewPeersChanged(peers []Peer) PeersChanged { return PeersChanged{peers} }

// Ticked reports the passage of time, and the recent lag of this daemon.
type Ticked struct{ lag time.Duration }

// NewTicked returns the event of a timer tick at a daemon that handles its events lag late.
func NewTicked(lag time.Duration) Ticked { return Ticked{lag} }

func (Connected) isEvent() {}

func (ConnectFailed) isEvent() {}

func (Suspected) isEvent() {}

func (Answered) isEvent() {}

func (Failed) isEvent() {}

func (PeersChanged) isEvent() {}

func (Ticked) isEvent() {}
