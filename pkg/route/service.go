package route

import "time"

// Service is a set of equal upstreams.
type Service struct {
	name        string
	health      string
	connections int
	engine      Engine
}

// NewService returns the service called name, whose health is told at a path, and the most connections that one of its
// upstreams takes from all daemons together.
func NewService(name, health string, connections int) Service {
	return Service{name: name, health: health, connections: connections}
}

// WithEngine returns the service as one whose upstreams run models.
func (s Service) WithEngine(engine Engine) Service {
	s.engine = engine
	return s
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Health returns the path of the health check.
func (s Service) Health() string { return s.health }

// Connections returns the most connections that one upstream takes from all daemons together.
func (s Service) Connections() int { return s.connections }

// Engine returns what the upstreams can run; it has no models at a plain service.
func (s Service) Engine() Engine { return s.engine }

// Engine says what the engines of a service can run and how fast.
type Engine struct {
	slots     int
	stride    int
	chunk     int
	step      time.Duration
	perCall   time.Duration
	readRate  float64
	loadRate  float64
	loads     int
	retention int
	form      time.Duration
	far       float64
	lag       time.Duration
	models    []Model
}

// NewEngine returns an engine that runs slots calls at once.
func NewEngine(slots int, models ...Model) Engine { return Engine{slots: slots, models: models} }

// WithPace returns the engine with the time of a step that writes a token of each call, what each call adds to it, the
// steps between two events, the prompt tokens that it reads in a second, and the most that it reads in one step.
func (e Engine) WithPace(step, perCall time.Duration, stride int, readRate float64, chunk int) Engine {
	e.step, e.perCall, e.stride, e.readRate, e.chunk = step, perCall, max(stride, 1), readRate, chunk
	return e
}

// WithLoads returns the engine with the loads from the weight store that may begin in a second, those that may run at once
// without getting slower, the models that a host keeps staged, and the time in which an opened replica begins to serve.
func (e Engine) WithLoads(rate float64, atOnce, retention int, form time.Duration) Engine {
	e.loadRate, e.loads, e.retention, e.form = rate, atOnce, retention, form
	return e
}

// WithFar returns the engine with the factor on the times of a replica whose members lie in several fabric domains.
func (e Engine) WithFar(factor float64) Engine {
	e.far = factor
	return e
}

// Far returns the factor on the times of a replica whose members lie in several fabric domains, 1 for none.
func (e Engine) Far() float64 { return max(e.far, 1) }

// WithLag returns the engine with the age of what it reports of its load.
func (e Engine) WithLag(lag time.Duration) Engine {
	e.lag = lag
	return e
}

// Slots returns how many calls one replica runs at once.
func (e Engine) Slots() int { return e.slots }

// LoadRate returns how many loads from the weight store may begin in a second, 0 for no limit.
func (e Engine) LoadRate() float64 { return e.loadRate }

// Loads returns how many loads from the weight store may run at once without getting slower, 0 for no limit.
func (e Engine) Loads() int { return e.loads }

// Form returns the time in which an opened replica begins to serve.
func (e Engine) Form() time.Duration { return e.form }

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
	if e.readRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.readRate * m.pace * float64(time.Second))
}

// Pass returns the time between two events of each of running calls at a replica of model m, without reading.
func (e Engine) Pass(m Model, running int) time.Duration {
	one := e.step + time.Duration(running)*e.perCall
	return time.Duration(float64(one) * float64(max(e.stride, 1)) * m.pace)
}

// Model is a model that spans several instances.
type Model struct {
	name  string
	span  int
	share float64
	pace  float64
	load  time.Duration
	warm  time.Duration
}

// NewModel returns a model whose replicas have span members; share is the part of all instances that it gets at first,
// and pace multiplies the times of its replicas.
func NewModel(name string, span int, share, pace float64) Model {
	if pace <= 0 {
		pace = 1
	}
	return Model{name: name, span: max(span, 1), share: share, pace: pace}
}

// WithLoads returns the model with the time to load it from the weight store, and from its host where it is staged.
func (m Model) WithLoads(load, warm time.Duration) Model {
	m.load, m.warm = load, warm
	return m
}

// Name returns the name of the model.
func (m Model) Name() string { return m.name }

// Span returns the number of members of a replica.
func (m Model) Span() int { return m.span }

// Share returns the part of all instances that the model gets before its demand is known.
func (m Model) Share() float64 { return m.share }

// Pace returns the factor on the times of its replicas.
func (m Model) Pace() float64 { return m.pace }

// Load returns the time to load the model from the weight store.
func (m Model) Load() time.Duration { return m.load }

// Warm returns the time to load the model where it is staged.
func (m Model) Warm() time.Duration { return m.warm }

// Step returns the time of one step that writes a token of each of running calls at a replica of model m.
func (e Engine) Step(m Model, running int) time.Duration {
	return time.Duration(float64(e.step+time.Duration(running)*e.perCall) * m.pace)
}
