package engine

import "time"

// receiveSuspicion applies a suspicion that another daemon published.
func (s *State) receiveSuspicion(now time.Time, r Replicas, received Suspicion) []Effect {
	if received.fingerprint == 0 {
		return nil
	}
	switch received.verdict {
	case Poisonous:
		return s.receivePoisonous(now, r, received)
	case Cleared:
		return s.receiveCleared(now, r, received)
	case Passed:
		return s.receivePassed(now, r, received)
	}
	return s.receiveSuspicious(now, received)
}

func (s *State) receivePoisonous(now time.Time, r Replicas, received Suspicion) []Effect {
	entry := s.suspects.getOrAdd(now, received.fingerprint)
	entry.lastUpdate = now
	if entry.poisonous {
		return nil
	}
	entry.lastCrash = now
	for _, replica := range received.crashedReplicas {
		entry.addCrash(replica)
	}
	entry.poisonous = true
	entry.owner = ""
	return s.applyPoisonous(now, r, entry)
}

func (s *State) receiveCleared(now time.Time, r Replicas, received Suspicion) []Effect {
	entry, isKnown := s.suspects.entries[received.fingerprint]
	if isKnown && entry.poisonous {
		return nil
	}
	s.suspects.addKnownGood(received.fingerprint)
	if !isKnown {
		return nil
	}
	return s.removeSuspect(now, r, entry)
}

func (s *State) receivePassed(now time.Time, r Replicas, received Suspicion) []Effect {
	entry, isKnown := s.suspects.entries[received.fingerprint]
	if !isKnown || entry.poisonous || entry.passed {
		return nil
	}
	entry.passed = true
	entry.lastUpdate = now
	return s.resumeHeld(now, r, received.fingerprint)
}

func (s *State) receiveSuspicious(now time.Time, received Suspicion) []Effect {
	if s.suspects.isKnownGood(received.fingerprint) {
		return []Effect{PublishSuspicion{Suspicion{received.fingerprint, Cleared, received.crashedReplicas, s.settings.daemon}}}
	}
	entry, isKnown := s.suspects.entries[received.fingerprint]
	if isKnown && entry.poisonous {
		return []Effect{PublishSuspicion{entry.suspicion()}}
	}
	if !isKnown && s.suspects.isAttributedToPoison(now, received.crashedReplicas) {
		return nil
	}
	entry = s.suspects.getOrAdd(now, received.fingerprint)
	isNewCrash := false
	for _, replica := range received.crashedReplicas {
		if !entry.addCrash(replica) {
			continue
		}
		isNewCrash = true
		if len(entry.crashedReplicas) >= minPoisonCrashes {
			entry.awaitConfirmation(now, replica)
		}
	}
	if entry.passed && !isNewCrash {
		return nil
	}
	entry.adoptOwner(now, received.owner)
	return s.cancelContent(received.fingerprint)
}

// adoptOwner makes owner the daemon that runs the trial. If two daemons claim it, the one with the lower name wins.
func (s *suspect) adoptOwner(now time.Time, owner string) {
	if owner == "" {
		return
	}
	if s.owner == "" || s.isClaimExpired(now) || owner <= s.owner {
		s.owner = owner
		s.lastUpdate = now
	}
}
