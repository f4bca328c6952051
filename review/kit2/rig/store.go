package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	Address string

	mutex    sync.Mutex
	revision int64
	objects  map[string]map[string]stored
	history  []change
	changed  chan struct{} // closed at the next change
}

type stored struct {
	revision int64
	spec     json.RawMessage
}

type change struct {
	kind, name string
	deleted    bool
	stored     stored
}

// pageSize is the number of entries in one page of a list.
const pageSize = 500

// NewStore starts a store on a free port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: listener.Addr().String(), revision: 100,
		objects: map[string]map[string]stored{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, s) }() // ends with the process
	return s, nil
}

// Write stores an object without a condition, as the operator and the workers do.
func (s *Store) Write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(kind, name, data)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, isKnown := s.objects[kind][name]; !isKnown {
		return
	}
	delete(s.objects[kind], name)
	s.record(change{kind: kind, name: name, deleted: true})
}

func (s *Store) put(kind, name string, data json.RawMessage) stored {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]stored{}
	}
	if old, isKnown := s.objects[kind][name]; isKnown && string(old.spec) == string(data) {
		return old
	}
	s.objects[kind][name] = stored{s.revision + 1, data}
	s.record(change{kind: kind, name: name, stored: s.objects[kind][name]})
	return s.objects[kind][name]
}

// record adds a change to the history and wakes the watches.
func (s *Store) record(c change) {
	s.revision++
	c.stored.revision = s.revision
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the object API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		found, isKnown := s.objects[kind][name]
		s.mutex.Unlock()
		if !isKnown {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, objectOf(name, found))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.update(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func objectOf(name string, o stored) map[string]any {
	return map[string]any{
		"meta": map[string]any{"name": name, "revision": o.revision, "created": 1, "finalizers": []string{}, "deleting": false},
		"spec": o.spec, "status": nil,
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone needs no answer
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	entries := []any{}
	for _, name := range names[:min(len(names), pageSize)] {
		entries = append(entries, objectOf(name, s.objects[kind][name]))
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has-more": len(names) > pageSize, "current-rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, current, next := s.changesSince(kind, since)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-next:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []any{}, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesSince(kind string, since int64) (events []any, current int64, next chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.history {
		if c.kind == kind && c.stored.revision > since {
			events = append(events, map[string]any{"deleted": c.deleted, "object": objectOf(c.name, c.stored)})
		}
	}
	return events, s.revision, s.changed
}

// update handles POST and PUT, which are conditional if they name a revision.
func (s *Store) update(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	old, isKnown := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && isKnown, isKnown && body.Meta.Revision != 0 && body.Meta.Revision != old.revision:
		reply(w, http.StatusConflict, objectOf(name, old))
	case r.Method == http.MethodPut && !isKnown:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, objectOf(name, s.put(kind, name, body.Spec)))
	}
}
