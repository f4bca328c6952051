package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The changes of the configuration: each version adds routes in place of those that the one before had added.
const (
	addedRoutes    = 350 // the largest count of big_config on the site
	firstVersion   = 8
	lastVersion    = 75
	routeClients   = 80
	playTime       = 100 * time.Second // since the start of the case
	maxWaitInForce = 4 * time.Second
	loadPerDaemon  = 8 // clients with a stream on a kept connection
)

// routesOf is the configuration of a version with its added routes.
func (d *deployment) routesOf(version int, prefix string) map[string]any {
	c := d.config(version)
	routes := c["routes"].([]any)
	for i := range addedRoutes {
		name := fmt.Sprintf("%s-%d", prefix, i)
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": host, "path-prefix": "/" + name + "/", "type": "stream", "timeout-ms": 8000, "goal-ms": 500,
			"priority": 1, "service": "engines", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-goal-ms": 300,
		})
	}
	c["routes"] = routes
	return c
}

// runRoutes changes the configuration again and again. Each version removes the routes that the one before had added, and adds as many with
// other names; clients send one request on each of them to each daemon.
func runRoutes(o *deploymentOptions) int {
	d, err := newDeployment(o, 12, 0, modelM0)
	if err != nil {
		return couldntRun
	}
	defer d.stopAll()
	if err := d.startDaemons(2); err != nil || !waitFor(30*time.Second, func() bool { return d.isReady() && d.heads() >= 6 }) {
		o.record.log("the deployment did not become ready: %v", err)
		return couldntRun
	}
	time.Sleep(2 * time.Second)
	if d.callUsual("before") != len(d.daemons) {
		return couldntRun
	}
	o.record.log("resident memory before the first change: %s", d.memoryOf())
	platform := d.watchMemory()
	defer close(platform.done)
	for _, w := range d.engines {
		w.quiet = true
	}
	steady := d.startLoad(modelM0, loadPerDaemon)
	client := newClient(routeClients)
	served, sent, end := 0, 0, o.record.start.Add(playTime)
	for version := firstVersion; version <= lastVersion && time.Now().Before(end) && platform.count() == 0; version++ {
		prefix := fmt.Sprintf("v%d", version)
		if !o.trouble {
			prefix = "v"
		}
		d.store.write("config", "main", d.routesOf(version, prefix))
		path := fmt.Sprintf("/%s-%d/1", prefix, addedRoutes-1)
		if !waitFor(maxWaitInForce, func() bool { return platform.count() > 0 || d.allServe(client, path) }) {
			o.record.log("version %d is not in force", version)
			return couldntRun
		}
		ok := d.callRoutes(client, prefix, version)
		served, sent = served+ok, sent+addedRoutes*len(d.daemons)
		o.record.log("version %d has %d added routes, named r-%s-N; of %d requests on them %d were served; resident memory %s",
			version, addedRoutes, prefix, addedRoutes*len(d.daemons), ok, d.memoryOf())
	}
	for _, w := range d.engines {
		w.quiet = false
	}
	o.record.log("%d requests sent, %d served", sent, served)
	waitFor(time.Second, func() bool { return platform.count() == 0 || platform.count() == len(d.daemons) })
	steady.stop()
	if platform.count() > 0 && steady.cuts() > 3 {
		return broken
	}
	if platform.count() > 0 || d.callUsual("after") != len(d.daemons) {
		return couldntRun
	}
	return held
}

// newClient returns a client that keeps up to count connections to each daemon.
func newClient(count int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count, IdleConnTimeout: 10 * time.Second}, Timeout: 9 * time.Second}
}

// callRoutes sends one request on each added route to each daemon, and returns how many were served.
func (d *deployment) callRoutes(client *http.Client, prefix string, version int) int {
	var group sync.WaitGroup
	var mutex sync.Mutex
	served := 0
	work := make(chan int)
	for range routeClients {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range work {
				to := d.daemons[i%len(d.daemons)]
				route := i / len(d.daemons)
				if d.callStream(client, to, fmt.Sprintf("/%s-%d/1", prefix, route), fmt.Sprintf("%d.%d", version, i)) == http.StatusOK {
					mutex.Lock()
					served++
					mutex.Unlock()
				}
			}
		}()
	}
	for i := range addedRoutes * len(d.daemons) {
		work <- i
	}
	close(work)
	group.Wait()
	return served
}

// allServe reports whether all daemons serve a route.
func (d *deployment) allServe(client *http.Client, path string) bool {
	for i, one := range d.daemons {
		if d.callStream(client, one, path, fmt.Sprintf("probe-%d-%d", time.Now().UnixNano(), i)) == http.StatusNotFound {
			return false
		}
	}
	return true
}
