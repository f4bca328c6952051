package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

var (
	seeds         = flag.String("soak.seeds", "1", "first and last seed, as 1-50")
	faultDuration = flag.Duration("soak.for", 6*time.Second, "how long faults are injected for each seed")
	daemonCount   = flag.Int("soak.daemons", 4, "number of daemons, up to 60")
)

func TestMain(m *testing.M) {
	if variant := os.Getenv(childEnv); variant != "" {
		os.Exit(runChild(variant))
	}
	os.Exit(m.Run())
}

const settingsTemplate = `node-name: "d%d"
zone: "z1"
region: "r1"
ip: "127.0.0.1"
listen: {front: %q, ready: %q, control: %q, directory: %q}
port-range: [%d, %d]
seeds: [%q]
bootstrap: true
limits: {cpu-share: 1, cores: 1, memory-mb: %d, max-fds: %d, link-mbps: 1000}
bounds: {grace-s: %d, retry-ratio: 0.2, retry-window-s: 10, retry-burst: 100, config-apply-ms: 2000}
platform: {address: %q}
`

// setup is what differs between the tests.
type setup struct {
	variant      string        // of the daemons
	grace        time.Duration // from SIGTERM to SIGKILL
	draftTimeout time.Duration // of the route of streams
	issueTimeout time.Duration // of the route of requests that may run once
}

type soak struct {
	t          *testing.T
	setup      setup
	random     *rand.Rand
	fleet      *standin.Fleet
	engines    []*standin.Upstream
	desks      []*standin.Upstream
	daemons    []*process
	nextEngine int                // number of the next engine
	largeCount atomic.Int64       // of requests with large bodies
	version    int                // of the configuration
	snapshots  []standin.Snapshot // of the store, one before each fault

	mutex        sync.Mutex
	exits        []chan struct{} // of all processes that were started
	servedCount  int
	notRunIDs    []string // request IDs answered with 503, which reports that the request did not run
	onceIDs      []string // request IDs that may run at most once
	failures     []string
	statusCounts map[int]int
}

func newSoak(t *testing.T, seed uint64, setup setup) *soak {
	s := &soak{
		t: t, setup: setup, random: rand.New(rand.NewPCG(seed, 5)), statusCounts: map[int]int{},
	}
	s.fleet = &standin.Fleet{Store: &standin.Store{}}
	for range 2**daemonCount + 1 {
		s.addEngine()
	}
	for i := range 2 {
		desk, err := s.fleet.NewService(fmt.Sprintf("desk-%d", i), "desk")
		if err != nil {
			t.Fatal(err)
		}
		s.desks = append(s.desks, desk)
	}
	s.configure(1)
	for i := range *daemonCount {
		addresses, err := standin.FreeAddresses(6)
		if err != nil {
			t.Fatal(err)
		}
		p := &process{index: i, addresses: addresses, settingsFile: filepath.Join(t.TempDir(), "settings.yaml")}
		reachable, store, stop, err := newPaths(s.fleet.Store)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		p.paths = reachable
		if p.storeProxy, err = newProxy(store); err != nil {
			t.Fatal(err)
		}
		s.daemons = append(s.daemons, p)
		var port int
		if _, err := fmt.Sscanf(p.addresses[4], "127.0.0.1:%d", &port); err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf(settingsTemplate, i, p.addresses[0], p.addresses[1], p.addresses[2], p.addresses[3],
			port, port+1, s.daemons[0].addresses[2], memoryMB, maxFDs, int(setup.grace.Seconds()), p.storeProxy.address())
		if err := os.WriteFile(p.settingsFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.start(p)
	}
	return s
}

func (s *soak) addEngine() {
	e, err := s.fleet.NewEngine(fmt.Sprintf("i-%d", s.nextEngine), "engines", "d1")
	if err != nil {
		s.t.Fatal(err)
	}
	s.nextEngine++
	s.engines = append(s.engines, e)
}

func (s *soak) configure(version int) {
	s.version = version
	type o = map[string]any
	err := s.fleet.Store.Write("config", "main", o{
		"version": version,
		"routes": []any{
			o{
				"name": "draft", "host": "p", "path-prefix": "/draft/", "type": "stream", "timeout-ms": s.setup.draftTimeout.Milliseconds(), "goal-ms": 500,
				"service": "engines", "attempts": 2, "resumable": true, "public": true,
			},
			o{
				"name": "issue", "host": "p", "path-prefix": "/issue/", "type": "non_idempotent", "timeout-ms": s.setup.issueTimeout.Milliseconds(),
				"goal-ms": 500, "service": "desk", "attempts": 1, "public": true,
			},
		},
		"services": []any{
			o{"name": "engines", "runtime": o{
				"slots": 8, "stride": 5, "step_ms": 1, "per_seq_ms": 0.1, "read_per_s": 46000,
				"form-ms": 50, "loads-per-s": 100, "loads_at_once": 100, "far_x": 2,
				"models": []any{o{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.1, "warm-s": 0.05}},
			}},
			o{"name": "desk"},
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// runSeed runs the test with one seed and returns the failures.
func runSeed(t *testing.T, seed uint64) []string {
	s := newSoak(t, seed, setup{intact, 4 * time.Second, 4 * time.Second, 2 * time.Second})
	defer s.stopAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	s.startCallers(ctx, &group)
	if !s.isServingWithin(ctx, 100, 20*time.Second) {
		s.recordFailure("fewer than 100 requests served in time after the start")
	}
	s.injectFaults(ctx)
	if !s.isServingWithin(ctx, 100, 15*time.Second) {
		s.recordFailure("fewer than 100 requests served in time after the faults")
	}
	cancel()
	group.Wait()
	for _, id := range s.notRunIDs {
		if s.fleet.RunCount(id) > 0 && strings.HasPrefix(id, "r-") && contains(s.onceIDs, id) {
			s.recordFailure(id + " ran although the response was 503")
		}
	}
	for _, id := range s.onceIDs {
		if s.fleet.RunCount(id) > 1 {
			s.recordFailure(id + " ran twice")
		}
	}
	s.stopAll()
	t.Logf("seed %d: %d served, statuses %v, failures %v", seed, s.servedCount, s.statusCounts, s.failures)
	return s.failures
}

// stopAll kills the daemons and checks that no process is left.
func (s *soak) stopAll() {
	for _, p := range s.daemons {
		p.stop()
	}
	s.mutex.Lock()
	exits := s.exits
	s.mutex.Unlock()
	for _, exited := range exits {
		select {
		case <-exited:
		default:
			s.recordFailure("a process was left running")
		}
	}
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// isServingWithin reports whether count more requests are served within timeout.
func (s *soak) isServingWithin(ctx context.Context, count int, timeout time.Duration) bool {
	s.mutex.Lock()
	before := s.servedCount
	s.mutex.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); sleep(ctx, 50*time.Millisecond) {
		s.mutex.Lock()
		current := s.servedCount
		s.mutex.Unlock()
		if current >= before+count {
			return true
		}
	}
	return false
}

// forSeeds runs a test for each of the seeds.
func forSeeds(t *testing.T, run func(t *testing.T, seed uint64) []string) {
	var first, last uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
		last = first
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if failures := run(t, seed); len(failures) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(failures, "\n"))
			}
		})
	}
}

// TestSoak injects faults with each seed. It fails if a response is wrong, if a request that may run once ran twice or
// ran despite a response of 503, or if the daemons do not serve again in time.
func TestSoak(t *testing.T) { forSeeds(t, runSeed) }
