package callers

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
)

// Limits of one request and its connection.
const (
	maxHeaderBytes         = 64 << 10
	readHeaderTimeout      = 10 * time.Second
	idleTimeout            = 2 * time.Minute
	maxIdempotencyKeyBytes = 128
	maxCallTimeout         = time.Hour
)

// The request headers that callers may send.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	timeoutHeader        = "X-Timeout-Ms"
	centreHeader         = "X-Data-Centre"
)

// Server is the HTTP server for callers. It relays each call to the upstreams that the reducer selects.
type Server struct {
	name       string
	daemon     Daemon
	upstreams  Upstreams
	clock      func() time.Time
	recorder   Recorder
	mux        *http.ServeMux
	lastCallID atomic.Uint64

	mutex     sync.Mutex
	exchanges map[caller.ID]*exchange
	attempts  map[attemptID]*exchange
}

// New returns a server that submits calls to daemon and sends their attempts to upstreams. The name is part of all
// attempt IDs and must be different after each start of the daemon.
func New(name string, daemon Daemon, upstreams Upstreams) *Server {
	s := &Server{
		name:      name,
		daemon:    daemon,
		upstreams: upstreams,
		clock:     time.Now,
		mux:       http.NewServeMux(),
		exchanges: map[caller.ID]*exchange{},
		attempts:  map[attemptID]*exchange{},
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	s.mux.HandleFunc("GET /v1/models", s.handleModels)
	s.mux.HandleFunc("GET /v1/addresses", s.handleAddresses)
	s.mux.HandleFunc("/services/{service}/{path...}", s.handleService)
	s.mux.HandleFunc("/", s.handleUnknownPath)
	return s
}

// HTTP returns an HTTP server of s with limits on headers and idle connections.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// ServeHTTP handles a request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	rejection(http.StatusNotFound, "path", "there is nothing at "+r.URL.Path).write(w)
}

// authenticate returns the organisation of the API key in r. If it returns false, it has written the error response.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (operator.Organisation, bool) {
	key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !isBearer || key == "" {
		rejection(http.StatusUnauthorized, "key", "send your API key as \"Authorization: Bearer KEY\"").write(w)
		return operator.Organisation{}, false
	}
	fleet := s.daemon.Fleet()
	if fleet.Revision() == 0 {
		notReady().write(w)
		return operator.Organisation{}, false
	}
	organisation, ok := fleet.OrganisationByKey(key)
	if !ok {
		rejection(http.StatusUnauthorized, "key", "the API key belongs to no organisation").write(w)
	}
	return organisation, ok
}

// openExchange registers the exchange of a new call.
func (s *Server) openExchange() *exchange {
	x := newExchange(caller.ID(s.lastCallID.Add(1)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.exchanges[x.id] = x
	return x
}

func (s *Server) closeExchange(x *exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.exchanges, x.id)
}

func (s *Server) exchange(id caller.ID) *exchange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.exchanges[id]
}

// trackAttempt stores the exchange of an attempt, so that the attempt can be cancelled.
func (s *Server) trackAttempt(attempt attemptID, x *exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempts[attempt] = x
}

// cancelAttempt cancels an attempt that is running or queued.
func (s *Server) cancelAttempt(attempt attemptID) {
	s.mutex.Lock()
	x := s.attempts[attempt]
	s.mutex.Unlock()
	if x != nil {
		x.cancelAttempt(attempt)
	}
}

// releaseAttempt removes an attempt that has ended.
func (s *Server) releaseAttempt(attempt attemptID) {
	s.mutex.Lock()
	x := s.attempts[attempt]
	delete(s.attempts, attempt)
	s.mutex.Unlock()
	if x != nil {
		x.endAttempt(attempt)
	}
}

// ActiveCalls returns the number of calls that have not ended.
func (s *Server) ActiveCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.exchanges)
}
