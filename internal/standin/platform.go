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

// Platform simulates the platform: the object API with versions, conditional updates and watches, and the instance
// list, both in the format of a Kubernetes API server.
type Platform struct {
	faults     Faults
	callCounts CallCounts

	routesOnce sync.Once
	mux        *http.ServeMux

	mu        sync.Mutex
	revision  uint64
	objects   map[object.Key]objectWire
	watchers  map[*watcher]struct{}
	instances []Instance
}

// CallCounts counts the requests to a platform.
type CallCounts struct {
	reads   atomic.Int64
	writes  atomic.Int64
	watches atomic.Int64
	lists   atomic.Int64
}

// Reads returns the number of reads of one object.
func (c *CallCounts) Reads() int64 { return c.reads.Load() }

// Writes returns the number of creations, updates and deletions, including those with a conflict.
func (c *CallCounts) Writes() int64 { return c.writes.Load() }

// Watches returns the number of watch requests.
func (c *CallCounts) Watches() int64 { return c.watches.Load() }

// Lists returns the number of reads of the instance list.
func (c *CallCounts) Lists() int64 { return c.lists.Load() }

// Total returns the number of all requests.
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

// Faults returns the faults to inject into requests.
func (p *Platform) Faults() *Faults { return &p.faults }

// CallCounts returns the request counts.
func (p *Platform) CallCounts() *CallCounts { return &p.callCounts }

// ServeHTTP handles one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.routesOnce.Do(p.registerRoutes)
	p.faults.serve(w, r, p.mux.ServeHTTP)
}

func (p *Platform) registerRoutes() {
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
	var request objectWire
	if !readObject(w, r, &request) {
		return
	}
	key := object.NewKey(r.PathValue("kind"), request.Metadata.Name)
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
	writeJSON(w, http.StatusCreated, p.put(key, request, eventAdded))
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) {
	p.callCounts.writes.Add(1)
	var request objectWire
	if !readObject(w, r, &request) {
		return
	}
	key := requestKey(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checkVersion(w, key, request.Metadata.ResourceVersion) {
		return
	}
	writeJSON(w, http.StatusOK, p.put(key, request, eventModified))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.callCounts.writes.Add(1)
	var request deleteWire
	if !readJSON(w, r, &request) {
		return
	}
	key := requestKey(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checkVersion(w, key, request.Preconditions.ResourceVersion) {
		return
	}
	last := p.objects[key]
	delete(p.objects, key)
	p.revision++
	last.Metadata.ResourceVersion = strconv.FormatUint(p.revision, 10)
	p.notifyWatchers(key, eventDeleted, last)
	writeJSON(w, http.StatusOK, last)
}

// checkVersion reports whether key exists at version. If not, it responds with an error. The caller holds the lock.
func (p *Platform) checkVersion(w http.ResponseWriter, key object.Key, version string) bool {
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

// put stores the value of request with a new version and notifies the watchers; the caller holds the lock.
func (p *Platform) put(key object.Key, request objectWire, change string) objectWire {
	p.revision++
	stored := objectWire{
		APIVersion: objectsAPI,
		Kind:       key.Kind(),
		Metadata: metaWire{
			Name:            key.Name(),
			Namespace:       "default",
			ResourceVersion: strconv.FormatUint(p.revision, 10),
		},
		Spec: request.Spec,
	}
	if p.objects == nil {
		p.objects = map[object.Key]objectWire{}
	}
	p.objects[key] = stored
	p.notifyWatchers(key, change, stored)
	return stored
}

// readObject decodes the body of r and checks the size of the value. On failure it responds with an error and returns
// false.
func readObject(w http.ResponseWriter, r *http.Request, request *objectWire) bool {
	if !readJSON(w, r, request) {
		return false
	}
	if len(request.Spec) > object.MaxValueBytes {
		writeStatus(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "spec is too large")
		return false
	}
	return true
}

func requestKey(r *http.Request) object.Key {
	return object.NewKey(r.PathValue("kind"), r.PathValue("name"))
}
