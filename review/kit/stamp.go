package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["stamp"] = playStamp }

// answered is what a client got.
type answered struct {
	status int
	stamp  string
	body   string
	err    error
}

// request sends one request of a client on a new connection.
func (f *fleet) request(d *daemon, method, path, id string, body io.Reader, timeout time.Duration) answered {
	return f.requestWithLength(d, method, path, id, body, 0, timeout)
}

// requestWithLength sends one request with a body of a length, 0 if body says it.
func (f *fleet) requestWithLength(d *daemon, method, path, id string, body io.Reader, length int64, timeout time.Duration) answered {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	client := http.Client{Transport: transport, Timeout: timeout}
	r, err := http.NewRequest(method, "http://"+d.front+path, body)
	if err != nil {
		return answered{err: err}
	}
	r.Host = host
	if length > 0 {
		r.ContentLength = length
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(r)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answered{response.StatusCode, response.Header.Get("X-Server-Stamp"), string(data), err}
}

// The figures of the case, within the largest dose of the site: one of seven workers (share 0.14) fails 9 of 20 requests (x 0.45).
const (
	stampWorkers  = 7
	stampRequests = 300
	failedOf20    = 9
)

// playStamp lets one worker fail some of the requests that it runs with a status of its own, and compares what the clients get.
func playStamp(f *fleet, trouble bool) (bool, error) {
	f.store.set("config", "main", config(1))
	var workers []*worker
	for i := range stampWorkers {
		w, err := f.addWorker(fmt.Sprintf("i-%04d", i), 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := f.addDaemons(2); err != nil {
		return false, err
	}
	for _, d := range f.daemons {
		if err := f.start(d, 0); err != nil {
			return false, err
		}
	}
	for _, d := range f.daemons {
		if err := f.waitReady(d); err != nil {
			return false, err
		}
	}
	grey, runs := workers[0], 0
	gave := map[string]int{} // by request id
	grey.mutex.Lock()
	grey.answer = func(r *http.Request) (int, string) {
		grey.mutex.Lock()
		defer grey.mutex.Unlock()
		runs++
		id := r.Header.Get("X-Request-Id")
		if !trouble || runs%20 < 20-failedOf20 {
			return http.StatusOK, "ticket of " + id
		}
		gave[id] = http.StatusServiceUnavailable
		return http.StatusServiceUnavailable, "the ticket printer failed"
	}
	grey.mutex.Unlock()
	violations := 0
	for i := range stampRequests {
		id := fmt.Sprintf("issue-%d", i)
		got := f.request(f.daemons[i%len(f.daemons)], http.MethodPost, "/issue/1", id, strings.NewReader("coat"), 1500*time.Millisecond)
		ran := 0
		for _, w := range workers {
			ran += w.ranTimes(id)
		}
		grey.mutex.Lock()
		status, failed := gave[id]
		grey.mutex.Unlock()
		if !failed {
			status = http.StatusOK
		}
		f.logf("request %s ran %d times, the worker gave %d; the client got status %d, signature %q, body %q, error %v",
			id, ran, status, got.status, got.stamp, got.body, got.err)
		if got.err == nil && got.stamp != "" && got.status >= http.StatusMultipleChoices && got.status != status {
			violations++
			f.logf("MIXED: the failure bears the signature of the worker and status %d, the worker gave %d", got.status, status)
		}
	}
	f.logf("%s failed %d of the %d requests that it ran; %d answers broke the rule", grey.id, len(gave), runs, violations)
	return violations > 0, nil
}
