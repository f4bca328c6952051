package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// renewalsPerTimeout is how often an owner renews its claim within the claim timeout.
	renewalsPerTimeout = 4
	// minTrialTokens is the number of tokens that a trial must deliver beyond those delivered before it.
	minTrialTokens = 32
)

// claim makes this daemon the owner of a trial, unless another daemon holds the claim.
func (s *State) claim(now time.Time, entry *suspect) []Effect {
	if entry.owner != "" && !entry.isClaimExpired(now) {
		return nil
	}
	entry.owner = s.settings.daemon
	entry.claimedAt = now
	entry.lastUpdate = now
	return []Effect{PublishSuspicion{entry.suspicion()}}
}

// runTrials updates each pending suspect and starts the trials that are due.
func (s *State) runTrials(now time.Time, r Replicas) []Effect {
	var effects []Effect
	var due []*call
	for _, entry := range s.suspects.pending() {
		held := s.suspects.heldFor(entry.fingerprint)
		effects = append(effects, s.updateSuspect(now, r, entry, len(held) > 0)...)
		if len(held) > 0 && s.isTrialDue(now, entry) {
			due = append(due, held[0])
		}
	}
	if len(due) == 0 {
		return effects
	}
	assignments := trialReplicas{}
	for _, c := range due {
		effects = append(effects, s.startTrial(now, r, c, assignments)...)
	}
	return effects
}

// updateSuspect claims the trial of a suspect whose calls are held here, or renews the claim, and checks whether its
// second crash is confirmed.
func (s *State) updateSuspect(now time.Time, r Replicas, entry *suspect, isHeld bool) []Effect {
	if !s.isPending(entry) {
		return nil
	}
	var effects []Effect
	if isHeld {
		effects = s.claim(now, entry)
	}
	if entry.owner == s.settings.daemon && (isHeld || s.runningTrial(entry.fingerprint) != nil) {
		effects = append(effects, s.renewClaim(now, entry)...)
	}
	if entry.unconfirmedCrash != "" {
		effects = append(effects, s.resolveUnconfirmed(now, r, entry)...)
	}
	return effects
}

// isPending reports whether entry still waits for a verdict.
func (s *State) isPending(entry *suspect) bool {
	return s.suspects.entries[entry.fingerprint] == entry && !entry.poisonous && !entry.passed
}

// isTrialDue reports whether this daemon may start the trial of entry now.
func (s *State) isTrialDue(now time.Time, entry *suspect) bool {
	return s.isPending(entry) && entry.unconfirmedCrash == "" && entry.owner == s.settings.daemon &&
		now.Sub(entry.claimedAt) >= s.settings.PropagationDelay() && s.runningTrial(entry.fingerprint) == nil
}

// resolveUnconfirmed makes a content poisonous once the replica of its unconfirmed crash is unavailable. If that
// replica stays available, only the connection was lost, and the content passes.
func (s *State) resolveUnconfirmed(now time.Time, r Replicas, entry *suspect) []Effect {
	if _, isAvailable := r.Find(entry.unconfirmedCrash); !isAvailable {
		return s.markPoisonous(now, r, entry)
	}
	if now.Sub(entry.unconfirmedAt) < crashConfirmTimeout {
		return nil
	}
	entry.unconfirmedCrash = ""
	return s.markPassed(now, r, entry)
}

// renewClaim publishes the claim of this daemon again before it expires.
func (s *State) renewClaim(now time.Time, entry *suspect) []Effect {
	if now.Sub(entry.lastUpdate) < DefaultClaimTimeout/renewalsPerTimeout {
		return nil
	}
	entry.lastUpdate = now
	return []Effect{PublishSuspicion{entry.suspicion()}}
}

// runningTrial returns the attempt that is the trial of a content on this daemon, nil for none.
func (s *State) runningTrial(fingerprint uint64) *attempt {
	for _, a := range s.attempts {
		if a.isTrial && a.call.admitted.Fingerprint() == fingerprint {
			return a
		}
	}
	return nil
}

// startTrial runs c on a replica that runs no other suspect.
func (s *State) startTrial(now time.Time, r Replicas, c *call, assignments trialReplicas) []Effect {
	if !c.held {
		return nil
	}
	if c.attemptCount >= s.settings.MaxAttempts() {
		return s.giveUp(c, exhaustedReason(c), overloadRetryAfter)
	}
	upstream, isFound := s.trialReplica(now, r, c.admitted, assignments)
	if !isFound {
		return nil
	}
	replica := s.replica(now, upstream.replica)
	if !replica.acceptsCalls(now) || replica.isCoolingDown(now) {
		return nil
	}
	s.suspects.release(c)
	effects := s.sendTo(now, c, candidate{upstream: upstream, replica: replica})
	a := s.attempts[c.runningAttempt]
	a.isTrial = true
	a.passAtTokens = c.deliveredTokens + minTrialTokens
	return effects
}

// checkTrial passes a content that ran past the point of the crash. The suspect is kept until the content runs to
// completion, so that a later crash counts as its second.
func (s *State) checkTrial(now time.Time, r Replicas, a *attempt) []Effect {
	entry, isKnown := s.suspects.entries[a.call.admitted.Fingerprint()]
	if !a.isTrial || !isKnown || entry.poisonous || entry.passed || a.call.deliveredTokens < a.passAtTokens {
		return nil
	}
	return s.markPassed(now, r, entry)
}

// markPassed resumes the calls with a content but keeps the record of its crashes.
func (s *State) markPassed(now time.Time, r Replicas, entry *suspect) []Effect {
	entry.passed = true
	entry.lastUpdate = now
	return append([]Effect{PublishSuspicion{entry.suspicion()}}, s.resumeHeld(now, r, entry.fingerprint)...)
}

// contentCompleted records that a content ran to completion, and removes its suspect.
func (s *State) contentCompleted(now time.Time, r Replicas, fingerprint uint64) []Effect {
	if fingerprint == 0 {
		return nil
	}
	s.suspects.addKnownGood(fingerprint)
	entry, isKnown := s.suspects.entries[fingerprint]
	if !isKnown || entry.poisonous {
		return nil
	}
	cleared := PublishSuspicion{Suspicion{fingerprint, Cleared, entry.suspicion().crashedReplicas, s.settings.daemon}}
	return append([]Effect{cleared}, s.removeSuspect(now, r, entry)...)
}

// removeSuspect removes the suspect of a content and resumes its calls.
func (s *State) removeSuspect(now time.Time, r Replicas, entry *suspect) []Effect {
	delete(s.suspects.entries, entry.fingerprint)
	return s.resumeHeld(now, r, entry.fingerprint)
}

// resumeHeld sends the calls that waited for the verdict on a content.
func (s *State) resumeHeld(now time.Time, r Replicas, fingerprint uint64) []Effect {
	var effects []Effect
	for _, c := range s.suspects.heldFor(fingerprint) {
		s.suspects.release(c)
		effects = append(effects, s.send(now, r, c)...)
	}
	return effects
}

// rejectHeld ends the calls that waited for the verdict on a poisonous content.
func (s *State) rejectHeld(fingerprint uint64) []Effect {
	var effects []Effect
	for _, c := range s.suspects.heldFor(fingerprint) {
		effects = append(effects, s.giveUp(c, caller.Poison, 0)...)
	}
	return effects
}

// cancelContent cancels the attempts of this daemon that run a content, except a trial.
func (s *State) cancelContent(fingerprint uint64) []Effect {
	var effects []Effect
	for _, a := range s.sortedAttempts() {
		if a.call.admitted.Fingerprint() == fingerprint && !a.isTrial {
			effects = append(effects, s.cancelAttempt(a)...)
		}
	}
	return effects
}

// recordCrash records that the replica of a crashed while it ran the call.
func (s *State) recordCrash(now time.Time, r Replicas, a *attempt) []Effect {
	fingerprint := a.call.admitted.Fingerprint()
	crashed := []instance.ReplicaID{a.replica.id}
	if fingerprint == 0 || s.suspects.isKnownGood(fingerprint) || s.suspects.isAttributedToPoison(now, crashed) {
		return nil
	}
	entry := s.suspects.getOrAdd(now, fingerprint)
	if entry.poisonous {
		return nil
	}
	entry.addCrash(a.replica.id)
	entry.lastCrash = now
	if a.isTrial || entry.passed || len(entry.crashedReplicas) >= minPoisonCrashes {
		entry.awaitConfirmation(now, a.replica.id)
	}
	if a.replicaLost && entry.unconfirmedCrash != "" {
		return s.markPoisonous(now, r, entry)
	}
	effects := s.claim(now, entry)
	if len(effects) == 0 {
		effects = []Effect{PublishSuspicion{entry.suspicion()}}
	}
	return append(effects, s.cancelContent(fingerprint)...)
}

// markPoisonous makes a content poisonous and publishes the verdict.
func (s *State) markPoisonous(now time.Time, r Replicas, entry *suspect) []Effect {
	entry.poisonous = true
	entry.owner = ""
	return append([]Effect{PublishSuspicion{entry.suspicion()}}, s.applyPoisonous(now, r, entry)...)
}

// applyPoisonous ends the calls with a poisonous content, and removes suspects that are explained by its crashes.
func (s *State) applyPoisonous(now time.Time, r Replicas, entry *suspect) []Effect {
	entry.lastUpdate = now
	effects := s.cancelContent(entry.fingerprint)
	effects = append(effects, s.rejectHeld(entry.fingerprint)...)
	for _, other := range s.suspects.pending() {
		if entry.crashedAll(other.crashedReplicas) {
			effects = append(effects, s.removeSuspect(now, r, other)...)
		}
	}
	return effects
}
