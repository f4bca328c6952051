// Case7 kills all daemons, lets the engines of one domain crash just after they are back, and checks that requests are served again.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"azurepond-review-2/rig"
)

// The bounds of the sheet and the times of the case.
const (
	recovery     = 12 * time.Second // recovery-s
	calmTime     = 12 * time.Second // before the final fault
	downTime     = time.Second
	crashDelay   = 2200 * time.Millisecond // from when the daemons are back until the engines crash
	crashTime    = 4500 * time.Millisecond // for which they are down
	judgedTime   = 30 * time.Second        // from recovery on
	startTimeout = 30 * time.Second
	deadline     = 8 * time.Second
	perSecond    = 20
)

// The engines: four replicas of two, all in one domain. An answer takes 2.7 s.
const (
	engineCount = 8
	modelName   = "daka510000"
	events      = 27
	eventGap    = 100 * time.Millisecond
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "recipe-draft", "host": host, "path-prefix": "/recipes/", "type": "stream", "timeout-ms": 8000, "goal-ms": 500,
			"gap-goal-ms": 300, "priority": 1, "service": "pond-models", "attempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": "pond-models", "health-path": "/healthz", "max-conns": 404, "protocol": "h1", "tls": false,
			"runtime": map[string]any{
				"slots": 26, "kv-capacity": 1400000, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488,
				"read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 4.0, "loads_at_once": 6,
				"retention-count": 1, "far_x": 2.5, "form-ms": 300.0, "usual": map[string]any{"prompt": 1076, "answer": 116},
				"models": []any{map[string]any{"name": modelName, "size": 2, "share": 1.0, "pace": 1.0, "load-s": 2.0, "warm-s": 1.1}},
			},
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "officine-bellandi", "api-keys": []string{key}, "priority": 1}},
	}
}

// fleet is the engines, which start again under new ids.
type fleet struct {
	store   *rig.Store
	log     *rig.Log
	started int
	engines []*rig.Worker
}

func (f *fleet) start() error {
	f.engines = nil
	for range engineCount {
		f.started++
		e, err := rig.NewWorker(f.store, f.log, fmt.Sprintf("i-%08x", 0x10000*f.started), rig.Options{
			Service: "pond-models", Domain: "d1", Slots: 26, Events: events, EventGap: eventGap, FormTime: 300 * time.Millisecond,
			Models: []rig.Model{{Name: modelName, Size: 2, Load: 2 * time.Second, Warm: 1100 * time.Millisecond}},
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	return nil
}

func (f *fleet) crash() {
	for _, e := range f.engines {
		e.Crash()
	}
}

// outcome is how a request of a client ended.
type outcome struct {
	sentAt time.Time
	served bool
	result string
}

// clients send requests at a steady rate to the daemons in turn.
type clients struct {
	record   *rig.Record
	gateways []*rig.Gateway
	mutex    sync.Mutex
	outcomes []outcome
}

func (c *clients) send(number int) {
	g := c.gateways[number%len(c.gateways)]
	id := fmt.Sprintf("c7%06x", number)
	o := outcome{sentAt: time.Now()}
	o.served, o.result = c.try(g, id, number)
	c.record.Printf("sent %s to %s %.3f s ago: %s", id, g.Name, time.Since(o.sentAt).Seconds(), o.result)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// try sends one request and reports whether the whole stream arrived.
func (c *clients) try(g *rig.Gateway, id string, number int) (served bool, result string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := fmt.Sprintf(`{"school":%d,"laptop":"unknown driver"}`, number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front+"/recipes/draft", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	for name, value := range map[string]string{
		"Authorization": "Bearer " + key, "X-Request-Id": id, "X-Deadline-Ms": "8000", "X-Model": modelName, "X-Tokens": "1460,135",
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:1420", 0x400000+number), // the system prompt, and the request's own part
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, "no answer: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }() // it was read
	text, err := io.ReadAll(response.Body)
	count := strings.Count(string(text), "data: ")
	result = fmt.Sprintf("%d, stamp %q, %d events", response.StatusCode, response.Header.Get("X-Server-Stamp"), count)
	if err != nil {
		return false, result + ", cut: " + err.Error()
	}
	if response.StatusCode != http.StatusOK {
		result += ", " + strings.TrimSpace(string(text))
	}
	return response.StatusCode == http.StatusOK && count == events, result
}

// share returns how many of the requests sent from one time until another were served.
func (c *clients) share(from, until time.Time) (served, sent int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, o := range c.outcomes {
		if o.sentAt.Before(from) || !o.sentAt.Before(until) {
			continue
		}
		sent++
		if o.served {
			served++
		}
	}
	return served, sent
}

func run(program, folder, recordPath string, trouble bool) int {
	record, err := rig.NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	gateways, f, err := start(program, folder)
	for _, g := range gateways {
		defer g.Kill()
	}
	if err != nil {
		record.Summary("the case could not run: %v", err)
		return 2
	}
	c := &clients{record: record, gateways: gateways}
	traffic, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for number := 1; ; number++ {
			select {
			case <-traffic.Done():
				return
			case <-ticker.C:
				group.Go(func() { c.send(number) })
			}
		}
	})
	began := time.Now()
	time.Sleep(calmTime)
	fault := time.Now()
	back, err := f.disturb(record, gateways, trouble)
	if err != nil {
		record.Summary("the case could not run: %v", err)
		stop()
		group.Wait()
		return 2
	}
	judged := back.Add(recovery)
	time.Sleep(time.Until(judged.Add(judgedTime)))
	stop()
	group.Wait()
	for _, r := range f.log.Runs() {
		record.Printf("ran %s at %s", r.ID, r.Worker)
	}
	servedBefore, sentBefore := c.share(began, fault.Add(-deadline/2))
	servedAfter, sentAfter := c.share(judged, judged.Add(judgedTime))
	record.Summary("before the final fault: %d of %d requests served", servedBefore, sentBefore)
	record.Summary("sent later than %s after the machines were back: %d of %d requests served (RECOVER: a quarter at least)", recovery, servedAfter, sentAfter)
	switch {
	case 4*servedBefore < sentBefore || sentAfter == 0:
		return 2
	case 4*servedAfter < sentAfter:
		return 1
	}
	return 0
}

// disturb kills all daemons and lets the engines crash after them. It returns when the daemons are back.
func (f *fleet) disturb(record *rig.Record, gateways []*rig.Gateway, trouble bool) (back time.Time, err error) {
	if !trouble {
		return time.Now(), nil
	}
	for _, g := range gateways {
		g.Kill()
	}
	record.Printf("all daemons killed")
	time.Sleep(downTime)
	back = time.Now()
	for _, g := range gateways {
		if err := g.Start(); err != nil {
			return back, err
		}
	}
	record.Printf("all daemons started again")
	time.Sleep(crashDelay)
	f.crash()
	record.Printf("the engines of domain d1 crashed")
	time.Sleep(crashTime)
	if err := f.start(); err != nil {
		return back, err
	}
	record.Printf("the engines of domain d1 are back under new ids")
	return back, nil
}

func start(program, folder string) ([]*rig.Gateway, *fleet, error) {
	store, err := rig.NewStore()
	if err != nil {
		return nil, nil, err
	}
	store.Write("config", "main", config())
	f := &fleet{store: store, log: &rig.Log{}}
	if err := f.start(); err != nil {
		return nil, nil, err
	}
	gateways, err := rig.NewGateways(program, folder, store.Address, 3)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, g := range gateways {
		if err := g.Start(); err != nil {
			return gateways, nil, err
		}
	}
	for _, g := range gateways {
		if err := g.AwaitReady(ctx); err != nil {
			return gateways, nil, err
		}
	}
	time.Sleep(5 * time.Second) // traffic starts 10 s after the machines do; the replicas open meanwhile
	return gateways, f, nil
}
