package operator

import (
	"maps"

	"github.com/azurepond/azurepond/pkg/yaml"
)

// Answers are a team's answers to the questionnaire.
type Answers struct {
	team             string
	models           []modelAnswer
	services         []serviceAnswer
	callers          []callerAnswer
	deadlines        Deadlines
	worseLoss        string // lossEqual, lossDowntime or lossStranding
	lossRatio        int    // the cost of the worse loss relative to the other
	maxBodyKilobytes int
}

type modelAnswer struct {
	name            string
	pool            string
	weightGigabytes int
	span            int
	accelerators    int
	peakRate        int // requests per second at the peak
	replicaRate     int // requests per second of one replica
	spareReplicas   int
	fencing         bool
}

type serviceAnswer struct {
	name          string
	upstreams     []Upstream
	nonIdempotent []RequestPattern
	outage        OutagePolicy
}

type callerAnswer struct {
	name    string
	size    string // callerSmall, callerMedium or callerLarge
	urgent  bool
	targets []string
	key     Hash
}

// Team returns the name of the team.
func (a Answers) Team() string { return a.team }

// The values of the questionnaire's choices.
const (
	callerSmall   = "small"
	callerMedium  = "medium"
	callerLarge   = "large"
	lossEqual     = "equal"
	lossDowntime  = "downtime"
	lossStranding = "stranding"
)

// The limits of the answers.
const (
	maxWeightGigabytes   = 16_000
	maxRequestsPerSecond = 100_000
	maxSpareReplicas     = 100
	maxLossRatio         = 1000
	maxBodyKilobytes     = maxRequestBodyBytes >> 10
)

// ParseAnswers reads a completed questionnaire. The error is a yaml.Mistakes with all mistakes.
func ParseAnswers(file string, data []byte) (Answers, error) {
	document, root := yaml.Parse(file, data)
	answers := readAnswers(root)
	if err := document.Err(); err != nil {
		return Answers{}, err
	}
	return answers, nil
}

func readAnswers(s *yaml.Section) Answers {
	a := Answers{team: readTeam(s)}
	usedNames := map[string]bool{}
	for _, section := range s.Sections("models") {
		a.models = append(a.models, readModelAnswer(section, usedNames))
	}
	for _, section := range s.Sections("services") {
		a.services = append(a.services, readServiceAnswer(section, usedNames))
	}
	if len(usedNames) == 0 {
		s.Reject("models", "and services are both empty", "describe at least one model or service")
	}
	usedCallerNames, usedKeys := maps.Clone(usedNames), map[Hash]bool{}
	s.Require("callers", "[{name: team-a, size: small, targets: [notices]}]")
	for _, section := range s.Sections("callers") {
		a.callers = append(a.callers, readCallerAnswer(section, usedNames, usedCallerNames, usedKeys))
	}
	readToleranceAnswers(s, &a)
	return a
}

// readToleranceAnswers reads the deadlines, the relative cost of the losses and the maximum body size.
func readToleranceAnswers(s *yaml.Section, a *Answers) {
	s.Require("delay", "{first: 2s, whole: 1m}")
	deadlines := s.Section("delay")
	deadlines.Require("first", "2s")
	deadlines.Require("whole", "1m")
	a.deadlines = readDeadlines(deadlines)
	s.Require("worse", "{loss: downtime, times: 10}")
	worse := s.Section("worse")
	worse.Require("loss", lossDowntime)
	a.worseLoss = worse.Choice("loss", lossEqual, lossDowntime, lossStranding)
	a.lossRatio = int(worse.Int("times", 1, 1, maxLossRatio))
	a.maxBodyKilobytes = int(s.Int("kilobytes", defaultMaxBodyBytes>>10, 1, maxBodyKilobytes))
}

func readModelAnswer(s *yaml.Section, usedNames map[string]bool) modelAnswer {
	for _, field := range []string{"gigabytes", "span", "accelerators", "peak", "each"} {
		s.Require(field, "8")
	}
	s.Require("fencing", "true")
	return modelAnswer{
		name:            readUniqueName(s, "notices", usedNames),
		pool:            s.Name("pool", "main"),
		weightGigabytes: int(s.Int("gigabytes", 1, 1, maxWeightGigabytes)),
		span:            int(s.Int("span", 1, 1, maxSpan)),
		accelerators:    int(s.Int("accelerators", 1, 1, maxAccelerators)),
		peakRate:        int(s.Int("peak", 1, 1, maxRequestsPerSecond)),
		replicaRate:     int(s.Int("each", 1, 1, maxRequestsPerSecond)),
		spareReplicas:   int(s.Int("spare", 0, 0, maxSpareReplicas)),
		fencing:         s.Bool("fencing", false),
	}
}

func readServiceAnswer(s *yaml.Section, usedNames map[string]bool) serviceAnswer {
	s.Require("once", "[POST /tickets]")
	if s.Has("once") && len(s.Texts("once")) > 0 {
		s.Require("outage", string(OutageRefuse))
	}
	service := readService(s, usedNames)
	return serviceAnswer{service.name, service.upstreams, service.nonIdempotent, service.outage}
}

func readCallerAnswer(s *yaml.Section, knownTargets, usedNames map[string]bool, usedKeys map[Hash]bool) callerAnswer {
	s.Require("size", callerSmall)
	caller := callerAnswer{
		size:   s.Choice("size", callerSmall, callerMedium, callerLarge),
		urgent: s.Bool("urgent", false),
	}
	caller.name = readUniqueName(s, "team-a", usedNames)
	caller.targets = readTargets(s, knownTargets)
	caller.key = readKey(s, usedKeys)
	return caller
}
