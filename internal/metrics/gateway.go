package metrics

import "time"

// The metrics of a gateway daemon.
var (
	Requests = Metric{
		"azurepond_requests_total",
		[]string{"route", "outcome", "reason"},
		"requests", "Decisions on requests, by route, what was decided and why.",
	}
	Answer = Metric{
		"azurepond_request_seconds",
		[]string{"route"},
		"seconds", "Time from a request's arrival to the end of its answer.",
	}
	QueueWait = Metric{
		"azurepond_request_sent_seconds",
		[]string{"route"},
		"seconds", "Time from a request's arrival to its first send.",
	}
	Orders = Metric{
		"azurepond_orders_total",
		[]string{"verb", "reply"},
		"orders", "Orders to engines, by what was asked for and how they were answered.",
	}
	Looks = Metric{
		"azurepond_looks_total",
		[]string{"result"},
		"looks", "Looks at engines that may be dead.",
	}
	Connections = Metric{
		"azurepond_upstream_connections_total",
		nil,
		"connections", "Connections to upstreams that were opened.",
	}
	FirstEvent = Metric{
		"azurepond_stream_first_seconds",
		[]string{"route"},
		"seconds", "Time from the send of a stream to its first event.",
	}
	Pause = Metric{
		"azurepond_stream_pause_seconds",
		[]string{"route"},
		"seconds", "Longest pause between two events of each try of a stream.",
	}
	UnderWay = Metric{
		"azurepond_requests_under_way",
		[]string{"state"},
		"requests", "Requests that have not ended (running), wait here (waiting), ask for a place (asking), or wait for a " +
			"place whose count this daemon keeps (lines).",
	}
	RepeatsLeft = Metric{
		"azurepond_repeats_left",
		[]string{"service"},
		"requests", "How often this daemon may still send requests to a service again.",
	}
	LinesDropped = Metric{
		"azurepond_log_lines_dropped",
		nil,
		"lines", "Lines of the log that were dropped since nobody read them.",
	}
	Leading = Metric{
		"azurepond_leading",
		nil,
		"boolean", "Whether this daemon forms the replicas.",
	}
)

// Decided counts a decision on a request of route.
func (r *Recorder) Decided(route, what, reason string) { r.add(Requests.Key(route, what, reason)) }

// Sent takes over how long a request waited for its first send.
func (r *Recorder) Sent(route string, after time.Duration) { r.time(QueueWait.Key(route), after) }

// Answered takes over how long a request took until the end of its answer.
func (r *Recorder) Answered(route string, after time.Duration) { r.time(Answer.Key(route), after) }

// Streamed takes over the time to the first event of a try of a stream, and its longest pause.
func (r *Recorder) Streamed(route string, first, pause time.Duration) {
	r.time(FirstEvent.Key(route), first)
	r.time(Pause.Key(route), pause)
}

// Ordered counts an order to an engine.
func (r *Recorder) Ordered(verb, reply string) { r.add(Orders.Key(verb, reply)) }

// Looked counts a look at an engine.
func (r *Recorder) Looked(result string) { r.add(Looks.Key(result)) }
