package metrics

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// The metrics of internal/gateway.
var (
	Requests = Metric{
		"azurepond_requests_total",
		[]string{"route", "outcome", "reason"},
		"requests", "Decisions on requests, by route, what was decided and why.",
	}
	RequestTime = Metric{
		"azurepond_request_seconds",
		[]string{"route"},
		"seconds", "Time from a request's arrival to the end of its answer.",
	}
	FirstSendTime = Metric{
		"azurepond_request_sent_seconds",
		[]string{"route"},
		"seconds", "Time from a request's arrival to its first send.",
	}
	Orders = Metric{
		"azurepond_orders_total",
		[]string{"verb", "reply"},
		"orders", "Orders to engines, by what was asked for and how they were answered.",
	}
	Probes = Metric{
		"azurepond_looks_total",
		[]string{"result"},
		"looks", "Looks at engines that may be dead.",
	}
	UpstreamConnections = Metric{
		"azurepond_upstream_connections_total",
		nil,
		"connections", "Connections to upstreams that were opened.",
	}
	FirstEventTime = Metric{
		"azurepond_stream_first_seconds",
		[]string{"route"},
		"seconds", "Time from the send of a stream to its first event.",
	}
	LongestEventGap = Metric{
		"azurepond_stream_pause_seconds",
		[]string{"route"},
		"seconds", "Longest pause between two events of each try of a stream.",
	}
	ActiveRequests = Metric{
		"azurepond_requests_under_way",
		[]string{"state"},
		"requests", "Requests that have not ended (running), wait here (waiting), ask for a place (asking), or wait for a " +
			"place whose count this daemon keeps (lines).",
	}
	RetriesLeft = Metric{
		"azurepond_repeats_left",
		[]string{"service"},
		"requests", "How often this daemon may still send requests to a service again.",
	}
	DemandTime = Metric{
		"azurepond_demand_milliseconds_total",
		[]string{"organisation", "model"},
		"milliseconds", "Work that requests for a model may take before their deadlines, as the time of one replica, by which replicas are formed.",
	}
	RetrySharers = Metric{
		"azurepond_retry_sharers",
		nil,
		"daemons", "Among how many daemons this daemon divides the burst of the retry budget, 0 while that is unknown.",
	}
	DroppedLogLines = Metric{
		"azurepond_log_lines_dropped",
		nil,
		"lines", "Lines of the log that were dropped since nobody read them.",
	}
	MarkedParts = Metric{
		"azurepond_prompt_parts_marked_total",
		[]string{"verdict"},
		"parts", "Parts of prompts that this daemon told all daemons to refuse, since they crash upstreams (refused), or to serve again (cleared).",
	}
	SilentStoreWatches = Metric{
		"azurepond_store_silent_watches_total",
		nil,
		"watches", "Watches that the store did not answer in time, and that were replaced over a new connection.",
	}
	StoreRestores = Metric{
		"azurepond_store_restores_total",
		nil,
		"restores", "How often the store was restored from an older snapshot while this daemon used it.",
	}
	StoreEra = Metric{
		"azurepond_store_era",
		nil,
		"number", "The era of the store after its last restore, 0 if there was none.",
	}
	OutdatedStoreAnswers = Metric{
		"azurepond_store_outdated_answers_total",
		nil,
		"answers", "Answers of the store that were dropped, since they were of an earlier era.",
	}
	Upstreams = Metric{
		"azurepond_upstreams",
		[]string{"state"},
		"upstreams", "Listed upstreams that shut down (leaving), upstreams that throttle this daemon (throttling), upstreams that name a limit (limited), and upstreams that have just started and get requests at a low rate (cold).",
	}
	Lag = Metric{
		"azurepond_lag_milliseconds",
		nil,
		"milliseconds", "The longest delay within the last second between when a timer was due and when it was handled.",
	}
	LostPaths = Metric{
		"azurepond_lost_paths",
		nil,
		"upstreams", "Upstreams to which this daemon lost its path, so that its requests go through other daemons.",
	}
	RelayedRequests = Metric{
		"azurepond_relayed_requests_total",
		[]string{"outcome"},
		"requests", "Requests of this daemon that went through other daemons, by what became of them there.",
	}
	AcceptFailures = Metric{
		"azurepond_accept_failures_total",
		nil,
		"errors", "Temporary errors of accepting connections other than those of daemons, such as too many open files.",
	}
	AbandonedCalls = Metric{
		"azurepond_calls_abandoned_total",
		nil,
		"requests", "Requests that were ended since their handling failed with an internal error (panic).",
	}
	OpenConnections = Metric{
		"azurepond_connections",
		[]string{"kind"},
		"connections", "Open connections of callers, of peers whose requests this daemon passes on, and for administration.",
	}
	ConnectionLimits = Metric{
		"azurepond_connections_limit",
		[]string{"kind"},
		"connections", "How many connections of a kind may be open, 0 for any number.",
	}
	ClosedConnections = Metric{
		"azurepond_connections_closed_total",
		[]string{"kind", "reason"},
		"connections", "Connections that were closed while they were idle, as they were idle for too long (timeout) or as there were too many (limit).",
	}
	MemoryUsed = Metric{
		"azurepond_memory_used_bytes",
		[]string{"holder"},
		"bytes", "Memory for answers that are held, for events that have not arrived completely, and for bodies and heads of requests.",
	}
	MemoryPeak = Metric{
		"azurepond_memory_peak_bytes",
		[]string{"holder"},
		"bytes", "The largest azurepond_memory_used_bytes since the daemon has started.",
	}
	MemoryLimit = Metric{
		"azurepond_memory_limit_bytes",
		[]string{"holder"},
		"bytes", "How much memory a kind of holders may take together.",
	}
	MemoryRefusals = Metric{
		"azurepond_memory_refusals_total",
		[]string{"holder"},
		"refusals", "How often a holder found no memory: an answer was not held, an event ended its stream, or a body or a head was refused.",
	}
	MemoryWaiting = Metric{
		"azurepond_memory_waiting",
		[]string{"holder"},
		"requests", "Requests that wait for the memory for their bodies.",
	}
	EvacuatedCentres = Metric{
		"azurepond_centre_evacuated",
		[]string{"centre"},
		"phase", "Whether a data centre is evacuated: 1 announced, 2 closed to requests, 0 for a minute when the evacuation has ended.",
	}
	Leading = Metric{
		"azurepond_leading",
		nil,
		"boolean", "Whether this daemon forms the replicas.",
	}
)

// RequestDecided counts a decision on a request.
func (r *Recorder) RequestDecided(route, decision, reason string) {
	r.increment(r.name(Requests, route, decision, reason))
}

// DemandArrived counts the work that requests of an organisation for a model may take, as the time of one replica.
func (r *Recorder) DemandArrived(organisation, model string, work time.Duration) {
	metrics.GetOrRegisterCounter(r.name(DemandTime, organisation, model), r.registry).Inc(work.Milliseconds())
}

// RequestSent records the time from a request's arrival to its first send.
func (r *Recorder) RequestSent(route string, after time.Duration) {
	r.recordTime(r.name(FirstSendTime, route), after)
}

// RequestAnswered records the time from a request's arrival to the end of its answer.
func (r *Recorder) RequestAnswered(route string, after time.Duration) {
	r.recordTime(r.name(RequestTime, route), after)
}

// StreamAttemptEnded records the time from the send of an attempt to its first event, and the longest gap between two
// events.
func (r *Recorder) StreamAttemptEnded(route string, firstEvent, longestGap time.Duration) {
	r.recordTime(r.name(FirstEventTime, route), firstEvent)
	r.recordTime(r.name(LongestEventGap, route), longestGap)
}

// OrderAnswered counts an order to an engine by its reply.
func (r *Recorder) OrderAnswered(verb, reply string) { r.increment(r.name(Orders, verb, reply)) }

// ProbeEnded counts a probe of an engine by its result.
func (r *Recorder) ProbeEnded(result string) { r.increment(r.name(Probes, result)) }

// RequestRelayed counts a request that went through another daemon by its outcome there.
func (r *Recorder) RequestRelayed(outcome string) { r.increment(r.name(RelayedRequests, outcome)) }

// CentreEvacuated sets the phase of the evacuation of a data centre, 0 if it has ended.
func (r *Recorder) CentreEvacuated(centre string, phase int64) {
	r.evacuated = slices.DeleteFunc(r.evacuated, func(other string) bool { return other == centre })
	if phase > 0 {
		r.evacuated = append(r.evacuated, centre)
	}
	r.SetConfigured("centre", r.evacuated)
	r.SetGauge(EvacuatedCentres, phase, centre)
}

// PartMarked counts a verdict on a part of prompts that crashes upstreams.
func (r *Recorder) PartMarked(refused bool) {
	verdict := "cleared"
	if refused {
		verdict = "refused"
	}
	r.increment(r.name(MarkedParts, verdict))
}

// StoreWatchSilent counts a watch that the store did not answer in time and that was replaced over a new connection.
func (r *Recorder) StoreWatchSilent() { r.increment(r.name(SilentStoreWatches)) }

// StoreRestored counts that the store was restored from an older snapshot, and sets its era.
func (r *Recorder) StoreRestored(era uint64) {
	r.increment(r.name(StoreRestores))
	r.SetGauge(StoreEra, int64(era))
}

// AcceptFailed counts a temporary error of accepting a connection.
func (r *Recorder) AcceptFailed() { r.increment(r.name(AcceptFailures)) }

// CallAbandoned counts a request whose handling failed with an internal error.
func (r *Recorder) CallAbandoned() { r.increment(r.name(AbandonedCalls)) }

// SetTotal sets a counter that is kept elsewhere.
func (r *Recorder) SetTotal(metric Metric, total int64, labels ...string) {
	r.setCounter(r.name(metric, labels...), total)
}

// StoreAnswerOutdated counts an answer of an earlier era.
func (r *Recorder) StoreAnswerOutdated() { r.increment(r.name(OutdatedStoreAnswers)) }
