package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	fastEvent = 10 * time.Millisecond // that of the stand-in
	slowEvent = 15 * time.Millisecond
)

// record is a request and what its caller got.
type record struct {
	id          string
	path        string
	daemon      int
	sent, ended time.Time
	isWritten   bool          // whether the request left the caller in whole
	limit       time.Duration // the deadline or the timeout of the route, which is the grace period
	followsList bool          // whether the address came from a list within its TTL
	status      int           // 0 if there was no answer
	body        string
	err         error // that ended the answer or the connection
}

// caller sends requests one after the other.
type caller struct {
	*stopsSoak
	name   string
	random *rand.Rand
	client *http.Client

	isSticky bool // uses an open connection as long as there is one, and does not follow the list meanwhile
	daemon   int  // of the open connection, -1 if there is none
	list     []string
	listEnd  time.Time // of its TTL
}

// startCallers starts callers that send requests until ctx is cancelled.
func (s *stopsSoak) startCallers(ctx context.Context, group *sync.WaitGroup) {
	for i := range 6 * len(s.daemons) {
		c := &caller{
			stopsSoak: s, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(uint64(i), 11)), isSticky: i%2 == 0,
			daemon: -1,
		}
		var transport http.RoundTripper = &http.Transport{}
		if s.transport != nil {
			transport = s.transport(transport)
		}
		c.client = &http.Client{Transport: transport}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.callOnce(ctx, n)
			}
		})
	}
}

// callOnce sends one request and waits before the next one.
func (c *caller) callOnce(ctx context.Context, n int) {
	pause := 20 * time.Millisecond
	if c.isSticky && c.random.IntN(4) == 0 {
		pause = time.Duration(c.random.Int64N(int64(c.setup.grace))) // the connection is idle when a stop begins
	}
	defer sleep(ctx, pause)
	isFresh := false
	if c.daemon < 0 {
		if c.daemon, isFresh = c.choose(ctx); c.daemon < 0 {
			return
		}
	}
	r, keepsOpen := c.call(fmt.Sprintf("%s-%d", c.name, n))
	r.followsList = isFresh
	c.mutex.Lock()
	c.requests = append(c.requests, r)
	if r.isWhole() {
		c.servedCount++
	}
	c.statusCounts[r.status]++
	c.mutex.Unlock()
	if !c.isSticky || !keepsOpen {
		c.daemon = -1
	}
}

// choose returns a daemon from the address list, -1 if there is none, and whether the list is within its TTL.
func (c *caller) choose(ctx context.Context) (daemon int, isFresh bool) {
	if !time.Now().Before(c.listEnd) && !(c.hasFixedList && c.list != nil) {
		c.resolve(ctx)
	}
	if len(c.list) == 0 {
		return -1, false
	}
	address := c.list[c.random.IntN(len(c.list))]
	for i, p := range c.daemons {
		if p.addresses[0] == address {
			return i, c.hasFixedList || time.Now().Before(c.listEnd)
		}
	}
	return -1, false
}

// resolve asks up to three daemons for the address list. The old one stays if none answers.
func (c *caller) resolve(ctx context.Context) {
	for range 3 {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		address, ttl, err := c.fetchList(ctx, c.daemons[c.random.IntN(len(c.daemons))].addresses[3])
		cancel()
		if err == nil {
			c.list, c.listEnd = address, time.Now().Add(ttl)
			return
		}
	}
}

func (c *caller) fetchList(ctx context.Context, directory string) (addresses []string, ttl time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/api/resolve?name=p&zone=z1", nil)
	if err != nil {
		return nil, 0, err
	}
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl-s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, 0, err
	}
	if len(list.Addrs) == 0 {
		return nil, 0, fmt.Errorf("status %d and no addresses from %s", response.StatusCode, directory)
	}
	return list.Addrs, time.Duration(list.TTL * float64(time.Second)), nil
}

// draw returns the path of a request, with how many events its answer takes, and its deadline. A share of the requests last
// 0.3 to 0.9 of the grace period, the longest of them at a slow engine.
func (c *caller) draw() (path string, deadline time.Duration) {
	work := time.Duration(50+c.random.IntN(200)) * time.Millisecond
	if c.random.IntN(3) == 0 {
		work = c.setup.grace * time.Duration(30+c.random.IntN(30)) / 100
	}
	path = "/draft/x"
	if c.random.IntN(3) == 0 {
		path = "/issue/x"
	}
	deadline = work*3/2 + time.Duration(500+c.random.IntN(2000))*time.Millisecond
	return fmt.Sprintf("%s?events=%d", path, work/fastEvent), deadline
}

// call sends one request and reports whether the connection stays open after it.
func (c *caller) call(id string) (r record, keepsOpen bool) {
	path, deadline := c.draw()
	r = record{id: id, path: path, daemon: c.daemon, limit: min(deadline, c.setup.grace)}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	written := make(chan struct{}, 8) // one for each connection that was tried
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		if w.Err == nil {
			written <- struct{}{}
		}
	}})
	address := "http://" + c.daemons[c.daemon].addresses[0] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader("b"))
	if err != nil {
		panic(err)
	}
	request.Host = "p"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Tokens": "100," + path[strings.Index(path, "=")+1:],
		"X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	r.sent = time.Now()
	response, err := c.client.Do(request)
	if err == nil {
		var body []byte
		body, r.err = io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read to its end
		r.status, r.body = response.StatusCode, string(body)
		keepsOpen = r.err == nil && !response.Close
	} else {
		r.err = err
	}
	r.ended, r.isWritten = time.Now(), len(written) > 0
	return r, keepsOpen
}
