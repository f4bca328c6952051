package instance

import (
	"sort"
	"time"
)

// Defaults of Settings.
const (
	defaultMaxProbeAge        = 3 * time.Second
	defaultLeaseTerm          = 15 * time.Second
	defaultLeaseMargin        = 5 * time.Second
	defaultOrderTimeout       = 2 * time.Second
	defaultDrainTimeout       = 10 * time.Minute
	defaultSilentLoadTimeout  = 30 * time.Minute
	defaultRepairDelay        = defaultMaxProbeAge
	defaultReplacementTime    = 10 * time.Minute
	defaultMTBF               = 40 * 24 * time.Hour // of one instance
	defaultRecordReadInterval = 60 * time.Second
	defaultStoreRate          = 10 << 30 // bytes per second
	defaultInstanceRate       = 1 << 30  // bytes per second
)

// Settings configure the decisions of one daemon. The zero value has no models and no durations.
type Settings struct {
	name     string
	seed     uint64
	models   []Model
	observer bool // never contends for a lease

	maxProbeAge        time.Duration
	leaseTerm          time.Duration
	leaseMargin        time.Duration
	orderTimeout       time.Duration
	drainTimeout       time.Duration
	silentLoadTimeout  time.Duration
	repairDelay        time.Duration
	replacementTime    time.Duration
	mtbf               time.Duration
	recordReadInterval time.Duration
	storeRate          int64 // bytes per second
	instanceRate       int64 // bytes per second
}

// NewSettings returns settings with the default durations for models. The name must be new at each start of a daemon.
func NewSettings(name string, seed uint64, models []Model) Settings {
	return Settings{
		name:               name,
		seed:               seed,
		models:             append([]Model(nil), models...),
		maxProbeAge:        defaultMaxProbeAge,
		leaseTerm:          defaultLeaseTerm,
		leaseMargin:        defaultLeaseMargin,
		orderTimeout:       defaultOrderTimeout,
		drainTimeout:       defaultDrainTimeout,
		silentLoadTimeout:  defaultSilentLoadTimeout,
		repairDelay:        defaultRepairDelay,
		replacementTime:    defaultReplacementTime,
		mtbf:               defaultMTBF,
		recordReadInterval: defaultRecordReadInterval,
		storeRate:          defaultStoreRate,
		instanceRate:       defaultInstanceRate,
	}
}

// WithObserver returns the settings of a daemon that never contends for a lease. A few contenders are enough.
func (s Settings) WithObserver(observer bool) Settings {
	s.observer = observer
	return s
}

// WithMaxProbeAge returns the settings with the age beyond which a probe result no longer counts.
func (s Settings) WithMaxProbeAge(age time.Duration) Settings {
	s.maxProbeAge = age
	return s
}

// WithLease returns the settings with the term of the lease in whole seconds, and the margin by which the holder stops
// using it earlier.
func (s Settings) WithLease(term, margin time.Duration) Settings {
	s.leaseTerm, s.leaseMargin = term, margin
	return s
}

// WithOrderTimeout returns the settings with the time within which an order must reach its instance.
func (s Settings) WithOrderTimeout(timeout time.Duration) Settings {
	s.orderTimeout = timeout
	return s
}

// WithDrainTimeout returns the settings with the maximum time that a draining replica has to finish running requests.
func (s Settings) WithDrainTimeout(timeout time.Duration) Settings {
	s.drainTimeout = timeout
	return s
}

// WithSilentLoadTimeout returns the settings with the time after which a silent instance no longer counts as loading.
func (s Settings) WithSilentLoadTimeout(timeout time.Duration) Settings {
	s.silentLoadTimeout = timeout
	return s
}

// WithRepairDelay returns the settings with the silence after which a member counts as lost and is repaired.
func (s Settings) WithRepairDelay(delay time.Duration) Settings {
	s.repairDelay = delay
	return s
}

// WithFailureTimes returns the settings with the mean time between failures of one instance, and the mean time until
// the replacement of a failed instance is listed.
func (s Settings) WithFailureTimes(mtbf, replacement time.Duration) Settings {
	s.mtbf, s.replacementTime = mtbf, replacement
	return s
}

// WithRecordReadInterval returns the settings with the mean time between reads of the record by a daemon without the
// lease.
func (s Settings) WithRecordReadInterval(interval time.Duration) Settings {
	s.recordReadInterval = interval
	return s
}

// WithWeightStore returns the settings with the rate of the weight store and the maximum rate of one loading instance,
// both in bytes per second. The pools share the rate evenly.
func (s Settings) WithWeightStore(storeRate, instanceRate int64) Settings {
	s.storeRate, s.instanceRate = storeRate, instanceRate
	return s
}

// Name returns the identity of the daemon.
func (s Settings) Name() string { return s.name }

// Models returns the models of all pools.
func (s Settings) Models() []Model { return s.models }

// MaxProbeAge returns the age beyond which a probe result no longer counts.
func (s Settings) MaxProbeAge() time.Duration { return s.maxProbeAge }

// MaxLoads returns how many instances of pool may load at once within the weight store's rate.
func (s Settings) MaxLoads(pool string) int {
	pools := s.pools()
	total := int(s.storeRate / max(s.instanceRate, 1))
	share := total / max(len(pools), 1)
	for i, name := range pools {
		if name == pool && i < total%len(pools) {
			share++
		}
	}
	return share
}

// pools returns the sorted names of the pools.
func (s Settings) pools() []string {
	seen := map[string]bool{}
	var names []string
	for _, m := range s.models {
		if !seen[m.pool] {
			seen[m.pool] = true
			names = append(names, m.pool)
		}
	}
	sort.Strings(names)
	return names
}

func (s Settings) model(pool, name string) (Model, bool) {
	for _, m := range s.models {
		if m.pool == pool && m.name == name {
			return m, true
		}
	}
	return Model{}, false
}

// loadTime returns how long one instance takes to load its part of m.
func (s Settings) loadTime(m Model) time.Duration {
	return time.Duration(float64(m.bytes) / float64(max(s.instanceRate, 1)) * float64(time.Second))
}
