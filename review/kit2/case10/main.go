// Case10 does what case8 does with late orders that are fenced when they are carried out: an engine that has left its group starts again under
// its id, without its fence, before the late join of that group reaches it.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"azurepond-review-2/rig"
)

// The times of the case.
const (
	startTimeout = 30 * time.Second
	openTime     = 6 * time.Second
	calmTime     = 3 * time.Second         // of traffic, before anything else
	lateTime     = 11 * time.Second        // two disruptions of 5.5 s in a row
	lateAfter    = 1500 * time.Millisecond // from the scale-out on, before the engines are ordered to join
	openTimeout  = 8 * time.Second
	cutTime      = 10 * time.Second // of the heads from the store
	watchTime    = 12 * time.Second // from the cut on
	downTime     = time.Second
	deliverAfter = 10 * time.Millisecond // from the start of the engine until the late join reaches it
	deadline     = 8 * time.Second
	perSecond    = 4
)

// The engines: eight replicas of two in two domains, and two more in another domain, which are added.
const (
	domainSize = 8
	addedCount = 4
	modelName  = "daka510000"
	events     = 27
	eventGap   = 40 * time.Millisecond
	loadTime   = 2 * time.Second
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
				"models": []any{map[string]any{"name": modelName, "size": 2, "share": 1.0, "pace": 1.0, "load-s": loadTime.Seconds(), "warm-s": 1.1}},
			},
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "officine-bellandi", "api-keys": []string{key}, "priority": 1}},
	}
}

// addEngines starts engines in a domain.
func addEngines(store *rig.Store, log *rig.Log, fleet *rig.Fleet, domain string, first, count int) ([]*rig.Worker, error) {
	var engines []*rig.Worker
	for i := range count {
		e, err := rig.NewWorker(store, log, fmt.Sprintf("i-%08x", 0x10000*(first+i)), rig.Options{
			Service: "pond-models", Domain: domain, Slots: 26, Queue: 52, Events: events, EventGap: eventGap,
			FormTime: 300 * time.Millisecond, Fleet: fleet,
			Models: []rig.Model{{Name: modelName, Size: 2, Load: loadTime, Warm: 1100 * time.Millisecond}},
		})
		if err != nil {
			return nil, err
		}
		fleet.Add(e)
		engines = append(engines, e)
	}
	return engines, nil
}

// send sends one request and reports whether the whole stream arrived.
func send(record *rig.Record, g *rig.Gateway, number int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("ca%06x", number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front+"/recipes/draft", strings.NewReader(`{"request":"`+id+`"}`))
	if err != nil {
		panic(err)
	}
	request.Host = host
	for name, value := range map[string]string{
		"Authorization": "Bearer " + key, "X-Request-Id": id, "X-Deadline-Ms": "8000", "X-Model": modelName, "X-Tokens": "1460,135",
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:1420", 0x400000+number),
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		record.Printf("sent %s to %s: %v", id, g.Name, err)
		return false
	}
	defer func() { _ = response.Body.Close() }() // it was read
	text, err := io.ReadAll(response.Body)
	count := strings.Count(string(text), "data: ")
	record.Printf("sent %s to %s: %d with %d of %d events, error %v", id, g.Name, response.StatusCode, count, events, err)
	return err == nil && count == events
}

func run(program, folder, recordPath string, trouble bool) int {
	record, err := rig.NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fleet, log := &rig.Fleet{Record: record, Fenced: true}, &rig.Log{}
	store, gateways, err := start(program, folder, fleet, log)
	for _, g := range gateways {
		defer g.Kill()
	}
	if err != nil {
		record.Summary("the case could not run: %v", err)
		return 2
	}
	go fleet.Watch()
	var sent, whole atomic.Int64
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
				group.Go(func() {
					sent.Add(1)
					if send(record, gateways[number%len(gateways)], number) {
						whole.Add(1)
					}
				})
			}
		}
	})
	time.Sleep(calmTime)
	err = disturb(record, store, fleet, log, trouble)
	stop()
	group.Wait()
	if err != nil {
		record.Summary("the case could not run: %v", err)
		return 2
	}
	late, orders := fleet.LateShare()
	record.Summary("%d of %d orders got no answer while some were carried out late", late, orders)
	violations := fleet.Violations()
	record.Summary("%d of %d requests whole; joins taken while the head of the engine's own group was open: %d (TWO: 0 allowed)",
		whole.Load(), sent.Load(), len(violations))
	for _, v := range violations {
		record.Summary("%s", v)
	}
	if len(violations) > 0 {
		return 1
	}
	return 0
}

// disturb adds engines, and partitions the heads of their replicas from the store once these are open.
func disturb(record *rig.Record, store *rig.Store, fleet *rig.Fleet, log *rig.Log, trouble bool) error {
	added, err := addEngines(store, log, fleet, "d3", 1+2*domainSize, addedCount)
	if err != nil {
		return err
	}
	record.Printf("%d empty engines added in domain d3", addedCount)
	time.Sleep(lateAfter)
	if trouble {
		fleet.SetLate(true)
		time.AfterFunc(lateTime, func() { fleet.SetLate(false) })
	}
	for limit := time.Now().Add(openTimeout); len(fleet.OpenHeads(added)) < addedCount/2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("the replicas of the added engines did not open")
		}
	}
	heads := fleet.OpenHeads(added)
	record.Printf("the replicas of the added engines are open, with the heads %v", heads)
	if trouble {
		var once sync.Once
		fleet.OnMove = func(e *rig.Worker) { once.Do(func() { go restart(record, fleet, e) }) }
		for _, e := range added {
			if e.ID == heads[0] || e.ID == heads[1] {
				e.Cut(cutTime)
			}
		}
		record.Printf("the heads %v are partitioned from the store for %s", heads, cutTime)
	}
	time.Sleep(watchTime)
	return nil
}

// restart lets an engine crash and start again under its id, and then the joins reach it that were left unanswered.
func restart(record *rig.Record, fleet *rig.Fleet, e *rig.Worker) {
	fleet.OnMove = nil
	record.Printf("engine %s crashes", e.ID)
	next, err := e.Restart(downTime)
	if err != nil {
		record.Printf("engine %s does not start again: %v", e.ID, err)
		return
	}
	record.Printf("engine %s has started again under its id", e.ID)
	time.Sleep(deliverAfter)
	next.DeliverJoins()
}

func start(program, folder string, fleet *rig.Fleet, log *rig.Log) (*rig.Store, []*rig.Gateway, error) {
	store, err := rig.NewStore()
	if err != nil {
		return nil, nil, err
	}
	store.Write("config", "main", config())
	for i, domain := range []string{"d1", "d2"} {
		if _, err := addEngines(store, log, fleet, domain, 1+i*domainSize, domainSize); err != nil {
			return nil, nil, err
		}
	}
	gateways, err := rig.NewGateways(program, folder, store.Address, 3)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, g := range gateways {
		if err := g.Start(); err != nil {
			return store, gateways, err
		}
	}
	for _, g := range gateways {
		if err := g.AwaitReady(ctx); err != nil {
			return store, gateways, err
		}
	}
	time.Sleep(openTime)
	return store, gateways, nil
}
