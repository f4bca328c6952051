package resident

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

const (
	callTimeout  = 1500 * time.Millisecond
	maxBodyBytes = 4 << 20 // of the configuration
)

// paths are the paths of the routes to service "desk".
var paths = []string{"/issue/x", "/read/x", "/feed/x"}

// platform is a simulated platform with upstreams of one plain service.
type platform struct {
	store   *standin.Store
	address string
	config  map[string]any
}

func startPlatform(t testing.TB) *platform {
	p := &platform{store: &standin.Store{}}
	server := httptest.NewServer(p.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.address = strings.TrimPrefix(server.URL, "http://")
	var routes []any
	for name, kind := range map[string]string{"issue": "non_idempotent", "read": "idempotent", "feed": "stream", "other": "idempotent"} {
		service := "desk"
		if name == "other" {
			service = name
		}
		routes = append(routes, map[string]any{
			"name": name, "host": "p", "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": callTimeout.Milliseconds(),
			"goal-ms": 300, "service": service, "attempts": 2, "resumable": true, "public": true,
		})
	}
	p.config = map[string]any{
		"version": 1, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "health-path": "/healthz", "max-conns": 464},
			map[string]any{"name": "other", "health-path": "/healthz", "max-conns": 464},
			map[string]any{"name": "engines", "health-path": "/healthz", "max-conns": 464, "runtime": map[string]any{
				"slots": slots, "stride": 5, "step_ms": 1, "per_seq_ms": 0.1, "read_per_s": 46000, "form-ms": 50, "loads-per-s": 100, "loads_at_once": 100,
				"models": []any{map[string]any{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.1, "warm-s": 0.05}},
			}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	p.writeConfig(t)
	return p
}

func (p *platform) writeConfig(t testing.TB) {
	if err := p.store.Write("config", "main", p.config); err != nil {
		t.Fatal(err)
	}
}

// addClosedRoute adds an organisation, and the route /closed/ which needs its key. It must be called before the first daemon is started.
func (p *platform) addClosedRoute(t testing.TB) {
	p.config["routes"] = append(p.config["routes"].([]any), map[string]any{
		"name": "closed", "host": "p", "path-prefix": "/closed/", "type": "idempotent", "timeout-ms": callTimeout.Milliseconds(),
		"goal-ms": 300, "service": "desk", "attempts": 2,
	})
	p.config["tenants"] = []any{map[string]any{"name": "one", "api-keys": []any{"k1"}}}
	p.writeConfig(t)
}

// callers sends requests to daemons without a pause.
type callers struct {
	daemons []*daemon
	client  http.Client
	sent    atomic.Int64
	count   atomic.Int64 // of requests that ended before the run did
	served  atomic.Int64
	body    string

	paths      []string // those of paths if empty
	isInChunks bool     // the length of the body is not stated
	isSlow     bool     // answers are read with pauses
}

// run runs count callers for a while.
func (c *callers) run(count int, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			for ctx.Err() == nil {
				c.call(ctx)
			}
		})
	}
	group.Wait()
}

// call sends one request and reads its answer, unless the run has ended meanwhile.
func (c *callers) call(run context.Context) {
	n := c.sent.Add(1)
	isServed := c.isServed(run, n)
	if run.Err() != nil {
		return
	}
	c.count.Add(1)
	if isServed {
		c.served.Add(1)
	}
}

// isServed sends the n-th request, and reports whether the caller got a complete success.
func (c *callers) isServed(run context.Context, n int64) bool {
	ctx, cancel := context.WithTimeout(run, callTimeout)
	defer cancel()
	d := c.daemons[int(n)%len(c.daemons)]
	used := c.paths
	if len(used) == 0 {
		used = paths
	}
	var content io.Reader = strings.NewReader(c.body)
	if c.isInChunks {
		content = io.MultiReader(content) // whose length net/http does not know
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+used[int(n)%len(used)], content)
	if err != nil {
		return false
	}
	request.Host = "p"
	request.Header.Set("X-Request-Id", fmt.Sprint("r-", n))
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	read := func() error {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	}
	if c.isSlow {
		read = func() error { return readSlowly(ctx, response.Body) }
	}
	return read() == nil && response.StatusCode == http.StatusOK
}
