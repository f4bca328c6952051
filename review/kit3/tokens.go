package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// rounds is how often each daemon gets a request that is larger than the memory of a worker.
const rounds = 3

// runTokens sends requests that are larger than the memory of a worker to three daemons, beside streams on kept connections. The platform
// starts a process again that has ended.
func runTokens(o *deploymentOptions) int {
	d, err := newDeployment(o, 8, 0, modelM0)
	if err != nil {
		return couldntRun
	}
	defer d.stopAll()
	isReady := func() bool { return d.isReady() && d.heads() >= 4 }
	if err := d.startDaemons(3); err != nil || !waitFor(30*time.Second, isReady) {
		o.record.log("the deployment did not become ready: %v", err)
		return couldntRun
	}
	time.Sleep(3 * time.Second)
	if d.callUsual("before") != len(d.daemons) {
		return couldntRun
	}
	large := "2000000,80"
	if o.trouble {
		large = "9223372036854775807,80"
	}
	steady := d.startLoad(modelM0, loadPerDaemon)
	ends := map[string]int{}
	for round := range rounds {
		time.Sleep(4 * time.Second)
		for i, to := range d.daemons {
			d.call(to, "POST", "/draft/1", fmt.Sprintf("large-%d-%d", round, i),
				map[string]string{"X-Model": modelM0, "X-Tokens": large, "X-Deadline-Ms": "8000", "X-Prompt-Prefix": "5c1e07a2:800"}, "a prompt")
		}
		time.Sleep(500 * time.Millisecond)
		for _, one := range d.daemons {
			if !one.hasExited() {
				continue
			}
			ends[one.name]++
			o.record.log("daemon=%s ended by itself: %s: %s", one.name, one.exit, firstLine(one.logPath, "panic:"))
			if err := d.restart(one); err != nil {
				return couldntRun
			}
		}
		if !waitFor(15*time.Second, isReady) {
			o.record.log("the deployment did not become ready again")
			return couldntRun
		}
	}
	steady.stop()
	o.record.log("how often daemons ended by themselves: %v", ends)
	if len(ends) > 0 && steady.cuts() > 3 {
		return broken
	}
	if len(ends) > 0 || d.callUsual("after") != len(d.daemons) {
		return couldntRun
	}
	return held
}

// callUsual sends one request of the usual size to each daemon, and returns how many were served.
func (d *deployment) callUsual(name string) int {
	served := 0
	for i, to := range d.daemons {
		a := d.call(to, "POST", "/draft/1", fmt.Sprintf("%s-%d", name, i),
			map[string]string{"X-Model": modelM0, "X-Tokens": "1460,80", "X-Deadline-Ms": "8000", "X-Prompt-Prefix": "5c1e07a2:800"}, "a prompt")
		if a.err == nil && a.status == 200 && a.stamp != "" {
			served++
		}
	}
	return served
}

// firstLine returns the first line of a file that begins with a text.
func firstLine(path, begin string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, begin) {
			return strings.TrimSpace(line)
		}
	}
	return "no line " + begin
}
