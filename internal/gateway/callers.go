package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/relay"
)

// defaultIdleTimeout is that of callers' connections without a configuration that states one, longer than any known one of callers.
const defaultIdleTimeout = 60 * time.Second

// maxPendingEffects is the capacity of the channel to the goroutine of a request. At most a Send and a final effect wait in
// it.
const maxPendingEffects = 8

// exchange is one request of a caller in progress.
type exchange struct {
	daemon      *Daemon
	id          dispatch.ID
	name        string
	request     *http.Request
	body        []byte
	writer      http.ResponseWriter
	effects     chan dispatch.Effect
	buffered    *bufferedAnswer // the answer that was read completely, nil for none
	headSent    bool            // whether the head of an answer was sent to the caller
	status      int             // of that head
	mediaType   string          // of that head
	lastEventID string          // of the last event sent to the caller
	stalls      stallClock      // of the present attempt
	via         relay.Peer      // that passes the present attempt on, the zero value if none does

	isPositionUnknown bool // an event with content and without an id was sent after lastEventID
}

// serveCaller serves one request.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	if d.isStopping() {
		w.Header().Set("Connection", "close")
	}
	if d.conns.callers.isFull() {
		d.refuseConnection(w, r)
		return
	}
	if reason, isRefused := d.refusalBeforeBody(r); isRefused {
		d.log.Info("caller", "refused before its body", "id", d.adapter.Headers.ParseRequest(0, r, 0).Name(), "reason", reason)
		leaveBody(w)
		http.Error(w, reason.String(), refusalStatus(reason))
		return
	}
	began := time.Now()
	body, err := d.readBody(w, r)
	if err != nil {
		d.refuseBody(w, r, err)
		return
	}
	defer body.Free()
	if hasPipelined(r) {
		w.Header().Set("Connection", "close") // the server may have read a head without its memory
	}
	r.Trailer = nil // it is not forwarded, and may be large
	e := d.register(w, r, body.Bytes(), time.Since(began))
	defer d.unregister(e)
	stop := context.AfterFunc(r.Context(), func() { d.enqueueDispatch(dispatch.NewCallerLeft(e.id)) })
	defer stop()
	e.serve()
}

func (d *Daemon) isStopping() bool { return !d.ready.Load() && len(*d.addresses.Load()) > 0 }

// bodyTimeSlack is how long a body may take without shortening the time of its request.
const bodyTimeSlack = 10 * time.Millisecond

// register adds a request whose body took some time, and notifies the reducer.
func (d *Daemon) register(w http.ResponseWriter, r *http.Request, body []byte, taken time.Duration) *exchange {
	id := dispatch.ID(d.lastRequestID.Add(1))
	content := xxhash.New()
	_, _ = content.WriteString(r.Method + r.URL.RequestURI() + r.Header.Get("Authorization")) // a hash never fails
	_, _ = content.Write(body)
	request := d.adapter.Headers.ParseRequest(id, r, content.Sum64())
	if taken > bodyTimeSlack {
		request = request.WithTimeout(d.timeLeft(r, taken))
	}
	e := &exchange{
		daemon: d, id: id, name: request.Name(), request: r, body: body, writer: w,
		effects: make(chan dispatch.Effect, maxPendingEffects),
	}
	d.mutex.Lock()
	d.exchanges[id] = e
	d.mutex.Unlock()
	d.enqueueDispatch(dispatch.NewArrived(request))
	return e
}

func (d *Daemon) unregister(e *exchange) {
	e.discardKept()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.exchanges, e.id)
}

// serve executes the effects of the request until the request has ended.
func (e *exchange) serve() {
	for {
		select {
		case <-e.daemon.ctx.Done():
			e.daemon.log.Info("caller", "answer cut off by the end of the daemon", "id", e.name, "begun", e.headSent, "last", e.lastEventID)
			panic(http.ErrAbortHandler)
		case effect := <-e.effects:
			if e.execute(effect) {
				return
			}
		}
	}
}

// execute executes one effect and reports whether the request has ended.
func (e *exchange) execute(effect dispatch.Effect) bool {
	switch effect := effect.(type) {
	case dispatch.Send:
		return e.runAttempt(effect)
	case dispatch.Refuse:
		e.writeRefusal(effect)
	case dispatch.Fail:
		e.writeFailure(effect)
	case dispatch.ForwardFailure:
		e.buffered.writeTo(e.answerWriter(), e.request)
	case dispatch.Drop:
		panic(http.ErrAbortHandler)
	}
	return true
}

// answerWriter returns the writer for a complete answer. After a part of another answer was sent, it aborts the connection, since the
// answer would land in the middle of that one.
func (e *exchange) answerWriter() http.ResponseWriter {
	if e.headSent {
		panic(http.ErrAbortHandler)
	}
	return e.writer
}

// writeRefusal answers that the request did not run.
func (e *exchange) writeRefusal(r dispatch.Refuse) {
	writer := e.answerWriter()
	if r.RetryAfter() > 0 {
		seconds := strconv.FormatFloat(r.RetryAfter().Seconds(), 'f', 2, 64)
		writer.Header().Set("Retry-After", seconds)
	}
	http.Error(writer, r.Reason().String(), refusalStatus(r.Reason()))
}

// refusalStatus returns the status of a refusal.
func refusalStatus(reason dispatch.Reason) int {
	switch reason {
	case dispatch.NoRoute:
		return http.StatusNotFound
	case dispatch.UnknownKey:
		return http.StatusUnauthorized
	}
	return http.StatusServiceUnavailable
}

// writeFailure answers that all attempts failed; if part of an answer was sent, it aborts the connection.
func (e *exchange) writeFailure(f dispatch.Fail) {
	writer := e.answerWriter()
	status := http.StatusBadGateway
	if f.Expired() {
		status = http.StatusGatewayTimeout
	}
	http.Error(writer, f.Reason().String(), status)
}
