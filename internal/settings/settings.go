package settings

import (
	"net/netip"
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
)

// Settings are the settings of one daemon.
type Settings struct {
	name        string
	centre      string
	region      string
	listeners   Listeners
	advertised  Listeners
	seeds       []netip.AddrPort
	platform    netip.AddrPort
	tls         TLS
	https       TLS
	tokens      []Token
	verbosity   int
	timings     Timings
	weightStore WeightStore
}

// Name returns the name of the daemon, unique within the fleet.
func (s Settings) Name() string { return s.name }

// Centre returns the data centre that the daemon runs in.
func (s Settings) Centre() string { return s.centre }

// Region returns the region of the data centre.
func (s Settings) Region() string { return s.region }

// Listeners returns the addresses that the daemon listens on.
func (s Settings) Listeners() Listeners { return s.listeners }

// Advertised returns the addresses at which others connect to the daemon; each defaults to the listen address.
func (s Settings) Advertised() Listeners { return s.advertised }

// Seeds returns the peer addresses of the daemons to contact at the start.
func (s Settings) Seeds() []netip.AddrPort { return s.seeds }

// Platform returns the address of the object API and the instance list.
func (s Settings) Platform() netip.AddrPort { return s.platform }

// TLS returns the files for TLS between peers; the zero value means none.
func (s Settings) TLS() TLS { return s.tls }

// HTTPS returns the files for the operators' HTTPS listener, without an authority; the zero value means plain HTTP.
func (s Settings) HTTPS() TLS { return s.https }

// Tokens returns the tokens of the administration API.
func (s Settings) Tokens() []Token { return s.tokens }

// Verbosity returns the verbosity of the log, 0 to 9.
func (s Settings) Verbosity() int { return s.verbosity }

// Timings returns the intervals and timeouts.
func (s Settings) Timings() Timings { return s.timings }

// WeightStore returns the load limits of the weight store.
func (s Settings) WeightStore() WeightStore { return s.weightStore }

// WeightStore are the load limits of the store of model weights. They must be the same in all daemons.
type WeightStore struct {
	maxTotalRate    int64
	maxInstanceRate int64
}

// MaxTotalRate returns the maximum rate of all instances together, in bytes per second.
func (w WeightStore) MaxTotalRate() int64 { return w.maxTotalRate }

// MaxInstanceRate returns the maximum rate of one instance, in bytes per second.
func (w WeightStore) MaxInstanceRate() int64 { return w.maxInstanceRate }

// Listeners are the addresses of one daemon, one for each kind of client.
type Listeners struct {
	caller   netip.AddrPort
	peer     netip.AddrPort
	operator netip.AddrPort
}

// Caller returns the address for callers.
func (l Listeners) Caller() netip.AddrPort { return l.caller }

// Peer returns the address for other daemons.
func (l Listeners) Peer() netip.AddrPort { return l.peer }

// Operator returns the address for operators.
func (l Listeners) Operator() netip.AddrPort { return l.operator }

// TLS names the PEM files for TLS, which is mutual between peers.
type TLS struct {
	certificate string
	key         string
	authority   string
}

// Certificate returns the path of the daemon's certificate.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the certificate's private key.
func (t TLS) Key() string { return t.key }

// Authority returns the path of the CA certificates that must have signed a peer's certificate; it is empty for operators.
func (t TLS) Authority() string { return t.authority }

// IsZero reports whether there is no TLS.
func (t TLS) IsZero() bool { return t == TLS{} }

// Token authorises its holder to act for one team on the administration API; operator.FleetTeam means all teams.
type Token struct {
	name string
	team string
	hash operator.Hash
}

// NewToken returns the token with a hash, held by name, for team.
func NewToken(name, team string, hash operator.Hash) Token { return Token{name, team, hash} }

// Name returns the name of the holder.
func (t Token) Name() string { return t.name }

// Team returns the team that the holder acts for.
func (t Token) Team() string { return t.team }

// Hash returns the hash of the token.
func (t Token) Hash() operator.Hash { return t.hash }

// Timings are the intervals and timeouts of one daemon.
type Timings struct {
	tickInterval      time.Duration
	heartbeatInterval time.Duration
	probeInterval     time.Duration
	listInterval      time.Duration
	requestTimeout    time.Duration
	gracePeriod       time.Duration
}

// TickInterval returns the time between two ticks of the state machine.
func (t Timings) TickInterval() time.Duration { return t.tickInterval }

// HeartbeatInterval returns the time between two heartbeats to peers.
func (t Timings) HeartbeatInterval() time.Duration { return t.heartbeatInterval }

// ProbeInterval returns the time between two probes of one upstream.
func (t Timings) ProbeInterval() time.Duration { return t.probeInterval }

// ListInterval returns the time between two reads of the instance list.
func (t Timings) ListInterval() time.Duration { return t.listInterval }

// RequestTimeout returns the timeout of one request to the platform.
func (t Timings) RequestTimeout() time.Duration { return t.requestTimeout }

// GracePeriod returns how long a graceful shutdown waits for calls in flight.
func (t Timings) GracePeriod() time.Duration { return t.gracePeriod }
