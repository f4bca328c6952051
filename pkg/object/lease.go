package object

import "time"

// Defaults of a Lease.
const (
	defaultTerm   = 15 * time.Second
	defaultMargin = 3 * time.Second
)

// Transition is how a step changed whether this process holds a lease.
type Transition uint8

// The transitions of a lease.
const (
	Unchanged Transition = iota
	Acquired
	Lapsed
)

// Lease decides whether this process holds one lease object, which has the shape of a Lease of coordination.k8s.io/v1.
//
// A contender takes the lease once it has seen the same version for the whole term on its own clock. The holder counts
// its term from the time at which it sent the last renewal that is known to have taken effect, less a margin.
type Lease struct {
	key      Key
	identity string
	term     time.Duration
	margin   time.Duration
	backoff  Backoff

	known   bool
	version Version
	seen    time.Time
	spec    leaseSpec

	held     bool
	sent     time.Time
	next     time.Time
	pending  pendingLease
	resigned bool
}

// pendingLease is the one request of a lease that has no result yet; ref is 0 for none.
type pendingLease struct {
	ref  Ref
	spec leaseSpec
}

// NewLease returns a lease on key for identity, which must be new at each start of a process; term is at least one
// second and whole seconds, margin is what the holder gives up of it, and seed spreads the retries of contenders.
func NewLease(key Key, identity string, term, margin time.Duration, seed uint64) Lease {
	if term <= 0 {
		term, margin = defaultTerm, defaultMargin
	}
	return Lease{
		key:      key,
		identity: identity,
		term:     term,
		margin:   margin,
		backoff:  NewBackoff(defaultBase, term/2, seed),
	}
}

// Held reports whether this process holds the lease at now.
func (l *Lease) Held(now time.Time) bool {
	return l.held && now.Before(l.Until()) && !now.Before(l.sent)
}

// Until returns the end of the holder's term, less the margin; it has no meaning for others.
func (l *Lease) Until() time.Time { return l.sent.Add(l.term - l.margin) }

// Holder returns the identity that the object named when it was last read or written, empty for none.
func (l *Lease) Holder() string { return l.spec.holder }

// Transitions returns how often the lease changed its holder.
func (l *Lease) Transitions() int { return l.spec.transitions }

// Resign gives the lease up at the next tick and contends no more.
func (l *Lease) Resign() { l.resigned = true }

// Contend takes part again after Retire.
func (l *Lease) Contend() { l.resigned = false }

// Tick notices a lapsed term and returns the requests that are due at now.
func (l *Lease) Tick(now time.Time, refs *Refs) ([]Request, Transition) {
	transition := l.lapse(now)
	if l.pending.ref != 0 || now.Before(l.next) {
		return nil, transition
	}
	if l.resigned {
		return l.release(now, refs, transition)
	}
	if !l.known || !l.held && !l.free(now) {
		return l.read(refs), transition
	}
	return l.write(now, l.claim(now), refs), transition
}

// Apply applies the result of one of the lease's requests; results of others change nothing.
func (l *Lease) Apply(now time.Time, result Result) Transition {
	if l.pending.ref == 0 || result.Ref() != l.pending.ref {
		return l.lapse(now)
	}
	pending := l.pending
	l.pending = pendingLease{}
	switch r := result.(type) {
	case Found:
		return l.found(now, r)
	case Absent:
		return l.absent(now)
	case Stored:
		return l.stored(now, r.Version(), pending.spec)
	case Conflict, Lost:
		l.known = false
	}
	l.next = now.Add(l.backoff.Next())
	return l.lapse(now)
}

func (l *Lease) lapse(now time.Time) Transition {
	if !l.held || l.Held(now) {
		return Unchanged
	}
	return l.drop(now)
}

func (l *Lease) drop(now time.Time) Transition {
	l.held = false
	l.known = false
	l.next = now
	return Lapsed
}

// free reports whether the lease may be taken: nobody holds it, or its version is unchanged for a whole term.
func (l *Lease) free(now time.Time) bool {
	if l.version == "" || l.spec.holder == "" || l.spec.holder == l.identity {
		return true
	}
	return now.Sub(l.seen) >= max(l.spec.term, l.term)
}

func (l *Lease) claim(now time.Time) leaseSpec {
	spec := leaseSpec{holder: l.identity, term: l.term, renewed: now, transitions: l.spec.transitions}
	if l.spec.holder != l.identity {
		spec.transitions++
	}
	return spec
}

func (l *Lease) release(now time.Time, refs *Refs, transition Transition) ([]Request, Transition) {
	if l.spec.holder != l.identity {
		return nil, transition
	}
	if !l.known {
		return l.read(refs), transition
	}
	spec := l.claim(now)
	spec.holder = ""
	if l.held {
		l.held, transition = false, Lapsed
	}
	return l.write(now, spec, refs), transition
}

func (l *Lease) read(refs *Refs) []Request {
	l.pending = pendingLease{ref: refs.Next()}
	return []Request{NewGet(l.pending.ref, l.key)}
}

func (l *Lease) write(now time.Time, spec leaseSpec, refs *Refs) []Request {
	spec.renewed = now
	l.pending = pendingLease{ref: refs.Next(), spec: spec}
	return []Request{NewPut(l.pending.ref, l.key, l.version, encodeLease(spec))}
}

func (l *Lease) found(now time.Time, f Found) Transition {
	spec, err := decodeLease(f.Data())
	if err != nil {
		spec = leaseSpec{holder: "unreadable", term: l.term}
	}
	l.backoff.Reset()
	l.observe(now, f.Version(), spec)
	if spec.holder == l.identity {
		return l.confirm(now, spec.renewed)
	}
	l.next = now.Add(l.term/4 + l.backoff.Jitter(l.term/4))
	if l.free(now) {
		l.next = now.Add(l.backoff.Jitter(l.term / 8))
	}
	if l.held {
		l.held = false
		return Lapsed
	}
	return Unchanged
}

func (l *Lease) absent(now time.Time) Transition {
	l.backoff.Reset()
	l.observe(now, "", leaseSpec{})
	l.next = now.Add(l.backoff.Jitter(l.term / 8))
	if l.held {
		l.held = false
		return Lapsed
	}
	return Unchanged
}

func (l *Lease) stored(now time.Time, version Version, spec leaseSpec) Transition {
	l.backoff.Reset()
	l.observe(now, version, spec)
	if spec.holder != l.identity {
		return l.lapse(now)
	}
	return l.confirm(now, spec.renewed)
}

func (l *Lease) observe(now time.Time, version Version, spec leaseSpec) {
	if l.seen.IsZero() || l.version != version {
		l.seen = now
	}
	l.known, l.version, l.spec = true, version, spec
}

// confirm counts the term from the time at which the renewal was sent, which the object itself carries.
func (l *Lease) confirm(now, sent time.Time) Transition {
	if l.held && sent.Before(l.sent) {
		sent = l.sent
	}
	was := l.held
	l.held, l.sent = true, sent
	if l.resigned || !l.Held(now) {
		return l.outdated(now, was)
	}
	l.next = l.sent.Add(l.term / 3)
	if was {
		return Unchanged
	}
	return Acquired
}

// outdated handles a renewal that took effect but came too late or is no longer wanted.
func (l *Lease) outdated(now time.Time, was bool) Transition {
	l.held = false
	l.next = now
	if was {
		return Lapsed
	}
	return Unchanged
}
