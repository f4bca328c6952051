package metrics

// Metric describes one metric of a daemon.
type Metric struct {
	name   string
	labels []string
	unit   string
	help   string
}

// Name returns the base name of the metric.
func (m Metric) Name() string { return m.name }

// Labels returns the names of the metric's labels in order.
func (m Metric) Labels() []string { return m.labels }

// Unit returns the unit of the metric's value.
func (m Metric) Unit() string { return m.unit }

// Help returns a description in one sentence.
func (m Metric) Help() string { return m.help }

// RegistryName returns the name of the metric in a registry; values are those of its labels in order.
func (m Metric) RegistryName(values ...string) string {
	if len(values) != len(m.labels) {
		panic("metrics: " + m.name + " needs one value for each label")
	}
	labels := make([]Label, len(values))
	for i, value := range values {
		labels[i] = NewLabel(m.labels[i], value)
	}
	return RegistryName(m.name, labels...)
}

// The metrics of internal/daemon; internal/gateway updates some of them too.
var (
	Calls = Metric{
		"azurepond_calls_total",
		[]string{"organisation", "target", "outcome"},
		"calls", "Calls that ended, by outcome: answered, notrun or unknown.",
	}
	FailedCalls = Metric{
		"azurepond_failed_calls_total",
		[]string{"organisation", "target", "reason"},
		"calls", "Calls that were not answered, by the reason that the caller was told.",
	}
	CallsInFlight = Metric{
		"azurepond_calls_in_flight",
		nil,
		"calls", "Calls that run at this entry now.",
	}
	FirstTokenTime = Metric{
		"azurepond_first_token_seconds",
		[]string{"target"},
		"seconds", "Time from a call's arrival to its first token.",
	}
	AnswerTime = Metric{
		"azurepond_answer_seconds",
		[]string{"target"},
		"seconds", "Time from a call's arrival to the end of its answer.",
	}
	Retries = Metric{
		"azurepond_retries_total",
		[]string{"target"},
		"tries", "Tries of a call after its first one.",
	}
	Downtime = Metric{
		"azurepond_group_downtime_milliseconds_total",
		[]string{"model"},
		"milliseconds", "Time in which wanted replicas could not serve, summed over replicas.",
	}
	StrandedTime = Metric{
		"azurepond_stranded_accelerators_milliseconds_total",
		[]string{"model"},
		"milliseconds", "Time in which accelerators were held outside any whole replica, summed over accelerators; those in no replica have no model.",
	}
	WantedReplicas = Metric{
		"azurepond_wanted_replicas",
		[]string{"model"},
		"replicas", "Replicas that the configuration wants.",
	}
	AvailableReplicas = Metric{
		"azurepond_whole_replicas",
		[]string{"model"},
		"replicas", "Replicas that are whole, as this daemon sees them.",
	}
	ConfigRevision = Metric{
		"azurepond_revision",
		nil,
		"revision", "The revision of the configuration that is in force at this entry.",
	}
	StoreRequests = Metric{
		"azurepond_store_requests_total",
		[]string{"verb", "result"},
		"requests", "Requests to the platform's object API, by what became of them.",
	}
	Members = Metric{
		"azurepond_members",
		nil,
		"daemons", "Daemons that this one takes for alive, itself included.",
	}
)

// linkMetrics are the metrics of internal/link, with their names in the text format.
var linkMetrics = []Metric{
	{"azurepond_link_bytes_sent", nil, "bytes", "Bytes to other daemons, framing included."},
	{"azurepond_link_bytes_received", nil, "bytes", "Bytes from other daemons, framing included."},
	{"azurepond_link_frames_sent", nil, "frames", "Frames to other daemons."},
	{"azurepond_link_frames_received", nil, "frames", "Frames from other daemons."},
	{"azurepond_link_frames_dropped", nil, "frames", "Frames that were not sent, since the queue to their daemon was full."},
	{"azurepond_link_refused_malformed", nil, "frames", "Frames that could not be read."},
	{"azurepond_link_refused_oversized", nil, "frames", "Frames that were too large."},
	{"azurepond_link_refused_foreign", nil, "connections", "Connections from processes that are no daemons of this fleet."},
	{"azurepond_link_accept_failures", nil, "errors", "Temporary errors of accepting other daemons, such as too many open files."},
	{"azurepond_link_open", nil, "connections", "Connections with other daemons now."},
}

// Catalog returns the metrics that the operators' documentation lists, in the same order.
func Catalog() []Metric {
	return append([]Metric{
		Calls, FailedCalls, CallsInFlight, FirstTokenTime, AnswerTime, Retries, Downtime, StrandedTime,
		WantedReplicas, AvailableReplicas, ConfigRevision, StoreRequests, Members,
		Requests, RequestTime, FirstSendTime, Orders, Probes, UpstreamConnections,
		FirstEventTime, LongestEventGap, ActiveRequests, RetriesLeft, DemandTime, RetrySharers, DroppedLogLines, Upstreams, Lag, Leading,
		StoreRestores, StoreEra, OutdatedStoreAnswers, SilentStoreWatches, MarkedParts, LostPaths, RelayedRequests,
		EvacuatedCentres,
		AcceptFailures, AbandonedCalls,
		OpenConnections,
		ConnectionLimits,
		ClosedConnections,
		MemoryUsed,
		MemoryPeak,
		MemoryLimit,
		MemoryRefusals,
		MemoryWaiting,
	}, linkMetrics...)
}
