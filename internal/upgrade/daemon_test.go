package upgrade

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/commands"
	"github.com/azurepond/azurepond/platform/standin"
)

// childEnv is the environment variable that makes the test binary run a daemon.
const childEnv = "AZUREPOND_UPGRADE_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(commands.Execute([]string{"gateway"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// build is a build of the daemon. An empty path stands for the test binary.
type build struct{ name, path string }

func (b build) command(settingsFile string) *exec.Cmd {
	if b.path == "" {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), childEnv+"=1", "AZUREPOND_NODE_FILE="+settingsFile)
		return c
	}
	c := exec.Command(b.path, "gateway")
	c.Env = append(os.Environ(), "AZUREPOND_NODE_FILE="+settingsFile)
	return c
}

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

// daemon is one address of the deployment, at which processes of either build run in turn.
type daemon struct {
	t                                  *testing.T
	index                              int
	callers, ready, control, directory string
	metricsAddress                     string
	settingsFile                       string
	store                              *httptest.Server
	command                            *exec.Cmd
	exited                             chan struct{}
	logs                               []string // the log files of all processes

	mutex      sync.Mutex
	build      build
	generation int // counts the processes
}

// newDaemon returns a daemon that reads from store through a server of its own; seed is the control address of the first
// daemon, empty for the first one itself.
func newDaemon(t *testing.T, index int, seed string, store http.Handler) *daemon {
	addresses, err := standin.FreeAddresses(6)
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		t: t, index: index, callers: addresses[0], ready: addresses[1], control: addresses[2], directory: addresses[3],
		settingsFile: filepath.Join(t.TempDir(), "settings.yaml"),
	}
	d.store = httptest.NewServer(store)
	t.Cleanup(func() {
		d.kill()
		d.store.CloseClientConnections()
		d.store.Close()
	})
	if seed == "" {
		seed = d.control
	}
	var port int
	if _, err := fmt.Sscanf(addresses[4], "127.0.0.1:%d", &port); err != nil {
		t.Fatal(err)
	}
	d.metricsAddress = fmt.Sprintf("127.0.0.1:%d", port+1)
	text := fmt.Sprintf(settingsTemplate, index, d.callers, d.ready, d.control, d.directory, port, port+1, seed,
		strings.TrimPrefix(d.store.URL, "http://"))
	if err := os.WriteFile(d.settingsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *daemon) name() string { return "d" + strconv.Itoa(d.index) }

// current returns the number of the process and the name of its build.
func (d *daemon) current() (generation int, name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.generation, d.build.name
}

func (d *daemon) start(b build) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	log := fmt.Sprintf("%s.%d.%s.log", d.settingsFile, d.generation, b.name)
	file, err := os.Create(log)
	if err != nil {
		d.t.Fatal(err)
	}
	d.logs = append(d.logs, log)
	d.build, d.command, d.exited = b, b.command(d.settingsFile), make(chan struct{})
	d.command.Stdout, d.command.Stderr = file, file
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	command, exited := d.command, d.exited
	go func() {
		_ = command.Wait() // the checks use the answers and the logs
		_ = file.Close()
		close(exited)
	}()
}

// stop stops the process with SIGTERM and reports whether it exited in time.
func (d *daemon) stop(timeout time.Duration) bool {
	_ = d.command.Process.Signal(syscall.SIGTERM) // it may have exited
	select {
	case <-d.exited:
		return d.command.ProcessState.Success()
	case <-time.After(timeout):
		return false
	}
}

func (d *daemon) kill() {
	if d.command != nil {
		_ = d.command.Process.Kill() // it may have exited
		<-d.exited
	}
}

// isReady reports whether the readiness check succeeds within timeout.
func (d *daemon) isReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// metric returns the value of a metric of the current process, summed over its labels.
func (d *daemon) metric(name string) int {
	response, err := http.Get("http://" + d.metricsAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, match := range regexp.MustCompile(`(?m)^`+name+`(?:\{[^}]*\})? (\S+)`).FindAllStringSubmatch(string(text), -1) {
		value, err := strconv.ParseFloat(match[1], 64)
		if err != nil {
			d.t.Fatal(err)
		}
		sum += value
	}
	return int(sum)
}
