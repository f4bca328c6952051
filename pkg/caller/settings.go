package caller

import "time"

// Defaults of the settings.
const (
	DefaultMaxQueue           = 64
	DefaultAddressTTL         = 2 * time.Second
	DefaultPropagationDelay   = time.Second
	DefaultAllocationInterval = time.Second
)

// Settings hold the identity of the daemon, the targets, the organisations and the limits. The zero value admits no
// call.
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

// NewSettings returns settings for the daemon called name, which serves callers at address and runs in dataCentre.
func NewSettings(name, address, dataCentre string) Settings {
	return Settings{name: name, address: address, dataCentre: dataCentre}
}

// WithTargets returns the settings with the models and services that callers may request.
func (s Settings) WithTargets(targets ...Target) Settings {
	s.targets = targets
	return s
}

// WithOrganisations returns the settings with the organisations whose calls are admitted.
func (s Settings) WithOrganisations(organisations ...Organisation) Settings {
	s.organisations = organisations
	return s
}

// WithMaxQueue returns the settings with the maximum number of waiting calls of one organisation for one target, 0 for
// the default.
func (s Settings) WithMaxQueue(calls int) Settings {
	s.maxQueue = calls
	return s
}

// WithAddressTTL returns the settings with the time for which callers may cache a list of addresses, 0 for the default.
func (s Settings) WithAddressTTL(ttl time.Duration) Settings {
	s.addressTTL = ttl
	return s
}

// WithPropagationDelay returns the settings with the time in which a change reaches all daemons, 0 for the default.
func (s Settings) WithPropagationDelay(delay time.Duration) Settings {
	s.propagationDelay = delay
	return s
}

// WithAllocationInterval returns the settings with the time between two allocations of the capacity, 0 for the default.
// It must exceed the time in which a usage report reaches the other daemons.
func (s Settings) WithAllocationInterval(interval time.Duration) Settings {
	s.allocationInterval = interval
	return s
}

// MaxQueue returns the maximum number of waiting calls of one organisation for one target.
func (s Settings) MaxQueue() int {
	if s.maxQueue <= 0 {
		return DefaultMaxQueue
	}
	return s.maxQueue
}

// AddressTTL returns the time for which callers may cache a list of addresses.
func (s Settings) AddressTTL() time.Duration { return orDefault(s.addressTTL, DefaultAddressTTL) }

// PropagationDelay returns the time in which a change reaches all daemons.
func (s Settings) PropagationDelay() time.Duration {
	return orDefault(s.propagationDelay, DefaultPropagationDelay)
}

// AllocationInterval returns the time between two allocations of the capacity.
func (s Settings) AllocationInterval() time.Duration {
	return orDefault(s.allocationInterval, DefaultAllocationInterval)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// Target is a model or a service that callers may request.
type Target struct {
	name  string
	kind  Kind
	slots int
}

// NewTarget returns a target on which the fleet runs at most slots calls at once, until a CapacityChanged event.
func NewTarget(name string, kind Kind, slots int) Target { return Target{name, kind, slots} }

// Organisation is a customer with a weight, which sets its share of every target that it may use.
type Organisation struct {
	name         string
	weight       int
	targets      []string
	isRestricted bool
}

// NewOrganisation returns an organisation whose share is its weight divided by the sum of all weights. Without targets,
// it may use all of them.
func NewOrganisation(name string, weight int, targets ...string) Organisation {
	return Organisation{name, weight, targets, len(targets) > 0}
}

// WithTargets returns the organisation with the only targets that it may use, which may be none.
func (o Organisation) WithTargets(targets ...string) Organisation {
	o.targets, o.isRestricted = targets, true
	return o
}

func (o Organisation) mayUse(target string) bool {
	if !o.isRestricted {
		return true
	}
	for _, allowed := range o.targets {
		if allowed == target {
			return true
		}
	}
	return false
}

// effectiveWeight returns the weight, at least 1.
func (o Organisation) effectiveWeight() int { return max(o.weight, 1) }
