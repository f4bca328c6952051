// Package metrics defines the metrics of a daemon. It stores labels in the names of a go-metrics registry, and writes the
// registry as JSON and in the Prometheus text format.
package metrics
