package engine

import "time"

// hear takes in what another daemon found out about a content.
func (s *State) hear(now time.Time, r Replicas, news Suspicion) []Effect {
	if news.fingerprint == 0 {
		return nil
	}
	switch news.verdict {
	case Poisonous:
		return s.hearPoisonous(now, r, news)
	case Cleared:
		return s.hearCleared(now, r, news)
	case Passed:
		return s.hearPassed(now, r, news)
	}
	return s.hearSuspicious(now, news)
}

func (s *State) hearPoisonous(now time.Time, r Replicas, news Suspicion) []Effect {
	p := s.suspects.entry(now, news.fingerprint)
	p.heard = now
	if p.poisonous {
		return nil
	}
	p.crashed = now
	for _, replica := range news.crashedReplicas {
		p.addCrash(replica)
	}
	p.poisonous = true
	p.owner = ""
	return s.enforce(now, r, p)
}

func (s *State) hearCleared(now time.Time, r Replicas, news Suspicion) []Effect {
	p, isKnown := s.suspects.entries[news.fingerprint]
	if isKnown && p.poisonous {
		return nil
	}
	s.suspects.prove(news.fingerprint)
	if !isKnown {
		return nil
	}
	return s.acquit(now, r, p)
}

func (s *State) hearPassed(now time.Time, r Replicas, news Suspicion) []Effect {
	p, isKnown := s.suspects.entries[news.fingerprint]
	if !isKnown || p.poisonous || p.passed {
		return nil
	}
	p.passed = true
	p.heard = now
	return s.resume(now, r, news.fingerprint)
}

func (s *State) hearSuspicious(now time.Time, news Suspicion) []Effect {
	if s.suspects.isProven(news.fingerprint) {
		return []Effect{PublishSuspicion{Suspicion{news.fingerprint, Cleared, news.crashedReplicas, s.settings.daemon}}}
	}
	p, isKnown := s.suspects.entries[news.fingerprint]
	if isKnown && p.poisonous {
		return []Effect{PublishSuspicion{p.suspicion()}}
	}
	if !isKnown && s.suspects.isExplained(now, news.crashedReplicas) {
		return nil
	}
	p = s.suspects.entry(now, news.fingerprint)
	isNews := false
	for _, replica := range news.crashedReplicas {
		if !p.addCrash(replica) {
			continue
		}
		isNews = true
		if len(p.crashes) >= crashesMost {
			p.doubt(now, replica)
		}
	}
	if p.passed && !isNews {
		return nil
	}
	p.adopt(now, news.owner)
	return s.haltContent(news.fingerprint)
}

// adopt lets the daemon with the lower name try the content when two want to.
func (p *suspect) adopt(now time.Time, owner string) {
	if owner == "" {
		return
	}
	if p.owner == "" || p.isLapsed(now) || owner <= p.owner {
		p.owner = owner
		p.heard = now
	}
}
