package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["bodies"] = playBodies }

// The figures of the case: the clients of the site in a burst of 1.7 times as many, and bodies of max-body-bytes.
const (
	bodyDaemons    = 2
	bodyClients    = 184
	bodyBursts     = 3
	bodyDeadline   = 8 * time.Second    // that of recipe-draft
	linkBytesPerS  = 1000 * 1000000 / 8 // link-mbps of a machine
	restartDelay   = time.Second
	endsToFault    = 3
	sampleInterval = 5 * time.Millisecond
)

// residentMB returns the memory of a process, in megabytes.
func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("no figures of process %d", pid)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), err
}

// machine is a daemon with the limit that the platform puts on its memory.
type machine struct {
	*daemon
	fleet *fleet
	peak  atomic.Int64 // megabytes, since the last start
	ends  atomic.Int64 // of its processes, by themselves
	stop  chan struct{}
}

// guard kills the process when it exceeds memory-mb, as the platform does, and starts it again after a short delay.
func (m *machine) guard() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(sampleInterval):
		}
		mb, err := residentMB(m.command.Process.Pid)
		if err != nil {
			continue
		}
		if int64(mb) > m.peak.Load() {
			m.peak.Store(int64(mb))
		}
		if mb <= memoryMB {
			continue
		}
		m.ends.Add(1)
		m.fleet.logf("%s takes %.0f MB, the limit is %d MB: the platform kills it", m.name, mb, memoryMB)
		_ = syscall.Kill(m.command.Process.Pid, syscall.SIGKILL)
		<-m.exited
		time.Sleep(restartDelay)
		m.peak.Store(0)
		if err := m.fleet.start(m.daemon, 0); err != nil {
			m.fleet.logf("%s: %v", m.name, err)
			return
		}
	}
}

// playBodies has clients send bodies of the largest allowed size: all at once, or without the disruption a few at a time.
func playBodies(f *fleet, trouble bool) (bool, error) {
	f.store.set("config", "main", configWithTimeout(1, bodyDeadline))
	for i := range 3 {
		if _, err := f.addWorker(fmt.Sprintf("i-%04d", i), 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.addDaemons(bodyDaemons); err != nil {
		return false, err
	}
	var machines []*machine
	for _, d := range f.daemons {
		if err := f.start(d, 0); err != nil {
			return false, err
		}
		machines = append(machines, &machine{daemon: d, fleet: f, stop: make(chan struct{})})
	}
	for _, m := range machines {
		if err := f.waitReady(m.daemon); err != nil {
			return false, err
		}
		go m.guard()
	}
	atOnce := bodyClients
	if !trouble {
		atOnce = 2 * bodyDaemons
	}
	f.quiet.Store(true)
	body := bytes.Repeat([]byte("x"), maxBody)
	for burst := range bodyBursts {
		before := f.runs.Load()
		f.logf("burst %d: %d clients send %d bytes each, %d at a time", burst+1, bodyClients, maxBody, atOnce)
		results := f.sendBodies(body, burst, atOnce)
		for _, m := range machines {
			f.logf("burst %d: %s took %d MB at most, its processes ended by themselves %d times", burst+1, m.name, m.peak.Load(), m.ends.Load())
		}
		f.logf("burst %d: %d requests ran, clients got %v", burst+1, f.runs.Load()-before, results)
		time.Sleep(restartDelay + 500*time.Millisecond)
		for _, m := range machines {
			if err := f.waitReady(m.daemon); err != nil {
				return false, err
			}
		}
	}
	faulty := 0
	for _, m := range machines {
		close(m.stop)
		if m.ends.Load() >= endsToFault {
			faulty++
		}
	}
	f.logf("on %d of %d machines, processes ended by themselves %d times or more", faulty, len(machines), endsToFault)
	return faulty >= 2, nil
}

// link paces what the clients send to one machine at the rate of its link.
type link struct {
	mutex sync.Mutex
	free  time.Time // when the link has sent what was given to it
}

// pacedBody is a body that is sent over a link.
type pacedBody struct {
	*bytes.Reader
	link *link
}

// Read reads at most a few packets and waits until the link has sent them.
func (b pacedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), 16<<10)])
	b.link.mutex.Lock()
	if now := time.Now(); b.link.free.Before(now) {
		b.link.free = now
	}
	b.link.free = b.link.free.Add(time.Duration(n) * time.Second / linkBytesPerS)
	until := b.link.free
	b.link.mutex.Unlock()
	time.Sleep(time.Until(until))
	return n, err
}

// sendBodies sends one request of each client, and returns how many got each answer.
func (f *fleet) sendBodies(body []byte, burst, atOnce int) map[string]int {
	var group sync.WaitGroup
	var mutex sync.Mutex
	results := map[string]int{}
	places := make(chan struct{}, atOnce)
	links := make([]link, len(f.daemons))
	for i := range bodyClients {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			d := f.daemons[i%len(f.daemons)]
			paced := pacedBody{bytes.NewReader(body), &links[i%len(f.daemons)]}
			got := f.requestWithLength(d, http.MethodPost, "/issue/1", fmt.Sprintf("issue-%d-%d", burst, i), paced, int64(len(body)), bodyDeadline)
			answer := "no answer"
			if got.err == nil {
				answer = strconv.Itoa(got.status)
			}
			mutex.Lock()
			results[answer]++
			mutex.Unlock()
		})
	}
	group.Wait()
	return results
}
