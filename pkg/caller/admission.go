package caller

import "time"

const (
	// againLeast and againMost bound what callers are told about when to come back.
	againLeast = time.Second
	againMost  = 30 * time.Second
	// againRepair is when to come back while no replica serves.
	againRepair = 5 * time.Second
	// againElsewhere is when to ask for addresses again after a refusal by a daemon that stops.
	againElsewhere = 100 * time.Millisecond
	// waitMargin is how many times the estimated wait a call has to be able to bear to be admitted.
	waitMargin = 2
	// againJitter is the largest part by which the time to come back is drawn out, so that refused callers spread.
	againJitter = 0.5
)

// arrive admits call, or refuses it at once when it can't be answered in its time.
func (s *State) arrive(now time.Time, call Call) []Effect {
	if _, isKnown := s.calls[call.id]; isKnown {
		return nil
	}
	t, isTarget := s.targets[call.target]
	if refusal, isRefused := s.refuse(now, call, t, isTarget); isRefused {
		return []Effect{Reject{call.id, refusal}}
	}
	l := t.line(call.organisation)
	effects, hasRoom := s.makeRoom(t, l, call)
	if !hasRoom {
		return []Effect{Reject{call.id, NewNotRun(QueueLimit, s.again(t, l, call))}}
	}
	r := &record{call: call, arrived: now}
	s.calls[call.id] = r
	l.put(r)
	return append(effects, s.dispatch(now, t)...)
}

// refuse returns why call is not admitted.
func (s *State) refuse(now time.Time, call Call, t *target, isTarget bool) (NotRun, bool) {
	organisation, isMember := s.organisations[call.organisation]
	switch {
	case s.stop.refuses(now, s.settings):
		return NewNotRun(DaemonStopping, againElsewhere), true
	case !isMember:
		return NewNotRun(UnknownOrganisation, 0), true
	case !isTarget || t.kind != call.kind || !organisation.mayUse(call.target):
		return NewNotRun(UnknownTarget, 0), true
	case !call.deadline.After(now):
		return NewNotRun(DeadlineExceeded, 0), true
	case t.slots == 0:
		return NewNotRun(NoReplica, againRepair), true
	}
	l := t.line(call.organisation)
	if s.isLate(now, t, call, s.wait(t, l, l.ahead(call.priority))) {
		return NewNotRun(Overload, s.again(t, l, call)), true
	}
	return NotRun{}, false
}

// isLate reports whether call would miss its deadline if it were dispatched after wait. While nothing runs it is
// never late, so that a pace that was learned in bad times can be learned anew.
func (s *State) isLate(now time.Time, t *target, call Call, wait time.Duration) bool {
	if t.running == 0 {
		return !call.deadline.After(now)
	}
	return now.Add(waitMargin*wait + t.pace.least(call.maxTokens)).After(call.deadline)
}

// wait returns how long a call with ahead calls of its line before it will wait.
func (s *State) wait(t *target, l *line, ahead int) time.Duration {
	if t.running < t.limit() && ahead == 0 {
		return 0
	}
	return time.Duration(float64(t.pace.mean()) * float64(ahead+1) / l.entitled())
}

// again returns when the caller of a refused call should come back: when those that wait now are through.
func (s *State) again(t *target, l *line, call Call) time.Duration {
	base := min(max(s.wait(t, l, len(l.waiting)), againLeast), againMost)
	return base + time.Duration(float64(base)*againJitter*fraction(uint64(call.id)))
}

// makeRoom sees to it that the line has room for call; when it is full, the last call of a lower priority gives way.
func (s *State) makeRoom(t *target, l *line, call Call) ([]Effect, bool) {
	if len(l.waiting) < s.settings.MaxQueue() {
		return nil, true
	}
	last := l.waiting[len(l.waiting)-1]
	if last.call.priority >= call.priority {
		return nil, false
	}
	l.waiting = l.waiting[:len(l.waiting)-1]
	delete(s.calls, last.call.id)
	return []Effect{Reject{last.call.id, NewNotRun(QueueLimit, s.again(t, l, last.call))}}, true
}

// dispatch hands on waiting calls of t while its limit allows.
func (s *State) dispatch(now time.Time, t *target) []Effect {
	var effects []Effect
	for t.running < t.limit() {
		l := t.next()
		if l == nil {
			break
		}
		r := l.take()
		if s.isLate(now, t, r.call, 0) {
			effects = append(effects, s.refuseLate(t, l, r))
			continue
		}
		r.dispatched = now
		l.running++
		t.running++
		effects = append(effects, Dispatch{r.call})
	}
	return effects
}

// expire refuses the waiting calls of t that can't be answered in their time any more.
func (s *State) expire(now time.Time, t *target) []Effect {
	var effects []Effect
	for _, organisation := range t.order {
		l := t.lines[organisation]
		kept := l.waiting[:0]
		for _, r := range l.waiting {
			if !s.isLate(now, t, r.call, 0) {
				kept = append(kept, r)
				continue
			}
			effects = append(effects, s.refuseLate(t, l, r))
		}
		l.waiting = kept
	}
	return effects
}

// refuseAll refuses all waiting calls of t.
func (s *State) refuseAll(t *target, outcome NotRun) []Effect {
	var effects []Effect
	for _, organisation := range t.order {
		for _, r := range t.lines[organisation].waiting {
			delete(s.calls, r.call.id)
			effects = append(effects, Reject{r.call.id, outcome})
		}
		t.lines[organisation].waiting = nil
	}
	return effects
}

func (s *State) refuseLate(t *target, l *line, r *record) Effect {
	delete(s.calls, r.call.id)
	return Reject{r.call.id, NewNotRun(DeadlineExceeded, s.again(t, l, r.call))}
}

func (s *State) finish(now time.Time, e Finished) []Effect {
	r, isKnown := s.calls[e.id]
	if !isKnown || !r.isRunning() {
		return nil
	}
	delete(s.calls, e.id)
	t := s.targets[r.call.target]
	t.running--
	t.line(r.call.organisation).running--
	if _, isAnswered := e.outcome.(Answered); isAnswered {
		t.pace.add(r.call.maxTokens, now.Sub(r.dispatched))
	}
	return append(s.dispatch(now, t), s.completeStop(now)...)
}

func (s *State) leave(id ID) []Effect {
	r, isKnown := s.calls[id]
	if !isKnown {
		return nil
	}
	if r.isRunning() {
		return []Effect{Cancel{id}}
	}
	delete(s.calls, id)
	s.targets[r.call.target].line(r.call.organisation).remove(id)
	return []Effect{Reject{id, NewNotRun(Cancelled, 0)}}
}
