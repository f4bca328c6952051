package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of a summary.
var quantiles = []float64{0.5, 0.95, 0.99}

// secondsPerNanosecond converts the values of go-metrics timers, which are in nanoseconds.
const secondsPerNanosecond = 1e-9

// sample is one line of the text format: a number with a suffix of the name and an additional label.
type sample struct {
	suffix string
	label  string
	value  float64
}

// series is one metric of a registry with one combination of label values.
type series struct {
	base    string
	labels  string
	kind    string
	samples []sample
}

// WriteText writes the metrics in the Prometheus text format, ordered by name. It writes only those for whose registry name
// include returns true; a nil include means all.
func WriteText(out io.Writer, registry metrics.Registry, include func(name string) bool) error {
	last := ""
	for _, m := range collectSeries(registry, include) {
		if m.base != last {
			if _, err := fmt.Fprintf(out, "# TYPE %s %s\n", m.base, m.kind); err != nil {
				return trace.Wrap(err)
			}
			last = m.base
		}
		for _, s := range m.samples {
			if _, err := fmt.Fprintf(out, "%s%s%s %s\n",
				m.base, s.suffix, joinLabels(m.labels, s.label), formatNumber(s.value),
			); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// WriteJSON writes the same numbers as WriteText as one JSON object.
func WriteJSON(out io.Writer, registry metrics.Registry, include func(name string) bool) error {
	numbers := map[string]float64{}
	for _, m := range collectSeries(registry, include) {
		for _, s := range m.samples {
			numbers[m.base+s.suffix+joinLabels(m.labels, s.label)] = s.value
		}
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(numbers))
}

// formatNumber returns value in decimal notation without an exponent.
func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func joinLabels(labels ...string) string {
	var nonEmpty []string
	for _, label := range labels {
		if label != "" {
			nonEmpty = append(nonEmpty, label)
		}
	}
	if len(nonEmpty) == 0 {
		return ""
	}
	return "{" + strings.Join(nonEmpty, ",") + "}"
}

func collectSeries(registry metrics.Registry, include func(name string) bool) []series {
	var all []series
	registry.Each(func(name string, metric any) {
		if include != nil && !include(name) {
			return
		}
		base, labels := splitLabels(name)
		base = exportedName(base)
		if kind, samples := readMetric(metric); kind != "" {
			all = append(all, series{base, labels, kind, samples})
		}
	})
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		return a.base < b.base || a.base == b.base && a.labels < b.labels
	})
	return all
}

// namePrefix is the prefix of all exported names.
const namePrefix = "azurepond_"

// exportedName returns the name of a metric in the text format, which allows only letters, digits and underscores.
func exportedName(base string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, base)
	return namePrefix + strings.TrimPrefix(clean, namePrefix)
}

func readMetric(metric any) (kind string, samples []sample) {
	switch m := metric.(type) {
	case metrics.Counter:
		return "counter", []sample{{value: float64(m.Count())}}
	case metrics.Gauge:
		return "gauge", []sample{{value: float64(m.Value())}}
	case metrics.GaugeFloat64:
		return "gauge", []sample{{value: m.Value()}}
	case metrics.Meter:
		return "counter", []sample{{value: float64(m.Count())}}
	case metrics.Timer:
		return "summary", summarySamples(
			m.Percentiles(quantiles),
			float64(m.Sum())*secondsPerNanosecond, m.Count(), secondsPerNanosecond,
		)
	case metrics.Histogram:
		s := m.Snapshot()
		return "summary", summarySamples(s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	}
	return "", nil
}

func summarySamples(values []float64, sum float64, count int64, unit float64) []sample {
	var samples []sample
	for i, q := range quantiles {
		samples = append(samples, sample{label: fmt.Sprintf(`quantile="%v"`, q), value: values[i] * unit})
	}
	return append(samples, sample{suffix: "_sum", value: sum}, sample{suffix: "_count", value: float64(count)})
}
