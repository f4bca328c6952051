package soak

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"

	"github.com/azurepond/azurepond/internal/commands"
)

// childEnv is the environment variable that makes the test binary run a daemon. Its value is the variant of the daemon.
const childEnv = "AZUREPOND_SOAK_CHILD"

// The variants of a daemon.
const (
	intact      = "intact"
	exitsAtTerm = "exits-at-term" // deliberately broken: ends at once on SIGTERM
)

// runChild runs a daemon of a variant and returns its exit code.
func runChild(variant string) int {
	limit := syscall.Rlimit{Cur: maxFDs, Max: maxFDs}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		fmt.Fprintln(os.Stderr, "limit the descriptors:", err)
		return 1
	}
	if variant == exitsAtTerm {
		terms := make(chan os.Signal, 1)
		signal.Notify(terms, syscall.SIGTERM)
		go func() {
			<-terms
			os.Exit(0)
		}()
	}
	return commands.Execute([]string{"gateway"}, os.Stdout, os.Stderr)
}

// process is one daemon in a process of its own.
type process struct {
	index        int
	settingsFile string
	addresses    []string // of the front, ready, control and directory listeners; the fifth ends the port range
	storeProxy   *proxy
	paths        *paths // to the upstreams

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (p *process) logFile() string { return p.settingsFile + ".log" }

func (s *soak) start(p *process) {
	if p.exited != nil {
		p.stop() // two faults of one daemon overlapped, and both are undone
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.recordFailure(err.Error())
		return
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnv+"="+s.setup.variant, "AZUREPOND_NODE_FILE="+p.settingsFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		s.recordFailure(err.Error())
		return
	}
	exited := make(chan struct{})
	p.mutex.Lock()
	p.command, p.exited = command, exited
	p.mutex.Unlock()
	s.mutex.Lock()
	s.exits = append(s.exits, exited)
	s.mutex.Unlock()
	go s.watchMemory(p, command, exited)
	go func() {
		_ = command.Wait() // killed processes return an error; the checks use the responses instead
		_ = log.Close()
		close(exited)
	}()
}

// signal sends a signal and returns the channel that is closed when the process has exited.
func (p *process) signal(sig os.Signal) (exited <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.command.Process.Signal(sig) // the process may have exited already
	return p.exited
}

// stop kills the process, also a paused one, and waits until it has exited.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	<-p.signal(syscall.SIGKILL)
}
