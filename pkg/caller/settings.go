package caller

import "time"

// Defaults of the settings.
const (
	DefaultMaxQueue           = 64
	DefaultAddressTTL         = 2 * time.Second
	DefaultPropagationDelay   = time.Second
	DefaultAllocationInterval = time.Second
)

// Settings are what the decisions towards callers depend on; the zero value admits nothing.
type Settings struct {
	name               string
	address            string
	dataCentre         string
	targets            []Target
	organisations      []Organisation
	maxQueue           int
	addressTTL         time.Duration
	propagationDelay   time.Duration
	allocationInterval time.Duration
}

// NewSettings returns settings for the daemon called name, which callers in dataCentre reach best, at address.
func NewSettings(name, address, dataCentre string) Settings {
	return Settings{name: name, address: address, dataCentre: dataCentre}
}

// WithTargets returns the settings with the models and services that callers may ask for.
func (s Settings) WithTargets(targets ...Target) Settings {
	s.targets = targets
	return s
}

// WithOrganisations returns the settings with the organisations that may call.
func (s Settings) WithOrganisations(organisations ...Organisation) Settings {
	s.organisations = organisations
	return s
}

// WithMaxQueue returns the settings with the most calls of one organisation that wait for one target, 0 for the default.
func (s Settings) WithMaxQueue(calls int) Settings {
	s.maxQueue = calls
	return s
}

// WithAddressTTL returns the settings with the time for which callers keep a list of addresses, 0 for the default.
func (s Settings) WithAddressTTL(lifetime time.Duration) Settings {
	s.addressTTL = lifetime
	return s
}

// WithPropagationDelay returns the settings with the time in which all daemons hear of a change, 0 for the default.
func (s Settings) WithPropagationDelay(spread time.Duration) Settings {
	s.propagationDelay = spread
	return s
}

// WithAllocationInterval returns the settings with the time between two divisions of the capacity, 0 for the default; it has to
// exceed the time in which usage reaches the other daemons.
func (s Settings) WithAllocationInterval(period time.Duration) Settings {
	s.allocationInterval = period
	return s
}

// MaxQueue returns the most calls of one organisation that wait for one target.
func (s Settings) MaxQueue() int {
	if s.maxQueue <= 0 {
		return DefaultMaxQueue
	}
	return s.maxQueue
}

// AddressTTL returns the time for which callers keep a list of addresses.
func (s Settings) AddressTTL() time.Duration { return orDefault(s.addressTTL, DefaultAddressTTL) }

// PropagationDelay returns the time in which all daemons hear of a change.
func (s Settings) PropagationDelay() time.Duration {
	return orDefault(s.propagationDelay, DefaultPropagationDelay)
}

// AllocationInterval returns the time between two divisions of the capacity.
func (s Settings) AllocationInterval() time.Duration {
	return orDefault(s.allocationInterval, DefaultAllocationInterval)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// Target is a model or a service that callers may ask for.
type Target struct {
	name  string
	kind  Kind
	slots int
}

// NewTarget returns a target that runs slots calls at once until a Capacity event says otherwise.
func NewTarget(name string, kind Kind, slots int) Target { return Target{name, kind, slots} }

// Organisation is one of those who call, with its share of every target that it may use.
type Organisation struct {
	name    string
	weight  int
	targets []string
}

// NewOrganisation returns an organisation whose share is its weight over the sum of all weights; no targets means all.
func NewOrganisation(name string, weight int, targets ...string) Organisation {
	return Organisation{name, weight, targets}
}

func (o Organisation) mayUse(target string) bool {
	if len(o.targets) == 0 {
		return true
	}
	for _, allowed := range o.targets {
		if allowed == target {
			return true
		}
	}
	return false
}

// share returns the weight, at least 1.
func (o Organisation) share() int { return max(o.weight, 1) }
