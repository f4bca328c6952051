package instance

import (
	"sort"
	"time"
)

// Defaults of Settings.
const (
	defaultFresh    = 3 * time.Second
	defaultTerm     = 15 * time.Second
	defaultMargin   = 5 * time.Second
	defaultOrder    = 2 * time.Second
	defaultDrain    = 10 * time.Minute
	defaultLapse    = 30 * time.Minute
	defaultPause    = defaultFresh
	defaultArrival  = 10 * time.Minute
	defaultLifetime = 40 * 24 * time.Hour
	defaultBackstop = 60 * time.Second
	defaultRate     = 10 << 30
	defaultPull     = 1 << 30
)

// Settings are what one daemon needs to decide about instances; the zero value has no models and default times.
type Settings struct {
	name     string
	seed     uint64
	models   []Model
	observer bool

	maxProbeAge time.Duration
	term        time.Duration
	margin      time.Duration
	order       time.Duration
	drain       time.Duration
	lapse       time.Duration
	pause       time.Duration
	arrival     time.Duration
	lifetime    time.Duration
	backstop    time.Duration
	rate        int64
	pull        int64
}

// NewSettings returns settings with default times for models; name must be new at each start of a daemon.
func NewSettings(name string, seed uint64, models []Model) Settings {
	return Settings{
		name:        name,
		seed:        seed,
		models:      append([]Model(nil), models...),
		maxProbeAge: defaultFresh,
		term:        defaultTerm,
		margin:      defaultMargin,
		order:       defaultOrder,
		drain:       defaultDrain,
		lapse:       defaultLapse,
		pause:       defaultPause,
		arrival:     defaultArrival,
		lifetime:    defaultLifetime,
		backstop:    defaultBackstop,
		rate:        defaultRate,
		pull:        defaultPull,
	}
}

// WithObserver returns the settings of a daemon that never contends for a lease; a handful of contenders is enough.
func (s Settings) WithObserver(observer bool) Settings {
	s.observer = observer
	return s
}

// WithMaxProbeAge returns the settings with the age beyond which evidence no longer counts.
func (s Settings) WithMaxProbeAge(age time.Duration) Settings {
	s.maxProbeAge = age
	return s
}

// WithLease returns the settings with the term of the lease (whole seconds) and the margin that its holder gives up.
func (s Settings) WithLease(term, margin time.Duration) Settings {
	s.term, s.margin = term, margin
	return s
}

// WithOrder returns the settings with the time in which an order must reach its instance.
func (s Settings) WithOrder(deadline time.Duration) Settings {
	s.order = deadline
	return s
}

// WithDrain returns the settings with the time that running work of a draining replica gets at most.
func (s Settings) WithDrain(limit time.Duration) Settings {
	s.drain = limit
	return s
}

// WithLapse returns the settings with the time after which a silent instance no longer counts as loading.
func (s Settings) WithLapse(limit time.Duration) Settings {
	s.lapse = limit
	return s
}

// WithPause returns the settings with the silence after which a member counts as missing for repair.
func (s Settings) WithPause(silence time.Duration) Settings {
	s.pause = silence
	return s
}

// WithFailures returns the settings with the mean time between failures of one instance, and the mean time until a
// failed instance's successor appears in the instance list.
func (s Settings) WithFailures(lifetime, arrival time.Duration) Settings {
	s.lifetime, s.arrival = lifetime, arrival
	return s
}

// WithBackstop returns the settings with the mean time between reads of the record by a daemon without the lease.
func (s Settings) WithBackstop(period time.Duration) Settings {
	s.backstop = period
	return s
}

// WithWeightStore returns the settings with the rate of the weight store and the most that one loading instance pulls,
// both in bytes a second; the pools share the rate evenly.
func (s Settings) WithWeightStore(rate, pull int64) Settings {
	s.rate, s.pull = rate, pull
	return s
}

// Name returns the identity of the daemon.
func (s Settings) Name() string { return s.name }

// Models returns the models of all pools.
func (s Settings) Models() []Model { return s.models }

// MaxProbeAge returns the age beyond which evidence no longer counts.
func (s Settings) MaxProbeAge() time.Duration { return s.maxProbeAge }

// MaxLoads returns how many instances of pool may load at once without exceeding the weight store's rate.
func (s Settings) MaxLoads(pool string) int {
	pools := s.pools()
	total := int(s.rate / max(s.pull, 1))
	share := total / max(len(pools), 1)
	for i, name := range pools {
		if name == pool && i < total%len(pools) {
			share++
		}
	}
	return share
}

// pools returns the names of the pools in order.
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

// model returns the model called name of pool.
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
	return time.Duration(float64(m.bytes) / float64(max(s.pull, 1)) * float64(time.Second))
}
