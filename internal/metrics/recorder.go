package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// sampleSize is the number of values in the sample of a summary.
const sampleSize = 1028

// Recorder updates the metrics of a daemon in a registry.
type Recorder struct {
	registry  metrics.Registry
	owned     ownedMetrics
	evacuated []string // data centres
}

// NewRecorder returns a recorder of metrics in registry.
func NewRecorder(registry metrics.Registry) *Recorder { return &Recorder{registry: registry} }

// CallEnded counts a call by its outcome and records its times: firstToken, 0 for none, and total are measured from its
// arrival. A target that is not configured is counted as the empty one.
func (r *Recorder) CallEnded(call caller.Call, outcome caller.Outcome, firstToken, total time.Duration) {
	name, reason := describeOutcome(outcome)
	target := r.configuredOrNone("target", call.Target())
	r.increment(r.name(Calls, call.Organisation(), target, name))
	if reason != "" {
		r.increment(r.name(FailedCalls, call.Organisation(), target, string(reason)))
		return
	}
	r.recordTime(r.name(AnswerTime, target), total)
	if firstToken > 0 {
		r.recordTime(r.name(FirstTokenTime, target), firstToken)
	}
}

// CallRetried counts an attempt of a call after its first one.
func (r *Recorder) CallRetried(target string) {
	r.increment(r.name(Retries, r.configuredOrNone("target", target)))
}

// StoreRequestEnded counts a request to the object API by its result.
func (r *Recorder) StoreRequestEnded(request object.Request, result object.Result) {
	r.increment(r.name(StoreRequests, typeName(request), typeName(result)))
}

// SetModelCosts sets the totals of model: the downtime of its replicas and the time of its stranded accelerators.
func (r *Recorder) SetModelCosts(model string, downtime, stranded time.Duration) {
	r.setCounter(r.name(Downtime, model), downtime.Milliseconds())
	r.setCounter(r.name(StrandedTime, model), stranded.Milliseconds())
}

// SetGauge sets the current value of a metric; labels are the values of its labels in order.
func (r *Recorder) SetGauge(metric Metric, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(r.name(metric, labels...), r.registry).Update(value)
}

func (r *Recorder) increment(name string) { metrics.GetOrRegisterCounter(name, r.registry).Inc(1) }

// setCounter sets a counter to total.
func (r *Recorder) setCounter(name string, total int64) {
	counter := metrics.GetOrRegisterCounter(name, r.registry)
	counter.Inc(total - counter.Count())
}

func (r *Recorder) recordTime(name string, d time.Duration) {
	create := func() metrics.Timer {
		return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewUniformSample(sampleSize)), metrics.NilMeter{})
	}
	if timer, ok := r.registry.GetOrRegister(name, create).(metrics.Timer); ok {
		timer.Update(d)
	}
}

// describeOutcome returns the name of an outcome, and the reason if the call was not answered.
func describeOutcome(outcome caller.Outcome) (name string, reason caller.Reason) {
	switch o := outcome.(type) {
	case caller.NotRun:
		return "notrun", o.Reason()
	case caller.Unknown:
		return "unknown", o.Reason()
	}
	return "answered", ""
}

// typeName returns the label value of the type of a request or result.
func typeName(value any) string {
	switch value.(type) {
	case object.Get:
		return "get"
	case object.Put:
		return "put"
	case object.Delete:
		return "delete"
	case object.Watch:
		return "watch"
	case object.Found:
		return "found"
	case object.Absent:
		return "absent"
	case object.Stored:
		return "stored"
	case object.Conflict:
		return "conflict"
	case object.Refused:
		return "refused"
	}
	return "lost"
}
