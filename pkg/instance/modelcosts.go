package instance

import (
	"slices"
	"strings"
	"time"
)

// ModelCosts are the costs of one model since the first tick, as observed by this daemon.
type ModelCosts struct {
	model    string
	downtime time.Duration
	stranded time.Duration
}

// Model returns the model, empty for instances without a replica.
func (c ModelCosts) Model() string { return c.model }

// Downtime returns the group downtime: replica-time in which wanted replicas were unavailable.
func (c ModelCosts) Downtime() time.Duration { return c.downtime }

// Stranded returns the accelerator-time in which the model's accelerators were in no available replica.
func (c ModelCosts) Stranded() time.Duration { return c.stranded }

// ModelCosts returns the costs of each model so far, sorted by model. They add up to Costs.
func (s *State) ModelCosts() []ModelCosts {
	costs := make([]ModelCosts, 0, len(s.modelCosts))
	for _, c := range s.modelCosts {
		costs = append(costs, *c)
	}
	slices.SortFunc(costs, func(a, b ModelCosts) int { return strings.Compare(a.model, b.model) })
	return costs
}

func (s *State) costsOf(model string) *ModelCosts {
	if s.modelCosts == nil {
		s.modelCosts = map[string]*ModelCosts{}
	}
	if s.modelCosts[model] == nil {
		s.modelCosts[model] = &ModelCosts{model: model}
	}
	return s.modelCosts[model]
}
