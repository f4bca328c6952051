package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// HeaderCodec reads and writes the headers of requests and answers.
type HeaderCodec interface {
	// ParseRequest returns the request of a caller; content is a hash of it.
	ParseRequest(id dispatch.ID, r *http.Request, content uint64) dispatch.Request
	// SetUpstreamHeaders turns the headers of a caller's request into those of the request to an upstream.
	SetUpstreamHeaders(header http.Header, send dispatch.Send)
	// MatchRequest returns how an answer with these headers relates to the request with this id.
	MatchRequest(answer http.Header, requestID string) transport.Match
	// ClassifyAnswer returns the outcome that the head of an answer reports.
	ClassifyAnswer(answer *http.Response) Classification
	// RemoveHopHeaders removes the hop-by-hop headers from an answer.
	RemoveHopHeaders(header http.Header)
}

// Classification is the outcome that the head of an upstream's answer reports.
type Classification struct {
	Failure        dispatch.Failure // NoFailure for a success
	Misleading     bool             // an error of a request that ran, whose status would tell the caller that it did not run
	Load           dispatch.Load
	FaultyUpstream string        // the upstream that prevents this one from running the request, empty for none
	Leaving        bool          // the upstream announces that it shuts down
	RetryAfter     time.Duration // for which the upstream throttles this daemon, 0 for none
}

// Store is the platform's object API.
type Store interface {
	// Do executes one request.
	Do(ctx context.Context, request object.Request) object.Result
	// Watch delivers each version of an object, and object.StillCurrent for each answer without a change, until the watch fails or ctx
	// is cancelled.
	Watch(ctx context.Context, request object.Watch, deliver func(object.Result))
	// WatchUpstreams delivers gateway.Listed, gateway.ListUnchanged and gateway.ListFailed events until ctx is cancelled, and
	// gateway.Evacuations events if evacuations have an effect; it reads changes at most once in each interval.
	WatchUpstreams(ctx context.Context, interval time.Duration, deliver func(gateway.Event))
	// CloseIdle closes the connections that no call uses, so that the next calls open new ones.
	CloseIdle()
	// DecodeConfig parses a configuration from the store.
	DecodeConfig(data []byte) (route.Config, error)
}

// Engines sends orders to engines and probes them.
type Engines interface {
	// Order sends an order and returns the engine's reply. It goes through the daemon that passes requests on at via (host:port), or
	// directly if that is empty.
	Order(ctx context.Context, order replica.Order, via string) (replica.Reply, Notice)
	// Probe returns the state that the instance id at address reports. It goes through the daemon that passes requests on at via, or
	// directly if that is empty. The error is a relay.OutcomeError if that daemon got no answer.
	Probe(ctx context.Context, id replica.ID, address, via string) (replica.Instance, Notice, error)
}

// Notice is what an answer of an engine to an order or a probe says beside its result.
type Notice struct {
	Leaving    bool          // the engine announces that it shuts down
	ColdLeft   time.Duration // for how much longer the engine is cold, 0 if it does not say so
	RetryAfter time.Duration // for which the engine throttles the daemon that sent the request, 0 for none
}

// Endpoints provides the handlers of the platform's calls to a daemon.
type Endpoints interface {
	// ReadinessHandler returns the handler of readiness checks.
	ReadinessHandler(isReady func() bool) http.Handler
	// AddressHandler returns the handler that serves the addresses for callers with their TTL. It gets them from selectFor, by
	// the host and the data centre of the caller and the maximum number of addresses.
	AddressHandler(selectFor func(caller, centre string, limit int) []string) http.Handler
}

// Adapter is the interface of a daemon to the platform.
type Adapter struct {
	Headers   HeaderCodec
	Store     Store
	Engines   Engines
	Endpoints Endpoints
}

// Settings are the identity and the listen addresses of a daemon.
type Settings struct {
	Gateway          gateway.Settings
	Name             string
	PeerAddress      string // host:port, as the other addresses
	CallerAddress    string
	ReadinessAddress string
	DirectoryAddress string // for callers that request the address list
	MetricsAddress   string
	RelayAddress     string // for requests that the daemon passes on for its peers
	MemoryBytes      int64  // of the instance, 0 if unknown
	MaxConnections   int    // of the process, 0 if unknown
}
