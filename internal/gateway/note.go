package gateway

import (
	"net/http"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/quantity"
)

// recordDecision logs and counts a decision on a request.
func (d *Daemon) recordDecision(n dispatch.Note) {
	in := n.Inputs()
	fields := []any{
		"id", n.Name(), "content", strconv.FormatUint(n.ContentHash(), 16),
		"route", n.Route(), "upstream", n.Upstream(), "reason", n.Reason(), "after", n.SinceArrival(), "upstreams", in.Upstreams(),
		"calls", in.Calls(), "expected", in.Expected(), "waiting", in.Waiting(), "age", in.ReportAge(),
	}
	if len(n.Parts()) > 0 && concernsCrash(n) {
		fields = append(fields, "parts", n.Parts())
	}
	d.log.Info("dispatch", n.Decision(), fields...)
	d.recorder.RequestDecided(n.Route(), n.Decision(), n.Reason())
	switch n.Decision() {
	case dispatch.NoteSent:
		d.recorder.RequestSent(n.Route(), n.SinceArrival())
	case dispatch.NoteAnswered:
		d.recorder.RequestAnswered(n.Route(), n.SinceArrival())
	}
}

// concernsCrash reports whether a decision may be about a request that crashes upstreams.
func concernsCrash(n dispatch.Note) bool {
	return n.Reason() == dispatch.Interrupted.String() || n.Reason() == dispatch.Poison.String()
}

// recordStats updates the metrics of the work in progress.
func (d *Daemon) recordStats(s gateway.Stats) {
	d.recorder.SetGauge(metrics.ActiveRequests, int64(s.Active()), "running")
	d.recorder.SetGauge(metrics.ActiveRequests, int64(s.Queued()), "waiting")
	d.recorder.SetGauge(metrics.ActiveRequests, int64(s.AwaitingSlot()), "asking")
	d.recorder.SetGauge(metrics.ActiveRequests, int64(s.SlotWaiters()), "lines")
	for service, left := range s.RetriesLeft() {
		d.recorder.SetGauge(metrics.RetriesLeft, int64(left), service)
	}
	for demander, seconds := range s.Demand() {
		d.recorder.DemandArrived(demander.Organisation(), demander.Model(), quantity.Seconds(seconds))
	}
	d.recorder.SetGauge(metrics.Upstreams, int64(s.Leaving()), "leaving")
	d.recorder.SetGauge(metrics.Upstreams, int64(s.Throttling()), "throttling")
	d.recorder.SetGauge(metrics.Upstreams, int64(s.Limited()), "limited")
	d.recorder.SetGauge(metrics.Upstreams, int64(s.Cold()), "cold")
	d.recorder.SetGauge(metrics.LostPaths, int64(s.LostPaths()))
	d.recorder.SetGauge(metrics.Lag, s.Lag().Milliseconds())
	if s.Lag() >= lateThreshold {
		d.log.Info("daemon", "late", "lag", s.Lag(), "running", s.Active(), "waiting", s.Queued())
	}
}

// lateThreshold is the lag from which on a daemon logs that it is late. Slot requests to it time out from about there on.
const lateThreshold = 50 * time.Millisecond

// metricsHandler returns the handler that serves the metrics in the Prometheus text format.
func metricsHandler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := metrics.WriteText(w, registry, nil); err != nil {
			klog.InfoS("metrics: cannot write answer", "err", err.Error())
		}
	})
}
