package operator

import (
	"slices"
	"time"
)

// Revision numbers the accepted states of the fleet's configuration. Revision 0 is the empty configuration.
type Revision uint64

// Config is the configuration of one team.
type Config struct {
	revision      Revision
	team          string
	models        []Model
	services      []Service
	organisations []Organisation
	costWeights   CostWeights
	deadlines     Deadlines
	limits        Limits
}

// Revision returns the revision that last changed the team's configuration. In a file it is the base revision of the
// change.
func (c Config) Revision() Revision { return c.revision }

// Team returns the name of the team that owns the models, services and organisations of the configuration.
func (c Config) Team() string { return c.team }

// Models returns the models, in the order of the file.
func (c Config) Models() []Model { return c.models }

// Services returns the plain services, in the order of the file.
func (c Config) Services() []Service { return c.services }

// Organisations returns the organisations, in the order of the file.
func (c Config) Organisations() []Organisation { return c.organisations }

// CostWeights returns the relative costs of the team's losses.
func (c Config) CostWeights() CostWeights { return c.costWeights }

// Deadlines returns the time limits of the team's calls.
func (c Config) Deadlines() Deadlines { return c.deadlines }

// Limits returns the limits on the team's calls at one entry.
func (c Config) Limits() Limits { return c.limits }

// IsEmpty reports whether the configuration has no content apart from a team and a revision. Any other configuration
// has deadlines, which are never 0.
func (c Config) IsEmpty() bool { return c.deadlines == Deadlines{} }

// WithRevision returns a copy of the configuration with the given revision.
func (c Config) WithRevision(revision Revision) Config {
	c.revision = revision
	return c
}

// CostWeights are the relative costs of replica downtime and of stranded accelerators. Only their ratio matters.
type CostWeights struct {
	downtime  int
	stranding int
}

// Downtime returns the cost of one second during which one wanted replica cannot serve.
func (w CostWeights) Downtime() int { return w.downtime }

// Stranding returns the cost of one second during which one allocated accelerator is not part of an available replica.
func (w CostWeights) Stranding() int { return w.stranding }

// Deadlines are the time limits of a call.
type Deadlines struct {
	firstToken time.Duration
	total      time.Duration
}

// FirstToken returns the maximum time from the arrival of a call to its first token.
func (d Deadlines) FirstToken() time.Duration { return d.firstToken }

// Total returns the maximum time from the arrival of a call to the end of its answer.
func (d Deadlines) Total() time.Duration { return d.total }

// Limits are the limits on the calls of one team at one entry.
type Limits struct {
	maxQueuedCalls int
	maxBodyBytes   int
}

// MaxQueuedCalls returns the maximum number of calls queued at one entry.
func (l Limits) MaxQueuedCalls() int { return l.maxQueuedCalls }

// MaxBodyBytes returns the maximum size of a request body, in bytes.
func (l Limits) MaxBodyBytes() int { return l.maxBodyBytes }

// Owns reports whether the configuration has a model, service or organisation called name.
func (c Config) Owns(name string) bool { return slices.Contains(c.names(), name) }

// names returns the names of all models, services and organisations.
func (c Config) names() []string {
	names := make([]string, 0, len(c.models)+len(c.services)+len(c.organisations))
	for _, m := range c.models {
		names = append(names, m.name)
	}
	for _, s := range c.services {
		names = append(names, s.name)
	}
	for _, o := range c.organisations {
		names = append(names, o.name)
	}
	return names
}

func (c Config) hasKey(key Hash) bool {
	return slices.ContainsFunc(c.organisations, func(o Organisation) bool { return o.key == key })
}
