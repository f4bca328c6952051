package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
	"github.com/azurepond/azurepond/pkg/route"
)

// ID identifies a request within one daemon.
type ID uint64

// AttemptID identifies an attempt to run a request at an upstream, unique within one daemon.
type AttemptID uint64

// Request is a request as the driver received it from a caller.
type Request struct {
	id           ID
	name         string
	host         string
	path         string
	key          string
	model        string
	promptTokens int
	outputTokens int // the maximum
	timeout      time.Duration
	contentHash  uint64
	parts        []string
	resumeAfter  string
	arrived      time.Time
}

// NewRequest returns a request with the caller's own request id as name, for a path of a host; an empty key means none.
func NewRequest(id ID, name, host, path, key string) Request {
	return Request{id: id, name: name, host: host, path: path, key: key}
}

// WithModel returns the request with its model, the tokens of its prompt and the maximum number of output tokens, each at most
// quantity.MaxCount.
func (r Request) WithModel(model string, prompt, output int) Request {
	r.model, r.promptTokens, r.outputTokens = model, quantity.Limit(int64(prompt)), quantity.Limit(int64(output))
	return r
}

// WithTimeout returns the request with the timeout of its caller, 0 if unknown.
func (r Request) WithTimeout(timeout time.Duration) Request {
	r.timeout = timeout
	return r
}

// WithContentHash returns the request with a hash of its content, which identifies copies of it.
func (r Request) WithContentHash(hash uint64) Request {
	r.contentHash = hash
	return r
}

// maxParts limits the parts of a prompt that are considered, each of which takes memory when an upstream crashes.
const maxParts = 64

// WithParts returns the request with the names of the parts of its prompt that other requests may share, in order.
func (r Request) WithParts(parts ...string) Request {
	r.parts = parts[:min(len(parts), maxParts)]
	return r
}

// WithResume returns the request with the id of the last event that the caller received, empty for none.
func (r Request) WithResume(lastEventID string) Request {
	r.resumeAfter = lastEventID
	return r
}

// Timeout returns how long the caller waits, 0 if it does not say so.
func (r Request) Timeout() time.Duration { return r.timeout }

// ID returns the id of the request within this daemon.
func (r Request) ID() ID { return r.id }

// Name returns the caller's own id of the request.
func (r Request) Name() string { return r.name }

// call is a request that has not ended.
type call struct {
	Request
	route        route.Route
	service      string
	isModelKnown bool
	organisation string
	priority     int
	regions      route.Regions // whose upstreams it may reach
	deadline     time.Time     // end of the caller's or the route's timeout

	attempt          *attempt // the running one, nil for none
	sends            int      // including those that did not run
	arrivals         int      // sends that may have reached an upstream
	runs             int      // attempts that may have run
	tried            []string // upstreams
	hasPartialAnswer bool     // the caller may have a part of the response
	lastEventID      string   // last event that the caller received
	hasReservedRetry bool     // the next send uses a retry that the budget has granted

	isPositionUnknown bool // the caller received an event with content and without an id after lastEventID

	queuedAt         time.Time
	deniedShards     []Shard     // whose owners denied a slot
	hasSlot          bool        // the next send uses a granted slot
	finalEffect      finalEffect // emitted when the cancelled attempt ends, nil if the call goes on
	trial            *trial      // of a suspicion, nil for other calls
	hasEnded         bool
	hasErrorResponse bool // the driver keeps an error response of the last attempt that it can forward
}

// callerRetryRatio is the fraction of the route's timeout below which a caller's timeout indicates a retry. A caller
// has one timeout for all of its tries.
const callerRetryRatio = 0.95

// isCallerRetry reports whether the request is a caller's retry, which has missed its latency goal or will miss it.
func (c *call) isCallerRetry() bool {
	return c.timeout > 0 && float64(c.timeout) < callerRetryRatio*float64(c.route.Timeout())
}

// finalEffect is the effect that ends a call: Fail or Drop.
type finalEffect = Effect

// attempt is a send of a call to an upstream that has not ended.
type attempt struct {
	id           AttemptID
	call         *call
	upstream     *upstream
	sentAt       time.Time
	stallTimeout time.Duration
	promptTime   time.Duration // expected, until its prompt and those before it are read
	isStarted    bool
	hasEvent     bool // the first event was received
	isSuspected  bool // its upstream was reported as suspect, since the stream stalled
	isCancelled  bool
	hasSlot      bool // the owner of the shard counts it
	isDirect     bool // no peer passes it on, unless the connection fails
	isChecked    bool // the path to its upstream was checked, since nothing was answered
}
