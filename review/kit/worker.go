package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// worker is a process of the plain service. It registers in the store, runs requests that expect it, and signs its answers.
type worker struct {
	fleet   *fleet
	id      string
	address string
	slots   int
	work    time.Duration

	mutex  sync.Mutex
	answer func(r *http.Request) (status int, body string) // nil for the usual answer
	runs   map[string]int                                  // by request id
}

func (f *fleet) addWorker(id string, work time.Duration) (*worker, error) {
	w := &worker{fleet: f, id: id, slots: 6, work: work, runs: map[string]int{}}
	address, err := f.serve(w)
	if err != nil {
		return nil, err
	}
	w.address = address
	f.store.set("servers", id, map[string]any{
		"service": service, "address": address, "zone": "brescia", "version": "v1", "slots": w.slots, "state": "ready",
		"cold-left-ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	})
	return w, nil
}

func (w *worker) ranTimes(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id]
}

// ServeHTTP runs one request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		out.Header().Set("X-Instance", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		out.Header().Set("X-Instance", w.id)
		return
	}
	if r.URL.Path == "/api/report" {
		_ = json.NewEncoder(out).Encode(map[string]any{"models": []any{}, "seq": 0})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.mutex.Lock()
	w.runs[id]++
	answer := w.answer
	w.mutex.Unlock()
	w.fleet.runs.Add(1)
	if !w.fleet.quiet.Load() {
		w.fleet.logf("worker %s runs %s %s, request %s", w.id, r.Method, r.URL.Path, id)
	}
	time.Sleep(w.work)
	status, body := http.StatusOK, "ticket of "+id
	if answer != nil {
		status, body = answer(r)
	}
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("X-Server-Stamp", "stamp."+w.id+"."+id)
	out.Header().Set("Content-Type", "text/plain")
	out.WriteHeader(status)
	_, _ = io.WriteString(out, body)
}
