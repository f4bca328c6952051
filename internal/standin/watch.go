package standin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/azurepond/azurepond/pkg/object"
)

// The event types of a watch.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
)

// maxWatchBacklog is the number of changes that a watcher may lag behind before its watch is closed.
const maxWatchBacklog = 256

// nameSelectorPrefix is the prefix of a field selector that selects one object by name.
const nameSelectorPrefix = "metadata.name="

// changeWire is one line of a watch.
type changeWire struct {
	Type   string     `json:"type"`
	Object objectWire `json:"object"`
}

// bookmarkWire is the line of a watch that follows the initial state.
type bookmarkWire struct {
	Type   string `json:"type"`
	Object struct {
		Metadata struct {
			Annotations map[string]string `json:"annotations"`
		} `json:"metadata"`
	} `json:"object"`
}

type watcher struct {
	key     object.Key
	changes chan changeWire
}

// EndWatches closes all open watches, as an API server does when their timeout expires.
func (p *Platform) EndWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := range p.watchers {
		p.closeWatcher(w)
	}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.callCounts.watches.Add(1)
	name, hasName := strings.CutPrefix(r.FormValue("fieldSelector"), nameSelectorPrefix)
	if r.FormValue("watch") != "true" || !hasName {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "only watches of one object are served")
		return
	}
	opened := &watcher{object.NewKey(r.PathValue("kind"), name), make(chan changeWire, maxWatchBacklog)}
	p.mu.Lock()
	current, exists := p.objects[opened.key]
	if p.watchers == nil {
		p.watchers = map[*watcher]struct{}{}
	}
	p.watchers[opened] = struct{}{}
	p.mu.Unlock()
	defer p.unregisterWatcher(opened)

	w.Header().Set("Content-Type", "application/json")
	lines := json.NewEncoder(w)
	if exists {
		_ = lines.Encode(changeWire{eventAdded, current})
	}
	if r.FormValue("sendInitialEvents") == "true" {
		_ = lines.Encode(newInitialBookmark())
	}
	flush(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case change, open := <-opened.changes:
			if !open || lines.Encode(change) != nil {
				return
			}
			flush(w)
		}
	}
}

func newInitialBookmark() bookmarkWire {
	line := bookmarkWire{Type: eventBookmark}
	line.Object.Metadata.Annotations = map[string]string{"k8s.io/initial-events-end": "true"}
	return line
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// notifyWatchers sends a change of key to its watchers; the caller holds the lock.
func (p *Platform) notifyWatchers(key object.Key, change string, stored objectWire) {
	for w := range p.watchers {
		if w.key != key {
			continue
		}
		select {
		case w.changes <- changeWire{change, stored}:
		default:
			p.closeWatcher(w)
		}
	}
}

func (p *Platform) unregisterWatcher(w *watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeWatcher(w)
}

// closeWatcher ends the watch of w unless it has ended already; the caller holds the lock.
func (p *Platform) closeWatcher(w *watcher) {
	if _, exists := p.watchers[w]; exists {
		delete(p.watchers, w)
		close(w.changes)
	}
}
