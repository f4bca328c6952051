package dispatch

import (
	"time"

	"github.com/azurepond/azurepond/pkg/route"
)

// ID names one request within one daemon.
type ID uint64

// AttemptID names one try of a request at one upstream, unique within one daemon.
type AttemptID uint64

// Request is what a caller sent.
type Request struct {
	id          ID
	name        string
	host        string
	path        string
	key         string
	model       string
	prompt      int
	output      int
	timeout     time.Duration
	contentHash uint64
	resumeAfter string
	arrived     time.Time
}

// NewRequest returns the request that the caller calls name, for a path of a host; it carries an API key, empty for none.
func NewRequest(id ID, name, host, path, key string) Request {
	return Request{id: id, name: name, host: host, path: path, key: key}
}

// WithModel returns the request as one for a model, with the tokens of its prompt and the most that it may write.
func (r Request) WithModel(model string, prompt, output int) Request {
	r.model, r.prompt, r.output = model, prompt, output
	return r
}

// WithTimeout returns the request with the time that its caller waits, 0 if that is not known.
func (r Request) WithTimeout(timeout time.Duration) Request {
	r.timeout = timeout
	return r
}

// WithContentHash returns the request with a hash of what it asks for, by which copies of it are known.
func (r Request) WithContentHash(hash uint64) Request {
	r.contentHash = hash
	return r
}

// WithResume returns the request with the id of the last event that the caller has, empty for none.
func (r Request) WithResume(lastEventID string) Request {
	r.resumeAfter = lastEventID
	return r
}

// ID returns the name of the request within this daemon.
func (r Request) ID() ID { return r.id }

// Name returns the name that the caller gave the request.
func (r Request) Name() string { return r.name }

// call is a request that has not ended.
type call struct {
	Request
	route        route.Route
	service      string
	organisation string
	priority     int
	deadline     time.Time // after which nobody waits for an answer

	attempt          *attempt // that runs now
	sends            int
	runs             int // attempts that may have run
	tried            []string
	hasPartialAnswer bool   // the caller has the beginning of an answer
	lastEventID      string // id of the last event that the caller has
	isRetryCounted   bool   // the next send has been taken from the budget
	queuedAt         time.Time
	deniedShards     []Shard     // where it was told that no place becomes free in time
	finalEffect      finalEffect // what to answer once the attempt has ended, nil while it may go on
	hasErrorResponse bool        // the last attempt holds an upstream's answer that can be passed on
}

// returnedPart is below which part of the route's time a caller's patience tells that it asked before: callers wait for
// one whole time, tries included.
const callerRetryRatio = 0.95

// isReturned reports whether the caller asked before and comes again, so that its goal has passed or will have.
func (c *call) isCallerRetry() bool {
	return c.timeout > 0 && float64(c.timeout) < callerRetryRatio*float64(c.route.Timeout())
}

type finalEffect = Effect

// attempt is a try that has not ended.
type attempt struct {
	id          AttemptID
	call        *call
	upstream    *upstream
	sentAt      time.Time
	isStarted   bool
	isCancelled bool
}
