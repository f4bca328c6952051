package resident

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	namesMemoryMB  = 184
	maxNamesGrowth = 10.0 // megabytes
	namesCallers   = 16
	routesPerName  = 350             // routes of a version
	settleTimeout  = 5 * time.Minute // the runtime collects garbage of an idle process after two minutes, and then returns memory
)

// namesRun is a daemon whose callers, configurations, upstreams and peers change their names without end.
type namesRun struct {
	*platform
	t      testing.TB
	daemon *daemon
	client http.Client
	desk   string // the address of all upstreams of service "desk"
}

func startNames(t testing.TB) *namesRun {
	p := startPlatform(t)
	p.addClosedRoute(t)
	p.config["routes"] = append(p.config["routes"].([]any), map[string]any{
		"name": "draft", "host": "p", "path-prefix": "/draft/", "type": "stream", "timeout-ms": callTimeout.Milliseconds(),
		"goal-ms": 300, "service": "engines", "attempts": 2, "resumable": true, "public": true,
	})
	p.config["version"] = 2
	p.writeConfig(t)
	r := &namesRun{
		platform: p, t: t,
		desk: listen(t, func(_ *http.Request, id string) answer { return soundAnswer(id) }),
	}
	register(t, p.store, "first", "desk", r.desk)
	r.daemon = startDaemon(t, "a", p.address, "", namesMemoryMB)
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: namesCallers}
	t.Cleanup(r.client.CloseIdleConnections)
	r.daemon.waitReady(t)
	return r
}

// residentMB returns the resident memory of the process, in megabytes.
func (d *daemon) residentMB(t testing.TB) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(data), "VmRSS:")
	var kilobytes float64
	if _, err := fmt.Sscanf(text, "%f kB", &kilobytes); err != nil {
		t.Fatalf("no VmRSS of process %d: %v", d.command.Process.Pid, err)
	}
	return kilobytes / 1024
}

// call sends one request with headers, and returns the status of the answer, 0 for none.
func (r *namesRun) call(n int, host, path string, header map[string]string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.daemon.front+path, strings.NewReader("b"))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Request-Id", fmt.Sprint("n-", n))
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// callAll calls send for each number up to count, by some callers at once, and returns how often each status came.
func (r *namesRun) callAll(count int, send func(n int) int) map[int]int {
	var mutex sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	for first := range namesCallers {
		group.Go(func() {
			for n := first; n < count; n += namesCallers {
				status := send(n)
				mutex.Lock()
				statuses[status]++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return statuses
}

// playRoutes puts count versions in force, each with new routes in place of those of the version before, and calls some of the routes.
func (r *namesRun) playRoutes(count int) map[int]int {
	statuses := map[int]int{}
	kept := r.config["routes"].([]any)
	defer func() {
		r.config["routes"] = kept
		r.nextVersion()
	}()
	for version := range count {
		routes := append([]any(nil), kept...)
		for i := range routesPerName {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("v-%d-%d", version, i), "host": "p", "path-prefix": fmt.Sprintf("/v-%d-%d/", version, i), "type": "idempotent",
				"timeout-ms": callTimeout.Milliseconds(), "goal-ms": 300, "service": "desk", "attempts": 2, "public": true,
			})
		}
		r.config["routes"] = routes
		r.nextVersion()
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
			if r.call(0, "p", fmt.Sprintf("/v-%d-0/x", version), nil) == http.StatusOK {
				break
			}
		}
		got := r.callAll(namesCallers, func(n int) int { return r.call(n, "p", fmt.Sprintf("/v-%d-%d/x", version, n), nil) })
		for status, times := range got {
			statuses[status] += times
		}
	}
	return statuses
}

func (r *namesRun) nextVersion() {
	r.config["version"] = r.config["version"].(int) + 1
	r.writeConfig(r.t)
}

// playUpstreams lists an upstream with a new name in place of the one before, count times, and calls it.
func (r *namesRun) playUpstreams(count int) map[int]int {
	statuses := map[int]int{}
	for life := range count {
		register(r.t, r.store, fmt.Sprint("life-", life), "desk", r.desk)
		statuses[r.call(life, "p", "/read/x", nil)]++
		time.Sleep(time.Millisecond)
		r.store.Remove("servers", fmt.Sprint("life-", life))
	}
	return statuses
}

// nameKind is a kind of names that come without end.
type nameKind struct {
	name        string
	count, long int // in the test and in the benchmark
	play        func(r *namesRun, count int) map[int]int
	status      int // of most answers
}

// ofCallers returns a kind of names that callers choose, in one request each.
func ofCallers(name string, status int, send func(r *namesRun, n int) int) nameKind {
	return nameKind{name, 4000, 100_000, func(r *namesRun, count int) map[int]int {
		return r.callAll(count, func(n int) int { return send(r, n) })
	}, status}
}

var nameKinds = []nameKind{
	ofCallers("models", http.StatusServiceUnavailable, func(r *namesRun, n int) int {
		return r.call(n, "p", "/draft/x", map[string]string{"X-Model": longName("model", n), "X-Tokens": "10,10"})
	}),
	ofCallers("hosts", http.StatusNotFound, func(r *namesRun, n int) int {
		return r.call(n, fmt.Sprint("host-", n), "/read/x", nil)
	}),
	ofCallers("paths", http.StatusNotFound, func(r *namesRun, n int) int { return r.call(n, "p", "/"+longName("path", n), nil) }),
	ofCallers("request ids", http.StatusOK, func(r *namesRun, n int) int {
		return r.call(n, "p", "/read/x", map[string]string{"X-Request-Id": longName("id", n)})
	}),
	ofCallers("keys", http.StatusUnauthorized, func(r *namesRun, n int) int {
		return r.call(n, "p", "/closed/x", map[string]string{"Authorization": "Bearer " + longName("key", n)})
	}),
	ofCallers("prefix parts", http.StatusOK, func(r *namesRun, n int) int {
		return r.call(n, "p", "/read/x", map[string]string{"X-Prompt-Prefix": longName("part", n) + ":100,own:10", "X-Tokens": "110,10"})
	}),
	{"routes", 20, 5000, (*namesRun).playRoutes, http.StatusOK},
	{"upstreams", 500, 10_000, (*namesRun).playUpstreams, http.StatusOK},
	{"peers", 400, 10_000, (*namesRun).playPeers, http.StatusOK},
}

// longName returns a name of a kilobyte that no other number has.
func longName(kind string, n int) string { return fmt.Sprintf("%s-%d-%s", kind, n, letters) }

// settle waits until the resident memory of the daemon is at most limit megabytes, and returns what it is in the end.
func (r *namesRun) settle(limit float64) float64 {
	resident := r.daemon.residentMB(r.t)
	for end := time.Now().Add(settleTimeout); resident > limit && time.Now().Before(end); resident = r.daemon.residentMB(r.t) {
		time.Sleep(time.Second)
	}
	return resident
}

// playNames plays count names of a kind on a fresh daemon, and checks that its memory does not grow with them.
func playNames(t testing.TB, kind nameKind, count int) (before, peak, after float64, statuses map[int]int) {
	r := startNames(t)
	kind.play(r, kind.count/4) // the pools and the runtime take their usual memory
	before = r.daemon.residentMB(t)
	statuses = kind.play(r, count)
	if !r.daemon.isRunning() {
		t.Fatalf("%s: the daemon has ended", kind.name)
	}
	peak = r.daemon.peakMB(t)
	after = r.settle(before + maxNamesGrowth)
	if after > before+maxNamesGrowth {
		t.Errorf("%s: %.1f MB before and %.1f MB after %d names, peak %.1f MB", kind.name, before, after, count, peak)
	}
	if answered := statuses[kind.status]; answered < count*9/10 {
		t.Errorf("%s: statuses %v, %d of %d expected", kind.name, statuses, kind.status, count)
	}
	return before, peak, after, statuses
}

// TestNames guards against memory that grows with the names that callers, configurations, upstreams and peers use.
func TestNames(t *testing.T) {
	for _, kind := range nameKinds {
		t.Run(kind.name, func(t *testing.T) {
			before, peak, after, statuses := playNames(t, kind, kind.count)
			t.Logf("%d names: %.1f MB before, %.1f MB after, peak %.1f MB, statuses %v", kind.count, before, after, peak, statuses)
		})
	}
}

// BenchmarkNames plays as many names of each kind as a deployment may see in weeks.
func BenchmarkNames(b *testing.B) {
	for _, kind := range nameKinds {
		b.Run(kind.name, func(b *testing.B) {
			for range b.N {
				before, peak, after, _ := playNames(b, kind, kind.long)
				b.ReportMetric(before, "before-MB")
				b.ReportMetric(after, "after-MB")
				b.ReportMetric(peak, "peak-MB")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
