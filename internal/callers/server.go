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

// The bounds of one request.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxKeyBytes       = 128
	maxTimeout        = time.Hour
)

// The request headers that callers may send.
const (
	keyHeader     = "Idempotency-Key"
	timeoutHeader = "X-Timeout-Ms"
	centreHeader  = "X-Data-Centre"
)

// Server answers callers; it carries each call between its caller and the upstreams that the reducer chooses.
type Server struct {
	name      string
	daemon    Daemon
	upstreams Upstreams
	clock     func() time.Time
	recorder  Recorder
	mux       *http.ServeMux
	last      atomic.Uint64

	mutex     sync.Mutex
	exchanges map[caller.ID]*exchange
	attempts  map[attemptID]*exchange
}

// New returns a server that asks decisions what to do and reaches upstreams, which know it as name, new at each start.
func New(name string, decisions Daemon, upstreams Upstreams) *Server {
	s := &Server{
		name:      name,
		daemon:    decisions,
		upstreams: upstreams,
		clock:     time.Now,
		mux:       http.NewServeMux(),
		exchanges: map[caller.ID]*exchange{},
		attempts:  map[attemptID]*exchange{},
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("GET /v1/addresses", s.addresses)
	s.mux.HandleFunc("/services/{service}/{path...}", s.serve)
	s.mux.HandleFunc("/", s.unknownPath)
	return s
}

// HTTP returns an HTTP server of s with bounds on headers and idle connections.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	refusal(http.StatusNotFound, "path", "there is nothing at "+r.URL.Path).write(w)
}

// organisation returns who sent r by its API key; it answers r itself if that is unknown.
func (s *Server) organisation(w http.ResponseWriter, r *http.Request) (operator.Organisation, bool) {
	key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !isBearer || key == "" {
		refusal(http.StatusUnauthorized, "key", "send your API key as \"Authorization: Bearer KEY\"").write(w)
		return operator.Organisation{}, false
	}
	fleet := s.daemon.Fleet()
	if fleet.Revision() == 0 {
		unready().write(w)
		return operator.Organisation{}, false
	}
	organisation, isKnown := fleet.OrganisationByKey(key)
	if !isKnown {
		refusal(http.StatusUnauthorized, "key", "the API key belongs to no organisation").write(w)
	}
	return organisation, isKnown
}

// open registers the exchange of a new call.
func (s *Server) open() *exchange {
	x := newExchange(caller.ID(s.last.Add(1)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.exchanges[x.id] = x
	return x
}

func (s *Server) close(x *exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.exchanges, x.id)
}

func (s *Server) exchange(id caller.ID) *exchange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.exchanges[id]
}

// track notes whose attempt it is, so that it can be cancelled.
func (s *Server) track(attempt attemptID, x *exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempts[attempt] = x
}

// cancel ends an attempt that runs or is about to.
func (s *Server) cancel(attempt attemptID) {
	s.mutex.Lock()
	x := s.attempts[attempt]
	s.mutex.Unlock()
	if x != nil {
		x.cancel(attempt)
	}
}

// release forgets an attempt that has ended.
func (s *Server) release(attempt attemptID) {
	s.mutex.Lock()
	x := s.attempts[attempt]
	delete(s.attempts, attempt)
	s.mutex.Unlock()
	if x != nil {
		x.end(attempt)
	}
}

// ActiveCalls returns the number of calls that have not ended.
func (s *Server) ActiveCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.exchanges)
}
