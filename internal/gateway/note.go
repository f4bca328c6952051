package gateway

import (
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	named "github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
)

// note logs and counts a decision on a request.
func (d *Daemon) note(n dispatch.Note) {
	in := n.Inputs()
	d.log.Line("dispatch", n.Decision(), "id", n.Name(), "content", strconv.FormatUint(n.ContentHash(), 16), "route", n.Route(), "upstream", n.Upstream(), "reason", n.Reason(),
		"after", n.SinceArrival(), "upstreams", in.Upstreams(), "calls", in.Calls(), "expected", in.Expected(),
		"waiting", in.Waiting(), "age", in.Age())
	d.recorder.Decided(n.Route(), n.Decision(), n.Reason())
	switch n.Decision() {
	case dispatch.NoteSent:
		d.recorder.Sent(n.Route(), n.SinceArrival())
	case dispatch.NoteAnswered:
		d.recorder.Answered(n.Route(), n.SinceArrival())
	}
}

// measured takes over what is under way.
func (d *Daemon) measured(m gateway.Stats) {
	d.recorder.SetGauge(named.UnderWay, int64(m.Active()), "running")
	d.recorder.SetGauge(named.UnderWay, int64(m.Queued()), "waiting")
	d.recorder.SetGauge(named.UnderWay, int64(m.AwaitingSlot()), "asking")
	d.recorder.SetGauge(named.UnderWay, int64(m.SlotWaiters()), "lines")
	for service, left := range m.RetriesLeft() {
		d.recorder.SetGauge(named.RepeatsLeft, int64(left), service)
	}
}

// metricsHandler serves the metrics in text form.
func metricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := named.WriteText(w, registry, nil); err != nil {
			klog.InfoS("metrics: not written", "err", err.Error())
		}
	})
}
