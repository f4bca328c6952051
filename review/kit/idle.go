package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["idle"] = playIdle }

// The figures of the case. The traffic is about that of the site; the clients open a connection for each request and leave it to the daemon
// to close it after idle-timeout-ms.
const (
	idleDaemons    = 4
	requestsPerS   = 150
	downAt         = 4 * time.Second  // the other machines lose power
	upAt           = 42 * time.Second // and are back
	trafficEnds    = 55 * time.Second
	watchEnds      = 102 * time.Second
	windowRecover  = 3 * time.Second // stability-window-ms
	clientsThatTry = 7
	lateAfter      = 500 * time.Millisecond // of the rule
	connectTimeout = time.Second
)

// directory returns the addresses that a daemon names, as a client asks for them.
func (f *fleet) directory(d *daemon) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.directory + "/api/resolve?name=" + host + "&region=nord-italia&zone=brescia")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addrs"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// try is one request of a client on a new connection.
type try struct {
	front  string
	at     time.Duration
	taken  bool          // the daemon answered, with whatever status
	served bool          // with a success
	isSent bool          // the whole request was written to an open connection
	after  time.Duration // until the answer, if taken
}

// check is one readiness check of the platform.
type check struct {
	at      time.Duration
	isReady bool
}

// The ways in which the platform asks whether a machine is ready; the pages name none.
const (
	overKeptConnection = iota
	overNewConnection
)

var wayNames = [2]string{"over one kept connection", "over a new connection each time"}

type idlePlay struct {
	fleet  *fleet
	began  time.Time
	mutex  sync.Mutex
	tries  []try
	checks [2][]check // of the survivor, by way
	names  []string   // the addresses that clients know
	files  []net.Conn
}

func (p *idlePlay) addresses() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.names)
}

// send sends one request on a new connection, which stays open until the daemon closes it.
func (p *idlePlay) send(id string) {
	names := p.addresses()
	if len(names) == 0 {
		return
	}
	t := try{front: names[rand.Intn(len(names))], at: time.Since(p.began)}
	c, err := net.DialTimeout("tcp", t.front, connectTimeout)
	if err == nil {
		p.mutex.Lock()
		p.files = append(p.files, c)
		p.mutex.Unlock()
		_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		_, err = fmt.Fprintf(c, "POST /issue/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\nAuthorization: Bearer %s\r\n\r\n",
			host, id, key)
		sentAt := time.Now()
		if t.isSent = err == nil; t.isSent {
			response, readErr := http.ReadResponse(bufio.NewReader(c), nil)
			t.taken, t.after = readErr == nil, time.Since(sentAt)
			t.served = t.taken && response.StatusCode == http.StatusOK
			err = readErr
		}
		if err != nil {
			_ = c.Close() // the client gives up
		} else {
			_ = c.SetDeadline(time.Time{})
		}
	}
	p.mutex.Lock()
	p.tries = append(p.tries, t)
	p.mutex.Unlock()
}

// checkReady asks the survivor once a second whether it is ready, as the platform does.
func (p *idlePlay) checkReady(d *daemon, way int, stop chan struct{}) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: way == overNewConnection}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c := check{at: time.Since(p.began)}
		response, err := client.Get("http://" + d.ready + "/api/readyz")
		if err == nil {
			c.isReady = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		p.mutex.Lock()
		p.checks[way] = append(p.checks[way], c)
		p.mutex.Unlock()
	}
}

// resolve keeps the addresses of the clients up to date. They ask up to three daemons in turn.
func (p *idlePlay) resolve(stop chan struct{}) {
	for {
		for _, d := range p.fleet.daemons {
			if names := p.fleet.directory(d); len(names) > 0 {
				p.mutex.Lock()
				p.names = names
				p.mutex.Unlock()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func filesOf(pid int) int {
	entries, err := readDirNames(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// minFiles is the number of descriptors that the clients and the workers of this case need.
const minFiles = 16384

func playIdle(f *fleet, trouble bool) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < minFiles {
		return false, fmt.Errorf("the stand-ins need %d descriptors, the limit is %d: %v", minFiles, limit.Cur, err)
	}
	f.store.set("config", "main", config(1))
	for i := range 3 {
		if _, err := f.addWorker(fmt.Sprintf("i-%04d", i), 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.addDaemons(idleDaemons); err != nil {
		return false, err
	}
	for _, d := range f.daemons {
		if err := f.start(d, maxFds); err != nil {
			return false, err
		}
	}
	for _, d := range f.daemons {
		if err := f.waitReady(d); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	survivor, others := f.daemons[idleDaemons-1], f.daemons[:idleDaemons-1]
	p := &idlePlay{fleet: f, began: time.Now()}
	stop := make(chan struct{})
	go p.checkReady(survivor, overKeptConnection, stop)
	go p.checkReady(survivor, overNewConnection, stop)
	go p.resolve(stop)
	isDown, isUp, ended := false, false, false
	f.quiet.Store(true)
	next, count, reported := time.Now(), 0, 0
	for time.Since(p.began) < watchEnds {
		elapsed := time.Since(p.began)
		if trouble && !isDown && elapsed >= downAt {
			isDown = true
			for _, d := range others {
				_ = syscall.Kill(d.command.Process.Pid, syscall.SIGKILL)
				<-d.exited
			}
			f.logf("%d of %d machines lose power", len(others), idleDaemons)
		}
		if trouble && !isUp && elapsed >= upAt {
			isUp = true
			for _, d := range others {
				if err := f.start(d, maxFds); err != nil {
					return false, err
				}
			}
			f.logf("the machines are back")
		}
		if int(elapsed.Seconds()) >= reported {
			reported += 2
			f.logf("%3.0f s: %d requests sent, %d answered with 200, %d run; clients know %d addresses; %s has %d descriptors, ready: %v",
				elapsed.Seconds(), count, p.answered(), f.runs.Load(), len(p.addresses()), survivor.name,
				filesOf(survivor.command.Process.Pid), p.isReadyNow())
			if elapsed >= upAt && reported%6 == 0 {
				f.logf("       directory of %s names %v; that of %s names %v",
					others[0].name, f.directory(others[0]), survivor.name, f.directory(survivor))
			}
		}
		if elapsed < trafficEnds && time.Now().After(next) {
			next = next.Add(time.Second / requestsPerS)
			count++
			go p.send(fmt.Sprintf("issue-%d", count))
			continue
		}
		if elapsed >= trafficEnds && !ended {
			ended = true
			f.logf("the traffic has ended")
		}
		time.Sleep(time.Millisecond)
	}
	close(stop)
	for _, c := range p.files {
		_ = c.Close()
	}
	return p.judge(survivor), nil
}

// isReadyNow returns the last answers to the readiness checks.
func (p *idlePlay) isReadyNow() [2]bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var last [2]bool
	for way, checks := range p.checks {
		last[way] = len(checks) > 0 && checks[len(checks)-1].isReady
	}
	return last
}

// answered returns how many requests got a success so far.
func (p *idlePlay) answered() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, t := range p.tries {
		if t.served {
			count++
		}
	}
	return count
}

// judge counts the requests to the survivor that were unanswered at the timeout of their route, and those of them without an answer half a
// second later. It also records for how long the survivor said that it is ready and took no new connection, in each way of asking.
func (p *idlePlay) judge(survivor *daemon) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	slices.SortFunc(p.tries, func(a, b try) int { return int(a.at - b.at) })
	var tries []try
	served, taken := 0, 0
	for _, t := range p.tries {
		if t.front == survivor.front {
			tries = append(tries, t)
		}
		if t.front == survivor.front && t.served {
			served++
		}
		if t.front == survivor.front && t.taken {
			taken++
		}
	}
	p.fleet.logf("%d requests, %d of them sent to %s, which served %d and answered %d", len(p.tries), len(tries), survivor.name, served, taken)
	for way, checks := range p.checks {
		longest, from, count := longestSpan(checks, tries)
		p.fleet.logf("asked %s: the longest span in which it was ready at each check and took no new connection: %.1f s from %.1f s, %d tries",
			wayNames[way], longest.Seconds(), from.Seconds(), count)
		p.fleet.logf("RECOVER, which is not the verdict, would be broken: %v", longest >= windowRecover)
	}
	unanswered, late := 0, 0
	for _, t := range tries {
		if t.isSent && (!t.taken || t.after > timeoutMs*time.Millisecond) {
			unanswered++
		}
		if t.isSent && (!t.taken || t.after > timeoutMs*time.Millisecond+lateAfter) {
			late++
		}
	}
	p.fleet.logf("%d requests at %s were unanswered at timeout-ms, %d of them had no answer half a second later", unanswered, survivor.name, late)
	if 2*late > unanswered {
		p.fleet.logf("CONFIG: more than half of the requests that are unanswered at their timeout-ms have no answer half a second later")
	}
	return 2*late > unanswered
}

// longestSpan returns the longest span between two checks, with no other answer than that the machine is ready from the first to the last
// and no answer on a connection that was opened meanwhile, in which enough clients tried.
func longestSpan(checks []check, tries []try) (longest, from time.Duration, count int) {
	for i, first := range checks {
		for _, last := range checks[i:] {
			if !first.isReady || !last.isReady {
				break
			}
			tried, isTaken := 0, false
			for _, t := range tries {
				if t.at >= first.at && t.at <= last.at {
					tried++
					isTaken = isTaken || t.taken
				}
			}
			if isTaken {
				break
			}
			if tried >= clientsThatTry && last.at-first.at > longest {
				longest, from, count = last.at-first.at, first.at, tried
			}
		}
	}
	return longest, from, count
}
