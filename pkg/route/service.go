package route

import (
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// Service is a set of identical upstreams.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	engine         Engine
	coldTime       time.Duration
	coldRate       float64
}

// NewService returns the service called name with the path of its health check, and the limit on the connections of all
// daemons together to one upstream.
func NewService(name, healthPath string, maxConnections int) Service {
	return Service{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// WithEngine returns the service as one whose upstreams run models.
func (s Service) WithEngine(engine Engine) Service {
	s.engine = engine
	return s
}

// WithCold returns the service as one whose upstreams are cold for a time after they start, in which each of them tolerates a rate of
// requests per second from all daemons together, 0 for no limit.
func (s Service) WithCold(coldTime time.Duration, coldRate float64) Service {
	s.coldTime, s.coldRate = coldTime, max(coldRate, 0)
	return s
}

// ColdTime returns for how long an upstream is cold at most after it starts, 0 if unknown.
func (s Service) ColdTime() time.Duration { return s.coldTime }

// ColdRate returns the requests per second that a cold upstream tolerates, 0 for no limit.
func (s Service) ColdRate() float64 { return s.coldRate }

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the limit on the connections of all daemons together to one upstream.
func (s Service) MaxConnections() int { return s.maxConnections }

// Engine returns the models and capacity of the upstreams; a service without engines has no models.
func (s Service) Engine() Engine { return s.engine }

// Engine is the models, speed and capacity of the engines of a service.
type Engine struct {
	slots              int
	memoryTokens       int // 0 if unknown
	stepsPerEvent      int
	maxPrefillChunk    int
	baseStepTime       time.Duration
	stepTimePerCall    time.Duration
	prefillRate        float64
	maxLoadRate        float64
	maxConcurrentLoads int
	stagedPerHost      int
	formationTime      time.Duration
	crossDomainFactor  float64
	reportLag          time.Duration
	models             []Model
}

// NewEngine returns an engine that runs slots calls concurrently.
func NewEngine(slots int, models ...Model) Engine { return Engine{slots: slots, models: models} }

// WithStepTimes returns the engine with the base time of a decode step, the time that each running call adds to it, the
// steps per event, the prompt tokens prefilled per second, and the limit of prompt tokens prefilled in one step.
func (e Engine) WithStepTimes(
	base, perCall time.Duration, stepsPerEvent int, prefillRate float64, maxPrefillChunk int,
) Engine {
	e.baseStepTime, e.stepTimePerCall, e.stepsPerEvent, e.prefillRate, e.maxPrefillChunk =
		base, perCall, max(stepsPerEvent, 1), prefillRate, maxPrefillChunk
	return e
}

// WithLoadLimits returns the engine with the limit on loads from the weight store started per second, the number of
// concurrent loads that do not slow each other down, the models staged per host, and the time in which an opened replica
// begins to serve.
func (e Engine) WithLoadLimits(maxRate float64, maxConcurrent, stagedPerHost int, formationTime time.Duration) Engine {
	e.maxLoadRate, e.maxConcurrentLoads, e.stagedPerHost, e.formationTime = maxRate, maxConcurrent, stagedPerHost, formationTime
	return e
}

// WithCrossDomainFactor returns the engine with the factor on the times of a replica with members in several fabric
// domains.
func (e Engine) WithCrossDomainFactor(factor float64) Engine {
	e.crossDomainFactor = factor
	return e
}

// CrossDomainFactor returns the factor on the times of a replica with members in several fabric domains, at least 1.
func (e Engine) CrossDomainFactor() float64 { return max(e.crossDomainFactor, 1) }

// WithReportLag returns the engine with the age of the load that it reports.
func (e Engine) WithReportLag(lag time.Duration) Engine {
	e.reportLag = lag
	return e
}

// WithMemory returns the engine with the number of tokens that fit into the memory of one replica, 0 if unknown.
func (e Engine) WithMemory(tokens int) Engine {
	e.memoryTokens = tokens
	return e
}

// Fits reports whether a prompt and an answer of at most these numbers of tokens fit into the memory of one replica, as far as it is known.
func (e Engine) Fits(prompt, output int) bool {
	return e.memoryTokens == 0 || prompt <= e.memoryTokens && output <= e.memoryTokens-prompt
}

// Slots returns how many calls one replica runs concurrently.
func (e Engine) Slots() int { return e.slots }

// MaxLoadRate returns the limit on loads from the weight store started per second, 0 for no limit.
func (e Engine) MaxLoadRate() float64 { return e.maxLoadRate }

// MaxConcurrentLoads returns the number of concurrent loads from the weight store that do not slow each other down, 0 for
// no limit.
func (e Engine) MaxConcurrentLoads() int { return e.maxConcurrentLoads }

// FormationTime returns the time in which an opened replica begins to serve.
func (e Engine) FormationTime() time.Duration { return e.formationTime }

// Models returns the models that the engines can run.
func (e Engine) Models() []Model { return e.models }

// Model returns the model called name.
func (e Engine) Model(name string) (Model, bool) {
	for _, m := range e.models {
		if m.name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Read returns the prefill time of a prompt at a replica of model m.
func (e Engine) Read(m Model, tokens int) time.Duration {
	if e.prefillRate <= 0 {
		return 0
	}
	return quantity.Seconds(float64(tokens) / e.prefillRate * m.timeFactor)
}

// EventInterval returns the time between two events of a call at a replica of model m that runs this number of calls,
// without prefill.
func (e Engine) EventInterval(m Model, running int) time.Duration {
	return quantity.Duration(float64(max(e.stepsPerEvent, 1))*m.timeFactor, e.stepTime(running))
}

// Model is a model whose replicas span several instances.
type Model struct {
	name         string
	replicaSize  int
	initialShare float64
	timeFactor   float64
	loadTime     time.Duration
	warmLoadTime time.Duration
}

// NewModel returns a model whose replicas have replicaSize members. It gets initialShare of all instances until its demand
// is known; timeFactor multiplies the times of its replicas.
func NewModel(name string, replicaSize int, initialShare, timeFactor float64) Model {
	if timeFactor <= 0 {
		timeFactor = 1
	}
	return Model{name: name, replicaSize: max(replicaSize, 1), initialShare: initialShare, timeFactor: timeFactor}
}

// WithLoadTimes returns the model with the time to load it from the weight store, and from a host where it is staged.
func (m Model) WithLoadTimes(loadTime, warmLoadTime time.Duration) Model {
	m.loadTime, m.warmLoadTime = loadTime, warmLoadTime
	return m
}

// Name returns the name of the model.
func (m Model) Name() string { return m.name }

// ReplicaSize returns the number of members of a replica.
func (m Model) ReplicaSize() int { return m.replicaSize }

// InitialShare returns the share of all instances that the model gets until its demand is known.
func (m Model) InitialShare() float64 { return m.initialShare }

// TimeFactor returns the factor on the times of its replicas.
func (m Model) TimeFactor() float64 { return m.timeFactor }

// LoadTime returns the time to load the model from the weight store.
func (m Model) LoadTime() time.Duration { return m.loadTime }

// WarmLoadTime returns the time to load the model from a host where it is staged.
func (m Model) WarmLoadTime() time.Duration { return m.warmLoadTime }

// StepTime returns the time of one decode step, which generates one token of each call, at a replica of model m that runs
// this number of calls.
func (e Engine) StepTime(m Model, running int) time.Duration {
	return quantity.Duration(m.timeFactor, e.stepTime(running))
}

// stepTime returns the time of one decode step for a model whose time factor is 1.
func (e Engine) stepTime(running int) time.Duration {
	return e.baseStepTime + quantity.Duration(float64(running), e.stepTimePerCall)
}
