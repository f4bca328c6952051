package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/operator"
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
			_ = d.loop.enqueue(func(now time.Time, state *reducer.State) {
				d.setMetrics(state)
				d.recorder.UnregisterGone(now)
			})
		}
	}
}

// setMetrics sets the metrics to the values in state, and which labels are configured.
func (d *Daemon) setMetrics(state *reducer.State) {
	d.setLabels(state.Fleet())
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

// setLabels sets the values of labels that are configured.
func (d *Daemon) setLabels(fleet operator.Fleet) {
	var models, targets, organisations []string
	for _, model := range fleet.Models() {
		models = append(models, model.Name())
	}
	for _, service := range fleet.Services() {
		targets = append(targets, service.Name())
	}
	for _, organisation := range fleet.Organisations() {
		organisations = append(organisations, organisation.Name())
	}
	d.recorder.SetConfigured("model", models)
	d.recorder.SetConfigured("target", slices.Concat(models, targets))
	d.recorder.SetConfigured("organisation", organisations)
}
