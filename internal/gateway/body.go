package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/internal/memory"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/route"
)

// maxBodyBytes limits bodies without a configuration that does.
const maxBodyBytes = 16 << 20

// The limits of the wait for the memory for a body. Callers give up a request that may be repeated if it is not read after a second or a
// third of their time; the others wait.
const (
	maxBodyWait        = 800 * time.Millisecond
	maxOnceBodyWait    = 5 * time.Second
	bodyWaitShare      = 0.25 // of the caller's time
	onceBodyWaitShare  = 0.5
	maxRelayedBodyWait = 100 * time.Millisecond // another peer may have memory
)

// resourceRetryAfter is the Retry-After time of a request for which there is no memory or no connection: that of the wait once more.
const resourceRetryAfter = maxBodyWait

// readBody reads a complete body within the limit of the configuration. Its memory must be freed.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request) (*memory.Body, error) {
	if r.ContentLength == 0 {
		return &memory.Body{}, nil
	}
	limit := d.config.Load().Limits().MaxBodyBytes()
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	ctx, cancel := context.WithTimeout(r.Context(), d.bodyWait(r))
	defer cancel()
	return d.readInTime(ctx, w, r, http.MaxBytesReader(w, r.Body, limit), limit)
}

// readInTime reads a body of at most limit bytes from content. The body must arrive within the time of its request.
func (d *Daemon) readInTime(ctx context.Context, w http.ResponseWriter, r *http.Request, content io.Reader, limit int64) (*memory.Body, error) {
	matched, _ := d.config.Load().Match(r.Host, r.URL.Path)
	read := d.bodies.begin(w, content, cmp.Or(d.timeoutOf(r, matched), dispatch.DefaultTimeout))
	defer d.bodies.end(read)
	body, err := memory.ReadBody(ctx, &d.memory.requests, read, r.ContentLength, limit)
	if err != nil && read.isHalted() {
		err = errBodyHalted
	}
	return body, err
}

// refusalBeforeBody returns why a request with a long body, or one of unknown length, is refused, and whether it is: nobody may hold the memory
// for a body without a key.
func (d *Daemon) refusalBeforeBody(r *http.Request) (dispatch.Reason, bool) {
	config := d.config.Load()
	isShort := r.ContentLength >= 0 && r.ContentLength <= memory.FreeBodyBytes
	if isShort || config.Revision() == 0 {
		return 0, false
	}
	return dispatch.RefusalOf(*config, d.adapter.Headers.ParseRequest(0, r, 0))
}

// hasPipelined reports whether the server may have read a part of the next request with the body of this one.
func hasPipelined(r *http.Request) bool {
	c, isCounted := r.Context().Value(callerConnKey{}).(*headConn)
	return isCounted && r.ContentLength != 0 && c.hasMoreThan(r.ContentLength)
}

// timeoutOf returns how long a request may take, by its caller and its route, 0 if neither says so.
func (d *Daemon) timeoutOf(r *http.Request, matched route.Route) time.Duration {
	timeout := d.adapter.Headers.ParseRequest(0, r, 0).Timeout()
	if limit := matched.Timeout(); limit > 0 && (timeout <= 0 || timeout > limit) {
		return limit
	}
	return timeout
}

// bodyWait returns how long a request may wait for the memory for its body.
func (d *Daemon) bodyWait(r *http.Request) time.Duration {
	matched, isKnown := d.config.Load().Match(r.Host, r.URL.Path)
	wait, share := maxBodyWait, bodyWaitShare
	if isKnown && !matched.Retryable() {
		wait, share = maxOnceBodyWait, onceBodyWaitShare
	}
	if timeout := d.timeoutOf(r, matched); timeout > 0 {
		wait = min(wait, time.Duration(share*float64(timeout)))
	}
	return wait
}

// timeLeft returns how much of the time of a request is left after its body took some of it, 0 if its time is unknown.
func (d *Daemon) timeLeft(r *http.Request, taken time.Duration) time.Duration {
	matched, _ := d.config.Load().Match(r.Host, r.URL.Path)
	timeout := d.timeoutOf(r, matched)
	if timeout <= 0 {
		return 0
	}
	return max(timeout-taken, time.Millisecond)
}

// maxBodyDiscardTime limits how long the HTTP server reads the rest of a body that was refused, before it closes the connection.
const maxBodyDiscardTime = 500 * time.Millisecond

// leaveBody makes the connection end after the answer, without the rest of the body.
func leaveBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	deadline := time.Now().Add(maxBodyDiscardTime)
	_ = http.NewResponseController(w).SetReadDeadline(deadline) // fails only if the connection is closed
}

// refuseBody answers a request whose body was not read completely, or aborts its connection.
func (d *Daemon) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	leaveBody(w)
	id := d.adapter.Headers.ParseRequest(0, r, 0).Name()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		d.log.Info("caller", "body too large", "id", id, "limit", tooLarge.Limit)
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, memory.ErrNoMemory):
		u := d.memory.requests.Usage()
		d.log.Info("caller", "body refused", "id", id, "length", r.ContentLength, "err", err.Error(),
			"used", u.Used(), "limit", u.Limit(), "waiting", u.Waiting())
		w.Header().Set("Retry-After", strconv.FormatFloat(resourceRetryAfter.Seconds(), 'f', 2, 64))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, errBodyHalted), errors.Is(err, os.ErrDeadlineExceeded):
		d.log.Info("caller", "body not received in time", "id", id, "length", r.ContentLength, "err", err.Error())
		http.Error(w, "the body was not received in time", http.StatusRequestTimeout)
	default:
		d.log.Info("caller", "cannot read body", "id", id, "err", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// refuseConnection refuses a request for which there is no connection to an upstream.
func (d *Daemon) refuseConnection(w http.ResponseWriter, r *http.Request) {
	u := d.conns.callers.usage()
	d.log.Info("caller", "request refused, too many connections", "id", d.adapter.Headers.ParseRequest(0, r, 0).Name(), "open", u.open, "limit", u.limit)
	leaveBody(w)
	w.Header().Set("Retry-After", strconv.FormatFloat(resourceRetryAfter.Seconds(), 'f', 2, 64))
	http.Error(w, "too many connections", http.StatusServiceUnavailable)
}

// ReadBody reads the body of a request of a peer.
func (d relayDriver) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*memory.Body, error) {
	if r.ContentLength == 0 {
		return &memory.Body{}, nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxRelayedBodyWait)
	defer cancel()
	return d.readInTime(ctx, w, r, r.Body, limit)
}
