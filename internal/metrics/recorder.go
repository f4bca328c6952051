package metrics

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/object"
)

// sampleSize is how many recent values a summary keeps.
const sampleSize = 1028

// Recorder counts what a daemon does in a registry.
type Recorder struct{ registry metrics.Registry }

// NewRecorder returns a recorder that counts in registry.
func NewRecorder(registry metrics.Registry) *Recorder { return &Recorder{registry} }

// CallEnded counts a call that ended with outcome, whole after it arrived; first is the time to its first token, 0 for none.
func (r *Recorder) CallEnded(call caller.Call, outcome caller.Outcome, first, whole time.Duration) {
	name, reason := outcomeName(outcome)
	r.add(Calls.Key(call.Organisation(), call.Target(), name))
	if reason != "" {
		r.add(FailedCalls.Key(call.Organisation(), call.Target(), string(reason)))
		return
	}
	r.time(AnswerTime.Key(call.Target()), whole)
	if first > 0 {
		r.time(FirstTokenTime.Key(call.Target()), first)
	}
}

// CallRetried counts a try of a call after its first one.
func (r *Recorder) CallRetried(target string) { r.add(Retries.Key(target)) }

// Stored counts a request to the object API and what became of it.
func (r *Recorder) Stored(request object.Request, result object.Result) {
	r.add(StoreRequests.Key(typeName(request), typeName(result)))
}

// SetModelCosts takes over the losses of model so far: group downtime and time of stranded accelerators.
func (r *Recorder) SetModelCosts(model string, downtime, stranding time.Duration) {
	r.raise(Downtime.Key(model), downtime.Milliseconds())
	r.raise(StrandedTime.Key(model), stranding.Milliseconds())
}

// SetGauge takes over the present value of a metric that has labels.
func (r *Recorder) SetGauge(metric Metric, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(metric.Key(labels...), r.registry).Update(value)
}

func (r *Recorder) add(name string) { metrics.GetOrRegisterCounter(name, r.registry).Inc(1) }

// raise brings a counter up to total.
func (r *Recorder) raise(name string, total int64) {
	counter := metrics.GetOrRegisterCounter(name, r.registry)
	counter.Inc(total - counter.Count())
}

func (r *Recorder) time(name string, d time.Duration) {
	create := func() metrics.Timer {
		return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewUniformSample(sampleSize)), metrics.NilMeter{})
	}
	if timer, ok := r.registry.GetOrRegister(name, create).(metrics.Timer); ok {
		timer.Update(d)
	}
}

// outcomeName returns the name of an outcome, and why the call was not answered.
func outcomeName(outcome caller.Outcome) (name string, reason caller.Reason) {
	switch o := outcome.(type) {
	case caller.NotRun:
		return "notrun", o.Reason()
	case caller.Unknown:
		return "unknown", o.Reason()
	}
	return "answered", ""
}

// typeName returns the name of a request's or result's type, in lower case and without its package.
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
