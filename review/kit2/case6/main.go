// Case6 takes away the only API key of the only tenant, and checks that requests without a valid key are still refused.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"azurepond-review-2/rig"
)

// The bounds of the sheet and the times of the case.
const (
	configApply  = 2 * time.Second // config-apply-ms
	settle       = time.Second     // on top of it
	phaseTime    = 6 * time.Second
	sendInterval = 250 * time.Millisecond
	startTimeout = 30 * time.Second
	workTime     = 15 * time.Millisecond
)

// The keys that clients send.
const (
	goodKey  = "n2ctnfzs989anu6wsjnb"
	wrongKey = "key-that-no-configuration-ever-held"
)

const host = "ficu95.example"

func main() {
	program, folder, record := os.Args[1], os.Args[2], os.Args[3]
	os.Exit(run(program, folder, record, os.Getenv("TROUBLE") != "0"))
}

// config is a configuration with one tenant that holds these keys.
func config(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "device-enroll", "host": host, "path-prefix": "/enroll/", "type": "non_idempotent", "timeout-ms": 1500,
				"goal-ms": 100, "priority": 2, "service": "provisioning", "attempts": 2, "public": false,
			},
			map[string]any{
				"name": "status-read", "host": host, "path-prefix": "/status/", "type": "idempotent", "timeout-ms": 1500,
				"goal-ms": 100, "priority": 2, "service": "provisioning", "attempts": 2, "public": false,
			},
		},
		"services": []any{map[string]any{"name": "provisioning", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "officine-bellandi", "api-keys": append([]string{}, keys...), "priority": 1}},
	}
}

// client sends requests and records the answers.
type client struct {
	record *rig.Record
	sent   int
	keys   map[string]string // by request id
}

// send sends one enrollment and one status check with a key, empty for none, and returns the statuses.
func (c *client) send(gateway *rig.Gateway, label, key string) []int {
	var statuses []int
	for _, r := range []struct{ method, path, body string }{
		{http.MethodPost, "/enroll/device", `{"licence":1}`}, {http.MethodGet, "/status/device", ""},
	} {
		c.sent++
		id := fmt.Sprintf("c6%06x", c.sent)
		c.keys[id] = label
		request, err := http.NewRequest(r.method, "http://"+gateway.Front+r.path, strings.NewReader(r.body))
		if err != nil {
			panic(err)
		}
		request.Host = host
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "1500")
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		status, stamp := 0, ""
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body) // only the status counts
			_ = response.Body.Close()
			status, stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
		}
		c.record.Printf("sent %s %s %s to %s, key: %s; answered %d, stamp %q", id, r.method, r.path, gateway.Name, label, status, stamp)
		statuses = append(statuses, status)
	}
	return statuses
}

func run(program, folder, recordPath string, trouble bool) int {
	record, err := rig.NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	gateways, store, log, err := start(program, folder)
	for _, g := range gateways {
		defer g.Kill()
	}
	if err != nil {
		record.Summary("the case could not run: %v", err)
		return 2
	}
	c := &client{record: record, keys: map[string]string{}}
	for _, g := range gateways {
		for _, status := range c.send(g, "held", goodKey) {
			if status != http.StatusOK {
				record.Summary("the case could not run: a proper request got %d", status)
				return 2
			}
		}
	}
	if trouble {
		store.Write("config", "main", config(2))
		record.Printf("configuration 2 acknowledged: tenant officine-bellandi has lost all its keys")
	} else {
		store.Write("config", "main", config(2, goodKey))
		record.Printf("configuration 2 acknowledged: the keys stay")
	}
	time.Sleep(configApply + settle)
	began := time.Now()
	for time.Since(began) < phaseTime {
		for _, g := range gateways {
			c.send(g, "held before", goodKey)
			c.send(g, "never held", wrongKey)
			c.send(g, "none", "")
		}
		time.Sleep(sendInterval)
	}
	return judge(record, log, c, began, trouble)
}

func start(program, folder string) ([]*rig.Gateway, *rig.Store, *rig.Log, error) {
	store, err := rig.NewStore()
	if err != nil {
		return nil, nil, nil, err
	}
	store.Write("config", "main", config(1, goodKey))
	log := &rig.Log{}
	for _, id := range []string{"i-02d9e6b4", "i-7f3a91c2", "i-c41d07be"} {
		if _, err := rig.NewWorker(store, log, id, rig.Options{Service: "provisioning", Slots: 6, Work: workTime}); err != nil {
			return nil, nil, nil, err
		}
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
	return gateways, store, log, nil
}

// judge counts the requests that ran with a key that no configuration ever held, and those that ran with a dropped key.
func judge(record *rig.Record, log *rig.Log, c *client, began time.Time, trouble bool) int {
	never, dropped := 0, 0
	for _, r := range log.Runs() {
		record.Printf("ran %s at %s, tenant %q", r.ID, r.Worker, r.Tenant)
		switch label := c.keys[r.ID]; {
		case label == "never held" || label == "none":
			never++
		case label == "held before" && trouble && r.At.After(began):
			dropped++
		}
	}
	record.Summary("sent %d requests; ran with a key that no configuration ever held, or with none: %d (ROUTE: 0 allowed)", c.sent, never)
	record.Summary("ran with a key that was dropped over %s before: %d", configApply, dropped)
	if never > 0 {
		return 1
	}
	return 0
}
