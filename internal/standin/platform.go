package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	objectsPath   = "/apis/azurepond.dev/v1/namespaces/default/{kind}"
	objectsAPI    = "azurepond.dev/v1"
	instancesPath = "/api/v1/nodes"
)

// Platform stands in for the platform: the object API with versions, conditional updates and watches, and the
// instance list, both in the shape of a Kubernetes API server.
type Platform struct {
	faults     Faults
	callCounts CallCounts

	once sync.Once
	mux  *http.ServeMux

	mu        sync.Mutex
	revision  uint64
	objects   map[object.Key]objectWire
	watchers  map[*watcher]struct{}
	instances []Instance
}

// CallCounts counts what reached a platform.
type CallCounts struct {
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
	lists   atomic.Int64
}

// Reads returns the number of reads of one object.
func (c *CallCounts) Reads() int64 { return c.reads.Load() }

// Writes returns the number of creations, updates and deletions, those in conflict included.
func (c *CallCounts) Writes() int64 { return c.writes.Load() }

// Watches returns the number of watches that were opened.
func (c *CallCounts) Watches() int64 { return c.watches.Load() }

// Lists returns the number of reads of the instance list.
func (c *CallCounts) Lists() int64 { return c.lists.Load() }

// Total returns the number of all calls.
func (c *CallCounts) Total() int64 { return c.Reads() + c.Writes() + c.Watches() + c.Lists() }

// objectWire is one custom object.
type objectWire struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metaWire        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
}

type metaWire struct {
	Name            string `json:"name"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// deleteWire is the body of a conditional deletion.
type deleteWire struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

// Faults returns the control of what goes wrong next.
func (p *Platform) Faults() *Faults { return &p.faults }

// CallCounts returns the counts of what reached the platform.
func (p *Platform) CallCounts() *CallCounts { return &p.callCounts }

// ServeHTTP answers one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.route)
	p.faults.serve(w, r, p.mux.ServeHTTP)
}

func (p *Platform) route() {
	p.mux = http.NewServeMux()
	p.mux.HandleFunc("GET "+objectsPath, p.watch)
	p.mux.HandleFunc("POST "+objectsPath, p.create)
	p.mux.HandleFunc("GET "+objectsPath+"/{name}", p.read)
	p.mux.HandleFunc("PUT "+objectsPath+"/{name}", p.update)
	p.mux.HandleFunc("DELETE "+objectsPath+"/{name}", p.remove)
	p.mux.HandleFunc("GET "+instancesPath, p.list)
}

// Object returns the value and version of key, and whether it exists.
func (p *Platform) Object(key object.Key) ([]byte, object.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, exists := p.objects[key]
	return found.Spec, object.Version(found.Metadata.ResourceVersion), exists
}

// ObjectCount returns the number of objects of kind.
func (p *Platform) ObjectCount(kind string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for key := range p.objects {
		if key.Kind() == kind {
			count++
		}
	}
	return count
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.callCounts.reads.Add(1)
	p.mu.Lock()
	found, exists := p.objects[requestKey(r)]
	p.mu.Unlock()
	if !exists {
		writeStatus(w, http.StatusNotFound, "NotFound", "not found")
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	p.callCounts.writes.Add(1)
	var wanted objectWire
	if !readObject(w, r, &wanted) {
		return
	}
	key := object.NewKey(r.PathValue("kind"), wanted.Metadata.Name)
	if key.Name() == "" {
		writeStatus(w, http.StatusUnprocessableEntity, "Invalid", "metadata.name is missing")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, exists := p.objects[key]; exists {
		writeStatus(w, http.StatusConflict, "AlreadyExists", key.String()+" already exists")
		return
	}
	writeJSON(w, http.StatusCreated, p.put(key, wanted, added))
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) {
	p.callCounts.writes.Add(1)
	var wanted objectWire
	if !readObject(w, r, &wanted) {
		return
	}
	key := requestKey(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expect(w, key, wanted.Metadata.ResourceVersion) {
		return
	}
	writeJSON(w, http.StatusOK, p.put(key, wanted, modified))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.callCounts.writes.Add(1)
	var wanted deleteWire
	if !readJSON(w, r, &wanted) {
		return
	}
	key := requestKey(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expect(w, key, wanted.Preconditions.ResourceVersion) {
		return
	}
	last := p.objects[key]
	delete(p.objects, key)
	p.revision++
	last.Metadata.ResourceVersion = strconv.FormatUint(p.revision, 10)
	p.tell(key, deleted, last)
	writeJSON(w, http.StatusOK, last)
}

// expect reports whether key exists at version; if not, it has answered why.
func (p *Platform) expect(w http.ResponseWriter, key object.Key, version string) bool {
	found, exists := p.objects[key]
	if !exists {
		writeStatus(w, http.StatusNotFound, "NotFound", "not found")
		return false
	}
	if found.Metadata.ResourceVersion != version {
		writeStatus(w, http.StatusConflict, "Conflict", key.String()+" has been modified")
		return false
	}
	return true
}

func (p *Platform) put(key object.Key, wanted objectWire, change string) objectWire {
	p.revision++
	stored := objectWire{
		APIVersion: objectsAPI,
		Kind:       key.Kind(),
		Metadata: metaWire{
			Name:            key.Name(),
			Namespace:       "default",
			ResourceVersion: strconv.FormatUint(p.revision, 10),
		},
		Spec: wanted.Spec,
	}
	if p.objects == nil {
		p.objects = map[object.Key]objectWire{}
	}
	p.objects[key] = stored
	p.tell(key, change, stored)
	return stored
}

// readObject decodes the body of r and reports whether it is a storable object; if not, it has answered why.
func readObject(w http.ResponseWriter, r *http.Request, wanted *objectWire) bool {
	if !readJSON(w, r, wanted) {
		return false
	}
	if len(wanted.Spec) > object.MaxValueBytes {
		writeStatus(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "spec is too large")
		return false
	}
	return true
}

func requestKey(r *http.Request) object.Key {
	return object.NewKey(r.PathValue("kind"), r.PathValue("name"))
}
