package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// keptConn is a connection that a client keeps for several requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func openKept(to *daemon) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", to.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{c, bufio.NewReader(c)}, nil
}

// stream sends one request for a stream of a model, and returns the status and how many events arrived. The error is that of an answer that
// is missing or incomplete.
func (c *keptConn) stream(model, path, id string) (status, events int, err error) {
	body := "a prompt"
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nX-Model: %s\r\n"+
		"X-Tokens: 1460,100\r\nX-Prompt-Prefix: 5c1e07a2:800\r\nContent-Length: %d\r\n\r\n%s", path, host, key, id, model, len(body), body)
	if _, err := io.WriteString(c, head); err != nil {
		return 0, 0, err
	}
	_ = c.SetReadDeadline(time.Now().Add(12 * time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.Count(string(data), "data:"), err
}

// load is clients that each request one stream after the other on a connection that they keep.
type load struct {
	deployment *deployment
	stopped    chan struct{}
	group      sync.WaitGroup

	mutex            sync.Mutex
	sent, whole, cut int // cut: passed on to a sound worker, and the connection was closed without a complete answer
}

// startLoad starts clients of a model for each daemon, with streams of 20 events in two seconds.
func (d *deployment) startLoad(model string, perDaemon int) *load {
	return d.startLoadOn(d.daemons, model, perDaemon)
}

func (d *deployment) startLoadOn(daemons []*daemon, model string, perDaemon int) *load {
	l := &load{deployment: d, stopped: make(chan struct{})}
	for i := range perDaemon * len(daemons) {
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			l.run(daemons[i%len(daemons)], model, i)
		}()
	}
	return l
}

func (l *load) run(to *daemon, model string, client int) {
	var conn *keptConn
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		if conn == nil {
			opened, err := openKept(to)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn = opened
		}
		id := fmt.Sprintf("load-%s-%d-%d", model, client, n)
		status, events, err := conn.stream(model, "/draft/long", id)
		ran := l.deployment.ran(id)
		l.mutex.Lock()
		l.sent++
		switch {
		case err == nil && status == http.StatusOK && events == longEvents:
			l.whole++
		case err != nil && ran:
			l.cut++
			l.deployment.record.log("client request=%s to %s on a kept connection ran at a sound worker; the connection ended after %d of %d events: %v",
				id, to.name, events, longEvents, err)
		}
		l.mutex.Unlock()
		if err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}

// cuts returns how many requests were cut so far.
func (l *load) cuts() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cut
}

// stop ends the clients after their present request.
func (l *load) stop() {
	close(l.stopped)
	l.group.Wait()
	l.deployment.record.log("%d streams were requested on kept connections, %d answered completely, %d passed on to a sound worker and cut; LOST allows three",
		l.sent, l.whole, l.cut)
}

// ran reports whether an engine has run a request.
func (d *deployment) ran(id string) bool {
	d.mutex.Lock()
	engines := d.engines
	d.mutex.Unlock()
	for _, e := range engines {
		e.mutex.Lock()
		count := e.ranByRequest[id]
		e.mutex.Unlock()
		if count > 0 {
			return true
		}
	}
	return false
}
