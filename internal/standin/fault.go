package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is what goes wrong with a request: Outage, Unavailable, LostAnswer, Delay, HoldRequest or HoldAnswer.
type Fault interface{ isFault() }

// Outage closes the connection before the request takes effect.
type Outage struct{}

// Unavailable answers 503 Service Unavailable; the request takes no effect.
type Unavailable struct{}

// LostResponse lets the request take effect and closes the connection in place of an answer.
type LostResponse struct{}

// Delay waits before the request takes effect.
type Delay struct{ wait time.Duration }

// NewDelay returns a delay of wait.
func NewDelay(wait time.Duration) Delay { return Delay{wait} }

// HoldRequest keeps the request back until its gate opens, and then lets it take effect.
type HoldRequest struct{ gate *Gate }

// NewHoldRequest returns a fault that keeps requests at gate.
func NewHoldRequest(gate *Gate) HoldRequest { return HoldRequest{gate} }

// HoldResponse lets the request take effect and keeps its answer back until its gate opens.
type HoldResponse struct{ gate *Gate }

// NewHoldResponse returns a fault that keeps answers at gate.
func NewHoldResponse(gate *Gate) HoldResponse { return HoldResponse{gate} }

func (Outage) isFault() {}

func (Unavailable) isFault() {}

func (LostResponse) isFault() {}

func (Delay) isFault() {}

func (HoldRequest) isFault() {}

func (HoldResponse) isFault() {}

// Gate keeps requests waiting until it is opened.
type Gate struct {
	reached chan struct{}
	open    chan struct{}
	once    sync.Once
}

// NewGate returns a closed gate.
func NewGate() *Gate {
	return &Gate{reached: make(chan struct{}, 1), open: make(chan struct{})}
}

// Reached returns a channel that receives once a request waits at the gate.
func (g *Gate) Reached() <-chan struct{} { return g.reached }

// Open lets through all who wait and all who come later.
func (g *Gate) Open() { g.once.Do(func() { close(g.open) }) }

func (g *Gate) pass() {
	select {
	case g.reached <- struct{}{}:
	default:
	}
	<-g.open
}

// passOrLeave waits at the gate until it opens or the client of r leaves.
func (g *Gate) passOrLeave(r *http.Request) {
	select {
	case g.reached <- struct{}{}:
	default:
	}
	select {
	case <-g.open:
	case <-r.Context().Done():
	}
}

// always marks a rule that stays until it is cleared.
const always = -1

type rule struct {
	method string
	fault  Fault
	left   int
}

// Faults is the list of what goes wrong next; its zero value means that nothing does.
type Faults struct {
	mu    sync.Mutex
	rules []rule
}

// Next makes the next requests of method fail, one for each of faults; an empty method means any.
func (f *Faults) Next(method string, faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range faults {
		f.rules = append(f.rules, rule{method, fault, 1})
	}
}

// Always makes all requests of method fail until Clear; an empty method means any.
func (f *Faults) Always(method string, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = append(f.rules, rule{method, fault, always})
}

// Clear ends all faults; requests that wait at a gate stay there.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = nil
}

func (f *Faults) take(method string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.rules {
		if r.method != "" && r.method != method {
			continue
		}
		if r.left == 1 {
			f.rules = append(f.rules[:i:i], f.rules[i+1:]...)
		}
		return r.fault
	}
	return nil
}

// serve answers r by handler unless a fault says otherwise.
func (f *Faults) serve(w http.ResponseWriter, r *http.Request, handler http.HandlerFunc) {
	switch fault := f.take(r.Method).(type) {
	case nil:
		handler(w, r)
	case Outage:
		panic(http.ErrAbortHandler)
	case Unavailable:
		writeStatus(w, http.StatusServiceUnavailable, "ServiceUnavailable", "unavailable")
	case LostResponse:
		handler(newHeldAnswer(), r)
		panic(http.ErrAbortHandler)
	case Delay:
		pause(r, fault.wait)
		handler(w, r)
	case HoldRequest:
		buffer(r)
		fault.gate.pass()
		handler(w, r)
	case HoldResponse:
		held := newHeldAnswer()
		handler(held, r)
		fault.gate.pass()
		held.release(w)
	}
}

// buffer reads the whole body of r, so that r can take effect after its client has left.
func buffer(r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// pause waits for wait or until the client of r leaves.
func pause(r *http.Request, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// heldAnswer keeps a whole answer in memory.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newHeldAnswer() *heldAnswer {
	return &heldAnswer{header: http.Header{}, status: http.StatusOK}
}

// Header returns the header of the answer.
func (h *heldAnswer) Header() http.Header { return h.header }

// WriteHeader keeps the status.
func (h *heldAnswer) WriteHeader(status int) { h.status = status }

// Write keeps p.
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }

func (h *heldAnswer) release(w http.ResponseWriter) {
	for name, values := range h.header {
		w.Header()[name] = values
	}
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body.Bytes())
}
