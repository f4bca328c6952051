package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// The limits of the platform for a process: it kills one with more memory, and refuses further descriptors.
const (
	memoryMB            = 284
	maxFDs              = 1200
	memoryCheckInterval = 20 * time.Millisecond
)

// The figures of the faults that take memory or descriptors.
const (
	largeBodyBytes  = 4 << 20
	largeBodyCount  = 60
	idleConnections = 1500
)

// watchMemory kills a process that exceeds its memory, as the platform does, and records that.
func (s *soak) watchMemory(p *process, command *exec.Cmd, exited <-chan struct{}) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", command.Process.Pid))
		var size, resident int
		if _, scanErr := fmt.Sscan(string(data), &size, &resident); err != nil || scanErr != nil {
			continue // it has exited
		}
		if resident*os.Getpagesize() > memoryMB<<20 {
			s.recordFailure(fmt.Sprintf("d%d takes %d MB", p.index, resident*os.Getpagesize()>>20))
			_ = command.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// sendLargeBodies sends requests with large bodies to a daemon, all at once.
func (s *soak) sendLargeBodies(p *process) {
	body := strings.Repeat("x", largeBodyBytes)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range largeBodyCount {
		id := fmt.Sprintf("r-large-%d", s.largeCount.Add(1))
		s.mutex.Lock()
		s.onceIDs = append(s.onceIDs, id)
		s.mutex.Unlock()
		go s.sendLargeBody(client, p, id, body)
	}
}

func (s *soak) sendLargeBody(client *http.Client, p *process, id, body string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+p.addresses[0]+"/issue/x", strings.NewReader(body))
	if err != nil {
		s.recordFailure("request: " + err.Error())
		return
	}
	request.Host = "p"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := readAnswer(response.Body)
	if err != nil {
		return
	}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		s.mutex.Lock()
		s.notRunIDs = append(s.notRunIDs, id)
		s.mutex.Unlock()
	case response.StatusCode == http.StatusOK && string(got) != "answer to "+id+" of : "+body:
		s.recordFailure(fmt.Sprintf("response to %s has %d bytes", id, len(got)))
	}
}

// openIdle opens connections to a daemon that have no request, and returns the function that closes them.
func openIdle(p *process) func() {
	var conns []net.Conn
	for range idleConnections {
		c, err := net.DialTimeout("tcp", p.addresses[0], 100*time.Millisecond)
		if err != nil {
			break // the daemon is down
		}
		conns = append(conns, c)
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
