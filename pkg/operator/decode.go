package operator

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/yaml"
)

// The limits and defaults of a configuration.
const (
	maxSpan             = 64 // instances per replica
	maxAccelerators     = 64 // accelerators per instance
	maxReplicas         = 1000
	maxBytesPerInstance = 1 << 44
	maxShare            = 1000
	maxPriority         = 9
	maxCostWeight       = 1000
	maxCallsPerEntry    = 100_000
	maxRequestBodyBytes = 16 << 20

	defaultShare          = 10
	defaultMaxInFlight    = 256
	defaultCostWeight     = 1
	defaultMaxQueuedCalls = 256
	defaultMaxBodyBytes   = 1 << 20

	defaultFirstTokenDeadline = 2 * time.Second
	defaultTotalDeadline      = time.Minute
	minDeadline               = 10 * time.Millisecond
	maxDeadline               = time.Hour
)

// exampleTeam is the team name that the remedies of mistakes show.
const exampleTeam = "my-team"

// ParseConfig reads the configuration of one team from YAML or JSON. The error is a yaml.Mistakes with all mistakes.
func ParseConfig(file string, data []byte) (Config, error) {
	document, root := yaml.Parse(file, data)
	config := readConfig(root)
	if err := document.Err(); err != nil {
		return Config{}, err
	}
	return config, nil
}

func readConfig(s *yaml.Section) Config {
	c := Config{
		revision: Revision(s.Int("revision", 0, 0, 1<<62)),
		team:     readTeam(s),
	}
	usedNames := map[string]bool{}
	for _, section := range s.Sections("models") {
		c.models = append(c.models, readModel(section, usedNames))
	}
	for _, section := range s.Sections("services") {
		c.services = append(c.services, readService(section, usedNames))
	}
	usedOrganisationNames, usedKeys := maps.Clone(usedNames), map[Hash]bool{}
	for _, section := range s.Sections("organisations") {
		c.organisations = append(c.organisations, readOrganisation(section, usedNames, usedOrganisationNames, usedKeys))
	}
	c.costWeights = readCostWeights(s.Section("weights"))
	c.deadlines = readDeadlines(s.Section("deadlines"))
	c.limits = readLimits(s.Section("limits"))
	return c
}

// readTeam returns the team's name. FleetTeam is reserved for the operators of the daemons.
func readTeam(s *yaml.Section) string {
	team := s.Name("team", exampleTeam)
	if team == FleetTeam {
		s.Reject("team", fmt.Sprintf("%q is reserved", team), "choose another name")
	}
	return team
}

func readModel(s *yaml.Section, usedNames map[string]bool) Model {
	s.Require("span", "4")
	s.Require("accelerators", "8")
	s.Require("bytes", "40000000000")
	return Model{
		name:             readUniqueName(s, "notices", usedNames),
		pool:             s.Name("pool", "main"),
		span:             int(s.Int("span", 1, 1, maxSpan)),
		accelerators:     int(s.Int("accelerators", 1, 1, maxAccelerators)),
		bytesPerInstance: s.Int("bytes", 0, 1, maxBytesPerInstance),
		replicas:         int(s.Int("replicas", 1, 0, maxReplicas)),
		fencing:          s.Bool("fencing", false),
	}
}

// readUniqueName returns the section's name, which no earlier section may use.
func readUniqueName(s *yaml.Section, example string, usedNames map[string]bool) string {
	name := s.Name("name", example)
	if name != "" && usedNames[name] {
		s.Reject("name", fmt.Sprintf("%q is taken", name), "give each model, service and organisation a name of its own")
	}
	usedNames[name] = true
	return name
}

func readService(s *yaml.Section, usedNames map[string]bool) Service {
	service := Service{name: readUniqueName(s, "tickets", usedNames)}
	s.Require("upstreams", "[{address: 127.0.0.1:9000, centre: centre-a}]")
	for _, section := range s.Sections("upstreams") {
		service.upstreams = append(service.upstreams, readUpstream(section))
	}
	for _, text := range s.Texts("once") {
		if pattern, ok := parseRequestPattern(text); ok {
			service.nonIdempotent = append(service.nonIdempotent, pattern)
			continue
		}
		s.Reject("once", fmt.Sprintf("%q is no method with a path", text), `write one such as "POST /tickets"`)
	}
	service.outage = OutagePolicy(s.Choice("outage", string(OutageRefuse), string(OutageWait)))
	return service
}

func readUpstream(s *yaml.Section) Upstream {
	s.Require("address", "127.0.0.1:9000")
	return Upstream{address: s.Address("address"), centre: s.Name("centre", "centre-a")}
}

func parseRequestPattern(text string) (RequestPattern, bool) {
	method, path, _ := strings.Cut(text, " ")
	switch method {
	case "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
	default:
		return RequestPattern{}, false
	}
	return RequestPattern{method: method, path: path}, strings.HasPrefix(path, "/") && !strings.ContainsAny(path, " ?#")
}

func readOrganisation(s *yaml.Section, knownTargets, usedNames map[string]bool, usedKeys map[Hash]bool) Organisation {
	return Organisation{
		name:        readUniqueName(s, "team-a", usedNames),
		share:       int(s.Int("share", defaultShare, 1, maxShare)),
		targets:     readTargets(s, knownTargets),
		key:         readKey(s, usedKeys),
		priority:    int(s.Int("priority", 0, 0, maxPriority)),
		maxInFlight: int(s.Int("flight", defaultMaxInFlight, 1, maxCallsPerEntry)),
	}
}

func readTargets(s *yaml.Section, knownTargets map[string]bool) []string {
	s.Require("targets", "[notices]")
	targets := s.Texts("targets")
	for _, target := range targets {
		if !knownTargets[target] {
			s.Reject("targets", fmt.Sprintf("%q is neither a model nor a service", target), "name one of this file")
		}
	}
	return targets
}

// readKey returns the hash of the section's API key, which no earlier section may use.
func readKey(s *yaml.Section, usedKeys map[Hash]bool) Hash {
	s.Require("key", string(NewHash("secret")))
	key := Hash(s.Text("key", ""))
	if key != "" && !key.Valid() {
		s.Reject("key", "is no SHA-256 in hexadecimal", `write the hash that "azurepond token" prints, never the key`)
	}
	if key != "" && usedKeys[key] {
		s.Reject("key", "is the key of another organisation as well", `make one with "azurepond token"`)
	}
	usedKeys[key] = true
	return key
}

func readCostWeights(s *yaml.Section) CostWeights {
	w := CostWeights{
		downtime:  int(s.Int("downtime", defaultCostWeight, 0, maxCostWeight)),
		stranding: int(s.Int("stranding", defaultCostWeight, 0, maxCostWeight)),
	}
	if w == (CostWeights{}) {
		s.Reject("downtime", "and stranding are both 0", "give at least one of them a cost")
	}
	return w
}

func readDeadlines(s *yaml.Section) Deadlines {
	d := Deadlines{
		firstToken: s.Duration("first", defaultFirstTokenDeadline, minDeadline, maxDeadline),
		total:      s.Duration("whole", defaultTotalDeadline, minDeadline, maxDeadline),
	}
	if d.firstToken > d.total {
		s.Reject("first", fmt.Sprintf("%v is later than whole, %v", d.firstToken, d.total),
			"make whole at least as long as first")
	}
	return d
}

func readLimits(s *yaml.Section) Limits {
	return Limits{
		maxQueuedCalls: int(s.Int("queue", defaultMaxQueuedCalls, 0, maxCallsPerEntry)),
		maxBodyBytes:   int(s.Int("body", defaultMaxBodyBytes, 1, maxRequestBodyBytes)),
	}
}
