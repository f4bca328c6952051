// Case9 stops a daemon while an engine preempts some of its streams for less than two seconds, and checks that none of them is cut.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"azurepond-review-2/rig"
)

// The bounds of the sheet and the times of the case, from the SIGTERM on.
const (
	grace        = 8 * time.Second // grace-s
	lastSixth    = grace * 5 / 6
	sentBefore   = 1500 * time.Millisecond
	preemptAfter = time.Second
	preemptAgain = 300 * time.Millisecond
	pause        = 1800 * time.Millisecond
	sendGap      = 200 * time.Millisecond // between the requests at one daemon and those at the other
	startTimeout = 30 * time.Second
	openTime     = 6 * time.Second
)

// The route and the engines: two replicas of two with four slots each. An answer takes 5.3 s.
const (
	deadline  = 12 * time.Second // also the route's timeout
	patience  = 8 * time.Second  // eight times the pause that the route declares, after which a client leaves a silent stream
	modelName = "daka510000"
	events    = 66
	eventGap  = 80 * time.Millisecond
	slots     = 4
	queue     = 2
	preempted = 2 // at once, and as many again later
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
			"name": "log-summary", "host": host, "path-prefix": "/logs/", "type": "stream", "timeout-ms": deadline.Milliseconds(),
			"goal-ms": 1000, "gap-goal-ms": 1000, "priority": 1, "service": "pond-models", "attempts": 2, "public": false,
			"sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": "pond-models", "health-path": "/healthz", "max-conns": 404, "protocol": "h1", "tls": false,
			"runtime": map[string]any{
				"slots": slots, "kv-capacity": 1400000, "stride": 5, "step_ms": 15, "per_seq_ms": 0.241, "context_per_k": 0.00488,
				"read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 4.0, "loads_at_once": 6,
				"retention-count": 1, "far_x": 2.5, "form-ms": 300.0, "usual": map[string]any{"prompt": 1076, "answer": 330},
				"models": []any{map[string]any{"name": modelName, "size": 2, "share": 1.0, "pace": 1.0, "load-s": 2.0, "warm-s": 1.1}},
			},
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "officine-bellandi", "api-keys": []string{key}, "priority": 1}},
	}
}

// outcome is how a request of a client ended.
type outcome struct {
	id        string
	sentAt    time.Time
	lastEvent time.Time
	endedAt   time.Time
	events    int
	isWhole   bool
	byClient  bool // the client left
	result    string
}

// send sends one request and reads its answer until its end, or until the client's patience is over.
func send(front, id string) outcome {
	o := outcome{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/logs/summary", strings.NewReader(`{"log":"`+id+`"}`))
	if err != nil {
		panic(err)
	}
	request.Host = host
	for name, value := range map[string]string{
		"Authorization": "Bearer " + key, "X-Request-Id": id, "X-Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "X-Model": modelName,
		"X-Tokens": "1960,330", "X-Prompt-Prefix": "5c1e07a2:40," + id[2:] + ":1920",
	} {
		request.Header.Set(name, value)
	}
	impatient := time.AfterFunc(patience, cancel)
	defer impatient.Stop()
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }() // it was read
		o.result = fmt.Sprint(response.StatusCode)
		buffer := make([]byte, 4096)
		for err == nil {
			var n int
			n, err = response.Body.Read(buffer)
			if count := strings.Count(string(buffer[:n]), "data: "); count > 0 {
				o.events += count
				o.lastEvent = time.Now()
				impatient.Reset(patience)
			}
		}
	}
	o.endedAt, o.byClient = time.Now(), ctx.Err() != nil
	o.isWhole = err == io.EOF && response != nil && response.StatusCode == http.StatusOK && o.events == events
	o.result += fmt.Sprintf(" with %d of %d events, end: %v", o.events, events, err)
	return o
}

func run(program, folder, recordPath string, trouble bool) int {
	record, err := rig.NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	gateways, engines, log, err := start(program, folder)
	for _, g := range gateways {
		defer g.Kill()
	}
	if err != nil {
		record.Summary("the case could not run: %v", err)
		return 2
	}
	stopped := gateways[0]
	var mutex sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	for index, g := range gateways[:2] {
		for i := range slots {
			group.Go(func() {
				o := send(g.Front, fmt.Sprintf("c9%03x%03x", index+1, i+1))
				record.Printf("sent %s to %s %.3f s ago: %s", o.id, g.Name, time.Since(o.sentAt).Seconds(), o.result)
				mutex.Lock()
				defer mutex.Unlock()
				if g == stopped {
					outcomes = append(outcomes, o)
				}
			})
		}
		time.Sleep(sendGap)
	}
	time.Sleep(sentBefore - 2*sendGap)
	var heads []*rig.Worker
	for _, e := range engines {
		if len(e.StreamIDs()) > 0 {
			heads = append(heads, e)
			record.Printf("engine %s runs %v", e.ID, e.StreamIDs())
		}
	}
	signalled := time.Now()
	if trouble {
		stopped.Terminate()
		record.Printf("SIGTERM to %s", stopped.Name)
	}
	time.Sleep(preemptAfter)
	if len(heads) != 2 || len(heads[0].StreamIDs()) != slots || len(heads[1].StreamIDs()) != slots {
		record.Summary("the case could not run: the streams are not at two heads")
		return 2
	}
	// The head with most streams of the stopped daemon; those of the other daemon are newer.
	head := slices.MaxFunc(heads, func(a, b *rig.Worker) int { return countOf(a, stoppedPrefix) - countOf(b, stoppedPrefix) })
	for range 2 {
		ids := head.Preempt(preempted, pause)
		record.Printf("engine %s preempts %v for %s", head.ID, ids, pause)
		time.Sleep(preemptAgain)
	}
	group.Wait()
	for _, r := range log.Runs() {
		record.Printf("ran %s at %s from %.3f s to %.3f s after the signal, whole: %t", r.ID, r.Worker,
			r.At.Sub(signalled).Seconds(), r.Ended.Sub(signalled).Seconds(), r.IsWhole)
	}
	return judge(record, log, outcomes, signalled, trouble)
}

// stoppedPrefix begins the ids of the requests at the daemon that is stopped.
const stoppedPrefix = "c9001"

// countOf returns how many streams of an engine have ids with a prefix.
func countOf(e *rig.Worker, prefix string) int {
	count := 0
	for _, id := range e.StreamIDs() {
		if strings.HasPrefix(id, prefix) {
			count++
		}
	}
	return count
}

// judge counts the answers that the stopped daemon cut off.
func judge(record *rig.Record, log *rig.Log, outcomes []outcome, signalled time.Time, trouble bool) int {
	lost, whole := 0, 0
	for _, o := range outcomes {
		// A worker that was at work in the last sixth of the grace period excuses the cut.
		atWork := slices.ContainsFunc(log.Runs(), func(r rig.Run) bool {
			return r.ID == o.id && (r.Ended.IsZero() || r.Ended.After(signalled.Add(lastSixth)))
		})
		switch {
		case o.isWhole:
			whole++
		case trouble && !o.byClient && !atWork && o.endedAt.Before(o.sentAt.Add(deadline)) && o.endedAt.Before(signalled.Add(grace+time.Second)):
			lost++
			record.Printf("lost: %s ended %.3f s after SIGTERM, %.3f s after its last event", o.id, o.endedAt.Sub(signalled).Seconds(),
				o.endedAt.Sub(o.lastEvent).Seconds())
		}
	}
	record.Summary("%d of %d streams of the stopped daemon whole; cut off by the stopped daemon though no worker broke off and none was at work: %d (LOST: 0 allowed)",
		whole, len(outcomes), lost)
	if lost > 0 {
		return 1
	}
	return 0
}

func start(program, folder string) ([]*rig.Gateway, []*rig.Worker, *rig.Log, error) {
	store, err := rig.NewStore()
	if err != nil {
		return nil, nil, nil, err
	}
	store.Write("config", "main", config())
	log := &rig.Log{}
	var engines []*rig.Worker
	for i := range 4 {
		e, err := rig.NewWorker(store, log, fmt.Sprintf("i-%08x", 0x10000*(i+1)), rig.Options{
			Service: "pond-models", Domain: "d1", Slots: slots, Queue: queue, Events: events, EventGap: eventGap,
			FormTime: 300 * time.Millisecond,
			Models:   []rig.Model{{Name: modelName, Size: 2, Load: 2 * time.Second, Warm: 1100 * time.Millisecond}},
		})
		if err != nil {
			return nil, nil, nil, err
		}
		engines = append(engines, e)
	}
	gateways, err := rig.NewGateways(program, folder, store.Address, 3)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, g := range gateways {
		if err := g.Start(); err != nil {
			return gateways, nil, nil, err
		}
	}
	for _, g := range gateways {
		if err := g.AwaitReady(ctx); err != nil {
			return gateways, nil, nil, err
		}
	}
	time.Sleep(openTime)
	return gateways, engines, log, nil
}
