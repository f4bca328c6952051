package daemon

import (
	"context"
	"time"

	named "github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// measurePeriod is the time between two updates of the metrics that follow the state.
const metricsInterval = time.Second

// measure brings the metrics that follow the state up to date, again and again.
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

// record takes the present values of state over into the metrics.
func (d *Daemon) setMetrics(state *reducer.State) {
	d.recorder.SetGauge(named.ConfigRevision, int64(state.Fleet().Revision()))
	d.recorder.SetGauge(named.Members, int64(len(state.Members())))
	d.recorder.SetGauge(named.CallsInFlight, int64(d.callers.Running()))
	for _, model := range modelsOf(state) {
		d.recorder.SetModelCosts(model.Name(), model.Downtime(), model.Stranding())
		if model.Name() == "" {
			continue
		}
		d.recorder.SetGauge(named.WantedReplicas, int64(model.Wanted()), model.Name())
		d.recorder.SetGauge(named.AvailableReplicas, int64(model.Whole()), model.Name())
	}
}
