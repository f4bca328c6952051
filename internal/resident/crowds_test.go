package resident

import (
	"bufio"
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// The figures of the tests with crowds of callers that nobody controls: an instance with little memory, so that a small crowd shows a fault.
const (
	crowdTime = 2 * time.Second
	headBytes = 15700
)

var (
	crowdMemoryMB = flag.Int("crowds.memory", 48, "memory of the instance in megabytes")
	crowdSize     = flag.Int("crowds.size", 400, "connections of a crowd, unless it states its own number")
)

// crowd is a number of connections that send the same and stay open.
type crowd struct {
	size   int                    // crowds.size if 0
	port   func(d *daemon) string // that of callers if nil
	begin  string
	repeat string // after begin, until there are headBytes, or without end
	end    string
	length int // of begin and the repeated text, headBytes if 0

	isEndless bool
}

// wrongKey is a field with a key that no configuration ever held.
const wrongKey = "Authorization: Bearer wrong\r\n"

// toUpstream is a field of the requests that daemons pass to each other.
const toUpstream = "Azurepond-Upstream: i-0\r\n"

func beginOf(target, fields string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n" + fields
}

// The ends of a head.
const (
	endOfWhole     = "\r\n"
	endBeforeBody  = "Content-Length: 100\r\n\r\nshort"
	endBeforeLarge = "Content-Length: 4194304\r\n\r\n"
	chunked        = "Transfer-Encoding: chunked\r\n\r\n"
)

// largeHeadBytes is the length of a head for a port without a limit of its own, where net/http reads a megabyte.
const largeHeadBytes = 900_000

// oddLines are lines with names that differ.
func oddLines() string {
	var lines strings.Builder
	for i := range (headBytes - 200) / len("aaa:\r\n") {
		lines.WriteString(string([]byte{'a' + byte(i%26), 'a' + byte(i/26%26), 'a' + byte(i/26/26%26)}) + ":\r\n")
	}
	return lines.String()
}

// crowds are what clients outside the limits of the configuration, or at their edge, send at once.
var crowds = map[string]crowd{
	"short lines, body short of its end":       {begin: beginOf("/issue/x", ""), repeat: "ab:\r\n", end: endBeforeBody},
	"short lines, wrong key":                   {begin: beginOf("/closed/x", wrongKey), repeat: "ab:\r\n", end: endBeforeBody},
	"short lines, head left open":              {begin: beginOf("/issue/x", ""), repeat: "ab:\r\n"},
	"short lines, many heads left open":        {size: 600, begin: beginOf("/issue/x", ""), repeat: "ab:\r\n"},
	"many heads below what is free, left open": {size: 600, begin: beginOf("/issue/x", strings.Repeat("ab:\r\n", 50))},
	"lines of one letter":                      {begin: beginOf("/issue/x", ""), repeat: "a:\r\n", end: endBeforeBody},
	"short lines without carriage returns":     {begin: beginOf("/issue/x", ""), repeat: "a:\n", end: endBeforeBody},
	"odd lines":                                {begin: beginOf("/issue/x", oddLines()), end: endBeforeBody},
	"short lines, whole requests":              {begin: beginOf("/issue/x", ""), repeat: "a:\r\n", end: endOfWhole},
	"short lines after a pipelined request":    {begin: beginOf("/closed/x", "\r\n") + beginOf("/issue/x", ""), repeat: "ab:\r\n", end: endBeforeBody},
	"short lines after a request and empty lines": {
		begin: beginOf("/closed/x", "Content-Length: 2\r\n\r\nok") + "\r\n\r\n" + beginOf("/issue/x", ""), repeat: "ab:\r\n", end: endBeforeBody,
	},
	"short lines after a pipelined body": {
		begin: beginOf("/closed/x", "Content-Length: 2\r\n\r\nok") + beginOf("/issue/x", ""), repeat: "ab:\r\n", end: endBeforeBody,
	},
	"short lines after pipelined chunks": {
		begin: beginOf("/closed/x", chunked+"2\r\nok\r\n0\r\n\r\n") + beginOf("/issue/x", ""), repeat: "ab:\r\n", end: endBeforeBody,
	},
	"trailers of short lines":                {begin: beginOf("/issue/x", chunked+"2\r\nok\r\n0\r\n"), repeat: "ab:\r\n"},
	"heads over the limit":                   {begin: beginOf("/issue/x", ""), repeat: "ab:\r\n", length: 8 * headBytes, end: endBeforeBody},
	"heads without end":                      {begin: beginOf("/issue/x", ""), repeat: "ab:\r\n", isEndless: true},
	"line without end":                       {begin: beginOf("/issue/x", "X-Long: "), repeat: "a", isEndless: true},
	"empty lines without end":                {repeat: "\r\n", isEndless: true},
	"bodies of 4 MB short of their end":      {size: 60, begin: beginOf("/issue/x", endBeforeLarge), repeat: "b", length: 4 << 20},
	"bodies of 4 MB":                         {size: 60, begin: beginOf("/issue/x", endBeforeLarge), repeat: "b", length: len(beginOf("/issue/x", endBeforeLarge)) + 4<<20},
	"bodies of 4 MB in chunks, not ended":    {size: 60, begin: beginOf("/issue/x", chunked+"3f0000\r\n"), repeat: "b", length: 4 << 20},
	"tiny chunks without end":                {size: 60, begin: beginOf("/issue/x", chunked), repeat: "1\r\nb\r\n", isEndless: true},
	"short lines at the port of peers":       {size: 60, port: relayPort, begin: beginOf("/issue/x", ""), repeat: "ab:\r\n", length: largeHeadBytes},
	"bodies of 4 MB at the port of peers":    {size: 60, port: relayPort, begin: beginOf("/issue/x", endBeforeLarge), repeat: "b", length: 4 << 20},
	"heads without end at the port of peers": {size: 60, port: relayPort, begin: beginOf("/issue/x", ""), repeat: "ab:\r\n", isEndless: true},
	"short lines for the address list":       {size: 60, port: directoryPort, begin: beginOf("/api/resolve", ""), repeat: "ab:\r\n", length: largeHeadBytes},
	"short lines for readiness":              {size: 60, port: readyPort, begin: beginOf("/api/readyz", ""), repeat: "ab:\r\n", length: largeHeadBytes},
	"short lines for the metrics":            {size: 60, port: metricsPort, begin: beginOf("/metrics", ""), repeat: "ab:\r\n", length: largeHeadBytes},
	"bodies of 4 MB from a peer": {
		size: 60, port: relayPort, begin: beginOf("/issue/x", toUpstream+endBeforeLarge), repeat: "b", length: 4 << 20,
	},
	"short lines from a peer":        {size: 60, port: relayPort, begin: beginOf("/issue/x", toUpstream), repeat: "ab:\r\n", end: endBeforeBody},
	"heads without end at the links": {port: linkPort, repeat: "\x00\x00\x03\xff", isEndless: true},
}

func relayPort(d *daemon) string     { return d.relay }
func directoryPort(d *daemon) string { return d.directory }
func readyPort(d *daemon) string     { return d.ready }
func metricsPort(d *daemon) string   { return d.metrics }
func linkPort(d *daemon) string      { return d.control }

// run opens the connections of the crowd and sends its text over each of them; it returns after a while and leaves them open until the test
// ends. What the daemon refuses ends its connection only.
func (c crowd) run(t *testing.T, d *daemon) {
	address, size, length := d.front, *crowdSize, headBytes
	if c.port != nil {
		address = c.port(d)
	}
	if c.size > 0 {
		size = c.size
	}
	if c.length > 0 {
		length = c.length
	}
	text := c.begin + strings.Repeat(c.repeat, max(length-len(c.begin), 0)/max(len(c.repeat), 1)) + c.end
	if c.isEndless {
		text = c.begin + strings.Repeat(c.repeat, (64<<10)/len(c.repeat))
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var mutex sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		for _, opened := range conns {
			_ = opened.Close()
		}
	})
	var group sync.WaitGroup
	for range size {
		group.Go(func() {
			opened, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return
			}
			mutex.Lock()
			conns = append(conns, opened)
			mutex.Unlock()
			_ = opened.SetDeadline(time.Now().Add(crowdTime))
			_, err = io.WriteString(opened, text)
			for c.isEndless && err == nil {
				_, err = io.WriteString(opened, strings.Repeat(c.repeat, (64<<10)/len(c.repeat)))
			}
			<-ctx.Done()
		})
	}
	group.Wait()
}

// startCrowdDaemon starts a daemon with little memory before one sound upstream. The route /closed/ needs a key.
func startCrowdDaemon(t *testing.T) *daemon {
	p := startPlatform(t)
	p.addClosedRoute(t)
	startUpstream(t, p.store, "i-0", func(_ *http.Request, id string) answer { return soundAnswer(id) })
	d := startDaemon(t, "a", p.address, "", *crowdMemoryMB)
	d.waitReady(t)
	return d
}

// isAnswered reports whether an ordinary request is answered with a success, tried again as callers do.
func (d *daemon) isAnswered(body string) bool {
	c := &callers{daemons: []*daemon{d}, body: body}
	c.client.Transport = &http.Transport{DisableKeepAlives: true}
	for range 5 {
		if c.isServed(context.Background(), c.sent.Add(1)) {
			return true
		}
	}
	return false
}

// TestCrowds guards against a daemon that holds more of what a crowd of callers sends than its instance has memory.
func TestCrowds(t *testing.T) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDaemon(t)
			c.run(t, d)
			if !d.isRunning() {
				t.Fatal("the daemon has ended")
			}
			peak, files := d.peakMB(t), d.openFiles()
			t.Logf("peak %.0f MB of %d, %d descriptors", peak, *crowdMemoryMB, files)
			if peak > float64(*crowdMemoryMB) {
				t.Errorf("peak %.0f MB of %d", peak, *crowdMemoryMB)
			}
			if files > maxFDs {
				t.Errorf("%d descriptors of %d", files, maxFDs)
			}
			if !d.isAnswered("coat") {
				t.Error("an ordinary request was not answered afterwards")
			}
		})
	}
}

// TestLargeHeadInCalm guards against limits that refuse a single request within those of the configuration.
func TestLargeHeadInCalm(t *testing.T) {
	d := startCrowdDaemon(t)
	for _, lines := range []string{strings.Repeat("ab:\r\n", headBytes/len("ab:\r\n")-100), strings.Repeat("a:\n", headBytes/len("a:\n")-100), oddLines()} {
		opened, err := net.Dial("tcp", d.front)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(opened, beginOf("/read/x", lines)+"Content-Length: 2\r\n\r\nok")
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(opened), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusOK {
			t.Errorf("a request with %d lines got status %d", strings.Count(lines, "\n"), response.StatusCode)
		}
		_ = response.Body.Close()
		_ = opened.Close()
	}
}
