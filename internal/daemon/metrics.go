package daemon

import (
	"context"
	"time"

	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// metricsInterval is the interval between updates of the metrics that are read from the state.
const metricsInterval = time.Second

// updateMetrics updates the metrics that are read from the state until ctx ends.
func (d *Daemon) updateMetrics(ctx context.Context) error {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			_ = d.loop.enqueue(func(_ time.Time, state *reducer.State) { d.setMetrics(state) })
		}
	}
}

// setMetrics sets the metrics to the values in state.
func (d *Daemon) setMetrics(state *reducer.State) {
	d.recorder.SetGauge(metrics.ConfigRevision, int64(state.Fleet().Revision()))
	d.recorder.SetGauge(metrics.Members, int64(len(state.Members())))
	d.recorder.SetGauge(metrics.CallsInFlight, int64(d.callers.ActiveCalls()))
	for _, model := range modelsOf(state) {
		d.recorder.SetModelCosts(model.Name(), model.Downtime(), model.StrandedTime())
		if model.Name() == "" { // instances in no replica
			continue
		}
		d.recorder.SetGauge(metrics.WantedReplicas, int64(model.WantedReplicas()), model.Name())
		d.recorder.SetGauge(metrics.AvailableReplicas, int64(model.AvailableReplicas()), model.Name())
	}
}
