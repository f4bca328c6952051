package operator

import (
	"maps"

	"github.com/azurepond/azurepond/pkg/yaml"
)

// Answers are a team's answers to the questionnaire.
type Answers struct {
	team      string
	models    []modelAnswer
	services  []serviceAnswer
	callers   []callerAnswer
	delay     Deadlines
	worse     string
	times     int
	kilobytes int
}

type modelAnswer struct {
	name         string
	pool         string
	gigabytes    int
	span         int
	accelerators int
	peak         int
	each         int
	spare        int
	fencing      bool
}

type serviceAnswer struct {
	name      string
	upstreams []Upstream
	once      []RequestPattern
	outage    OutagePolicy
}

type callerAnswer struct {
	name    string
	size    string
	urgent  bool
	targets []string
	key     Hash
}

// Team returns the name of the team.
func (a Answers) Team() string { return a.team }

// The choices that the questionnaire offers.
const (
	small     = "small"
	medium    = "medium"
	large     = "large"
	equal     = "equal"
	downtime  = "downtime"
	stranding = "stranding"
)

// The bounds of the answers.
const (
	maxGigabytes = 16_000
	maxPeak      = 100_000
	maxSpare     = 100
	maxTimes     = 1000
	maxKilobytes = maxBody >> 10
)

// ParseAnswers reads a filled-in questionnaire; the error is yaml.Mistakes with all that is wrong.
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
	taken := map[string]bool{}
	for _, section := range s.Sections("models") {
		a.models = append(a.models, readModelAnswer(section, taken))
	}
	for _, section := range s.Sections("services") {
		a.services = append(a.services, readServiceAnswer(section, taken))
	}
	if len(taken) == 0 {
		s.Reject("models", "and services are both empty", "describe at least one model or service")
	}
	callers, keys := maps.Clone(taken), map[Hash]bool{}
	s.Require("callers", "[{name: odeon, size: small, targets: [notices]}]")
	for _, section := range s.Sections("callers") {
		a.callers = append(a.callers, readCallerAnswer(section, taken, callers, keys))
	}
	readToleranceAnswers(s, &a)
	return a
}

func readToleranceAnswers(s *yaml.Section, a *Answers) {
	s.Require("delay", "{first: 2s, whole: 1m}")
	delay := s.Section("delay")
	delay.Require("first", "2s")
	delay.Require("whole", "1m")
	a.delay = readDeadlines(delay)
	s.Require("worse", "{loss: downtime, times: 10}")
	worse := s.Section("worse")
	worse.Require("loss", downtime)
	a.worse = worse.Choice("loss", equal, downtime, stranding)
	a.times = int(worse.Int("times", 1, 1, maxTimes))
	a.kilobytes = int(s.Int("kilobytes", defaultBody>>10, 1, maxKilobytes))
}

func readModelAnswer(s *yaml.Section, taken map[string]bool) modelAnswer {
	for _, field := range []string{"gigabytes", "span", "accelerators", "peak", "each"} {
		s.Require(field, "8")
	}
	s.Require("fencing", "true")
	return modelAnswer{
		name:         readUnique(s, "notices", taken),
		pool:         s.Name("pool", "main"),
		gigabytes:    int(s.Int("gigabytes", 1, 1, maxGigabytes)),
		span:         int(s.Int("span", 1, 1, maxSpan)),
		accelerators: int(s.Int("accelerators", 1, 1, maxAccelerators)),
		peak:         int(s.Int("peak", 1, 1, maxPeak)),
		each:         int(s.Int("each", 1, 1, maxPeak)),
		spare:        int(s.Int("spare", 0, 0, maxSpare)),
		fencing:      s.Bool("fencing", false),
	}
}

func readServiceAnswer(s *yaml.Section, taken map[string]bool) serviceAnswer {
	s.Require("once", "[POST /tickets]")
	if s.Has("once") && len(s.Texts("once")) > 0 {
		s.Require("outage", string(OutageRefuse))
	}
	service := readService(s, taken)
	return serviceAnswer{service.name, service.upstreams, service.nonIdempotent, service.outage}
}

func readCallerAnswer(s *yaml.Section, targets, taken map[string]bool, keys map[Hash]bool) callerAnswer {
	s.Require("size", small)
	caller := callerAnswer{
		size:   s.Choice("size", small, medium, large),
		urgent: s.Bool("urgent", false),
	}
	caller.name = readUnique(s, "odeon", taken)
	caller.targets = readTargets(s, targets)
	caller.key = readKey(s, keys)
	return caller
}
