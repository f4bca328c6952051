package resident

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// The figures of the benchmark.
const (
	benchTime       = 5 * time.Second
	unrelatedCount  = 10
	largeAnswer     = 2 << 20
	slowReadBytes   = 32 << 10 // that a slow caller reads before each pause
	slowReadPause   = 50 * time.Millisecond
	idleConnections = 6000
	maxFDs          = 4100
	fdShare         = 0.9 // of maxFDs
	neededUnrelated = 0.99
)

// load is a way to take memory or descriptors.
type load struct {
	answer func(id string) answer // of one upstream of four, nil if all are sound
	all    func(id string) answer // of all upstreams, nil for short answers
	body   int                    // bytes of each request
	slow   bool                   // callers read slowly
	idle   bool                   // connections stay open without a request
	cut    bool                   // the requests go through a peer
}

func large(id string) answer {
	return answer{head: stamped(200, id) + fmt.Sprintf("Content-Length: %d\r\n\r\n", largeAnswer) + strings.Repeat("x", largeAnswer)}
}

var loads = map[string]load{
	"endless errors":            {answer: endlessAnswers["error in chunks"]},
	"endless successes":         {answer: endlessAnswers["success without a length"]},
	"endless events":            {answer: endlessAnswers["event of one line"]},
	"large bodies":              {body: maxBodyBytes},
	"slow readers":              {all: large, slow: true},
	"idle connections":          {idle: true},
	"through a peer":            {all: large, body: maxBodyBytes / 4, cut: true},
	"endless errors and bodies": {answer: endlessAnswers["error in chunks"], body: maxBodyBytes},
	"slow readers and events":   {all: large, answer: endlessAnswers["event of one line"], slow: true},
}

var addressField = regexp.MustCompile(`"address":"[^"]*"`)

// cutStore is the store as a daemon without a path to the upstreams of service "desk" sees it: their addresses refuse connections.
type cutStore struct{ store *standin.Store }

func (c cutStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	c.store.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	if strings.Contains(r.URL.Path, "servers") {
		body = addressField.ReplaceAll(body, []byte(`"address":"127.0.0.1:1"`))
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = bytes.NewReader(body).WriteTo(w) // the daemon notices an incomplete answer
}

// openFiles returns the number of descriptors of the process.
func (d *daemon) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// openIdle opens connections to a daemon and sends one request on each.
func openIdle(ctx context.Context, d *daemon, count int) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for i := 0; i < count && ctx.Err() == nil; i++ {
		c, err := net.DialTimeout("tcp", d.front, time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, c)
		_, _ = fmt.Fprintf(c, "POST /other/x HTTP/1.1\r\nHost: p\r\nX-Request-Id: idle-%d\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", i)
	}
	<-ctx.Done()
}

// BenchmarkLoads plays each load against the real program with the memory of small and of usual instances.
func BenchmarkLoads(b *testing.B) {
	for _, limit := range []int{184, 284} {
		for name, l := range loads {
			b.Run(fmt.Sprintf("%s/%d MB", name, limit), func(b *testing.B) {
				for range b.N {
					playLoad(b, l, limit)
				}
			})
		}
	}
}

func playLoad(b *testing.B, l load, limit int) {
	p := startPlatform(b)
	for i := range 4 {
		startUpstream(b, p.store, fmt.Sprint("i-", i), func(_ *http.Request, id string) answer {
			switch {
			case i == 0 && l.answer != nil:
				return l.answer(id)
			case l.all != nil:
				return l.all(id)
			}
			return soundAnswer(id)
		})
	}
	register(b, p.store, "o-0", "other", listen(b, func(_ *http.Request, id string) answer { return soundAnswer(id) }))
	first := startDaemon(b, "a", p.address, "", limit)
	daemons, front := []*daemon{first}, first
	if l.cut {
		store := httptest.NewServer(cutStore{p.store})
		b.Cleanup(func() {
			store.CloseClientConnections()
			store.Close()
		})
		front = startDaemon(b, "b", strings.TrimPrefix(store.URL, "http://"), first.control, limit)
		daemons = append(daemons, front)
	}
	for _, d := range daemons {
		d.waitReady(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), benchTime)
	defer cancel()
	unrelated := &callers{daemons: []*daemon{first}, paths: []string{"/other/x"}}
	troubled := &callers{daemons: []*daemon{front}, body: strings.Repeat("x", l.body), isSlow: l.slow}
	var group sync.WaitGroup
	group.Go(func() { unrelated.run(unrelatedCount, benchTime) })
	files := 0
	group.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			files = max(files, first.openFiles(), front.openFiles())
		}
	})
	if l.idle {
		openIdle(ctx, first, idleConnections)
	} else {
		troubled.run(callerCount, benchTime)
	}
	group.Wait()
	peak, processor := 0.0, time.Duration(0)
	for _, d := range daemons {
		peak = max(peak, d.peakMB(b))
		processor += d.processorTime(b)
	}
	share := float64(unrelated.served.Load()) / float64(max(unrelated.count.Load(), 1))
	b.ReportMetric(peak, "peak-MB")
	b.ReportMetric(float64(files), "files")
	b.ReportMetric(float64(troubled.served.Load()), "served")
	b.ReportMetric(float64(unrelated.served.Load()), "unrelated")
	b.ReportMetric(share, "unrelated-share")
	b.ReportMetric(processor.Seconds(), "cpu-s")
	b.ReportMetric(0, "ns/op")
	if peak > memoryShare*float64(limit) || float64(files) > fdShare*maxFDs || share < neededUnrelated {
		b.Errorf("peak %.0f MB of %d, %d files of %d, %.3f of the unrelated calls served", peak, limit, files, maxFDs, share)
	}
}

// readSlowly reads a body with pauses, and returns nil at its end or that of ctx: a slow caller is served as long as bytes come.
func readSlowly(ctx context.Context, body io.Reader) error {
	for ctx.Err() == nil {
		_, err := io.CopyN(io.Discard, body, slowReadBytes)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(slowReadPause)
	}
	return nil
}
