package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
)

const (
	// requestIDHeader carries the ID of an attempt, which the upstream echoes.
	requestIDHeader = "X-Request-Id"
	// lastEventIDHeader carries the position of the last token received. The engine resumes the stream after it, as the
	// standard for server-sent events defines.
	lastEventIDHeader = "Last-Event-ID"
	// retryAfterHeader carries the wait before the next attempt, in seconds.
	retryAfterHeader = "Retry-After"

	defaultStallTimeout = 30 * time.Second
	controlTimeout      = 2 * time.Second // for a probe, an order or a read of cache events

	// maxControlBytes limits the answer to a probe, an order or a read of cache events.
	maxControlBytes = 1 << 20
	// maxErrorBodyBytes limits the part of an error response that is kept.
	maxErrorBodyBytes = 16 << 10
)

// Client sends requests to all upstreams of one daemon.
type Client struct {
	pooled       http.RoundTripper
	unpooled     http.RoundTripper
	stallTimeout time.Duration
	identity     *identity
}

// New returns a client with the default stall timeout.
func New() *Client {
	return &Client{
		pooled: transport.New(), unpooled: transport.NewWithoutKeepAlives(), stallTimeout: defaultStallTimeout, identity: &identity{},
	}
}

// WithStallTimeout returns a client that ends a stream if the engine sends nothing for timeout.
func (c *Client) WithStallTimeout(timeout time.Duration) *Client {
	changed := *c
	changed.stallTimeout = timeout
	return &changed
}

var (
	// errStalled is the cause of a context that a watchdog cancelled.
	errStalled  = errors.New("the upstream sent nothing within the stall timeout")
	errTooLarge = errors.New("the answer exceeds its size limit")
)

// watchdog cancels a context unless it is reset within each timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &watchdog{timer: time.AfterFunc(timeout, func() { cancel(errStalled) }), timeout: timeout, cancel: cancel}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// readAll reads body and returns an error if it is longer than limit bytes.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errTooLarge
	}
	return data, nil
}

// callControl sends a probe, an order or a read of cache events, and returns the status and body of the answer.
func (c *Client) callControl(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := transport.NewRepeatableRequest(ctx, method, "http://"+address+path, body)
	if err != nil {
		return 0, nil, err
	}
	response, _, err := c.send(request, c.identity.nextID(), true)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := readAll(response.Body, maxControlBytes)
	return response.StatusCode, answer, err
}
