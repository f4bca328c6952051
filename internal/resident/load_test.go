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

// paths are the paths of the routes, which all lead to the same upstreams.
var paths = []string{"/issue/x", "/read/x", "/feed/x"}

// platform is a simulated platform with upstreams of one plain service.
type platform struct {
	store   *standin.Store
	address string
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
	for name, kind := range map[string]string{"issue": "non_idempotent", "read": "idempotent", "feed": "stream"} {
		routes = append(routes, map[string]any{
			"name": name, "host": "p", "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": callTimeout.Milliseconds(),
			"goal-ms": 300, "service": "desk", "attempts": 2, "resumable": true, "public": true,
		})
	}
	err := p.store.Write("config", "main", map[string]any{
		"version": 1, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "health-path": "/healthz", "max-conns": 464},
			map[string]any{"name": "engines", "health-path": "/healthz", "max-conns": 464, "runtime": map[string]any{
				"slots": slots, "stride": 5, "step_ms": 1, "per_seq_ms": 0.1, "read_per_s": 46000, "form-ms": 50, "loads-per-s": 100, "loads_at_once": 100,
				"models": []any{map[string]any{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.1, "warm-s": 0.05}},
			}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// callers sends requests to daemons without a pause.
type callers struct {
	daemons []*daemon
	client  http.Client
	count   atomic.Int64 // of requests
	served  atomic.Int64
	body    string

	isInChunks bool // the length of the body is not stated
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

// call sends one request and reads its answer.
func (c *callers) call(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n := c.count.Add(1)
	d := c.daemons[int(n)%len(c.daemons)]
	var content io.Reader = strings.NewReader(c.body)
	if c.isInChunks {
		content = io.MultiReader(content) // whose length net/http does not know
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+paths[int(n)%len(paths)], content)
	if err != nil {
		return
	}
	request.Host = "p"
	request.Header.Set("X-Request-Id", fmt.Sprint("r-", n))
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(len(soundBody))))
	if err != nil {
		return
	}
	if response.StatusCode == http.StatusOK && string(body) == soundBody {
		c.served.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // a caller takes what it is sent until its deadline
}
