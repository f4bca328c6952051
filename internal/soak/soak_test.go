package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	seeds = flag.String("soak.seeds", "1", "first and last seed, as 1-50")
	span  = flag.Duration("soak.for", 6*time.Second, "how long faults are injected for each seed")
)

// child makes the test binary run a daemon.
const child = "AZUREPOND_SOAK_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(child) != "" {
		os.Exit(commands.Execute([]string{"gateway"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const daemons, engines = 4, 9

const settings = `node-name: "d%d"
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

type process struct {
	file    string
	ports   []string
	store   *proxy
	command *exec.Cmd
	log     *os.File
	gone    chan struct{}
}

type soak struct {
	t       *testing.T
	random  *rand.Rand
	fleet   *standin.Fleet
	engines []*standin.Upstream
	all     []*process
	next    int // of engines

	mutex   sync.Mutex
	served  int
	notRun  []string // ids that were said not to have run
	once    []string // ids that may run once
	broken  []string
	refused map[int]int
}

func free(t *testing.T, count int) []string {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 5)), refused: map[int]int{}}
	s.fleet = &standin.Fleet{Store: &standin.Store{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: s.fleet.Store}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	for range engines {
		s.addEngine()
	}
	for i := range 2 {
		if _, err := s.fleet.NewService(fmt.Sprintf("desk-%d", i), "desk"); err != nil {
			t.Fatal(err)
		}
	}
	s.configure(1)
	for i := range daemons {
		p := &process{ports: free(t, 6), file: filepath.Join(t.TempDir(), "settings.yaml")}
		if p.store, err = newProxy(listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		s.all = append(s.all, p)
		var port int
		if _, err := fmt.Sscanf(p.ports[4], "127.0.0.1:%d", &port); err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf(settings, i, p.ports[0], p.ports[1], p.ports[2], p.ports[3], port-1, port, s.all[0].ports[2], p.store.address())
		if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.start(p)
	}
	return s
}

func (s *soak) addEngine() {
	e, err := s.fleet.NewEngine(fmt.Sprintf("i-%d", s.next), "engines", "d1")
	if err != nil {
		s.t.Fatal(err)
	}
	s.next++
	s.engines = append(s.engines, e)
}

func (s *soak) configure(version int) {
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
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), child+"=1", "AZUREPOND_NODE_FILE="+p.file)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	gone := make(chan struct{})
	p.log, p.gone = log, gone
	go func() {
		_ = p.command.Wait() // how it ended is told by the answers of its callers
		_ = log.Close()
		close(gone)
	}()
}

func (p *process) signal(sig os.Signal) { _ = p.command.Process.Signal(sig) } // it may have ended already

// stop ends a process for good.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.gone
}

// call sends one request to a random daemon and checks what comes back.
func (s *soak) call(ctx context.Context, client *http.Client, id, path string, at int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.all[at].ports[0]+path, strings.NewReader("b"))
	if err != nil {
		s.note("request: " + err.Error())
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
		s.once = append(s.once, id)
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
		s.served++
		if want := whole(id, path); string(body) != want {
			s.broken = append(s.broken, fmt.Sprintf("answer to %s is %q", id, body))
		}
	case response.StatusCode == http.StatusServiceUnavailable:
		s.notRun = append(s.notRun, id)
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusUnauthorized:
		s.broken = append(s.broken, fmt.Sprintf("%s is denied with %d", id, response.StatusCode))
	}
	s.refused[response.StatusCode]++
}

func whole(id, path string) string {
	if strings.HasPrefix(path, "/issue/") {
		return "answer to " + id + " of : b"
	}
	var b strings.Builder
	for n := 1; n <= standin.EventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}

func (s *soak) note(what string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = append(s.broken, what)
}

// load keeps callers calling until ctx ends.
func (s *soak) load(ctx context.Context, group *sync.WaitGroup) {
	for caller := range 12 {
		random := rand.New(rand.NewPCG(uint64(caller), 9))
		client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := "/draft/x"
				if random.IntN(3) == 0 {
					path = "/issue/x"
				}
				s.call(context.Background(), client, fmt.Sprintf("r-%d-%d", caller, n), path, random.IntN(daemons))
				pause(ctx, 20*time.Millisecond)
			}
		})
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fault injects one fault and returns what takes it back.
func (s *soak) fault() (string, func()) {
	at := s.random.IntN(daemons)
	p := s.all[at]
	switch s.random.IntN(8) {
	case 0:
		p.stop()
		return fmt.Sprintf("kill d%d", at), func() { s.start(p) }
	case 1:
		p.signal(syscall.SIGSTOP)
		return fmt.Sprintf("freeze d%d", at), func() { p.signal(syscall.SIGCONT) }
	case 2:
		p.signal(syscall.SIGTERM)
		return fmt.Sprintf("stop d%d", at), func() {
			p.stop()
			s.start(p)
		}
	case 3:
		p.signal(syscall.SIGHUP)
		return fmt.Sprintf("hangup d%d", at), func() {}
	case 4, 5:
		t := trouble(1 + s.random.IntN(4))
		p.store.set(t)
		return fmt.Sprintf("store of d%d: trouble %d", at, t), func() { p.store.set(calm) }
	case 6:
		s.fleet.Store.SetUnavailable(true)
		return "store out", func() { s.fleet.Store.SetUnavailable(false) }
	}
	i := s.random.IntN(len(s.engines))
	e := s.engines[i]
	s.engines = append(s.engines[:i], s.engines[i+1:]...)
	e.Kill(300 * time.Millisecond)
	return "kill " + e.ID(), s.addEngine
}

// play runs one seed and returns what broke.
func play(t *testing.T, seed uint64) []string {
	s := newSoak(t, seed)
	defer func() {
		for _, p := range s.all {
			p.stop()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	s.load(ctx, &group)
	if !s.servesWithin(ctx, 20*time.Second) {
		s.note("nothing is served after the start")
	}
	s.inject(ctx)
	if !s.servesWithin(ctx, 15*time.Second) {
		s.note("nothing is served after the faults")
	}
	cancel()
	group.Wait()
	for _, id := range s.notRun {
		if s.fleet.RunCount(id) > 0 && strings.HasPrefix(id, "r-") && contains(s.once, id) {
			s.note(id + " was said not to have run and ran")
		}
	}
	for _, id := range s.once {
		if s.fleet.RunCount(id) > 1 {
			s.note(id + " ran twice")
		}
	}
	t.Logf("seed %d: %d served, statuses %v, broken %v", seed, s.served, s.refused, s.broken)
	return s.broken
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// inject lets faults come in series, which overlap.
func (s *soak) inject(ctx context.Context) {
	end := time.Now().Add(*span)
	var undo []func()
	for version := 2; time.Now().Before(end); version++ {
		what, back := s.fault()
		s.t.Log(what)
		undo = append(undo, back)
		pause(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond)
		if s.random.IntN(3) == 0 {
			s.configure(version)
		}
		if len(undo) > 2 {
			undo[0]()
			undo = undo[1:]
		}
	}
	for _, back := range undo {
		back()
	}
}

// servesWithin reports whether a good part of the requests is served again within a time.
func (s *soak) servesWithin(ctx context.Context, d time.Duration) bool {
	s.mutex.Lock()
	before := s.served
	s.mutex.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); pause(ctx, 50*time.Millisecond) {
		s.mutex.Lock()
		now := s.served
		s.mutex.Unlock()
		if now >= before+100 {
			return true
		}
	}
	return false
}

func TestSoak(t *testing.T) {
	var first, last uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last); err != nil {
		last = first
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if broken := play(t, seed); len(broken) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(broken, "; "))
			}
		})
	}
}
