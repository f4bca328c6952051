package caller

import "time"

const (
	// The bounds of the delay after which a rejected caller should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// noReplicaRetryAfter is the retry delay while no replica serves the target.
	noReplicaRetryAfter = 5 * time.Second
	// stoppingRetryAfter is the delay before a caller that a stopping daemon rejected requests the addresses again.
	stoppingRetryAfter = 100 * time.Millisecond
	// waitSafetyFactor multiplies the estimated wait: a call is admitted only if its deadline allows for the product.
	waitSafetyFactor = 2
	// retryAfterJitter is the maximum fraction that is added to a retry delay, so that rejected callers do not retry at
	// the same time.
	retryAfterJitter = 0.5
)

// arrive admits call, or rejects it at once if it cannot be answered before its deadline.
func (s *State) arrive(now time.Time, call Call) []Effect {
	if _, isKnown := s.calls[call.id]; isKnown {
		return nil
	}
	t, isKnownTarget := s.targets[call.target]
	if outcome, isRejected := s.checkAdmission(now, call, t, isKnownTarget); isRejected {
		return []Effect{Reject{call.id, outcome}}
	}
	q := t.queue(call.organisation)
	effects, hasRoom := s.makeRoom(t, q, call)
	if !hasRoom {
		return []Effect{Reject{call.id, NewNotRun(QueueLimit, s.retryAfter(t, q, call))}}
	}
	c := &callState{call: call, arrivedAt: now}
	s.calls[call.id] = c
	q.insert(c)
	return append(effects, s.dispatch(now, t)...)
}

// checkAdmission returns the outcome of call if it is not admitted.
func (s *State) checkAdmission(now time.Time, call Call, t *target, isKnownTarget bool) (NotRun, bool) {
	organisation, isKnownOrganisation := s.organisations[call.organisation]
	switch {
	case s.stop.rejectsCalls(now, s.settings):
		return NewNotRun(DaemonStopping, stoppingRetryAfter), true
	case !isKnownOrganisation:
		return NewNotRun(UnknownOrganisation, 0), true
	case !isKnownTarget || t.kind != call.kind || !organisation.mayUse(call.target):
		return NewNotRun(UnknownTarget, 0), true
	case !call.deadline.After(now):
		return NewNotRun(DeadlineExceeded, 0), true
	case t.slots == 0:
		return NewNotRun(NoReplica, noReplicaRetryAfter), true
	}
	q := t.queue(call.organisation)
	wait := s.estimatedWait(t, q, q.ahead(call.priority))
	if s.mayOutlastStop(now, t, call, wait) {
		return NewNotRun(DaemonStopping, stoppingRetryAfter), true
	}
	if s.missesDeadline(now, t, call, wait) {
		return NewNotRun(Overload, s.retryAfter(t, q, call)), true
	}
	return NotRun{}, false
}

// missesDeadline reports whether call would miss its deadline if it were dispatched after wait. While no call runs, it
// ignores the latency: otherwise an estimate from a slow period could reject all calls and would never be updated.
func (s *State) missesDeadline(now time.Time, t *target, call Call, wait time.Duration) bool {
	if t.running == 0 {
		return !call.deadline.After(now)
	}
	return now.Add(waitSafetyFactor*wait + t.latency.lowerBound(call.maxTokens)).After(call.deadline)
}

// estimatedWait returns how long a call will wait that has ahead calls before it in its queue.
func (s *State) estimatedWait(t *target, q *organisationQueue, ahead int) time.Duration {
	if t.running < t.maxRunning() && ahead == 0 {
		return 0
	}
	return time.Duration(float64(t.latency.mean()) * float64(ahead+1) / q.entitledSlots())
}

// retryAfter returns how long the caller of a rejected call should wait: until the calls that wait now have run, within
// the bounds and with jitter.
func (s *State) retryAfter(t *target, q *organisationQueue, call Call) time.Duration {
	base := min(max(s.estimatedWait(t, q, len(q.waiting)), minRetryAfter), maxRetryAfter)
	return base + time.Duration(float64(base)*retryAfterJitter*hashToUnit(uint64(call.id)))
}

// makeRoom reports whether the queue has room for call. From a full queue it rejects the last call if that has a lower
// priority.
func (s *State) makeRoom(t *target, q *organisationQueue, call Call) ([]Effect, bool) {
	if len(q.waiting) < s.settings.MaxQueue() {
		return nil, true
	}
	last := q.waiting[len(q.waiting)-1]
	if last.call.priority >= call.priority {
		return nil, false
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	delete(s.calls, last.call.id)
	return []Effect{Reject{last.call.id, NewNotRun(QueueLimit, s.retryAfter(t, q, last.call))}}, true
}

// dispatch dispatches waiting calls of t up to its limit.
func (s *State) dispatch(now time.Time, t *target) []Effect {
	var effects []Effect
	for t.running < t.maxRunning() {
		q := t.nextQueue()
		if q == nil {
			break
		}
		c := q.pop()
		if s.missesDeadline(now, t, c.call, 0) {
			effects = append(effects, s.rejectLate(t, q, c))
			continue
		}
		if s.mayOutlastStop(now, t, c.call, 0) {
			delete(s.calls, c.call.id)
			effects = append(effects, Reject{c.call.id, NewNotRun(DaemonStopping, stoppingRetryAfter)})
			continue
		}
		c.dispatchedAt = now
		q.running++
		t.running++
		effects = append(effects, Dispatch{c.call})
	}
	return effects
}

// expire rejects the waiting calls of t that can no longer be answered before their deadlines.
func (s *State) expire(now time.Time, t *target) []Effect {
	var effects []Effect
	for _, organisation := range t.organisationNames {
		q := t.queues[organisation]
		kept := q.waiting[:0]
		for _, c := range q.waiting {
			if !s.missesDeadline(now, t, c.call, 0) {
				kept = append(kept, c)
				continue
			}
			effects = append(effects, s.rejectLate(t, q, c))
		}
		q.waiting = kept
	}
	return effects
}

// rejectAll rejects all waiting calls of t.
func (s *State) rejectAll(t *target, outcome NotRun) []Effect {
	var effects []Effect
	for _, organisation := range t.organisationNames {
		for _, c := range t.queues[organisation].waiting {
			delete(s.calls, c.call.id)
			effects = append(effects, Reject{c.call.id, outcome})
		}
		t.queues[organisation].waiting = nil
	}
	return effects
}

func (s *State) rejectLate(t *target, q *organisationQueue, c *callState) Effect {
	delete(s.calls, c.call.id)
	return Reject{c.call.id, NewNotRun(DeadlineExceeded, s.retryAfter(t, q, c.call))}
}

func (s *State) finish(now time.Time, e Finished) []Effect {
	c, isKnown := s.calls[e.id]
	if !isKnown || !c.isRunning() {
		return nil
	}
	delete(s.calls, e.id)
	t := s.targets[c.call.target]
	t.running--
	t.queue(c.call.organisation).running--
	if _, isAnswered := e.outcome.(Answered); isAnswered {
		t.latency.add(c.call.maxTokens, now.Sub(c.dispatchedAt))
	}
	return append(s.dispatch(now, t), s.completeStop(now)...)
}

func (s *State) callerDisconnected(id ID) []Effect {
	c, isKnown := s.calls[id]
	if !isKnown {
		return nil
	}
	if c.isRunning() {
		return []Effect{Cancel{id}}
	}
	delete(s.calls, id)
	s.targets[c.call.target].queue(c.call.organisation).remove(id)
	return []Effect{Reject{id, NewNotRun(Cancelled, 0)}}
}
