package admin

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// The limits of the API.
const (
	// tokenRate and tokenBurst bound the requests of one token, a second.
	tokenRate  = 20
	tokenBurst = 40
	// strangerRate and strangerBurst bound the answers to all requests without a token, a second.
	strangerRate  = 10
	strangerBurst = 20
	// maxBody is the largest request body, in bytes.
	maxBody = 1 << 20
	// maxKey is the longest idempotency key, in bytes.
	maxKey = 64
)

// The headers of a change.
const (
	// KeyHeader carries the request ID of a change; a client that sends a change again repeats it.
	IdempotencyKeyHeader = "Idempotency-Key"
	// AgainHeader is "true" when the change was sent before, so that the first sending may still take effect.
	RetryHeader = "Azurepond-Again"
)

// Daemon is what the API needs of the daemon that it runs in.
type Daemon interface {
	// Submit hands in an event (Applied, Planned or Asked) and waits for the outcome of its request.
	Submit(ctx context.Context, e operator.Event) (operator.Outcome, error)
	// Fleet returns the configuration that is in force in the daemon.
	Fleet() operator.Fleet
	// Status returns what the daemon knows of the fleet.
	Status() Status
	// Dump returns the state of the daemon's part, or of all when part is empty, as a value that encodes as JSON.
	Dump(part string) (any, error)
}

// Handler serves the administration API.
type Handler struct {
	daemon    Daemon
	registry  metrics.Registry
	holders   []holder
	strangers *rate.Limiter
	mux       *http.ServeMux
	now       func() time.Time
}

// holder is one who has a token.
type holder struct {
	settings.Token
	limiter *rate.Limiter
}

// NewHandler returns the API of daemon for the holders of tokens, with the metrics of registry.
func NewHandler(daemon Daemon, tokens []settings.Token, registry metrics.Registry) *Handler {
	h := &Handler{
		daemon:    daemon,
		registry:  registry,
		strangers: rate.NewLimiter(strangerRate, strangerBurst),
		mux:       http.NewServeMux(),
		now:       time.Now,
	}
	for _, token := range tokens {
		h.holders = append(h.holders, holder{token, rate.NewLimiter(tokenRate, tokenBurst)})
	}
	h.route()
	return h
}

func (h *Handler) route() {
	h.mux.HandleFunc("GET /v1/questionnaire", h.questionnaire)
	h.mux.HandleFunc("POST /v1/make", h.generate)
	h.mux.HandleFunc("POST /v1/check", h.check)
	h.mux.HandleFunc("POST /v1/diff", h.diff)
	h.mux.HandleFunc("GET /v1/configuration", h.configuration)
	h.mux.HandleFunc("PUT /v1/configuration", h.apply)
	h.mux.HandleFunc("GET /v1/history", h.history)
	h.mux.HandleFunc("POST /v1/actions", h.act)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.HandleFunc("GET /v1/dump", h.dump)
	h.mux.HandleFunc("GET /v1/metrics", h.metricsJSON)
	h.mux.HandleFunc("GET /metrics", h.metricsText)
}

// ServeHTTP serves one request; one without a valid token learns nothing, not even which paths exist.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	found := h.authenticate(r)
	if found == nil {
		if !h.strangers.AllowN(h.now(), 1) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if !found.limiter.AllowN(h.now(), 1) {
		w.Header().Set("Retry-After", "1")
		decline(w, http.StatusTooManyRequests, "too many requests with this token", "send fewer a second")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	h.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), holderKey{}, found)))
}

type holderKey struct{}

// authenticate returns whose token the request carries, or nil; it looks at all tokens, so that its time tells nothing.
func (h *Handler) authenticate(r *http.Request) *holder {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil
	}
	var found *holder
	for i := range h.holders {
		if h.holders[i].Hash().Matches(token) {
			found = &h.holders[i]
		}
	}
	return found
}

// caller returns whose token the request carries.
func caller(r *http.Request) settings.Token {
	found, ok := r.Context().Value(holderKey{}).(*holder)
	if !ok {
		panic("admin: request was not authenticated")
	}
	return found.Token
}

// sees returns which models, services and organisations the holder of token may see.
func (h *Handler) sees(token settings.Token) func(name string) bool {
	if token.Team() == operator.FleetTeam {
		return func(string) bool { return true }
	}
	config, _ := h.daemon.Fleet().Config(token.Team())
	return config.Owns
}
