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
	// requestHeader carries the identity of an attempt, which the upstream echoes.
	requestHeader = "X-Request-Id"
	// resumeHeader carries the position of the last token that is there, as server-sent events define it.
	resumeHeader = "Last-Event-ID"
	// againHeader carries how long to wait before the next try, in seconds.
	againHeader = "Retry-After"

	defaultSilence = 30 * time.Second
	controlTimeout = 2 * time.Second

	// maxControl is the largest answer to a probe or an order, in bytes.
	maxControl = 1 << 20
	// maxRefusal is the largest text of a refusal that is kept, in bytes.
	maxRefusal = 16 << 10
)

// Client speaks to all upstreams of one daemon.
type Client struct {
	reused       http.RoundTripper
	fresh        http.RoundTripper
	stallTimeout time.Duration
}

// New returns a client with defaults.
func New() *Client {
	return &Client{reused: transport.New(), fresh: transport.NewWithoutKeepAlives(), stallTimeout: defaultSilence}
}

// WithStallTimeout returns a client that gives up on an upstream which sends nothing for silence.
func (c *Client) WithStallTimeout(silence time.Duration) *Client {
	changed := *c
	changed.stallTimeout = silence
	return &changed
}

var (
	// errSilent is the cause of a context that ended since the upstream sent nothing for too long.
	errSilent   = errors.New("the upstream was silent for too long")
	errTooLarge = errors.New("the answer is too large")
)

// watchdog ends a context when it is not fed for a while.
type watchdog struct {
	timer *time.Timer
	wait  time.Duration
	end   context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, wait time.Duration) (context.Context, *watchdog) {
	ctx, end := context.WithCancelCause(ctx)
	return ctx, &watchdog{timer: time.AfterFunc(wait, func() { end(errSilent) }), wait: wait, end: end}
}

func (w *watchdog) feed() { w.timer.Reset(w.wait) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.end(nil)
}

// readAll reads at most limit bytes; a longer body is an error.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(read)) > limit {
		return nil, errTooLarge
	}
	return read, nil
}

// control makes one short call and returns its status and whole answer.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := transport.NewRequest(ctx, method, "http://"+address+path, body)
	if err != nil {
		return 0, nil, err
	}
	response, _, err := transport.Send(c.reused, request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := readAll(response.Body, maxControl)
	return response.StatusCode, answer, err
}
