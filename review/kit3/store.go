package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, for one deployment on loopback addresses.
type store struct {
	mutex    sync.Mutex
	revision int64
	objects  map[string]map[string]*entry
	history  []event
	changed  chan struct{}
	era      int     // number of restores, and one
	record   *record // logs the writes of daemons, nil for none
}

type entry struct {
	revision, created int64
	spec, status      json.RawMessage
}

type event struct {
	revision   int64
	kind, name string
	deleted    bool
	object     map[string]any
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]*entry{}, changed: make(chan struct{}), era: 1}
}

func encodeEntry(name string, e *entry) map[string]any {
	return map[string]any{
		"meta": map[string]any{
			"name": name, "revision": e.revision, "created": e.created, "finalizers": []string{}, "deleting": false,
		},
		"spec": e.spec, "status": e.status,
	}
}

// snapshot is a copy of the store.
type snapshot struct {
	revision int64
	objects  map[string]map[string]*entry
	history  []event
}

func (s *store) copy() snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := snapshot{s.revision, map[string]map[string]*entry{}, slices.Clone(s.history)}
	for kind, all := range s.objects {
		c.objects[kind] = maps.Clone(all)
	}
	return c
}

// restore replaces the content by that of a copy. Revisions that were given since are given again, and the era rises by one.
func (s *store) restore(c snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision, s.history = c.revision, slices.Clone(c.history)
	s.objects = map[string]map[string]*entry{}
	for kind, all := range c.objects {
		s.objects[kind] = maps.Clone(all)
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores an object as the operator and the workers do.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(kind, name, data)
}

func (s *store) put(kind, name string, spec json.RawMessage) *entry {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*entry{}
	}
	old := s.objects[kind][name]
	if old != nil && string(old.spec) == string(spec) {
		return old
	}
	s.revision++
	e := &entry{revision: s.revision, created: s.revision, spec: spec, status: json.RawMessage("null")}
	if old != nil {
		e.created, e.status = old.created, old.status
	}
	s.objects[kind][name] = e
	s.notify(event{s.revision, kind, name, false, encodeEntry(name, e)})
	return e
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.objects[kind][name]
	if e == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.notify(event{s.revision, kind, name, true, encodeEntry(name, e)})
}

func (s *store) notify(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		if e := s.objects[kind][name]; e != nil {
			reply(w, http.StatusOK, encodeEntry(name, e))
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	names := []string{}
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	entries := []any{}
	for _, n := range names {
		entries = append(entries, encodeEntry(n, s.objects[kind][n]))
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has-more": false, "current-rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mutex.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		if since > s.revision {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		current, next := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-next:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	old := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && body.Meta.Revision != 0 && body.Meta.Revision != old.revision:
		reply(w, http.StatusConflict, encodeEntry(name, old))
	case r.Method == http.MethodPut && old == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		e := s.put(kind, name, body.Spec)
		if s.record != nil {
			var wire struct {
				Value struct {
					Fence uint64 `json:"fence"`
					Era   uint64 `json:"era"`
				} `json:"value"`
			}
			_ = json.Unmarshal(body.Spec, &wire)
			s.record.log("store era=%d: a daemon writes %s/%s with fence=%d era=%d", s.era, kind, name, wire.Value.Fence, wire.Value.Era)
		}
		reply(w, http.StatusOK, encodeEntry(name, e))
	}
}
