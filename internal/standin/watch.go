package standin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/azurepond/azurepond/pkg/object"
)

// The types of change that a watch reports.
const (
	added    = "ADDED"
	modified = "MODIFIED"
	deleted  = "DELETED"
	bookmark = "BOOKMARK"
)

// watchBuffer is the number of changes that a slow watcher may lag behind before it is cut off.
const watchBuffer = 256

// nameSelector begins a field selector that picks one object.
const nameSelector = "metadata.name="

// changeWire is one line of a watch.
type changeWire struct {
	Type   string     `json:"type"`
	Object objectWire `json:"object"`
}

// bookmarkWire is the line of a watch that follows the state at its start.
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

// EndWatches closes all watches that are open, as an API server does after a while.
func (p *Platform) EndWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for each := range p.watchers {
		p.drop(each)
	}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.callCounts.watches.Add(1)
	name, selects := strings.CutPrefix(r.FormValue("fieldSelector"), nameSelector)
	if r.FormValue("watch") != "true" || !selects {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "only watches of one object are served")
		return
	}
	self := &watcher{object.NewKey(r.PathValue("kind"), name), make(chan changeWire, watchBuffer)}
	p.mu.Lock()
	present, exists := p.objects[self.key]
	if p.watchers == nil {
		p.watchers = map[*watcher]struct{}{}
	}
	p.watchers[self] = struct{}{}
	p.mu.Unlock()
	defer p.forget(self)

	w.Header().Set("Content-Type", "application/json")
	lines := json.NewEncoder(w)
	if exists {
		_ = lines.Encode(changeWire{added, present})
	}
	if r.FormValue("sendInitialEvents") == "true" {
		_ = lines.Encode(startBookmark())
	}
	flush(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case change, open := <-self.changes:
			if !open || lines.Encode(change) != nil {
				return
			}
			flush(w)
		}
	}
}

func startBookmark() bookmarkWire {
	line := bookmarkWire{Type: bookmark}
	line.Object.Metadata.Annotations = map[string]string{"k8s.io/initial-events-end": "true"}
	return line
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

// tell passes a change of key to its watchers; the caller holds the lock.
func (p *Platform) tell(key object.Key, change string, stored objectWire) {
	for each := range p.watchers {
		if each.key != key {
			continue
		}
		select {
		case each.changes <- changeWire{change, stored}:
		default:
			p.drop(each)
		}
	}
}

func (p *Platform) forget(gone *watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(gone)
}

func (p *Platform) drop(gone *watcher) {
	if _, exists := p.watchers[gone]; exists {
		delete(p.watchers, gone)
		close(gone.changes)
	}
}
