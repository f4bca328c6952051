package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// fullyLoaded is the percentage at which an engine has loaded its model.
const fullyLoaded = 100

// Engine stands in for the process of a model engine on one instance.
type Engine struct {
	id      instance.ID
	cluster *Cluster
	faults  Faults
	mux     *http.ServeMux

	mu       sync.Mutex
	settings engineSettings
	down     bool
	bootID   instance.BootID
	life     context.Context
	kill     context.CancelFunc
	held     holding
	running  int
	queued   int
	cache    cacheLog
	answers  []answerFault
	crashes  int
	waiting  []chan struct{}
}

type engineSettings struct {
	clock          func() time.Time
	loadTime       time.Duration
	tokenInterval  time.Duration
	ignoresFencing bool
	poison         string
}

// holding is what an engine was ordered to hold.
type holding struct {
	assignment instance.Assignment
	newest     instance.FencingToken
	model      string
	rank       int
	members    []string
	since      time.Time
	stopping   bool
}

func newEngine(id instance.ID, fabric *Cluster) *Engine {
	created := &Engine{id: id, cluster: fabric, mux: http.NewServeMux()}
	created.settings.clock = time.Now
	created.mux.HandleFunc("POST /v1/chat/completions", created.complete)
	created.mux.HandleFunc("GET /status", created.status)
	created.mux.HandleFunc("POST /order", created.order)
	created.mux.HandleFunc("GET /cache", created.events)
	created.down = true
	return created
}

// Faults returns the control of what goes wrong next with whole requests.
func (e *Engine) Faults() *Faults { return &e.faults }

// SetClock makes clock the source of time for loading and order deadlines.
func (e *Engine) SetClock(clock func() time.Time) {
	e.change(func(s *engineSettings) { s.clock = clock })
}

// SetLoadTime makes each load take wait by the clock, 0 for at once.
func (e *Engine) SetLoadTime(wait time.Duration) {
	e.change(func(s *engineSettings) { s.loadTime = wait })
}

// SetTokenInterval makes each token take gap, 0 for at once.
func (e *Engine) SetTokenInterval(gap time.Duration) {
	e.change(func(s *engineSettings) { s.tokenInterval = gap })
}

// SetIgnoresFencing makes the engine obey orders that carry an old fencing number.
func (e *Engine) SetIgnoresFencing(ignores bool) {
	e.change(func(s *engineSettings) { s.ignoresFencing = ignores })
}

// SetPoison makes each request whose messages contain text crash the engine, nothing if text is empty.
func (e *Engine) SetPoison(text string) {
	e.change(func(s *engineSettings) { s.poison = text })
}

func (e *Engine) change(set func(*engineSettings)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set(&e.settings)
}

// Start starts the process of the engine, under a new boot identity and with nothing loaded, if it is down.
func (e *Engine) Start() {
	boot := instance.BootID(string(e.id) + "-" + strconv.Itoa(e.cluster.nextBoot()))
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		return
	}
	e.down = false
	e.bootID = boot
	e.held = holding{}
	e.cache = cacheLog{}
	e.life, e.kill = context.WithCancel(context.Background())
}

// Crash ends the process of the engine and breaks what runs there.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.crashes++
	e.kill()
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Running returns the number of completions that run.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Idle returns a channel that closes once no completion runs.
func (e *Engine) Idle() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	idle := make(chan struct{})
	if e.running == 0 {
		close(idle)
		return idle
	}
	e.waiting = append(e.waiting, idle)
	return idle
}

// BootID returns the identity of the last start.
func (e *Engine) BootID() instance.BootID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down, life := e.down, e.life
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	if id := r.Header.Get(requestHeader); id != "" {
		w.Header().Set(requestHeader, id)
	}
	e.faults.serve(w, r.WithContext(ctx), e.mux.ServeHTTP)
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

type engineStatusWire struct {
	Boot    string `json:"boot"`
	Replica string `json:"replica,omitempty"`
	Fence   uint64 `json:"fence,omitempty"`
	Phase   string `json:"phase"`
	Loaded  int    `json:"loaded"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	phase, loaded := e.phase()
	writeJSON(w, http.StatusOK, engineStatusWire{
		Boot:    string(e.bootID),
		Replica: string(e.held.assignment.Replica()),
		Fence:   uint64(e.held.assignment.FencingToken()),
		Phase:   phaseNames[phase],
		Loaded:  loaded,
		Running: e.running,
		Queued:  e.queued,
	})
}

var phaseNames = map[instance.Phase]string{
	instance.PhaseIdle:     "idle",
	instance.PhaseLoading:  "loading",
	instance.PhaseReady:    "ready",
	instance.PhaseStopping: "stopping",
}

// phase returns the phase and how much is loaded, in percent; the caller holds the lock.
func (e *Engine) phase() (instance.Phase, int) {
	if e.held.assignment.IsZero() {
		return instance.PhaseIdle, 0
	}
	if e.held.stopping {
		return instance.PhaseStopping, fullyLoaded
	}
	passed := e.settings.clock().Sub(e.held.since)
	if passed >= e.settings.loadTime {
		return instance.PhaseReady, fullyLoaded
	}
	return instance.PhaseLoading, int(max(passed, 0) * fullyLoaded / e.settings.loadTime)
}

// holds reports whether the engine is up and ready with the assignment.
func (e *Engine) holds(assignment instance.Assignment) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	phase, _ := e.phase()
	return !e.down && e.held.assignment == assignment && phase == instance.PhaseReady
}

// orderWire is an order to load or release.
type orderWire struct {
	Verb     string    `json:"verb"`
	Replica  string    `json:"replica"`
	Fence    uint64    `json:"fence"`
	Model    string    `json:"model"`
	Rank     int       `json:"rank"`
	Members  []string  `json:"members"`
	Deadline time.Time `json:"deadline"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var wanted orderWire
	if !readJSON(w, r, &wanted) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.settings.clock()
	fence := instance.FencingToken(wanted.Fence)
	switch {
	case !wanted.Deadline.IsZero() && now.After(wanted.Deadline):
		writeStatus(w, http.StatusGone, "Expired", "the order is past its deadline")
		return
	case !e.settings.ignoresFencing && fence < e.held.newest:
		writeStatus(w, http.StatusConflict, "Conflict", "the fencing number is old")
		return
	case wanted.Verb != "load" && wanted.Verb != "release":
		writeStatus(w, http.StatusBadRequest, "BadRequest", "unknown verb "+wanted.Verb)
		return
	}
	e.obey(wanted, fence, now)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) obey(wanted orderWire, fence instance.FencingToken, now time.Time) {
	newest := max(fence, e.held.newest)
	if wanted.Verb == "release" {
		e.held = holding{newest: newest}
		return
	}
	next := holding{
		assignment: instance.NewAssignment(instance.ReplicaID(wanted.Replica), fence),
		newest:     newest,
		model:      wanted.Model,
		rank:       wanted.Rank,
		members:    wanted.Members,
		since:      now,
	}
	if e.held.sameLoad(next) {
		next.since = e.held.since
	}
	e.held = next
}

// sameLoad reports whether what is loaded for h is what next needs.
func (h holding) sameLoad(next holding) bool {
	return h.assignment.Replica() == next.assignment.Replica() && h.model == next.model && h.rank == next.rank
}
