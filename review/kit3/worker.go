package main

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
	"sync/atomic"
	"time"
)

// The times of a worker; those of the pages are longer.
const (
	rejoinTime = 200 * time.Millisecond
	warmTime   = 200 * time.Millisecond // to join with a model that is staged
	loadTime   = 600 * time.Millisecond
	formTime   = 100 * time.Millisecond
	eventTime  = 10 * time.Millisecond
	kvCapacity = 1_400_000 // tokens that fit into the memory of a group

	longEvents   = 20 // of an answer to a path that ends with /long
	longPerEvent = 100 * time.Millisecond
)

// worker is a stand-in of one model worker or, without a domain, of one process of a plain service.
type worker struct {
	id, service, domain, address string
	born                         int64
	store                        *store
	record                       *record
	server                       *http.Server

	mutex        sync.Mutex
	token, epoch int64
	group, model string
	members      []string
	phase        string
	staged       []string
	state        string // ready or draining
	lost         bool   // the worker has crashed for good
	running, seq int
	cut          chan struct{} // closed when the head aborts its calls
	events       int           // of an answer
	perEvent     time.Duration
	handle       func(w http.ResponseWriter, r *http.Request, body []byte) // of a plain service
	ranByRequest map[string]int
	quiet        bool // runs are not recorded
	fleet        func(id string) *worker
	lostAt       time.Time
	isCutOff     bool         // from the store, so that the entry is not written
	holdsOpen    *atomic.Bool // of all workers: the next open is accepted, not answered and carried out later
	late         *order       // that was accepted and not answered
	violations   []string
}

func startWorker(s *store, rec *record, id, service, domain string) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, domain: domain, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		store: s, record: rec, ranByRequest: map[string]int{}, state: "ready", cut: make(chan struct{}), events: 5, perEvent: eventTime,
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	return w, nil
}

// report is what the worker says of itself; the mutex must be held.
func (k *worker) report() map[string]any {
	o := map[string]any{"phase": "both", "models": []any{}, "busy": false, "seq": k.seq, "born": k.born}
	if k.domain == "" {
		return o
	}
	o["domain"], o["staged"] = k.domain, append([]string{}, k.staged...)
	o["waiting"], o["running"], o["kv-in-use"], o["kv-size"], o["handle-ids"] = 0, k.running, 0, kvCapacity, 0
	if k.model != "" {
		o["models"] = []any{map[string]any{"name": k.model, "version": 1, "adapters": []any{}}}
	}
	if k.group != "" {
		o["group"] = map[string]any{"name": k.group, "epoch": k.epoch, "rank": slices.Index(k.members, k.id), "state": k.phase}
	}
	return o
}

func (k *worker) register() {
	k.mutex.Lock()
	if k.lost || k.isCutOff {
		k.mutex.Unlock()
		return
	}
	o := k.report()
	o["state"] = k.state
	k.mutex.Unlock()
	o["service"], o["address"], o["zone"], o["version"] = k.service, k.address, "z1", "v1"
	o["slots"], o["cold-left-ms"] = 26, 0
	k.store.write("servers", k.id, o)
}

func (k *worker) isOpen() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.phase == "open"
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.id {
		w.Header().Set("X-Instance", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		k.mutex.Lock()
		o := k.report()
		k.mutex.Unlock()
		reply(w, http.StatusOK, o)
	case "/api/order":
		k.order(w, r)
	case "/healthz":
		w.Header().Set("X-Instance", k.id)
	default:
		k.serve(w, r)
	}
}

type order struct {
	Op      string   `json:"op"`
	Token   int64    `json:"fencing-token"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model-id"`
	Members []string `json:"members"`
	Mode    string   `json:"close-mode"`
}

func (k *worker) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if k.accept(o) {
		<-r.Context().Done() // no answer: the daemon gives up
		return
	}
	k.mutex.Lock()
	status := k.apply(o)
	if status == http.StatusAccepted {
		k.seq++
	}
	k.mutex.Unlock()
	k.record.log("order worker=%s op=%s %s group=%s epoch=%d token=%d status=%d", k.id, o.Op, o.Mode, o.Group, o.Epoch, o.Token, status)
	w.WriteHeader(status)
	k.register()
}

// accept accepts an order that is not answered and carried out later, and reports whether it is one.
func (k *worker) accept(o order) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if o.Op != "open" || o.Token < k.token || k.holdsOpen == nil || !k.holdsOpen.CompareAndSwap(true, false) {
		return false
	}
	k.token, k.late = o.Token, &o
	k.record.log("order worker=%s op=%s group=%s epoch=%d token=%d is accepted, gets no answer and is carried out later", k.id, o.Op, o.Group, o.Epoch, o.Token)
	return true
}

// carryOutLate carries out the order that was accepted before, after newer ones.
func (k *worker) carryOutLate() {
	k.mutex.Lock()
	o := *k.late
	o.Token = k.token // it was checked when the order arrived
	status := k.apply(o)
	k.mutex.Unlock()
	k.record.log("order worker=%s op=%s group=%s epoch=%d token=%d is carried out now (status %d)", k.id, o.Op, o.Group, o.Epoch, k.late.Token, status)
	k.register()
}

// headServes reports whether the head of the worker's group is open or closing; the mutex must be held.
func (k *worker) headServes() bool {
	if k.group == "" || k.fleet == nil {
		return false
	}
	if k.members[0] == k.id {
		return k.phase == "open" || k.phase == "closing"
	}
	head := k.fleet(k.members[0])
	head.mutex.Lock()
	defer head.mutex.Unlock()
	return !head.lost && head.group == k.group && head.epoch == k.epoch && (head.phase == "open" || head.phase == "closing")
}

// lostMember returns since when a member of the worker's group is lost, the zero time if none is.
func (k *worker) lostMember() time.Time {
	k.mutex.Lock()
	members := k.members
	k.mutex.Unlock()
	for _, id := range members {
		if k.fleet == nil || id == k.id {
			continue
		}
		m := k.fleet(id)
		m.mutex.Lock()
		isLost, at := m.lost, m.lostAt
		m.mutex.Unlock()
		if isLost {
			return at
		}
	}
	return time.Time{}
}

// stallTime is stall-ms, after which a head without a member is broken.
const stallTime = 4 * time.Second

// breakDown makes the head broken, which ends its work.
func (k *worker) breakDown() {
	k.mutex.Lock()
	if k.phase == "open" {
		k.phase = "broken"
		close(k.cut)
		k.cut = make(chan struct{})
	}
	k.mutex.Unlock()
	k.register()
}

func (k *worker) apply(o order) int {
	isCurrent := k.group == o.Group && k.epoch == o.Epoch && k.group != ""
	switch {
	case o.Token < k.token:
		return http.StatusPreconditionFailed
	case o.Op == "join" && (o.Epoch < k.epoch || isCurrent && !slices.Equal(k.members, o.Members)):
		return http.StatusPreconditionFailed
	}
	k.token = o.Token
	switch o.Op {
	case "join":
		if isCurrent {
			return http.StatusOK
		}
		if k.headServes() {
			text := fmt.Sprintf("worker=%s takes a join of %s@%d while %s, the head of its group %s@%d, is open", k.id, o.Group, o.Epoch, k.members[0], k.group, k.epoch)
			k.violations = append(k.violations, text)
			k.record.log("TWO is broken: %s", text)
		}
		wait := loadTime
		switch {
		case k.model == o.Model:
			wait = rejoinTime
		case slices.Contains(k.staged, o.Model):
			wait = warmTime
		}
		k.group, k.epoch, k.members, k.model, k.phase, k.staged = o.Group, o.Epoch, o.Members, o.Model, "joining", []string{o.Model}
		k.later(wait, o, "joining", "ready")
	case "open":
		switch {
		case isCurrent && k.phase == "open":
			return http.StatusOK
		case !isCurrent || k.phase != "ready" || k.members[0] != k.id:
			return http.StatusConflict
		}
		k.later(formTime, o, "ready", "open")
	case "close":
		switch {
		case !isCurrent:
			return http.StatusConflict
		case k.phase != "open" && k.phase != "closing":
			return http.StatusOK
		case o.Mode == "cut":
			close(k.cut)
			k.cut = make(chan struct{})
			k.phase = "ready"
		case k.running == 0:
			k.phase = "ready"
		default:
			k.phase = "closing" // until its calls have ended
		}
	case "leave":
		if !isCurrent {
			return http.StatusOK
		}
		k.group, k.members, k.phase = "", nil, ""
	case "phase":
		time.AfterFunc(loadTime, func() {
			k.mutex.Lock()
			k.staged = []string{o.Model}
			k.mutex.Unlock()
			k.register()
		})
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (k *worker) later(wait time.Duration, o order, from, to string) {
	time.AfterFunc(wait, func() {
		k.mutex.Lock()
		if k.group == o.Group && k.epoch == o.Epoch && k.phase == from {
			k.phase = to
		}
		k.mutex.Unlock()
		k.register()
	})
}

func refuseNotRun(w http.ResponseWriter, id string) {
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serve runs a request.
func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if k.domain == "" {
		k.count(id)
		k.handle(w, r, body)
		return
	}
	prompt, answer, _ := strings.Cut(r.Header.Get("X-Tokens"), ",")
	promptTokens, _ := strconv.ParseFloat(prompt, 64)
	answerTokens, _ := strconv.ParseFloat(answer, 64)
	if !k.isOpen() || promptTokens+answerTokens > kvCapacity {
		k.record.log("worker=%s request=%s tokens=%s not run (status 503, X-Not-Run)", k.id, id, r.Header.Get("X-Tokens"))
		refuseNotRun(w, id)
		return
	}
	k.count(id)
	if !k.quiet {
		k.record.log("worker=%s request=%s tokens=%s runs", k.id, id, r.Header.Get("X-Tokens"))
	}
	k.mutex.Lock()
	k.running++
	cut, events, perEvent := k.cut, k.events, k.perEvent
	k.mutex.Unlock()
	if strings.HasSuffix(r.URL.Path, "/long") {
		events, perEvent = longEvents, longPerEvent
	}
	defer k.end()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+k.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		select {
		case <-cut:
			k.record.log("worker=%s request=%s is cut off by an order after %d of %d events", k.id, id, n-1, events)
			panic(http.ErrAbortHandler)
		case <-time.After(perEvent):
		}
		if since := k.lostMember(); !since.IsZero() { // nothing moves, until the head is broken
			select {
			case <-cut:
			case <-time.After(time.Until(since.Add(stallTime))):
				k.breakDown()
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// end counts a call that has ended. A head that waits for its calls is ready after the last one.
func (k *worker) end() {
	k.mutex.Lock()
	k.running--
	isReady := k.running == 0 && k.phase == "closing"
	if isReady {
		k.phase = "ready"
	}
	k.mutex.Unlock()
	if isReady {
		k.register()
	}
}

// drain makes the worker report that it is draining. It serves on: as a member, it remains while its head has work, for at most 10 s.
func (k *worker) drain() {
	k.mutex.Lock()
	k.state = "draining"
	k.mutex.Unlock()
	k.record.log("worker=%s reports draining, and the store has accepted that", k.id)
	k.register()
}

func (k *worker) count(id string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ranByRequest[id]++
}

// heartbeatsMissed is the time after which the entry of a silent worker is removed.
const heartbeatsMissed = 3600 * time.Millisecond

// crash ends the worker for good.
func (k *worker) crash() {
	k.mutex.Lock()
	k.lost, k.lostAt = true, time.Now()
	k.mutex.Unlock()
	k.record.log("worker=%s crashes for good", k.id)
	_ = k.server.Close()
	time.AfterFunc(heartbeatsMissed, func() { k.store.remove("servers", k.id) })
}

// isStaged reports whether the worker has a model on its host.
func (k *worker) isStaged() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.staged) > 0
}
