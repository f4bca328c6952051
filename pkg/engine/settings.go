package engine

import "time"

// Defaults of the settings.
const (
	DefaultMaxAttempts       = 4
	DefaultRetryRatio        = 0.1
	DefaultRetryBurst        = 50
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultStallTimeout      = 10 * time.Second
	DefaultRampUpWindow      = 10 * time.Second
	DefaultRemotePenalty     = 4
	DefaultCacheAffinity     = 4
	DefaultPropagationDelay  = 2 * time.Second
	DefaultClaimTimeout      = 10 * time.Second
	DefaultVerdictRetention  = time.Hour
)

// Settings are what the decisions towards engines depend on; the zero value has the defaults.
type Settings struct {
	daemon            string
	dataCentre        string
	maxAttempts       int
	retryRatio        float64
	retryBurst        int
	firstTokenTimeout time.Duration
	stallTimeout      time.Duration
	rampUpWindow      time.Duration
	remotePenalty     int
	cacheAffinity     int
	propagationDelay  time.Duration
}

// NewSettings returns settings for the daemon of that name in dataCentre.
func NewSettings(daemon, dataCentre string) Settings {
	return Settings{daemon: daemon, dataCentre: dataCentre}
}

// WithMaxAttempts returns the settings with the most attempts of one call, 0 for the default.
func (s Settings) WithMaxAttempts(attempts int) Settings {
	s.maxAttempts = attempts
	return s
}

// WithRetryBudget returns the settings with the budget of attempts after the first: a ratio of the calls, and a burst
// above it; 0 for the default.
func (s Settings) WithRetryBudget(ratio float64, burst int) Settings {
	s.retryRatio, s.retryBurst = ratio, burst
	return s
}

// WithTimeouts returns the settings with the time until the first token and between two reports of progress after
// which an attempt is given up, 0 for the default.
func (s Settings) WithTimeouts(firstToken, stall time.Duration) Settings {
	s.firstTokenTimeout, s.stallTimeout = firstToken, stall
	return s
}

// WithRampUpWindow returns the settings with the time in which a new replica reaches its full share, 0 for the default.
func (s Settings) WithRampUpWindow(ramp time.Duration) Settings {
	s.rampUpWindow = ramp
	return s
}

// WithRemotePenalty returns the settings with how many calls more a near replica may have than one in another data centre,
// 0 for the default.
func (s Settings) WithRemotePenalty(calls int) Settings {
	s.remotePenalty = calls
	return s
}

// WithCacheAffinity returns the settings with how many calls more a replica may have that caches the whole prompt, 0 for
// the default.
func (s Settings) WithCacheAffinity(calls int) Settings {
	s.cacheAffinity = calls
	return s
}

// WithPropagationDelay returns the settings with the time in which a suspicion reaches all daemons and their answers come back,
// 0 for the default.
func (s Settings) WithPropagationDelay(settle time.Duration) Settings {
	s.propagationDelay = settle
	return s
}

// MaxAttempts returns the most attempts of one call.
func (s Settings) MaxAttempts() int { return orCount(s.maxAttempts, DefaultMaxAttempts) }

// RetryRatio returns how many attempts after the first one call earns.
func (s Settings) RetryRatio() float64 {
	if s.retryRatio <= 0 {
		return DefaultRetryRatio
	}
	return s.retryRatio
}

// RetryBurst returns the most attempts after the first that are saved up.
func (s Settings) RetryBurst() int { return orCount(s.retryBurst, DefaultRetryBurst) }

// FirstTokenTimeout returns the time until the first token after which an attempt is given up.
func (s Settings) FirstTokenTimeout() time.Duration {
	return orDefault(s.firstTokenTimeout, DefaultFirstTokenTimeout)
}

// StallTimeout returns the time between two reports of progress after which an attempt is given up.
func (s Settings) StallTimeout() time.Duration { return orDefault(s.stallTimeout, DefaultStallTimeout) }

// RampUpWindow returns the time in which a new replica reaches its full share.
func (s Settings) RampUpWindow() time.Duration { return orDefault(s.rampUpWindow, DefaultRampUpWindow) }

// RemotePenalty returns how many calls more a near replica may have than one in another data centre.
func (s Settings) RemotePenalty() int { return orCount(s.remotePenalty, DefaultRemotePenalty) }

// CacheAffinity returns how many calls more a replica may have that caches the whole prompt.
func (s Settings) CacheAffinity() int { return orCount(s.cacheAffinity, DefaultCacheAffinity) }

// PropagationDelay returns the time in which a suspicion reaches all daemons and their answers come back.
func (s Settings) PropagationDelay() time.Duration {
	return orDefault(s.propagationDelay, DefaultPropagationDelay)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

func orCount(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
