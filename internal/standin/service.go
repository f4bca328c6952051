package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

const (
	requestHeader = "X-Request-Id"
	keyHeader     = "Idempotency-Key"
)

// Service simulates a plain service that issues tickets. Each POST issues another ticket, whatever its idempotency key,
// so that tests detect a request that ran twice.
type Service struct {
	faults Faults

	routesOnce sync.Once
	mux        *http.ServeMux

	mu            sync.Mutex
	tickets       []ticketWire
	runCountByKey map[string]int
	running       int
}

type ticketWire struct {
	ID   int             `json:"id"`
	Key  string          `json:"key,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

type serviceStatusWire struct {
	Running int `json:"running"`
	Tickets int `json:"tickets"`
}

// Faults returns the faults to inject into requests.
func (s *Service) Faults() *Faults { return &s.faults }

// RunCount returns the number of tickets issued for an idempotency key.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCountByKey[key]
}

// TicketCount returns the number of tickets issued.
func (s *Service) TicketCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tickets)
}

// ServeHTTP handles one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routesOnce.Do(s.registerRoutes)
	s.addRunning(+1)
	defer s.addRunning(-1)
	if id := r.Header.Get(requestHeader); id != "" {
		w.Header().Set(requestHeader, id)
	}
	s.faults.serve(w, r, s.mux.ServeHTTP)
}

func (s *Service) registerRoutes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /tickets", s.issue)
	s.mux.HandleFunc("GET /tickets/{id}", s.read)
	s.mux.HandleFunc("GET /status", s.status)
}

func (s *Service) addRunning(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

func (s *Service) issue(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if !readJSON(w, r, &body) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(keyHeader)
	if s.runCountByKey == nil {
		s.runCountByKey = map[string]int{}
	}
	s.runCountByKey[key]++
	issued := ticketWire{ID: len(s.tickets) + 1, Key: key, Body: body}
	s.tickets = append(s.tickets, issued)
	writeJSON(w, http.StatusCreated, issued)
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := strconv.Atoi(r.PathValue("id"))
	if err != nil || id < 1 || id > len(s.tickets) {
		writeStatus(w, http.StatusNotFound, "NotFound", "no such ticket")
		return
	}
	writeJSON(w, http.StatusOK, s.tickets[id-1])
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The status request itself does not count as running.
	writeJSON(w, http.StatusOK, serviceStatusWire{Running: s.running - 1, Tickets: len(s.tickets)})
}
