package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which workers write their entries; heartbeat-ms of the settings.
const heartbeat = 1200 * time.Millisecond

// Run is a request that a worker began to work on.
type Run struct {
	ID, Worker, Service, Path, Tenant string
	At                                time.Time
	Ended                             time.Time // zero while it is at work
	IsWhole                           bool      // the whole answer was written
}

// Log collects the requests that workers ran.
type Log struct {
	mutex sync.Mutex
	runs  []Run
}

// add adds a run and returns its index.
func (l *Log) add(r Run) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *Log) end(index int, isWhole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[index].Ended, l.runs[index].IsWhole = time.Now(), isWhole
}

// Runs returns the requests that ran so far.
func (l *Log) Runs() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs)
}

// Model is what the engines may run.
type Model struct {
	Name       string
	Size       int
	Load, Warm time.Duration
}

// Options describe a worker.
type Options struct {
	Service, Domain string
	Slots           int
	Queue           int           // requests that wait for a slot
	Work            time.Duration // of one request of a plain service
	Models          []Model       // of an engine, none for a plain service
	Events          int           // of one answer of an engine
	EventGap        time.Duration
	FormTime        time.Duration // from the order to open until the head serves
	Fleet           *Fleet        // of the engine, nil for none
}

// Worker is one start of a worker.
type Worker struct {
	ID      string
	address string
	options Options
	store   *Store
	log     *Log
	server  *http.Server
	born    int64

	mutex       sync.Mutex
	dead        bool
	seq         int
	running     int
	waiting     int
	streams     []*stream // of an engine, the newest last
	token       uint64
	orders      int
	epoch       uint64 // the highest that was ordered
	group       string
	gEpoch      uint64 // of the group
	members     []string
	state       string // of the member
	loaded      string
	staged      []string
	last        string // model of the last group
	step        int    // counts the changes of the membership, so that outdated timers end
	isCut       bool   // from the store
	isRestarted bool
	left        string // the group that it has left last
	late        []*lateOrder
	seen        map[string]bool // orders that were received, by what they say
}

// NewWorker starts a worker and registers it.
func NewWorker(store *Store, log *Log, id string, options Options) (*Worker, error) {
	return newWorkerAt("127.0.0.1:0", store, log, id, options)
}

func newWorkerAt(address string, store *Store, log *Log, id string, options Options) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, address: listener.Addr().String(), options: options, store: store, log: log, born: time.Now().UnixMilli(),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }() // ends with Crash
	w.mutex.Lock()
	w.register()
	w.mutex.Unlock()
	go w.beat()
	return w, nil
}

// Crash ends the worker: its connections are reset, and its entry is removed after three heartbeats.
func (w *Worker) Crash() {
	w.mutex.Lock()
	w.dead = true
	w.mutex.Unlock()
	_ = w.server.Close() // the process is gone
	time.AfterFunc(3*heartbeat, func() { w.store.Remove("servers", w.ID) })
}

func (w *Worker) beat() {
	for {
		time.Sleep(heartbeat)
		w.mutex.Lock()
		if w.dead {
			w.mutex.Unlock()
			return
		}
		w.seq++
		w.register()
		w.mutex.Unlock()
	}
}

// register writes the entry of the worker. The mutex is held.
func (w *Worker) register() {
	if w.options.Fleet != nil {
		w.options.Fleet.update(w.ID, engineState{w.group, w.gEpoch, w.state, w.members, w.dead})
	}
	if w.dead || w.isCut {
		return
	}
	entry := map[string]any{
		"service": w.options.Service, "address": w.address, "zone": "brescia", "version": "v1", "slots": w.options.Slots,
		"state": "ready", "cold-left-ms": 0, "seq": w.seq, "born": w.born,
	}
	for key, value := range w.report() {
		entry[key] = value
	}
	w.store.Write("servers", w.ID, entry)
}

// report returns what an engine says of itself.
func (w *Worker) report() map[string]any {
	if len(w.options.Models) == 0 {
		return nil
	}
	models := []any{}
	if w.loaded != "" {
		models = append(models, map[string]any{"name": w.loaded, "version": 1, "adapters": []any{}})
	}
	report := map[string]any{
		"phase": "both", "models": models, "domain": w.options.Domain, "staged": append([]string{}, w.staged...), "born": w.born,
		"busy": false, "running": w.running, "waiting": 0, "kv-in-use": 0, "kv-size": 1400000, "handle-ids": 0,
	}
	if w.group != "" {
		report["group"] = map[string]any{
			"name": w.group, "epoch": w.gEpoch, "rank": slices.Index(w.members, w.ID), "state": w.state,
		}
	}
	return report
}

// ServeHTTP answers requests, orders, reports and health checks.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		out.Header().Set("X-Instance", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		out.Header().Set("X-Instance", w.ID)
	case "/api/report":
		w.mutex.Lock()
		report := w.report()
		report["seq"] = w.orders
		w.mutex.Unlock()
		reply(out, http.StatusOK, report)
	case "/api/order":
		w.order(out, r)
	default:
		w.request(out, r)
	}
}

// request runs a request of a client.
func (w *Worker) request(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	w.mutex.Lock()
	isEngine := len(w.options.Models) > 0
	if isEngine && (len(w.members) == 0 || w.members[0] != w.ID) {
		w.mutex.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isEngine && w.state != "open" || !w.takeSlot(r) {
		w.mutex.Unlock()
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	}()
	run := w.log.add(Run{
		ID: id, Worker: w.ID, Service: w.options.Service, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant"), At: time.Now(),
	})
	out.Header().Set("X-Server-Stamp", w.ID+"."+id)
	if isEngine {
		w.log.end(run, w.stream(out, r))
		return
	}
	time.Sleep(w.options.Work)
	out.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(out, "{\"worker\":%q,\"bytes\":%d}\n", w.ID, len(body))
	w.log.end(run, true)
}

// queuePoll is how often a waiting request looks for a slot.
const queuePoll = 5 * time.Millisecond

// takeSlot takes a slot for a request, which waits for one while the queue has room. The mutex is held, but for the wait.
func (w *Worker) takeSlot(r *http.Request) bool {
	if w.running >= w.options.Slots {
		if w.waiting >= w.options.Queue {
			return false
		}
		w.waiting++
		for w.running >= w.options.Slots && r.Context().Err() == nil {
			w.mutex.Unlock()
			time.Sleep(queuePoll)
			w.mutex.Lock()
		}
		w.waiting--
		if r.Context().Err() != nil {
			return false
		}
	}
	w.running++
	return true
}

// stream is an answer of an engine in progress.
type stream struct {
	id          string
	pausedUntil time.Time
}

// stream writes the events of an answer, and reports whether it wrote all of them.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request) bool {
	s := &stream{id: r.Header.Get("X-Request-Id")}
	w.mutex.Lock()
	w.streams = append(w.streams, s)
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.streams = slices.DeleteFunc(w.streams, func(other *stream) bool { return other == s })
		w.mutex.Unlock()
	}()
	out.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= w.options.Events; event++ {
		w.mutex.Lock()
		wait := max(w.options.EventGap, time.Until(s.pausedUntil))
		w.mutex.Unlock()
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(wait):
		}
		w.mutex.Lock()
		wait = time.Until(s.pausedUntil)
		w.mutex.Unlock()
		if wait > 0 { // it was preempted meanwhile
			event--
			continue
		}
		fmt.Fprintf(out, "id: %d\ndata: token %d\n\n", event, event)
		out.(http.Flusher).Flush()
	}
	return true
}

// Preempt pauses the newest streams that are not paused for a time, as an engine does whose memory has run out, and returns their ids.
func (w *Worker) Preempt(count int, pause time.Duration) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var ids []string
	for _, s := range slices.Backward(w.streams) {
		if len(ids) < count && time.Now().After(s.pausedUntil) {
			s.pausedUntil = time.Now().Add(pause)
			ids = append(ids, s.id)
		}
	}
	return ids
}

// StreamIDs returns the ids of the requests whose streams run, the newest last.
func (w *Worker) StreamIDs() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var ids []string
	for _, s := range w.streams {
		ids = append(ids, s.id)
	}
	return ids
}

// orderBody is an order.
type orderBody struct {
	Op      string   `json:"op"`
	Token   uint64   `json:"fencing-token"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model-id"`
	Members []string `json:"members"`
}

// order handles an order.
func (w *Worker) order(out http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if o.Token < w.token {
		out.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.token = o.Token
	if w.isMove(o) {
		w.mutex.Unlock()
		w.options.Fleet.OnMove(w)
		w.mutex.Lock()
		panic(http.ErrAbortHandler)
	}
	if w.isLate(o) {
		w.mutex.Unlock()
		<-r.Context().Done() // it gets no answer
		w.mutex.Lock()
		panic(http.ErrAbortHandler)
	}
	status := w.carryOut(o)
	if status == http.StatusAccepted {
		w.orders++
	}
	w.register()
	out.WriteHeader(status)
}

// isMove reports whether an order makes the engine join another group than the one that it has left, and somebody waits for that.
func (w *Worker) isMove(o orderBody) bool {
	return w.options.Fleet != nil && w.options.Fleet.OnMove != nil && o.Op == "join" && w.left != "" && o.Group != w.left && w.group == ""
}

// carryOut carries an order out and returns the status of the answer. The mutex is held.
func (w *Worker) carryOut(o orderBody) int {
	isMember := w.group == o.Group && w.gEpoch == o.Epoch
	switch o.Op {
	case "join":
		return w.join(o)
	case "open":
		if !isMember || w.members[0] != w.ID || w.state != "ready" && w.state != "open" {
			return http.StatusConflict
		}
		if w.state == "open" {
			return http.StatusOK
		}
		w.later(w.options.FormTime, func() { w.state = "open" })
		return http.StatusAccepted
	case "close":
		if !isMember || w.state != "open" {
			return http.StatusConflict
		}
		w.state = "ready"
		return http.StatusAccepted
	case "leave":
		if !isMember {
			return http.StatusOK
		}
		w.step++
		w.left = w.group
		w.group, w.members, w.state = "", nil, ""
		w.hasten(o)
		return http.StatusAccepted
	case "phase":
		for _, m := range w.options.Models {
			if m.Name == o.Model {
				time.AfterFunc(m.Load, func() {
					w.mutex.Lock()
					defer w.mutex.Unlock()
					w.staged = []string{o.Model}
					w.register()
				})
				return http.StatusAccepted
			}
		}
	}
	return http.StatusBadRequest
}

func (w *Worker) join(o orderBody) int {
	if o.Epoch < w.epoch {
		return http.StatusPreconditionFailed
	}
	if w.group == o.Group && w.gEpoch == o.Epoch {
		if strings.Join(w.members, " ") != strings.Join(o.Members, " ") {
			return http.StatusPreconditionFailed
		}
		return http.StatusOK
	}
	if w.options.Fleet != nil {
		w.options.Fleet.checkJoin(w.ID, w.group, w.gEpoch, w.members, o)
	}
	duration := time.Duration(0)
	for _, m := range w.options.Models {
		switch {
		case m.Name != o.Model:
		case w.last == o.Model:
			duration = 200 * time.Millisecond
		case slices.Contains(w.staged, o.Model):
			duration = m.Warm
		default:
			duration = m.Load
		}
	}
	w.epoch, w.group, w.gEpoch, w.members, w.state = o.Epoch, o.Group, o.Epoch, o.Members, "joining"
	w.loaded, w.staged = o.Model, []string{o.Model}
	w.later(duration, func() { w.state, w.last = "ready", o.Model })
	return http.StatusAccepted
}

// later changes the membership after a time, unless another order changed it before. The mutex is held.
func (w *Worker) later(after time.Duration, change func()) {
	w.step++
	step := w.step
	time.AfterFunc(after, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.step == step && !w.dead {
			change()
			w.register()
		}
	})
}
