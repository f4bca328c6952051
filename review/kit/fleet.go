package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The names and figures of the small deployment.
const (
	host       = "desk.example"
	key        = "key-of-guests"
	tenant     = "guests"
	service    = "ticket-desk"
	graceS     = 8
	memoryMB   = 284
	maxFds     = 4200
	maxBody    = 4194304
	idleMs     = 15000
	timeoutMs  = 800
	startLimit = 15 * time.Second
)

// fleet is the store, the workers and the daemons of one run.
type fleet struct {
	store   *store
	address string // of the store
	dir     string
	daemons []*daemon
	servers []*http.Server
	record  *os.File
	mutex   sync.Mutex
	began   time.Time
	quiet   atomic.Bool  // single runs are counted and not recorded
	runs    atomic.Int64 // of all workers
}

// daemon is one process of the project.
type daemon struct {
	name                                               string
	front, ready, control, directory, metrics, address string
	command                                            *exec.Cmd
	exited                                             chan error
}

func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), dir: dir, record: record, began: time.Now()}
	f.address, err = f.serve(f.store)
	return f, err
}

// serve runs an HTTP server on a free loopback port and returns its address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with stop
	return listener.Addr().String(), nil
}

// logf writes one line to the record, with the time since the start.
func (f *fleet) logf(format string, arguments ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = f.record.WriteString(line)
}

// freePorts returns count adjacent free ports on the loopback address.
func freePorts(count int) (int, error) {
	for first := 20000 + os.Getpid()%8000; first < 32000; first += count {
		free := true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d adjacent free ports", count)
}

const portsPerDaemon = 6

// addDaemons prepares count daemons with ports of their own.
func (f *fleet) addDaemons(count int) error {
	first, err := freePorts(count * portsPerDaemon)
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	for i := range count {
		p := first + i*portsPerDaemon
		f.daemons = append(f.daemons, &daemon{
			name: fmt.Sprintf("edge-%d", i+1), front: at(p), ready: at(p + 1), control: at(p + 2), directory: at(p + 3),
			address: at(p + 4), metrics: at(p + 5),
		})
	}
	var seeds strings.Builder
	for _, d := range f.daemons[:min(3, count)] {
		fmt.Fprintf(&seeds, "  - %q\n", d.control)
	}
	for i, d := range f.daemons {
		text := fmt.Sprintf(settings, d.name, d.front, d.ready, d.control, d.directory, first+i*portsPerDaemon+4,
			first+i*portsPerDaemon+5, seeds.String(), memoryMB, maxFds, graceS, f.address)
		if err := os.WriteFile(f.settingsPath(d), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) settingsPath(d *daemon) string { return filepath.Join(f.dir, d.name+".yaml") }

// settings is the settings file of a daemon, with the figures of a small deployment.
const settings = `node-name: %q
role: "gateway"
machine-class: "edge"
serves: ["edge", "control", "registry"]
ip: "127.0.0.1"
zone: "brescia"
region: "nord-italia"
zones: {brescia: "nord-italia", bergamo: "nord-italia", verona: "nord-italia"}
listen: {front: %q, ready: %q, control: %q, directory: %q}
port-range: [%d, %d]
seeds:
%sbootstrap: true
limits: {cpu-share: 0.4, cores: 1, memory-mb: %d, max-fds: %d, link-mbps: 1000.0, disk-mb: 0}
data-dir: null
discovery: "platform"
entry: "registry"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"]
fault-tolerance: {machines: 1, zones: 0, regions: 0}
bounds:
  stability-window-ms: 3000
  drain-ms: 2000
  grace-s: %d
  loss-slack-ms: 200
  config-apply-ms: 2000
  retry-ratio: 0.2
  retry-window-s: 10
  retry-burst: 134
  stall-ms: 4000
  fencing: true
platform: {address: %q, form: "objects", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576}
`

// start starts the process of a daemon as the deploy file does. maxFiles is its limit of descriptors, 0 for the present one.
func (f *fleet) start(d *daemon, maxFiles int) error {
	root := os.Getenv("REVIEW_ROOT")
	d.command = exec.Command(filepath.Join(root, "target", "azurepond"), "gateway")
	if maxFiles > 0 {
		d.command = exec.Command("/bin/sh", "-c",
			fmt.Sprintf("ulimit -n %d; exec %s gateway", maxFiles, filepath.Join(root, "target", "azurepond")))
	}
	d.command.Dir = root
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AZUREPOND_NODE_FILE=" + f.settingsPath(d)}
	logs, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	d.command.Stdout, d.command.Stderr = logs, logs
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan error, 1)
	go func() { d.exited <- d.command.Wait() }()
	f.logf("started %s, process %d", d.name, d.command.Process.Pid)
	return nil
}

// waitReady waits until the daemon answers readiness checks with 200.
func (f *fleet) waitReady(d *daemon) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.logf("%s is ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.name, startLimit)
}

// stop ends all processes and servers of the run.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.command == nil || d.command.Process == nil {
			continue
		}
		_ = d.command.Process.Kill()
		select {
		case <-d.exited:
		case <-time.After(5 * time.Second):
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range f.servers {
		_ = server.Shutdown(ctx)
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
	_ = f.record.Close()
}

// config returns a configuration with one route of each kind to a plain service.
func config(version int) map[string]any {
	return configWithTimeout(version, timeoutMs*time.Millisecond)
}

// configWithTimeout returns the configuration with another timeout of the routes.
func configWithTimeout(version int, timeout time.Duration) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "type": kind, "timeout-ms": timeout.Milliseconds(), "goal-ms": 100, "priority": 1,
			"service": service, "attempts": attempts, "public": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("issue", "/issue/", "non_idempotent", 1), route("read", "/read/", "idempotent", 2)},
		"services": []any{map[string]any{"name": service, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": idleMs,
		},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{key}, "priority": 1}},
	}
}
