package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is injected into a request: Outage, Unavailable, LostResponse, Delay, HoldRequest or HoldResponse.
type Fault interface{ isFault() }

// Outage closes the connection before the request takes effect.
type Outage struct{}

// Unavailable responds with 503 Service Unavailable; the request takes no effect.
type Unavailable struct{}

// LostResponse lets the request take effect and closes the connection without a response.
type LostResponse struct{}

// Delay delays the request before it takes effect.
type Delay struct{ wait time.Duration }

// NewDelay returns a delay of wait.
func NewDelay(wait time.Duration) Delay { return Delay{wait} }

// HoldRequest blocks the request at a gate before it takes effect.
type HoldRequest struct{ gate *Gate }

// NewHoldRequest returns a fault that blocks requests at gate.
func NewHoldRequest(gate *Gate) HoldRequest { return HoldRequest{gate} }

// HoldResponse lets the request take effect and blocks its response at a gate.
type HoldResponse struct{ gate *Gate }

// NewHoldResponse returns a fault that blocks responses at gate.
func NewHoldResponse(gate *Gate) HoldResponse { return HoldResponse{gate} }

func (Outage) isFault() {}

func (Unavailable) isFault() {}

func (LostResponse) isFault() {}

func (Delay) isFault() {}

func (HoldRequest) isFault() {}

func (HoldResponse) isFault() {}

// Gate blocks requests until it is opened.
type Gate struct {
	reached chan struct{}
	open    chan struct{}
	once    sync.Once
}

// NewGate returns a closed gate.
func NewGate() *Gate {
	return &Gate{reached: make(chan struct{}, 1), open: make(chan struct{})}
}

// Reached returns a channel that receives a value when a request waits at the gate.
func (g *Gate) Reached() <-chan struct{} { return g.reached }

// Open releases the waiting requests; later ones are not blocked.
func (g *Gate) Open() { g.once.Do(func() { close(g.open) }) }

func (g *Gate) wait() {
	select {
	case g.reached <- struct{}{}:
	default:
	}
	<-g.open
}

// waitOrCancel waits until the gate opens or r is cancelled.
func (g *Gate) waitOrCancel(r *http.Request) {
	select {
	case g.reached <- struct{}{}:
	default:
	}
	select {
	case <-g.open:
	case <-r.Context().Done():
	}
}

// unlimited marks a rule that applies until Clear, in place of a number of remaining uses.
const unlimited = -1

type faultRule struct {
	method        string
	fault         Fault
	remainingUses int
}

// Faults is the list of faults to inject into the next requests; the zero value injects none.
type Faults struct {
	mu    sync.Mutex
	rules []faultRule
}

// Next injects each of faults into one of the next requests of method; an empty method means any.
func (f *Faults) Next(method string, faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range faults {
		f.rules = append(f.rules, faultRule{method, fault, 1})
	}
}

// Always injects fault into all requests of method until Clear; an empty method means any.
func (f *Faults) Always(method string, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = append(f.rules, faultRule{method, fault, unlimited})
}

// Clear removes all faults; requests that wait at a gate remain blocked.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = nil
}

// consume returns the fault of the first rule that matches method, or nil. It removes a rule of Next.
func (f *Faults) consume(method string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.rules {
		if r.method != "" && r.method != method {
			continue
		}
		if r.remainingUses == 1 {
			f.rules = append(f.rules[:i:i], f.rules[i+1:]...)
		}
		return r.fault
	}
	return nil
}

// serve calls handler, with the next fault that matches r.
func (f *Faults) serve(w http.ResponseWriter, r *http.Request, handler http.HandlerFunc) {
	switch fault := f.consume(r.Method).(type) {
	case nil:
		handler(w, r)
	case Outage:
		panic(http.ErrAbortHandler)
	case Unavailable:
		writeStatus(w, http.StatusServiceUnavailable, "ServiceUnavailable", "unavailable")
	case LostResponse:
		handler(newBufferedResponse(), r)
		panic(http.ErrAbortHandler)
	case Delay:
		sleep(r, fault.wait)
		handler(w, r)
	case HoldRequest:
		bufferBody(r)
		fault.gate.wait()
		handler(w, r)
	case HoldResponse:
		response := newBufferedResponse()
		handler(response, r)
		fault.gate.wait()
		response.copyTo(w)
	}
}

// bufferBody reads the whole body of r, so that r can take effect after its client has disconnected.
func bufferBody(r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// sleep waits for duration or until r is cancelled.
func sleep(r *http.Request, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// bufferedResponse is an http.ResponseWriter that keeps the response in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedResponse() *bufferedResponse {
	return &bufferedResponse{header: http.Header{}, status: http.StatusOK}
}

// Header returns the header of the response.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader stores the status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends p to the body.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

func (b *bufferedResponse) copyTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}
