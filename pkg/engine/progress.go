package engine

import "time"

// tokenIntervalGain is the weight of one report in the moving average over all replicas of a model.
const tokenIntervalGain = 0.01

// tokenInterval is the mean time between tokens over all replicas of a model.
type tokenInterval struct {
	meanSeconds float64
	samples     int
}

// add adds a time between two tokens, in seconds, and returns its ratio to the previous mean.
func (t *tokenInterval) add(interval float64) float64 {
	t.samples++
	if t.samples == 1 || t.meanSeconds <= 0 {
		t.meanSeconds = interval
		return 1
	}
	ratio := interval / t.meanSeconds
	gain := max(tokenIntervalGain, 1/float64(t.samples))
	t.meanSeconds += gain * (min(interval, maxSlowness*t.meanSeconds) - t.meanSeconds)
	return ratio
}

// progress applies a report of tokens that the caller received.
func (s *State) progress(now time.Time, r Replicas, e Progressed) []Effect {
	a, isKnown := s.attempts[e.attempt]
	if !isKnown || e.tokens <= a.call.deliveredTokens {
		return nil
	}
	added := e.tokens - a.call.deliveredTokens
	a.call.deliveredTokens = e.tokens
	a.tokens += added
	if a.started && now.After(a.lastProgress) {
		interval := now.Sub(a.lastProgress).Seconds() / float64(added)
		a.replica.observeSlowness(now, s.tokenInterval(a.call.admitted.Target()).add(interval))
	}
	a.started = true
	a.lastProgress = now
	return s.checkTrial(now, r, a)
}
