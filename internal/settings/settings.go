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

// Region returns the region that the data centre lies in.
func (s Settings) Region() string { return s.region }

// Listeners returns the addresses that the daemon listens on.
func (s Settings) Listeners() Listeners { return s.listeners }

// Advertised returns the addresses that others reach the daemon at; where not set, those it listens on.
func (s Settings) Advertised() Listeners { return s.advertised }

// Seeds returns the peer addresses of daemons to join first.
func (s Settings) Seeds() []netip.AddrPort { return s.seeds }

// Platform returns the address of the object API and the instance list.
func (s Settings) Platform() netip.AddrPort { return s.platform }

// TLS returns the files for TLS between peers; the zero value means none.
func (s Settings) TLS() TLS { return s.tls }

// HTTPS returns the files for TLS towards operators, without an authority; the zero value means plain HTTP.
func (s Settings) HTTPS() TLS { return s.https }

// Tokens returns the tokens of the administration API.
func (s Settings) Tokens() []Token { return s.tokens }

// Verbosity returns the verbosity of the log, 0 to 9.
func (s Settings) Verbosity() int { return s.verbosity }

// Timings returns the intervals and timeouts.
func (s Settings) Timings() Timings { return s.timings }

// WeightStore returns what the weight store bears.
func (s Settings) WeightStore() WeightStore { return s.weightStore }

// WeightStore are the rates of the weight store, which all daemons must be told alike.
type WeightStore struct {
	maxTotalRate    int64
	maxInstanceRate int64
}

// MaxTotalRate returns how much all instances together may load, in bytes a second.
func (w WeightStore) MaxTotalRate() int64 { return w.maxTotalRate }

// MaxInstanceRate returns how much one loading instance takes at most, in bytes a second.
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

// Authority returns the path of the certificates that a peer's certificate must be signed by, empty towards operators.
func (t TLS) Authority() string { return t.authority }

// IsZero reports whether there is no TLS.
func (t TLS) IsZero() bool { return t == TLS{} }

// Token lets its holder act for one team on the administration API; operator.FleetTeam stands for all teams.
type Token struct {
	name string
	team string
	hash operator.Hash
}

// NewToken returns the token of the holder name, who acts for team, by the token's hash.
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

// TickInterval returns the time between two ticks of the decisions.
func (t Timings) TickInterval() time.Duration { return t.tickInterval }

// HeartbeatInterval returns the time between two heartbeats to peers.
func (t Timings) HeartbeatInterval() time.Duration { return t.heartbeatInterval }

// ProbeInterval returns the time between two probes of one upstream.
func (t Timings) ProbeInterval() time.Duration { return t.probeInterval }

// ListInterval returns the time between two reads of the instance list.
func (t Timings) ListInterval() time.Duration { return t.listInterval }

// RequestTimeout returns the timeout of one request to the platform.
func (t Timings) RequestTimeout() time.Duration { return t.requestTimeout }

// GracePeriod returns how long a graceful stop waits for calls in flight.
func (t Timings) GracePeriod() time.Duration { return t.gracePeriod }
