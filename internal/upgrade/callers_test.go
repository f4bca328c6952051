package upgrade

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// callerCount is the number of callers of each kind.
const callerCount = 6

// lossSlack is the time after which a closed connection loses a request that was sent over it, even if it never ran.
const lossSlack = 200 * time.Millisecond

// results collects what callers saw.
type results struct {
	mutex    sync.Mutex
	served   map[string]int // by path
	statuses map[int]int
	once     []string // IDs of requests that may run at most once
	refused  []string // IDs of those of them that were answered with a promise that they have not run
	broken   []brokenCall
	failures []string
}

// brokenCall is a request without a complete answer.
type brokenCall struct {
	id, daemon string
	after      time.Duration
	err        error
}

func (r *results) fail(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

func (r *results) servedOn(path string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.served[path]
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
}

func send(client *http.Client, address, path, id string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("b"))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "p"
	request.GetBody = nil // no request is repeated by the client
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Tokens": "100,25", "X-Deadline-Ms": "5000",
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), err}
}

func expectedBody(id, path string) string {
	if path == issuePath {
		return "answer to " + id + " of : b"
	}
	var b strings.Builder
	for n := 1; n <= standin.EventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}

// The paths of the routes with a stream and with calls that may run at most once.
const (
	draftPath = "/draft/x"
	issuePath = "/issue/x"
)

// caller sends requests one after the other over kept connections to one of the listed addresses.
type caller struct {
	name      string
	path      string
	client    *http.Client
	random    *rand.Rand
	resolvers []string
	addresses []string
	listedAt  time.Time
}

func newCaller(kind string, number int, path string, resolvers []string) *caller {
	return &caller{
		name: fmt.Sprintf("%s-%d", kind, number), path: path, resolvers: resolvers,
		client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}},
		random: rand.New(rand.NewPCG(uint64(number), uint64(len(kind)))),
	}
}

// refresh reads the address list again when its TTL is over. A daemon that doesn't answer leaves the list as it is.
func (c *caller) refresh() {
	if len(c.addresses) > 0 && time.Since(c.listedAt) < time.Second {
		return
	}
	response, err := http.Get("http://" + c.resolvers[c.random.IntN(len(c.resolvers))] + "/api/resolve?zone=z1")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Addresses []string `json:"addrs"`
	}
	if response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&list) == nil && len(list.Addresses) > 0 {
		c.addresses, c.listedAt = list.Addresses, time.Now()
	}
}

// run sends requests until ctx is cancelled; onceOnly says that they may run at most once.
func (c *caller) run(ctx context.Context, r *results, onceOnly bool) {
	for n := 0; ctx.Err() == nil; n++ {
		c.refresh()
		if len(c.addresses) == 0 {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		id, address := fmt.Sprintf("%s-%d", c.name, n), c.addresses[c.random.IntN(len(c.addresses))]
		start := time.Now()
		a := send(c.client, address, c.path, id)
		r.record(id, c.path, address, onceOnly, time.Since(start), a)
		sleep(ctx, time.Duration(5+c.random.IntN(30))*time.Millisecond)
	}
}

func (r *results) record(id, path, address string, onceOnly bool, after time.Duration, a answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if onceOnly {
		r.once = append(r.once, id)
	}
	r.statuses[a.status]++
	switch {
	case a.err != nil:
		r.broken = append(r.broken, brokenCall{id, address, after, a.err})
	case a.status == http.StatusOK && a.body == expectedBody(id, path):
		r.served[path]++
	case a.status == http.StatusOK:
		r.failures = append(r.failures, fmt.Sprintf("%s got the body %q", id, a.body))
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		if onceOnly {
			r.refused = append(r.refused, id)
		}
	case a.status < http.StatusInternalServerError:
		r.failures = append(r.failures, fmt.Sprintf("%s was rejected with status %d", id, a.status))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
