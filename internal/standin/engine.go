package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// fullyLoadedPercent is the load progress of an engine that is ready.
const fullyLoadedPercent = 100

// Engine simulates the process of a model engine on one instance.
type Engine struct {
	id      instance.ID
	cluster *Cluster
	faults  Faults
	mux     *http.ServeMux

	mu               sync.Mutex
	settings         engineSettings
	down             bool
	bootID           instance.BootID
	processCtx       context.Context
	cancelProcess    context.CancelFunc
	load             loadState
	running          int
	queued           int
	cache            cacheLog
	completionFaults []completionFault
	crashCount       int
	idleWaiters      []chan struct{}
}

type engineSettings struct {
	clock          func() time.Time
	loadTime       time.Duration
	tokenInterval  time.Duration
	ignoresFencing bool
	poison         string
}

// loadState is the result of the orders that an engine has accepted.
type loadState struct {
	assignment  instance.Assignment
	newestToken instance.FencingToken
	model       string
	rank        int
	members     []string
	startTime   time.Time
	stopping    bool
}

func newEngine(id instance.ID, cluster *Cluster) *Engine {
	engine := &Engine{id: id, cluster: cluster, mux: http.NewServeMux()}
	engine.settings.clock = time.Now
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.handleCompletion)
	engine.mux.HandleFunc("GET /status", engine.handleStatus)
	engine.mux.HandleFunc("POST /order", engine.handleOrder)
	engine.mux.HandleFunc("GET /cache", engine.handleCacheEvents)
	engine.down = true
	return engine
}

// Faults returns the faults to inject into requests of any kind.
func (e *Engine) Faults() *Faults { return &e.faults }

// SetClock sets the clock for load times and order deadlines.
func (e *Engine) SetClock(clock func() time.Time) {
	e.changeSettings(func(s *engineSettings) { s.clock = clock })
}

// SetLoadTime sets the time, by the engine's clock, that each load takes; after 0, the default, it is ready at once.
func (e *Engine) SetLoadTime(duration time.Duration) {
	e.changeSettings(func(s *engineSettings) { s.loadTime = duration })
}

// SetTokenInterval sets the time that each token takes; with 0, the default, tokens follow without delay.
func (e *Engine) SetTokenInterval(interval time.Duration) {
	e.changeSettings(func(s *engineSettings) { s.tokenInterval = interval })
}

// SetIgnoresFencing sets whether the engine accepts orders with an old fencing token.
func (e *Engine) SetIgnoresFencing(ignores bool) {
	e.changeSettings(func(s *engineSettings) { s.ignoresFencing = ignores })
}

// SetPoison makes each request whose messages contain text crash the engine; an empty text disables this.
func (e *Engine) SetPoison(text string) {
	e.changeSettings(func(s *engineSettings) { s.poison = text })
}

func (e *Engine) changeSettings(set func(*engineSettings)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	set(&e.settings)
}

// Start starts the process of the engine with a new boot ID and no model loaded, unless it runs already.
func (e *Engine) Start() {
	bootID := instance.BootID(string(e.id) + "-" + strconv.Itoa(e.cluster.nextBoot()))
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		return
	}
	e.down = false
	e.bootID = bootID
	e.load = loadState{}
	e.cache = cacheLog{}
	e.processCtx, e.cancelProcess = context.WithCancel(context.Background())
}

// Crash ends the process of the engine and aborts its requests.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.crashCount++
	e.cancelProcess()
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashCount
}

// Running returns the number of running completions.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Idle returns a channel that is closed when no completion is running.
func (e *Engine) Idle() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	idle := make(chan struct{})
	if e.running == 0 {
		close(idle)
		return idle
	}
	e.idleWaiters = append(e.idleWaiters, idle)
	return idle
}

// BootID returns the boot ID of the last start.
func (e *Engine) BootID() instance.BootID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// ServeHTTP handles one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down, processCtx := e.down, e.processCtx
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(processCtx, cancel)()
	if id := r.Header.Get(requestHeader); id != "" {
		w.Header().Set(requestHeader, id)
	}
	e.faults.serve(w, r.WithContext(ctx), e.mux.ServeHTTP)
	if processCtx.Err() != nil {
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

func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	phase, loaded := e.phase()
	writeJSON(w, http.StatusOK, engineStatusWire{
		Boot:    string(e.bootID),
		Replica: string(e.load.assignment.Replica()),
		Fence:   uint64(e.load.assignment.FencingToken()),
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

// phase returns the phase and the load progress in percent; the caller holds the lock.
func (e *Engine) phase() (instance.Phase, int) {
	if e.load.assignment.IsZero() {
		return instance.PhaseIdle, 0
	}
	if e.load.stopping {
		return instance.PhaseStopping, fullyLoadedPercent
	}
	elapsed := e.settings.clock().Sub(e.load.startTime)
	if elapsed >= e.settings.loadTime {
		return instance.PhaseReady, fullyLoadedPercent
	}
	return instance.PhaseLoading, int(max(elapsed, 0) * fullyLoadedPercent / e.settings.loadTime)
}

// isReady reports whether the engine runs and is ready with the assignment.
func (e *Engine) isReady(assignment instance.Assignment) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	phase, _ := e.phase()
	return !e.down && e.load.assignment == assignment && phase == instance.PhaseReady
}

// orderWire is an order to load or release a model.
type orderWire struct {
	Verb     string    `json:"verb"`
	Replica  string    `json:"replica"`
	Fence    uint64    `json:"fence"`
	Model    string    `json:"model"`
	Rank     int       `json:"rank"`
	Members  []string  `json:"members"`
	Deadline time.Time `json:"deadline"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var request orderWire
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.settings.clock()
	token := instance.FencingToken(request.Fence)
	switch {
	case !request.Deadline.IsZero() && now.After(request.Deadline):
		writeStatus(w, http.StatusGone, "Expired", "the order is past its deadline")
		return
	case !e.settings.ignoresFencing && token < e.load.newestToken:
		writeStatus(w, http.StatusConflict, "Conflict", "the fencing number is old")
		return
	case request.Verb != "load" && request.Verb != "release":
		writeStatus(w, http.StatusBadRequest, "BadRequest", "unknown verb "+request.Verb)
		return
	}
	e.applyOrder(request, token, now)
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder loads or releases a model as request says. A repeated order for the same part of a model does not restart
// its load. The caller holds the lock.
func (e *Engine) applyOrder(request orderWire, token instance.FencingToken, now time.Time) {
	newestToken := max(token, e.load.newestToken)
	if request.Verb == "release" {
		e.load = loadState{newestToken: newestToken}
		return
	}
	next := loadState{
		assignment:  instance.NewAssignment(instance.ReplicaID(request.Replica), token),
		newestToken: newestToken,
		model:       request.Model,
		rank:        request.Rank,
		members:     request.Members,
		startTime:   now,
	}
	if e.load.isSameLoad(next) {
		next.startTime = e.load.startTime
	}
	e.load = next
}

// isSameLoad reports whether the model part that is loaded for l is the one that next requires.
func (l loadState) isSameLoad(next loadState) bool {
	return l.assignment.Replica() == next.assignment.Replica() && l.model == next.model && l.rank == next.rank
}
