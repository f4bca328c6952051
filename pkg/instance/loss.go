package instance

import (
	"slices"
	"strings"
	"time"
)

// ModelCosts is what one model has lost since the first tick, as this daemon saw it.
type ModelCosts struct {
	model    string
	downtime time.Duration
	stranded time.Duration
}

// Model returns the model, empty for what instances without a replica lost.
func (l ModelCosts) Model() string { return l.model }

// Downtime returns the group downtime: replica-time in which wanted replicas could not serve.
func (l ModelCosts) Downtime() time.Duration { return l.downtime }

// Stranded returns the accelerator-time in which the model's accelerators served in no whole replica.
func (l ModelCosts) Stranded() time.Duration { return l.stranded }

// ModelCosts returns what each model has lost so far, in the order of the models' names; they add up to Costs.
func (s *State) ModelCosts() []ModelCosts {
	losses := make([]ModelCosts, 0, len(s.modelCosts))
	for _, l := range s.modelCosts {
		losses = append(losses, *l)
	}
	slices.SortFunc(losses, func(a, b ModelCosts) int { return strings.Compare(a.model, b.model) })
	return losses
}

// loss returns the account of model.
func (s *State) loss(model string) *ModelCosts {
	if s.modelCosts == nil {
		s.modelCosts = map[string]*ModelCosts{}
	}
	if s.modelCosts[model] == nil {
		s.modelCosts[model] = &ModelCosts{model: model}
	}
	return s.modelCosts[model]
}
