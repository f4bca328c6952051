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

// The limits of the API's requests.
const (
	// tokenRequestsPerSecond and tokenRequestBurst limit the requests of one token.
	tokenRequestsPerSecond = 20
	tokenRequestBurst      = 40
	// unauthenticatedPerSecond and unauthenticatedBurst limit the 401 responses to all requests without a valid token.
	unauthenticatedPerSecond = 10
	unauthenticatedBurst     = 20
	maxBodyBytes             = 1 << 20
	maxIdempotencyKeyBytes   = 64
)

// The headers of a change.
const (
	// IdempotencyKeyHeader carries the request ID of a change. A retry repeats it.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RetryHeader is "true" if the change was sent before, so that the first request may still take effect.
	RetryHeader = "Azurepond-Again"
)

// Daemon is the part of the daemon that the API uses.
type Daemon interface {
	// Submit handles an event (ApplyRequested, ActionRequested or ReadRequested) and waits for the outcome of its request.
	Submit(ctx context.Context, e operator.Event) (operator.Outcome, error)
	// Fleet returns the configuration in force on the daemon.
	Fleet() operator.Fleet
	// Status returns the state of the fleet as the daemon knows it.
	Status() Status
	// Dump returns the state of one part of the daemon, or of all parts if part is empty, as a value that encodes as JSON.
	Dump(part string) (any, error)
}

// Handler serves the administration API.
type Handler struct {
	daemon                 Daemon
	registry               metrics.Registry
	principals             []principal
	unauthenticatedLimiter *rate.Limiter
	mux                    *http.ServeMux
	now                    func() time.Time
}

// principal is the owner of a token and the rate limiter of its requests.
type principal struct {
	settings.Token
	limiter *rate.Limiter
}

// NewHandler returns the API of daemon, which accepts tokens and serves the metrics of registry.
func NewHandler(daemon Daemon, tokens []settings.Token, registry metrics.Registry) *Handler {
	h := &Handler{
		daemon:                 daemon,
		registry:               registry,
		unauthenticatedLimiter: rate.NewLimiter(unauthenticatedPerSecond, unauthenticatedBurst),
		mux:                    http.NewServeMux(),
		now:                    time.Now,
	}
	for _, token := range tokens {
		h.principals = append(h.principals, principal{token, rate.NewLimiter(tokenRequestsPerSecond, tokenRequestBurst)})
	}
	h.registerRoutes()
	return h
}

func (h *Handler) registerRoutes() {
	h.mux.HandleFunc("GET /v1/questionnaire", h.questionnaire)
	h.mux.HandleFunc("POST /v1/make", h.generate)
	h.mux.HandleFunc("POST /v1/check", h.check)
	h.mux.HandleFunc("POST /v1/diff", h.diff)
	h.mux.HandleFunc("GET /v1/configuration", h.configuration)
	h.mux.HandleFunc("PUT /v1/configuration", h.apply)
	h.mux.HandleFunc("GET /v1/history", h.history)
	h.mux.HandleFunc("POST /v1/actions", h.planAction)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.HandleFunc("GET /v1/dump", h.dump)
	h.mux.HandleFunc("GET /v1/metrics", h.metricsJSON)
	h.mux.HandleFunc("GET /metrics", h.metricsText)
}

// ServeHTTP serves one request. The response to a request without a valid token does not reveal which paths exist.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requester := h.authenticate(r)
	if requester == nil {
		if !h.unauthenticatedLimiter.AllowN(h.now(), 1) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if !requester.limiter.AllowN(h.now(), 1) {
		w.Header().Set("Retry-After", "1")
		reject(w, http.StatusTooManyRequests, "too many requests with this token", "send fewer a second")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, requester)))
}

type principalKey struct{}

// authenticate returns the principal of the request's token, or nil. It compares all tokens, to prevent timing attacks.
func (h *Handler) authenticate(r *http.Request) *principal {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil
	}
	var match *principal
	for i := range h.principals {
		if h.principals[i].Hash().Matches(token) {
			match = &h.principals[i]
		}
	}
	return match
}

// requestToken returns the token that ServeHTTP has authenticated.
func requestToken(r *http.Request) settings.Token {
	requester, ok := r.Context().Value(principalKey{}).(*principal)
	if !ok {
		panic("admin: request was not authenticated")
	}
	return requester.Token
}

// nameFilter returns a function that reports whether token may see the model, service or organisation called name.
func (h *Handler) nameFilter(token settings.Token) func(name string) bool {
	if token.Team() == operator.FleetTeam {
		return func(string) bool { return true }
	}
	config, _ := h.daemon.Fleet().Config(token.Team())
	return config.Owns
}
