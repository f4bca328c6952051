package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's metadata store: objects by kind and name with one revision counter, conditional writes,
// lists in pages, and watches.
type store struct {
	mutex    sync.Mutex
	revision int64
	objects  map[string]map[string]entry
	history  []event
	changed  chan struct{}
	onWrite  func(kind, name string, spec json.RawMessage) // observes the writes of daemons
}

type entry struct {
	revision int64
	spec     json.RawMessage
}

type event struct {
	revision int64
	kind     string
	name     string
	deleted  bool
	spec     json.RawMessage
}

func newStore() *store {
	return &store{objects: map[string]map[string]entry{}, changed: make(chan struct{}), revision: 100}
}

// set writes an object as the operator and the workers do.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(kind, name, data)
}

func (s *store) put(kind, name string, spec json.RawMessage) entry {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]entry{}
	}
	if old, known := s.objects[kind][name]; known && string(old.spec) == string(spec) {
		return old
	}
	s.revision++
	e := entry{s.revision, spec}
	s.objects[kind][name] = e
	s.history = append(s.history, event{s.revision, kind, name, false, spec})
	close(s.changed)
	s.changed = make(chan struct{})
	return e
}

func wire(name string, e entry) map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": name, "revision": e.revision, "created": 1, "finalizers": []string{}, "deleting": false},
		"spec": e.spec, "status": nil,
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const pageSize = 500

// ServeHTTP answers the calls of daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	w.Header().Set("Store-Era", "1")
	if since := r.URL.Query().Get("watch"); since != "" {
		s.watch(w, r, kind, since)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if e, known := s.objects[kind][name]; known {
			reply(w, http.StatusOK, wire(name, e))
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := names[:min(len(names), pageSize)]
	entries := []any{}
	for _, name := range page {
		entries = append(entries, wire(name, s.objects[kind][name]))
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has-more": len(names) > len(page), "current-rev": s.revision})
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Meta struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	old, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known, known && body.Meta.Revision != 0 && body.Meta.Revision != old.revision:
		reply(w, http.StatusConflict, wire(name, old))
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		if s.onWrite != nil {
			s.onWrite(kind, name, body.Spec)
		}
		reply(w, http.StatusOK, wire(name, s.put(kind, name, body.Spec)))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	since, _ := strconv.ParseInt(text, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events, current, changed := []any{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"deleted": e.deleted, "object": wire(e.name, entry{e.revision, e.spec})})
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}
