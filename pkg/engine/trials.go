package engine

import (
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

const (
	// renewals is how often an owner is heard of before its claim would lapse.
	renewals = 4
	// passTokens is how many tokens beyond the crash a trial has to bring.
	passTokens = 32
)

// claim makes this daemon the one that tries a content alone, if no other does.
func (s *State) claim(now time.Time, p *suspect) []Effect {
	if p.owner != "" && !p.isLapsed(now) {
		return nil
	}
	p.owner = s.settings.daemon
	p.claimed = now
	p.heard = now
	return []Effect{PublishSuspicion{p.suspicion()}}
}

// tryAll looks at each suspect and begins the trials that are due.
func (s *State) tryAll(now time.Time, r Replicas) []Effect {
	var effects []Effect
	var due []*call
	for _, p := range s.suspects.sorted() {
		held := s.suspects.heldFor(p.fingerprint)
		effects = append(effects, s.review(now, r, p, len(held) > 0)...)
		if len(held) > 0 && s.isDue(now, p) {
			due = append(due, held[0])
		}
	}
	if len(due) == 0 {
		return effects
	}
	places := placements{}
	for _, c := range due {
		effects = append(effects, s.try(now, r, c, places)...)
	}
	return effects
}

// review keeps the claim of a suspect that waits here, and settles whether its second replica crashed.
func (s *State) review(now time.Time, r Replicas, p *suspect, isHeld bool) []Effect {
	if !s.isWaiting(p) {
		return nil
	}
	var effects []Effect
	if isHeld {
		effects = s.claim(now, p)
	}
	if p.owner == s.settings.daemon && (isHeld || s.trial(p.fingerprint) != nil) {
		effects = append(effects, s.renew(now, p)...)
	}
	if p.doubted != "" {
		effects = append(effects, s.settleDoubt(now, r, p)...)
	}
	return effects
}

// isWaiting reports whether the verdict about p is still open.
func (s *State) isWaiting(p *suspect) bool {
	return s.suspects.entries[p.fingerprint] == p && !p.poisonous && !p.passed
}

// isDue reports whether this daemon may try p now.
func (s *State) isDue(now time.Time, p *suspect) bool {
	return s.isWaiting(p) && p.doubted == "" && p.owner == s.settings.daemon &&
		now.Sub(p.claimed) >= s.settings.PropagationDelay() && s.trial(p.fingerprint) == nil
}

// settleDoubt makes a content poisonous once its second replica isn't whole any more, or lets it pass when that replica
// goes on: then the connection was cut, and nothing crashed.
func (s *State) settleDoubt(now time.Time, r Replicas, p *suspect) []Effect {
	if _, isWhole := r.Find(p.doubted); !isWhole {
		return s.condemn(now, r, p)
	}
	if now.Sub(p.doubtedAt) < doubtLimit {
		return nil
	}
	p.doubted = ""
	return s.letPass(now, r, p)
}

// renew tells the others from time to time that this daemon still tries or is about to.
func (s *State) renew(now time.Time, p *suspect) []Effect {
	if now.Sub(p.heard) < DefaultClaimTimeout/renewals {
		return nil
	}
	p.heard = now
	return []Effect{PublishSuspicion{p.suspicion()}}
}

// trial returns the attempt that tries a content here, nil for none.
func (s *State) trial(fingerprint uint64) *attempt {
	for _, a := range s.attempts {
		if a.trial && a.call.call.Fingerprint() == fingerprint {
			return a
		}
	}
	return nil
}

// try runs c alone among suspects.
func (s *State) try(now time.Time, r Replicas, c *call, places placements) []Effect {
	if !c.held {
		return nil
	}
	if c.count >= s.settings.MaxAttempts() {
		return s.giveUp(c, exhausted(c), againBusy)
	}
	seen, isFound := s.placed(now, r, c.call, places)
	if !isFound {
		return nil
	}
	own := s.upstream(now, seen.replica)
	if !own.isOpen(now) || own.isCooling(now) {
		return nil
	}
	s.suspects.release(c)
	effects := s.sendTo(now, c, choice{seen: seen, own: own})
	a := s.attempts[c.attempt]
	a.trial = true
	a.passes = c.tokens + passTokens
	return effects
}

// pass ends the suspicion of a content that ran beyond the point of the crash. What is known of it is kept until it
// ran to its end, so that a later crash still counts as its second.
func (s *State) pass(now time.Time, r Replicas, a *attempt) []Effect {
	p, isKnown := s.suspects.entries[a.call.call.Fingerprint()]
	if !a.trial || !isKnown || p.poisonous || p.passed || a.call.tokens < a.passes {
		return nil
	}
	return s.letPass(now, r, p)
}

// letPass lets the calls with a content go on, though it is remembered that replicas may have crashed by it.
func (s *State) letPass(now time.Time, r Replicas, p *suspect) []Effect {
	p.passed = true
	p.heard = now
	return append([]Effect{PublishSuspicion{p.suspicion()}}, s.resume(now, r, p.fingerprint)...)
}

// prove takes in that a content ran to its end.
func (s *State) prove(now time.Time, r Replicas, fingerprint uint64) []Effect {
	if fingerprint == 0 {
		return nil
	}
	s.suspects.prove(fingerprint)
	p, isKnown := s.suspects.entries[fingerprint]
	if !isKnown || p.poisonous {
		return nil
	}
	news := PublishSuspicion{Suspicion{fingerprint, Cleared, p.suspicion().crashedReplicas, s.settings.daemon}}
	return append([]Effect{news}, s.acquit(now, r, p)...)
}

// acquit drops the suspicion of a content and lets its calls go on.
func (s *State) acquit(now time.Time, r Replicas, p *suspect) []Effect {
	delete(s.suspects.entries, p.fingerprint)
	return s.resume(now, r, p.fingerprint)
}

// resume lets the calls that waited for the verdict about a content go on.
func (s *State) resume(now time.Time, r Replicas, fingerprint uint64) []Effect {
	var effects []Effect
	for _, c := range s.suspects.heldFor(fingerprint) {
		s.suspects.release(c)
		effects = append(effects, s.send(now, r, c)...)
	}
	return effects
}

// refuse ends the calls that waited for the verdict about a poisonous content.
func (s *State) refuse(fingerprint uint64) []Effect {
	var effects []Effect
	for _, c := range s.suspects.heldFor(fingerprint) {
		effects = append(effects, s.giveUp(c, caller.Poisonous, 0)...)
	}
	return effects
}

// haltContent cancels the attempts that run a content here, but for a trial.
func (s *State) haltContent(fingerprint uint64) []Effect {
	var effects []Effect
	for _, a := range s.sortedAttempts() {
		if a.call.call.Fingerprint() == fingerprint && !a.trial {
			effects = append(effects, s.halt(a)...)
		}
	}
	return effects
}

// crash takes in that the replica of a died while it ran the call.
func (s *State) crash(now time.Time, r Replicas, a *attempt) []Effect {
	fingerprint := a.call.call.Fingerprint()
	crashed := []instance.ReplicaID{a.own.replica}
	if fingerprint == 0 || s.suspects.isProven(fingerprint) || s.suspects.isExplained(now, crashed) {
		return nil
	}
	p := s.suspects.entry(now, fingerprint)
	if p.poisonous {
		return nil
	}
	p.addCrash(a.own.replica)
	p.crashed = now
	if a.trial || p.passed || len(p.crashes) >= crashesMost {
		p.doubt(now, a.own.replica)
	}
	if a.lost && p.doubted != "" {
		return s.condemn(now, r, p)
	}
	effects := s.claim(now, p)
	if len(effects) == 0 {
		effects = []Effect{PublishSuspicion{p.suspicion()}}
	}
	return append(effects, s.haltContent(fingerprint)...)
}

// condemn makes a content poisonous and tells the others.
func (s *State) condemn(now time.Time, r Replicas, p *suspect) []Effect {
	p.poisonous = true
	p.owner = ""
	return append([]Effect{PublishSuspicion{p.suspicion()}}, s.enforce(now, r, p)...)
}

// enforce ends the calls with a poisonous content, and clears contents that were suspicious only for its crashes.
func (s *State) enforce(now time.Time, r Replicas, p *suspect) []Effect {
	p.heard = now
	effects := s.haltContent(p.fingerprint)
	effects = append(effects, s.refuse(p.fingerprint)...)
	for _, other := range s.suspects.sorted() {
		if p.explains(other.crashes) {
			effects = append(effects, s.acquit(now, r, other)...)
		}
	}
	return effects
}
