package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

// The bounds of callers' connections until a configuration names others.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second // above any idle limit of callers that is known
	maxHeader     = 64 << 10
	maxBody       = 16 << 20
)

// effectsKept is how many effects may wait for the goroutine of one request: at most a Send and a final answer do.
const effectsKept = 8

// exchange is one request of a caller that is being served.
type exchange struct {
	daemon  *Daemon
	id      dispatch.ID
	name    string
	request *http.Request
	body    []byte
	writer  http.ResponseWriter
	effects chan dispatch.Effect
	held    *held  // an upstream's failure that may be passed on
	begun   bool   // the caller has the head of an answer
	last    string // id of the last event that the caller has
}

// callerServer returns the server that callers connect to.
func (d *Daemon) callerServer() *http.Server {
	server := &http.Server{
		Handler:           http.HandlerFunc(d.serveCaller),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	return server
}

// serveCaller serves one request from its first byte to its last.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	if d.isStopping() {
		w.Header().Set("Connection", "close")
	}
	body, err := d.readBody(w, r)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			d.log.Line("caller", "body too large", "limit", tooLarge.Limit)
			http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		d.log.Line("caller", "body not read", "err", err.Error())
		panic(http.ErrAbortHandler)
	}
	e := d.admit(w, r, body)
	defer d.release(e)
	left := context.AfterFunc(r.Context(), func() { d.feedDispatch(dispatch.NewCallerLeft(e.id)) })
	defer left()
	e.serve()
}

func (d *Daemon) isStopping() bool { return !d.ready.Load() && len(d.told()) > 0 }

// readBody reads a whole body within the limits in force.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := d.config.Load().Limits().MaxBodyBytes()
	if limit <= 0 {
		limit = maxBody
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// admit registers a request and tells the reducer of it.
func (d *Daemon) admit(w http.ResponseWriter, r *http.Request, body []byte) *exchange {
	id := dispatch.ID(d.last.Add(1))
	content := xxhash.New()
	_, _ = content.WriteString(r.Method + r.URL.RequestURI() + r.Header.Get("Authorization")) // a hash never fails
	_, _ = content.Write(body)
	request := d.adapter.Wire.Request(id, r, content.Sum64())
	e := &exchange{
		daemon: d, id: id, name: request.Name(), request: r, body: body, writer: w,
		effects: make(chan dispatch.Effect, effectsKept),
	}
	d.mutex.Lock()
	d.calls[id] = e
	d.mutex.Unlock()
	d.feedDispatch(dispatch.NewArrived(request))
	return e
}

func (d *Daemon) release(e *exchange) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.calls, e.id)
}

// serve carries out what is decided on the request until it has its final answer.
func (e *exchange) serve() {
	for {
		select {
		case <-e.daemon.work.Done():
			panic(http.ErrAbortHandler)
		case effect := <-e.effects:
			if e.carryOut(effect) {
				return
			}
		}
	}
}

// carryOut reports whether the request has its final answer.
func (e *exchange) carryOut(effect dispatch.Effect) bool {
	switch effect := effect.(type) {
	case dispatch.Send:
		return e.attempt(effect)
	case dispatch.Refuse:
		e.refuse(effect)
	case dispatch.Fail:
		e.fail(effect)
	case dispatch.ForwardFailure:
		if e.begun {
			panic(http.ErrAbortHandler)
		}
		e.held.pass(e.writer)
	case dispatch.Drop:
		panic(http.ErrAbortHandler)
	}
	return true
}

// refuse answers that the request did not run.
func (e *exchange) refuse(r dispatch.Refuse) {
	status := http.StatusServiceUnavailable
	switch r.Reason() {
	case dispatch.NoRoute:
		status = http.StatusNotFound
	case dispatch.UnknownKey:
		status = http.StatusUnauthorized
	}
	if r.RetryAfter() > 0 {
		seconds := strconv.FormatFloat(r.RetryAfter().Seconds(), 'f', 2, 64)
		e.writer.Header().Set("Retry-After", seconds)
	}
	http.Error(e.writer, r.Reason().String(), status)
}

// fail answers that there is no answer; one that has begun is broken off.
func (e *exchange) fail(f dispatch.Fail) {
	if e.begun {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if f.Expired() {
		status = http.StatusGatewayTimeout
	}
	http.Error(e.writer, f.Reason().String(), status)
}
