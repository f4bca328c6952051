package route

import "time"

// Service is a set of equal upstreams.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
	engine         Engine
}

// NewService returns the service called name, whose health is told at a path, and the most connections that one of its
// upstreams takes from all daemons together.
func NewService(name, health string, connections int) Service {
	return Service{name: name, healthPath: health, maxConnections: connections}
}

// WithEngine returns the service as one whose upstreams run models.
func (s Service) WithEngine(engine Engine) Service {
	s.engine = engine
	return s
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections returns the most connections that one upstream takes from all daemons together.
func (s Service) MaxConnections() int { return s.maxConnections }

// Engine returns what the upstreams can run; it has no models at a plain service.
func (s Service) Engine() Engine { return s.engine }

// Engine says what the engines of a service can run and how fast.
type Engine struct {
	slots              int
	stepsPerEvent      int
	maxPrefillChunk    int
	stepTime           time.Duration
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

// NewEngine returns an engine that runs slots calls at once.
func NewEngine(slots int, models ...Model) Engine { return Engine{slots: slots, models: models} }

// WithStepTimes returns the engine with the time of a step that writes a token of each call, what each call adds to it, the
// steps between two events, the prompt tokens that it reads in a second, and the most that it reads in one step.
func (e Engine) WithStepTimes(step, perCall time.Duration, stride int, readRate float64, chunk int) Engine {
	e.stepTime, e.stepTimePerCall, e.stepsPerEvent, e.prefillRate, e.maxPrefillChunk = step, perCall, max(stride, 1), readRate, chunk
	return e
}

// WithLoadLimits returns the engine with the loads from the weight store that may begin in a second, those that may run at once
// without getting slower, the models that a host keeps staged, and the time in which an opened replica begins to serve.
func (e Engine) WithLoadLimits(rate float64, atOnce, retention int, form time.Duration) Engine {
	e.maxLoadRate, e.maxConcurrentLoads, e.stagedPerHost, e.formationTime = rate, atOnce, retention, form
	return e
}

// WithCrossDomainFactor returns the engine with the factor on the times of a replica whose members lie in several fabric domains.
func (e Engine) WithCrossDomainFactor(factor float64) Engine {
	e.crossDomainFactor = factor
	return e
}

// CrossDomainFactor returns the factor on the times of a replica whose members lie in several fabric domains, 1 for none.
func (e Engine) CrossDomainFactor() float64 { return max(e.crossDomainFactor, 1) }

// WithReportLag returns the engine with the age of what it reports of its load.
func (e Engine) WithReportLag(lag time.Duration) Engine {
	e.reportLag = lag
	return e
}

// Slots returns how many calls one replica runs at once.
func (e Engine) Slots() int { return e.slots }

// MaxLoadRate returns how many loads from the weight store may begin in a second, 0 for no limit.
func (e Engine) MaxLoadRate() float64 { return e.maxLoadRate }

// MaxConcurrentLoads returns how many loads from the weight store may run at once without getting slower, 0 for no limit.
func (e Engine) MaxConcurrentLoads() int { return e.maxConcurrentLoads }

// FormationTime returns the time in which an opened replica begins to serve.
func (e Engine) FormationTime() time.Duration { return e.formationTime }

// Models returns the models.
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

// Read returns the time to read a prompt at a replica of model m.
func (e Engine) Read(m Model, tokens int) time.Duration {
	if e.prefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.prefillRate * m.timeFactor * float64(time.Second))
}

// EventInterval returns the time between two events of each of running calls at a replica of model m, without reading.
func (e Engine) EventInterval(m Model, running int) time.Duration {
	one := e.stepTime + time.Duration(running)*e.stepTimePerCall
	return time.Duration(float64(one) * float64(max(e.stepsPerEvent, 1)) * m.timeFactor)
}

// Model is a model that spans several instances.
type Model struct {
	name         string
	replicaSize  int
	initialShare float64
	timeFactor   float64
	loadTime     time.Duration
	warmLoadTime time.Duration
}

// NewModel returns a model whose replicas have span members; share is the part of all instances that it gets at first,
// and pace multiplies the times of its replicas.
func NewModel(name string, span int, share, pace float64) Model {
	if pace <= 0 {
		pace = 1
	}
	return Model{name: name, replicaSize: max(span, 1), initialShare: share, timeFactor: pace}
}

// WithLoadTimes returns the model with the time to load it from the weight store, and from its host where it is staged.
func (m Model) WithLoadTimes(load, warm time.Duration) Model {
	m.loadTime, m.warmLoadTime = load, warm
	return m
}

// Name returns the name of the model.
func (m Model) Name() string { return m.name }

// ReplicaSize returns the number of members of a replica.
func (m Model) ReplicaSize() int { return m.replicaSize }

// InitialShare returns the part of all instances that the model gets before its demand is known.
func (m Model) InitialShare() float64 { return m.initialShare }

// TimeFactor returns the factor on the times of its replicas.
func (m Model) TimeFactor() float64 { return m.timeFactor }

// LoadTime returns the time to load the model from the weight store.
func (m Model) LoadTime() time.Duration { return m.loadTime }

// WarmLoadTime returns the time to load the model where it is staged.
func (m Model) WarmLoadTime() time.Duration { return m.warmLoadTime }

// StepTime returns the time of one step that writes a token of each of running calls at a replica of model m.
func (e Engine) StepTime(m Model, running int) time.Duration {
	return time.Duration(float64(e.stepTime+time.Duration(running)*e.stepTimePerCall) * m.timeFactor)
}
