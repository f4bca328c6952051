package resident

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// program is the path of the program that TestMain builds.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program, since the test binary would take more memory, and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "resident-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "azurepond")
	build := exec.Command("go", "build", "-o", program, "github.com/azurepond/azurepond/cmd/azurepond")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}

const settingsTemplate = `node-name: %q
zone: "z1"
region: "r1"
ip: "127.0.0.1"
listen: {front: %q, ready: %q, control: %q, directory: %q}
port-range: [%d, %d]
seeds: [%q]
bootstrap: true
limits: {cpu-share: 1, cores: 1, memory-mb: %d, max-fds: 4100, link-mbps: 1000}
bounds: {grace-s: 4, retry-ratio: 0.2, retry-window-s: 10, retry-burst: 100, config-apply-ms: 2000}
platform: {address: %q}
`

// daemon is a process of the program.
type daemon struct {
	front, ready, control, metrics string
	directory, relay               string
	logFile                        string
	command                        *exec.Cmd
	exited                         chan struct{}
}

// startDaemon starts a daemon with a limit of its memory in megabytes. The seed is the control address of another daemon, empty for none.
func startDaemon(t testing.TB, name, store, seed string, memoryMB int) *daemon {
	addresses, err := standin.FreeAddresses(6)
	if err != nil {
		t.Fatal(err)
	}
	var port int
	if _, err := fmt.Sscanf(addresses[4], "127.0.0.1:%d", &port); err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		front: addresses[0], ready: addresses[1], control: addresses[2], metrics: fmt.Sprintf("127.0.0.1:%d", port+1),
		directory: addresses[3], relay: addresses[4],
		exited: make(chan struct{}),
	}
	if seed == "" {
		seed = d.control
	}
	settings := filepath.Join(t.TempDir(), name+".yaml")
	text := fmt.Sprintf(settingsTemplate, name, d.front, d.ready, d.control, addresses[3], port, port+1, seed, memoryMB, store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d.logFile = settings + ".log"
	log, err := os.Create(d.logFile)
	if err != nil {
		t.Fatal(err)
	}
	d.command = exec.Command(program, "gateway")
	d.command.Env = append(os.Environ(), "AZUREPOND_NODE_FILE="+settings)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.command.Wait() // the test judges the process by its memory and its answers
		_ = log.Close()
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Kill()
		<-d.exited
	})
	return d
}

// isRunning reports whether the process has not ended.
func (d *daemon) isRunning() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// peakMB returns the largest resident memory of the process so far, in megabytes.
func (d *daemon) peakMB(t testing.TB) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(data), "VmHWM:")
	var kilobytes float64
	if _, err := fmt.Sscanf(text, "%f kB", &kilobytes); err != nil {
		t.Fatalf("no VmHWM of process %d: %v", d.command.Process.Pid, err)
	}
	return kilobytes / 1024
}

// processorTime returns the processor time that the process has taken so far.
func (d *daemon) processorTime(t testing.TB) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	const userField, clockTicks = 11, 100 // after the name; ticks in a second
	fields := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')')+1:])
	var user, system int64
	if _, err := fmt.Sscan(fields[userField], &user); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Sscan(fields[userField+1], &system); err != nil {
		t.Fatal(err)
	}
	return time.Duration(user+system) * time.Second / clockTicks
}

// waitReady waits until the daemon is ready.
func (d *daemon) waitReady(t testing.TB) {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the daemon is not ready")
}
