package operator

import (
	"fmt"
	"time"
)

// The shares, calls in flight and priorities that follow from a caller's size and urgency, and units in bytes.
const (
	smallShare       = 10
	mediumShare      = 30
	largeShare       = 100
	inFlightPerShare = 4
	normalPriority   = 3
	urgentPriority   = 7
	gigabyte         = 1_000_000_000
	kilobyte         = 1 << 10
)

// Explanation links one value of a generated configuration to the answer that it is derived from.
type Explanation struct {
	field  string
	answer string
	reason string
}

// Field returns the path of the value in the configuration, such as "models[0].replicas".
func (e Explanation) Field() string { return e.field }

// Answer returns the path of the answer in the questionnaire.
func (e Explanation) Answer() string { return e.answer }

// Reason returns a short text on how the value follows from the answer.
func (e Explanation) Reason() string { return e.reason }

// generator collects the explanations while it generates the configuration.
type generator struct{ explanations []Explanation }

func (g *generator) explain(field, answer, format string, values ...any) {
	g.explanations = append(g.explanations, Explanation{field, answer, fmt.Sprintf(format, values...)})
}

// Generate returns the configuration that follows from answers, and an explanation of each value.
func Generate(answers Answers) (Config, []Explanation) {
	g := &generator{}
	config := Config{team: answers.team}
	g.explain("team", "team", "as answered")
	for i, answer := range answers.models {
		config.models = append(config.models, g.model(i, answer))
	}
	for i, answer := range answers.services {
		config.services = append(config.services, g.service(i, answer))
	}
	for i, answer := range answers.callers {
		config.organisations = append(config.organisations, g.organisation(i, answer))
	}
	config.costWeights = g.costWeights(answers)
	config.deadlines = answers.deadlines
	g.explain("deadlines.first", "delay.first", "a caller waits this long for the first token")
	g.explain("deadlines.whole", "delay.whole", "a caller waits this long for the whole answer")
	config.limits = g.limits(answers)
	return config, g.explanations
}

func (g *generator) model(i int, a modelAnswer) Model {
	config, answer := fmt.Sprintf("models[%d].", i), fmt.Sprintf("models[%d].", i)
	peakReplicas := ceilDiv(a.peakRate, a.replicaRate)
	m := Model{
		name: a.name, pool: a.pool, span: a.span, accelerators: a.accelerators, fencing: a.fencing,
		bytesPerInstance: int64(ceilDiv(a.weightGigabytes*gigabyte, a.span)),
		replicas:         peakReplicas + a.spareReplicas,
	}
	for _, field := range []string{"name", "pool", "span", "accelerators"} {
		g.explain(config+field, answer+field, "as answered")
	}
	g.explain(config+"bytes", answer+"gigabytes", "%d GB over %d instances", a.weightGigabytes, a.span)
	g.explain(config+"replicas", answer+"peak", "%d carry %d requests/s at %d each, and %d may be lost at the peak",
		peakReplicas, a.peakRate, a.replicaRate, a.spareReplicas)
	if a.fencing {
		g.explain(config+"fencing", answer+"fencing", "the engines refuse orders with old fencing numbers")
	} else {
		g.explain(config+"fencing", answer+"fencing", "the engines take any order, so takeovers wait for a quiet period")
	}
	return m
}

func (g *generator) service(i int, a serviceAnswer) Service {
	path := fmt.Sprintf("services[%d].", i)
	g.explain(path+"name", path+"name", "as answered")
	g.explain(path+"upstreams", path+"upstreams", "as answered")
	if len(a.nonIdempotent) > 0 {
		g.explain(path+"once", path+"once", "each of these runs at most once and is never retried")
	}
	if a.outage == OutageWait {
		g.explain(path+"outage", path+"outage", "while the store is out, these wait until their deadline")
	} else {
		g.explain(path+"outage", path+"outage", "while the store is out, these are answered as not run at once")
	}
	return Service{a.name, a.upstreams, a.nonIdempotent, a.outage}
}

func (g *generator) organisation(i int, a callerAnswer) Organisation {
	config, answer := fmt.Sprintf("organisations[%d].", i), fmt.Sprintf("callers[%d].", i)
	share := map[string]int{callerSmall: smallShare, callerMedium: mediumShare, callerLarge: largeShare}[a.size]
	o := Organisation{
		name: a.name, share: share, targets: a.targets, key: a.key, priority: normalPriority,
		maxInFlight: share * inFlightPerShare,
	}
	g.explain(config+"name", answer+"name", "as answered")
	g.explain(config+"share", answer+"size", "the share of a %s caller", a.size)
	g.explain(config+"targets", answer+"targets", "as answered")
	g.explain(config+"key", answer+"key", "as answered")
	if a.urgent {
		o.priority = urgentPriority
		g.explain(config+"priority", answer+"urgent", "urgent calls go before others")
	} else {
		g.explain(config+"priority", answer+"urgent", "not urgent")
	}
	g.explain(config+"flight", answer+"size", "%d for each unit of share", inFlightPerShare)
	return o
}

func (g *generator) costWeights(a Answers) CostWeights {
	w := CostWeights{downtime: 1, stranding: 1}
	switch a.worseLoss {
	case lossDowntime:
		w.downtime = a.lossRatio
	case lossStranding:
		w.stranding = a.lossRatio
	}
	if a.worseLoss == lossEqual {
		g.explain("weights.downtime", "worse.loss", "both losses cost the same")
		g.explain("weights.stranding", "worse.loss", "both losses cost the same")
		return w
	}
	g.explain("weights.downtime", "worse.loss", "%s costs %d times the other loss", a.worseLoss, a.lossRatio)
	g.explain("weights.stranding", "worse.loss", "%s costs %d times the other loss", a.worseLoss, a.lossRatio)
	return w
}

// limits returns the limits for answers. The queue of an entry holds the requests that arrive within the first-token
// deadline at the peak of all models.
func (g *generator) limits(a Answers) Limits {
	peak := 0
	for _, m := range a.models {
		peak += m.peakRate
	}
	limits := Limits{maxQueuedCalls: defaultMaxQueuedCalls, maxBodyBytes: a.maxBodyKilobytes * kilobyte}
	if peak == 0 {
		g.explain("limits.queue", "models", "there is no model")
	} else {
		limits.maxQueuedCalls = min(maxCallsPerEntry,
			max(1, ceilDiv(peak*int(a.deadlines.firstToken/time.Millisecond), 1000)))
		g.explain("limits.queue", "delay.first", "%d requests/s at the peak for %v; longer queues answer too late",
			peak, a.deadlines.firstToken)
	}
	g.explain("limits.body", "kilobytes", "%d KB", a.maxBodyKilobytes)
	return limits
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
