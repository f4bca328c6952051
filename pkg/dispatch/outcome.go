package dispatch

import (
	"maps"
	"slices"
	"time"
)

// maxSends is the maximum number of sends of one request, including those that did not run.
const maxSends = 4

func (s *State) handleStarted(now time.Time, up Upstreams, e Started) {
	a := s.attempts[e.attempt]
	if a == nil {
		return
	}
	s.workOn(a.call)
	a.isStarted = true
	if a.isDirect {
		a.upstream.answeredAt = now
	}
	a.call.hasPartialAnswer = true
	a.upstream.recordLoad(now, e.load)
	s.observeLimit(now, up, a, e.load.limit)
}

// handleFirstEvent records that the prefill of an attempt has ended.
func (s *State) handleFirstEvent(now time.Time, id AttemptID) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	s.workOn(a.call)
	a.hasEvent = true
	s.clearPendingPrefill(a)
	s.countAnswer(now, a.call)
	s.measureSlowdown(now, a)
}

func (s *State) clearPendingPrefill(a *attempt) {
	a.upstream.pendingPrefillTokens = max(a.upstream.pendingPrefillTokens-a.call.promptTokens, 0)
}

func (a *attempt) target() string { return a.call.tried[len(a.call.tried)-1] }

// removeAttempt removes an attempt that ended.
func (s *State) removeAttempt(now time.Time, a *attempt) {
	delete(s.attempts, a.id)
	a.upstream.end(now)
	s.markUnreported(a, a.target())
	a.call.attempt = nil
	if s.runningByOrganisation[a.call.organisation]--; s.runningByOrganisation[a.call.organisation] <= 0 {
		delete(s.runningByOrganisation, a.call.organisation)
	}
}

func (s *State) handleCompleted(now time.Time, up Upstreams, id AttemptID) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	s.workOn(a.call)
	s.removeAttempt(now, a)
	s.measureAnswer(now, a)
	s.recordSuccess(now, a.call)
	a.upstream.countTrial()
	s.finish(now, a.call, NoteAnswered, a.target(), "")
	s.serveQueue(now, up)
}

// finish removes a call that has ended.
func (s *State) finish(now time.Time, c *call, decision, upstream, reason string) {
	c.hasEnded = true
	delete(s.calls, c.id)
	s.dequeue(c)
	s.releaseRetry(c)
	s.endTrial(now, c)
	s.note(now, c, decision, upstream, reason, Inputs{waiting: len(s.queue)})
}

// handleFailed retries the call of a failed attempt or ends it.
func (s *State) handleFailed(now time.Time, up Upstreams, e Failed) {
	a := s.attempts[e.attempt]
	if a == nil {
		return
	}
	c := a.call
	s.workOn(c)
	if !a.isStarted {
		s.clearPendingPrefill(a)
	}
	s.removeAttempt(now, a)
	s.recordFailure(now, up, a, e)
	c.hasErrorResponse = e.failure == Errored && !e.isAnswerUnusable
	if e.hasPartialAnswer {
		c.hasPartialAnswer, c.lastEventID = true, e.lastEventID
	}
	if e.failure != NotSent {
		c.arrivals++
	}
	if e.failure.ran() {
		c.runs++
	}
	if c.finalEffect != nil {
		s.finishHalted(now, c, a.target())
		return
	}
	s.note(now, c, NoteAttempt, a.target(), e.failure.String(),
		Inputs{calls: a.upstream.estimatedCalls(now), waiting: len(s.queue)})
	s.retry(now, up, c)
	s.serveQueue(now, up)
}

// recordFailure updates the state of the upstream after a failure.
func (s *State) recordFailure(now time.Time, up Upstreams, a *attempt, e Failed) {
	a.upstream.recordLoad(now, e.load)
	s.observeLimit(now, up, a, e.load.limit)
	if e.faultyUpstream != "" {
		s.emit(Suspect{e.faultyUpstream, "reported by another upstream"})
	}
	switch e.failure {
	case NotSent:
		if a.isCancelled {
			return // the upstream did not refuse it
		}
		if !a.isDirect || up.Way(now, a.target(), a.call.regions).IsDirect() { // the next one goes through a peer otherwise
			a.upstream.avoidUntil = now.Add(failureBackoff)
		}
		s.emit(Suspect{a.target(), "no connection"})
	case Interrupted:
		s.emit(Suspect{a.target(), "connection reset"})
		s.reportCrash(now, a)
	case Misdirected:
		a.upstream.avoidUntil = now.Add(deadBackoff)
		s.emit(Suspect{a.target(), "another upstream has the address"})
	case NotRun, Unidentified: // which may be a refusal too
		a.upstream.avoidUntil = now.Add(fullBackoff)
	}
}

// retry sends a call again if its route, its poison mark and the retry budget allow that, and ends it otherwise.
func (s *State) retry(now time.Time, up Upstreams, c *call) {
	switch {
	case (c.trial == nil || c.runs > 0) && (s.isPoison(now, c, crashesToStopRetry) || s.hasRefusedPart(now, c)):
		s.giveUp(now, c, Poison, suspicionRetryAfter)
	case !c.isContinuable():
		s.giveUp(now, c, AttemptsExhausted, 0)
	case c.runs > 0 && !c.route.Retryable(), c.runs >= c.route.MaxAttempts(), c.sends >= maxSends:
		s.giveUp(now, c, AttemptsExhausted, s.retryAfter(now, up, c))
	case c.arrivals > 0 && !s.reserveRetry(now, c):
		s.giveUp(now, c, RetryBudgetSpent, s.retryAfter(now, up, c))
	default:
		s.place(now, up, c)
	}
}

// giveUp ends a call without success. The call is refused as not run only if no upstream may have run it. A partial
// answer is aborted. An error response of the last upstream is not forwarded then, since it would land in the middle of
// the answer.
func (s *State) giveUp(now time.Time, c *call, reason Reason, retryAfter time.Duration) {
	s.workOn(c)
	switch {
	case c.hasErrorResponse && !c.hasPartialAnswer:
		s.emit(ForwardFailure{c.id})
		s.finish(now, c, NoteFailureForwarded, "", reason.String())
	case c.runs > 0 || c.hasPartialAnswer:
		s.emit(Fail{c.id, reason, false})
		s.finish(now, c, NoteFailed, "", reason.String())
	default:
		s.refuse(now, c, reason, retryAfter)
	}
}

// refuse ends a call that did not run.
func (s *State) refuse(now time.Time, c *call, reason Reason, retryAfter time.Duration) {
	s.emit(Refuse{c.id, reason, retryAfter})
	s.finish(now, c, NoteRefused, "", reason.String())
}

// expire ends a call that is past its deadline.
func (s *State) expire(now time.Time, c *call) {
	s.workOn(c)
	if c.attempt != nil {
		s.halt(c, Fail{c.id, Timeout, true})
		return
	}
	if c.runs > 0 || c.hasPartialAnswer {
		s.emit(Fail{c.id, Timeout, true})
		s.finish(now, c, NoteFailed, "", Timeout.String())
		return
	}
	s.refuse(now, c, Timeout, 0)
}

// handleCallerLeft ends a call whose caller disconnected.
func (s *State) handleCallerLeft(now time.Time, id ID) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if c.attempt != nil {
		s.halt(c, Drop{c.id})
		return
	}
	s.emit(Drop{c.id})
	s.finish(now, c, NoteDropped, "", CallerGone.String())
}

// halt cancels the attempt of a call, whose final effect is emitted when the attempt has ended.
func (s *State) halt(c *call, effect finalEffect) {
	c.finalEffect = effect
	if !c.attempt.isCancelled {
		c.attempt.isCancelled = true
		s.emit(Cancel{c.attempt.id})
	}
}

// finishHalted ends a call whose cancelled attempt has ended.
func (s *State) finishHalted(now time.Time, c *call, upstream string) {
	if fail, isFail := c.finalEffect.(Fail); isFail && c.runs == 0 && !c.hasPartialAnswer {
		s.refuse(now, c, fail.reason, 0)
		return
	}
	s.emit(c.finalEffect)
	switch effect := c.finalEffect.(type) {
	case Fail:
		s.finish(now, c, NoteFailed, upstream, effect.reason.String())
	case Drop:
		s.finish(now, c, NoteDropped, upstream, CallerGone.String())
	}
}

// handleReplicaBroken cancels the attempts at a broken replica that can be retried elsewhere; the others stay, since
// the replica may recover.
func (s *State) handleReplicaBroken(now time.Time, up Upstreams, head string) {
	u := s.upstream(head)
	u.avoidUntil = now.Add(deadBackoff)
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.upstream == u {
			s.cancelToRetry(now, up, a)
		}
	}
}

// cancelToRetry cancels an attempt if its call may be retried elsewhere, and takes the retry from the budget.
func (s *State) cancelToRetry(now time.Time, up Upstreams, a *attempt) {
	c := a.call
	s.workOn(c)
	if s.mustStay(up, a) {
		return
	}
	isAllowed := c.route.Retryable() && c.isContinuable() && c.runs+1 < c.route.MaxAttempts() && c.sends < maxSends
	if a.isCancelled || !isAllowed || !s.reserveRetry(now, c) {
		return
	}
	a.isCancelled = true
	s.emit(Cancel{a.id})
}

// mustStay reports whether there is no other upstream for the call of an attempt, which would be abandoned if the attempt was cancelled.
// A call for a model that was not answered may wait for another replica; the stalls of one that was are reported again.
func (s *State) mustStay(up Upstreams, a *attempt) bool {
	return !s.hasUntried(up, a.call) && (a.isStarted || !s.mayAppear(a.call))
}
