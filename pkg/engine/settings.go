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

// Settings configure State. A zero value of a field selects its default.
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

// NewSettings returns the settings of the named daemon in dataCentre.
func NewSettings(daemon, dataCentre string) Settings {
	return Settings{daemon: daemon, dataCentre: dataCentre}
}

// WithMaxAttempts returns the settings with the maximum number of attempts of one call, 0 for the default.
func (s Settings) WithMaxAttempts(attempts int) Settings {
	s.maxAttempts = attempts
	return s
}

// WithRetryBudget returns the settings with the budget of retries: a ratio of the calls and a burst above it, 0 for the
// default.
func (s Settings) WithRetryBudget(ratio float64, burst int) Settings {
	s.retryRatio, s.retryBurst = ratio, burst
	return s
}

// WithTimeouts returns the settings with the timeouts of an attempt until its first token and between two reports of
// progress, 0 for the default.
func (s Settings) WithTimeouts(firstToken, stall time.Duration) Settings {
	s.firstTokenTimeout, s.stallTimeout = firstToken, stall
	return s
}

// WithRampUpWindow returns the settings with the time until a new replica gets its full share of calls, 0 for the
// default.
func (s Settings) WithRampUpWindow(window time.Duration) Settings {
	s.rampUpWindow = window
	return s
}

// WithRemotePenalty returns the settings with the number of calls that is added to the cost of a replica in another
// data centre, 0 for the default.
func (s Settings) WithRemotePenalty(calls int) Settings {
	s.remotePenalty = calls
	return s
}

// WithCacheAffinity returns the settings with the number of calls that is subtracted from the cost of a replica that
// caches the whole prompt, 0 for the default.
func (s Settings) WithCacheAffinity(calls int) Settings {
	s.cacheAffinity = calls
	return s
}

// WithPropagationDelay returns the settings with the time in which a suspicion reaches all daemons and their replies
// arrive, 0 for the default.
func (s Settings) WithPropagationDelay(delay time.Duration) Settings {
	s.propagationDelay = delay
	return s
}

// MaxAttempts returns the maximum number of attempts of one call.
func (s Settings) MaxAttempts() int { return countOrDefault(s.maxAttempts, DefaultMaxAttempts) }

// RetryRatio returns how many retries each call adds to the retry budget.
func (s Settings) RetryRatio() float64 {
	if s.retryRatio <= 0 {
		return DefaultRetryRatio
	}
	return s.retryRatio
}

// RetryBurst returns the size of the retry budget.
func (s Settings) RetryBurst() int { return countOrDefault(s.retryBurst, DefaultRetryBurst) }

// FirstTokenTimeout returns how long an attempt may take until its first token.
func (s Settings) FirstTokenTimeout() time.Duration {
	return durationOrDefault(s.firstTokenTimeout, DefaultFirstTokenTimeout)
}

// StallTimeout returns how long an attempt may take between two reports of progress.
func (s Settings) StallTimeout() time.Duration {
	return durationOrDefault(s.stallTimeout, DefaultStallTimeout)
}

// RampUpWindow returns the time until a new replica gets its full share of calls.
func (s Settings) RampUpWindow() time.Duration {
	return durationOrDefault(s.rampUpWindow, DefaultRampUpWindow)
}

// RemotePenalty returns the number of calls that is added to the cost of a replica in another data centre.
func (s Settings) RemotePenalty() int { return countOrDefault(s.remotePenalty, DefaultRemotePenalty) }

// CacheAffinity returns the number of calls that is subtracted from the cost of a replica that caches the whole prompt.
func (s Settings) CacheAffinity() int { return countOrDefault(s.cacheAffinity, DefaultCacheAffinity) }

// PropagationDelay returns the time in which a suspicion reaches all daemons and their replies arrive.
func (s Settings) PropagationDelay() time.Duration {
	return durationOrDefault(s.propagationDelay, DefaultPropagationDelay)
}

func durationOrDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

func countOrDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
