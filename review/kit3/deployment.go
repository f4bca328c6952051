package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The words of the small deployment.
const (
	host    = "pond.example"
	key     = "key-of-guests"
	tenant  = "guests"
	modelM0 = "m0"
)

// deployment is a store, workers and daemons, each of the daemons a process of its own.
type deployment struct {
	record  *record
	store   *store
	engines []*worker
	desk    []*worker
	daemons []*daemon
	program string
	folder  string
	storeAt string
	models  []string

	mutex sync.Mutex // of stopAll and the start of a daemon
}

// daemon is one process of the gateway role.
type daemon struct {
	name, file, front, ready string
	command                  *exec.Cmd
	settings                 func(bootstrap bool) []byte

	mutex   sync.Mutex
	exited  bool
	exit    string
	logPath string
}

func newDeployment(o *deploymentOptions, engines, desks int, models ...string) (*deployment, error) {
	rec := o.record
	d := &deployment{record: rec, store: newStore(), program: o.program, folder: o.folder, models: models}
	started.Store(d)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: d.store}).Serve(listener) }()
	for i := range engines {
		w, err := startWorker(d.store, rec, fmt.Sprintf("i-engine-%d", i), "engines", "d1")
		if err != nil {
			return nil, err
		}
		d.engines = append(d.engines, w)
	}
	for i := range desks {
		w, err := startWorker(d.store, rec, fmt.Sprintf("i-desk-%d", i), "desk", "")
		if err != nil {
			return nil, err
		}
		d.desk = append(d.desk, w)
	}
	d.store.write("config", "main", d.config(7))
	return d, nil
}

// config is a configuration with one model service and one plain service.
func (d *deployment) config(version int) map[string]any {
	var models []any
	for _, name := range d.models {
		models = append(models, map[string]any{
			"name": name, "size": 2, "share": 1 / float64(len(d.models)), "pace": 1.0, "load-s": loadTime.Seconds(), "warm-s": warmTime.Seconds(),
		})
	}
	route := func(name, kind, service string, timeout, goal, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": timeout, "goal-ms": goal,
			"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": resumable, "resumable": resumable,
			"gap-goal-ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "stream", "engines", 8000, 500, 2, true),
			route("once", "stream", "engines", 8000, 500, 1, false),
			route("issue", "non_idempotent", "desk", 1500, 300, 1, false),
			route("read", "idempotent", "desk", 1500, 300, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": "engines", "health-path": "/healthz", "max-conns": 464, "protocol": "h1", "tls": false,
				"runtime": map[string]any{
					"slots": 26, "kv-capacity": kvCapacity, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241,
					"context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0,
					"loads-per-s": 4.0, "loads_at_once": 6, "retention-count": 1, "far_x": 2.5, "form-ms": 100.0,
					"usual":  map[string]any{"prompt": 1076, "answer": 116},
					"models": models,
				},
			},
			map[string]any{"name": "desk", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{key}, "priority": 1}},
	}
}

// settingsFormat is a settings file of DEPLOY.md.
const settingsFormat = `node-name: "%s"
role: "gateway"
machine-class: "edge"
serves: ["edge", "control", "registry"]
ip: "127.0.0.1"
zone: "z1"
region: "r1"
zones: {z1: "r1"}
listen:
  front: "%s"
  ready: "%s"
  control: "%s"
  directory: "%s"
port-range: [%d, %d]
seeds: ["%s"]
bootstrap: %v
limits: {cpu-share: 0.4, cores: 1, memory-mb: 284, max-fds: 4200, link-mbps: 1000.0, disk-mb: 0}
data-dir: null
heartbeat-ms: 1200
bounds: {seed-lag-s: 3, reuse-after-s: 2, stability-window-ms: 3000, ack-ms: 4000, drain-ms: 2000, grace-s: 8, loss-slack-ms: 200,
  config-apply-ms: 2000, rollback-slack-ms: 250, max-skew-ms: 5000, strict-revoke: false, revoke-ms: 5000, retry-ratio: 0.2,
  retry-window-s: 10, retry-burst: 132, recovery-s: 12, event-delay-ms: 120, stall-ms: 4000, fencing: true, ttl_max_s: 5}
platform: {address: "%s", form: "objects", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, min-ttl-ms: 1000}
`

// freePorts returns the first of count consecutive free ports below those of outgoing connections.
func freePorts(count int) (int, error) {
	for base := 12000 + os.Getpid()%97*200; base < 32000; base += count {
		var opened []net.Listener
		for i := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				break
			}
			opened = append(opened, l)
		}
		for _, l := range opened {
			_ = l.Close()
		}
		if len(opened) == count {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

const portsPerDaemon = 6

// startDaemons starts count daemons.
func (d *deployment) startDaemons(count int) error {
	base, err := freePorts(count * portsPerDaemon)
	if err != nil {
		return err
	}
	for i := range count {
		at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+i*portsPerDaemon+offset) }
		first := base + i*portsPerDaemon
		one := &daemon{name: fmt.Sprintf("edge-z1-%d", i+1), front: at(0), ready: at(1)}
		one.file = filepath.Join(d.folder, one.name+".yaml")
		one.logPath = filepath.Join(d.folder, one.name+".log")
		one.settings = func(bootstrap bool) []byte {
			return fmt.Appendf(nil, settingsFormat, one.name, at(0), at(1), at(2), at(3), first+4, first+5,
				fmt.Sprintf("127.0.0.1:%d", base+2), bootstrap, d.storeAt)
		}
		if err := os.WriteFile(one.file, one.settings(true), 0o600); err != nil {
			return err
		}
		d.mutex.Lock()
		err := d.start(one)
		if err == nil {
			d.daemons = append(d.daemons, one)
		}
		d.mutex.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a daemon with the command of the deploy file.
func (d *deployment) start(one *daemon) error {
	logs, err := os.Create(one.logPath)
	if err != nil {
		return err
	}
	one.command = exec.Command(d.program, "gateway")
	one.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "AZUREPOND_NODE_FILE=" + one.file}
	one.command.Stdout, one.command.Stderr = logs, logs
	if err := one.command.Start(); err != nil {
		return err
	}
	d.record.log("daemon=%s started", one.name)
	one.mutex.Lock()
	one.exited = false
	one.mutex.Unlock()
	command := one.command
	go func() {
		err := command.Wait()
		one.mutex.Lock()
		defer one.mutex.Unlock()
		one.exited, one.exit = true, fmt.Sprint(err)
		d.record.log("daemon=%s ended: %v", one.name, err)
	}()
	return nil
}

func (o *daemon) hasExited() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.exited
}

// killAll kills all daemons at once, and starts them again; meanwhile is called while none runs.
func (d *deployment) killAll(meanwhile func()) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, one := range d.daemons {
		_ = one.command.Process.Signal(syscall.SIGKILL)
	}
	for _, one := range d.daemons {
		if !waitFor(5*time.Second, one.hasExited) {
			return errors.New("a daemon did not end")
		}
		if err := os.WriteFile(one.file, one.settings(false), 0o600); err != nil {
			return err
		}
	}
	meanwhile()
	for _, one := range d.daemons {
		if err := d.start(one); err != nil {
			return err
		}
	}
	return nil
}

// restart starts the process of a daemon again.
func (d *deployment) restart(one *daemon) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := os.WriteFile(one.file, one.settings(false), 0o600); err != nil {
		return err
	}
	return d.start(one)
}

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, one := range d.daemons {
		if !one.hasExited() {
			_ = one.command.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, one := range d.daemons {
		waitFor(5*time.Second, one.hasExited)
	}
}

func waitFor(limit time.Duration, isTrue func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isTrue() {
			return true
		}
	}
	return isTrue()
}

// isReady reports whether all daemons answer their readiness checks with 200.
func (d *deployment) isReady() bool {
	for _, one := range d.daemons {
		r, err := http.Get("http://" + one.ready + "/api/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// heads returns the number of open groups.
func (d *deployment) heads() int {
	count := 0
	for _, e := range d.engines {
		if e.isOpen() {
			count++
		}
	}
	return count
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	stamp  string
	err    error
}

// call sends one client attempt on a connection of its own.
func (d *deployment) call(to *daemon, method, path, id string, headers map[string]string, body string) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	r, err := http.NewRequest(method, "http://"+to.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Request-Id", id)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	d.record.log("client sends request=%s %s %s to %s %v", id, method, path, to.name, headers)
	response, err := client.Do(r)
	if err != nil {
		d.record.log("client request=%s: no answer: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a := answer{response.StatusCode, string(data), response.Header.Get("X-Server-Stamp"), err}
	d.record.log("client request=%s: status=%d stamp=%q bytes=%d complete=%v", id, a.status, a.stamp, len(data), err == nil)
	return a
}

// callStream sends one request of the usual size, and returns the status of its complete answer, 0 for none.
func (d *deployment) callStream(client *http.Client, to *daemon, path, id string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+to.front+path, strings.NewReader("a prompt"))
	if err != nil {
		return 0
	}
	r.Host = host
	for name, value := range map[string]string{
		"Authorization": "Bearer " + key, "X-Request-Id": id, "X-Model": modelM0, "X-Tokens": "1460,80", "X-Deadline-Ms": "8000",
		"X-Prompt-Prefix": "5c1e07a2:800",
	} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// engine returns a model worker by its id.
func (d *deployment) engine(id string) *worker {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, e := range d.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (d *deployment) addEngine(w *worker) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engines = append(d.engines[:len(d.engines):len(d.engines)], w)
}
