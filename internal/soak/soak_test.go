package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/commands"
	"github.com/azurepond/azurepond/platform/standin"
)

var (
	seeds         = flag.String("soak.seeds", "1", "first and last seed, as 1-50")
	faultDuration = flag.Duration("soak.for", 6*time.Second, "how long faults are injected for each seed")
)

// childEnv is the environment variable that makes the test binary run a daemon.
const childEnv = "AZUREPOND_SOAK_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(commands.Execute([]string{"gateway"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const daemonCount, engineCount = 4, 9

const settingsTemplate = `node-name: "d%d"
zone: "z1"
region: "r1"
ip: "127.0.0.1"
listen: {front: %q, ready: %q, control: %q, directory: %q}
port-range: [%d, %d]
seeds: [%q]
bootstrap: true
bounds: {grace-s: 4, retry-ratio: 0.2, retry-window-s: 10, retry-burst: 100, config-apply-ms: 2000}
platform: {address: %q}
`

// process is one daemon in a process of its own.
type process struct {
	settingsFile string
	addresses    []string // of the front, ready, control and directory listeners; the fifth ends the port range
	storeProxy   *proxy
	paths        *paths // to the upstreams
	command      *exec.Cmd
	log          *os.File
	exited       chan struct{}
}

type soak struct {
	t          *testing.T
	random     *rand.Rand
	fleet      *standin.Fleet
	engines    []*standin.Upstream
	daemons    []*process
	exits      []chan struct{}    // of all processes that were started
	nextEngine int                // number of the next engine
	version    int                // of the configuration
	snapshots  []standin.Snapshot // of the store, one before each fault

	mutex        sync.Mutex
	servedCount  int
	notRunIDs    []string // request IDs answered with 503, which reports that the request did not run
	onceIDs      []string // request IDs that may run at most once
	failures     []string
	statusCounts map[int]int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 5)), statusCounts: map[int]int{}}
	s.fleet = &standin.Fleet{Store: &standin.Store{}}
	for range engineCount {
		s.addEngine()
	}
	for i := range 2 {
		if _, err := s.fleet.NewService(fmt.Sprintf("desk-%d", i), "desk"); err != nil {
			t.Fatal(err)
		}
	}
	s.configure(1)
	for i := range daemonCount {
		addresses, err := standin.FreeAddresses(6)
		if err != nil {
			t.Fatal(err)
		}
		p := &process{addresses: addresses, settingsFile: filepath.Join(t.TempDir(), "settings.yaml")}
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
			port, port+1, s.daemons[0].addresses[2], p.storeProxy.address())
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
				"name": "draft", "host": "p", "path-prefix": "/draft/", "type": "stream", "timeout-ms": 4000, "goal-ms": 500,
				"service": "engines", "attempts": 2, "resumable": true, "public": true,
			},
			o{
				"name": "issue", "host": "p", "path-prefix": "/issue/", "type": "non_idempotent", "timeout-ms": 2000,
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

func (s *soak) start(p *process) {
	if p.exited != nil {
		p.stop() // two faults of one daemon overlapped, and both are undone
	}
	log, err := os.OpenFile(p.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), childEnv+"=1", "AZUREPOND_NODE_FILE="+p.settingsFile)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.log, p.exited = log, exited
	s.exits = append(s.exits, exited)
	go func() {
		_ = p.command.Wait() // killed processes return an error; the checks use the responses instead
		_ = log.Close()
		close(exited)
	}()
}

func (p *process) signal(sig os.Signal) { _ = p.command.Process.Signal(sig) } // the process may have exited already

// stop kills the process, also a paused one, and waits until it has exited.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// call sends one request to the daemon with this index and checks the response.
func (s *soak) call(ctx context.Context, client *http.Client, id, path string, daemon int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemons[daemon].addresses[0]+path,
		strings.NewReader("b"))
	if err != nil {
		s.recordFailure("request: " + err.Error())
		return
	}
	request.Host = "p"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Tokens": "100,25", "X-Deadline-Ms": "5000",
	} {
		request.Header.Set(name, value)
	}
	if strings.HasPrefix(path, "/issue/") {
		s.mutex.Lock()
		s.onceIDs = append(s.onceIDs, id)
		s.mutex.Unlock()
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case response.StatusCode == http.StatusOK && err == nil:
		s.servedCount++
		if want := expectedBody(id, path); string(body) != want {
			s.failures = append(s.failures, fmt.Sprintf("response to %s is %q", id, body))
		}
	case response.StatusCode == http.StatusServiceUnavailable:
		s.notRunIDs = append(s.notRunIDs, id)
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusUnauthorized:
		s.failures = append(s.failures, fmt.Sprintf("%s was rejected with status %d", id, response.StatusCode))
	}
	s.statusCounts[response.StatusCode]++
}

func expectedBody(id, path string) string {
	if strings.HasPrefix(path, "/issue/") {
		return "answer to " + id + " of : b"
	}
	var b strings.Builder
	for n := 1; n <= standin.EventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}

func (s *soak) recordFailure(failure string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = append(s.failures, failure)
}

// startCallers starts callers that send requests until ctx is cancelled.
func (s *soak) startCallers(ctx context.Context, group *sync.WaitGroup) {
	for caller := range 12 {
		random := rand.New(rand.NewPCG(uint64(caller), 9))
		client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := "/draft/x"
				if random.IntN(3) == 0 {
					path = "/issue/x"
				}
				s.call(context.Background(), client, fmt.Sprintf("r-%d-%d", caller, n), path, random.IntN(daemonCount))
				sleep(ctx, 20*time.Millisecond)
			}
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// injectFault injects one random fault and returns its description and the function that undoes it.
func (s *soak) injectFault() (string, func()) {
	index := s.random.IntN(daemonCount)
	p := s.daemons[index]
	s.snapshots = append(s.snapshots, s.fleet.Store.Snapshot())
	switch s.random.IntN(14) {
	case 0:
		p.stop()
		return fmt.Sprintf("kill d%d", index), func() { s.start(p) }
	case 1:
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("freeze d%d", index), func() { p.signal(syscall.SIGCONT) }
	case 2:
		p.signal(syscall.SIGTERM)
		return fmt.Sprintf("stop d%d", index), func() {
			p.stop()
			s.start(p)
		}
	case 3:
		p.signal(syscall.SIGHUP)
		return fmt.Sprintf("hangup d%d", index), func() {}
	case 4, 5:
		fault := networkFault(1 + s.random.IntN(4))
		p.storeProxy.setFault(fault)
		return fmt.Sprintf("store of d%d: network fault %d", index, fault), func() { p.storeProxy.setFault(noFault) }
	case 6:
		s.fleet.Store.SetUnavailable(true)
		return "store unavailable", func() { s.fleet.Store.SetUnavailable(false) }
	case 7:
		back := 1 + s.random.IntN(min(4, len(s.snapshots)))
		s.restoreStore(s.snapshots[len(s.snapshots)-back])
		return fmt.Sprintf("store restored from %d faults ago", back), func() {}
	case 8:
		e := s.removeEngine()
		e.AnnounceLeaving()
		return "leave " + e.ID(), func() {
			s.kill(e)
			s.addEngine()
		}
	case 9:
		p.storeProxy.silenceOpen()
		s.configure(s.version + 1)
		return fmt.Sprintf("store of d%d: open connections silent", index), func() {}
	case 10:
		e := s.engines[s.random.IntN(len(s.engines))]
		e.Throttle(time.Duration(500+s.random.IntN(1500)) * time.Millisecond)
		return "throttle at " + e.ID(), func() { e.Throttle(0) }
	case 11:
		resetOpen := s.random.IntN(2) == 0
		p.paths.cut(resetOpen)
		return fmt.Sprintf("paths of d%d: connections refused, open ones reset: %t", index, resetOpen), func() { s.heal(p) }
	case 12:
		fault := networkFault(1 + s.random.IntN(4))
		p.paths.hang(fault)
		return fmt.Sprintf("paths of d%d: network fault %d", index, fault), func() { s.heal(p) }
	}
	e := s.removeEngine()
	s.kill(e)
	return "kill " + e.ID(), s.addEngine
}

// heal ends the faults of a daemon's paths.
func (s *soak) heal(p *process) {
	if err := p.paths.heal(); err != nil {
		s.t.Fatal(err)
	}
}

// kill stops an engine at once.
func (s *soak) kill(e *standin.Upstream) {
	for _, p := range s.daemons {
		p.paths.kill(e.Address())
	}
	e.Kill(300 * time.Millisecond)
}

// removeEngine removes a random engine from those that faults choose from.
func (s *soak) removeEngine() *standin.Upstream {
	i := s.random.IntN(len(s.engines))
	e := s.engines[i]
	s.engines = append(s.engines[:i], s.engines[i+1:]...)
	return e
}

// restoreStore restores the store from a snapshot. The operator and the upstreams write their objects again.
func (s *soak) restoreStore(c standin.Snapshot) {
	s.fleet.Store.Restore(c)
	s.configure(s.version)
	if err := s.fleet.RegisterAll(); err != nil {
		s.t.Fatal(err)
	}
}

// runSeed runs the test with one seed and returns the failures.
func runSeed(t *testing.T, seed uint64) []string {
	s := newSoak(t, seed)
	defer func() {
		for _, p := range s.daemons {
			p.stop()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	s.startCallers(ctx, &group)
	if !s.isServingWithin(ctx, 20*time.Second) {
		s.recordFailure("fewer than 100 requests served in time after the start")
	}
	s.injectFaults(ctx)
	if !s.isServingWithin(ctx, 15*time.Second) {
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
	for _, p := range s.daemons {
		p.stop()
	}
	for _, exited := range s.exits {
		select {
		case <-exited:
		default:
			s.recordFailure("a process was left running")
		}
	}
	t.Logf("seed %d: %d served, statuses %v, failures %v", seed, s.servedCount, s.statusCounts, s.failures)
	return s.failures
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// injectFaults injects a series of faults, up to three at a time.
func (s *soak) injectFaults(ctx context.Context) {
	end := time.Now().Add(*faultDuration)
	var undos []func()
	for version := 2; time.Now().Before(end); version++ {
		description, undoFault := s.injectFault()
		s.t.Log(description)
		undos = append(undos, undoFault)
		sleep(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond)
		if s.random.IntN(3) == 0 {
			s.configure(version)
		}
		if len(undos) > 2 {
			undos[0]()
			undos = undos[1:]
		}
	}
	for _, undoFault := range undos {
		undoFault()
	}
}

// isServingWithin reports whether 100 more requests are served within timeout.
func (s *soak) isServingWithin(ctx context.Context, timeout time.Duration) bool {
	s.mutex.Lock()
	before := s.servedCount
	s.mutex.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); sleep(ctx, 50*time.Millisecond) {
		s.mutex.Lock()
		current := s.servedCount
		s.mutex.Unlock()
		if current >= before+100 {
			return true
		}
	}
	return false
}

// TestSoak injects faults with each seed. It fails if a response is wrong, if a request that may run once ran twice or
// ran despite a response of 503, or if the daemons do not serve again in time.
func TestSoak(t *testing.T) {
	var first, last uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
		last = first
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if failures := runSeed(t, seed); len(failures) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(failures, "; "))
			}
		})
	}
}
