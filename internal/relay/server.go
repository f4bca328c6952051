package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/azurepond/azurepond/internal/memory"
	"github.com/azurepond/azurepond/internal/transport"
)

// Decision is whether a request is passed on: the address (host:port) of the upstream, or the reason why not.
type Decision struct {
	Address string
	Refusal Outcome
}

// Driver connects a Server to the daemon that it belongs to.
type Driver interface {
	// Admit decides whether a request is passed on; end must be called when an admitted one has ended.
	Admit(ctx context.Context, upstream string, kind Kind) (decision Decision, end func())
	// ReadBody reads the body of a request, which has at most limit bytes. It returns memory.ErrNoMemory if there is no memory for it.
	ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*memory.Body, error)
	// Match returns how an answer with these headers relates to a request.
	Match(answer http.Header, request *http.Request) transport.Match
	// RemoveHopHeaders removes the hop-by-hop headers.
	RemoveHopHeaders(header http.Header)
	// Observe handles the head of an upstream's answer.
	Observe(upstream string, answer *http.Response)
	// ConnectEnded handles that a connection to an upstream was opened, or failed with err.
	ConnectEnded(upstream string, err error)
}

// Server passes requests of other daemons on.
type Server struct {
	pool   *transport.Pool
	driver Driver
}

// NewServer returns a server that uses the connections of a pool.
func NewServer(pool *transport.Pool, driver Driver) *Server { return &Server{pool, driver} }

// MaxBodyBytes limits the body of a request that one daemon sends through another.
const MaxBodyBytes = 16 << 20

// copyBytes is how much of an answer is forwarded at once.
const copyBytes = 8 << 10

// ServeHTTP passes one request on.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upstream, kind := r.Header.Get(upstreamHeader), Kind(r.Header.Get(kindHeader))
	if upstream == "" { // no daemon sent it
		w.Header().Set("Connection", "close")
		refuse(w, Unfit)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	body, err := s.driver.ReadBody(w, r, MaxBodyBytes)
	if errors.Is(err, memory.ErrNoMemory) {
		refuse(w, Busy)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer body.Free()
	decision, end := s.driver.Admit(r.Context(), upstream, kind)
	if decision.Address == "" {
		refuse(w, decision.Refusal)
		return
	}
	defer end()
	header := r.Header.Clone()
	removeHeaders(header)
	s.driver.RemoveHopHeaders(header)
	answer, sent, err := s.pool.Do(r.Context(), decision.Address, kind != Call,
		transport.RawRequest{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: body.Bytes()},
		func(h http.Header) transport.Match { return s.driver.Match(h, r) })
	if err != nil {
		s.fail(w, r, upstream, sent, err)
		return
	}
	if answer.IsNewConnection() {
		s.driver.ConnectEnded(upstream, nil)
	}
	s.driver.Observe(upstream, answer.Response)
	s.forward(w, answer)
}

// fail answers that the upstream gave no answer.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, upstream string, sent bool, err error) {
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case errors.Is(err, transport.ErrUnidentified):
		refuse(w, Unidentified)
		return
	case sent:
		refuse(w, Interrupted)
		return
	}
	s.driver.ConnectEnded(upstream, err)
	if IsTimeout(err) {
		refuse(w, Unreachable)
		return
	}
	refuse(w, Refused)
}

// IsTimeout reports whether a connection failed because it was not established in time, and was not refused.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.EHOSTUNREACH)
}

func refuse(w http.ResponseWriter, outcome Outcome) {
	w.Header().Set(outcomeHeader, string(outcome))
	w.WriteHeader(http.StatusBadGateway)
}

// forward copies an answer as it arrives. If it breaks off, the trailer says so: the other daemon could not distinguish it from the loss
// of this one otherwise.
func (s *Server) forward(w http.ResponseWriter, answer *transport.Exchange) {
	r := answer.Response
	header := w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	isFramed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	s.driver.RemoveHopHeaders(header)
	removeHeaders(header)
	for _, name := range []string{"Content-Type", "Date"} {
		if header.Get(name) == "" {
			header[name] = nil // net/http adds none
		}
	}
	header.Set(outcomeHeader, string(Answered))
	header.Set(transferTrailer, failureTrailer)
	if !isFramed {
		header.Set(unframedHeader, setValue)
	}
	w.WriteHeader(r.StatusCode)
	if err := copyFlushing(w, r.Body); err != nil {
		answer.Abort()
		header.Set(failureTrailer, "incomplete")
		return
	}
	answer.Close()
}

// copyFlushing copies a body and flushes what was read each time, so that events are not delayed.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	if err := control.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				panic(http.ErrAbortHandler) // the other daemon is gone
			}
			if err := control.Flush(); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// headerTimeout limits the time that another daemon takes to send the head of a request.
const headerTimeout = 5 * time.Second

// HTTP returns an HTTP server with limits that suit requests between daemons.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
}
