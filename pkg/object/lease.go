package object

import "time"

// Defaults of a Lease.
const (
	defaultLeaseDuration = 15 * time.Second
	defaultLeaseMargin   = 3 * time.Second
)

// Transition is how an event changed whether this process holds a lease.
type Transition uint8

// The transitions of a lease.
const (
	Unchanged Transition = iota
	Acquired
	Lapsed
)

// Lease decides whether this process holds one lease object, which has the schema of a Lease of coordination.k8s.io/v1.
//
// A contender acquires the lease once it has seen the same version for the whole duration on its own clock. The holder
// counts the duration, less a margin, from the time at which it sent the last renewal that is known to have taken effect.
type Lease struct {
	key      Key
	identity string
	duration time.Duration
	margin   time.Duration
	backoff  Backoff

	known         bool
	version       Version
	versionSeenAt time.Time
	spec          leaseSpec

	held          bool
	renewedAt     time.Time
	nextRequestAt time.Time
	pending       pendingLease
	resigned      bool
}

// pendingLease is the request of a lease that has no result yet; ref is 0 for none.
type pendingLease struct {
	ref  Ref
	spec leaseSpec
}

// NewLease returns a lease on key for identity, which must be unique to each start of a process. The duration is in whole
// seconds and at least one; the holder stops margin before its end. The seed randomises the retries of contenders.
func NewLease(key Key, identity string, duration, margin time.Duration, seed uint64) Lease {
	if duration <= 0 {
		duration, margin = defaultLeaseDuration, defaultLeaseMargin
	}
	return Lease{
		key:      key,
		identity: identity,
		duration: duration,
		margin:   margin,
		backoff:  NewBackoff(defaultBackoffBase, duration/2, seed),
	}
}

// Held reports whether this process holds the lease at now.
func (l *Lease) Held(now time.Time) bool {
	return l.held && now.Before(l.Until()) && !now.Before(l.renewedAt)
}

// Until returns the time until which the holder holds the lease without a renewal; it has no meaning for other
// processes.
func (l *Lease) Until() time.Time { return l.renewedAt.Add(l.duration - l.margin) }

// Holder returns the holder in the object as last read or written, empty for none.
func (l *Lease) Holder() string { return l.spec.holder }

// Transitions returns how often the lease changed its holder.
func (l *Lease) Transitions() int { return l.spec.transitions }

// Resign makes the next tick release the lease; the process no longer contends for it.
func (l *Lease) Resign() { l.resigned = true }

// Contend makes the process contend for the lease again after Resign.
func (l *Lease) Contend() { l.resigned = false }

// Tick checks whether the lease has expired and returns the requests that are due at now.
func (l *Lease) Tick(now time.Time, refs *Refs) ([]Request, Transition) {
	transition := l.expire(now)
	if l.pending.ref != 0 || now.Before(l.nextRequestAt) {
		return nil, transition
	}
	if l.resigned {
		return l.release(now, refs, transition)
	}
	if !l.known || !l.held && !l.canAcquire(now) {
		return l.read(refs), transition
	}
	return l.write(now, l.ownSpec(now), refs), transition
}

// Apply applies the result of one of the lease's requests; other results are ignored.
func (l *Lease) Apply(now time.Time, result Result) Transition {
	if l.pending.ref == 0 || result.Ref() != l.pending.ref {
		return l.expire(now)
	}
	pending := l.pending
	l.pending = pendingLease{}
	switch r := result.(type) {
	case Found:
		return l.applyFound(now, r)
	case Absent:
		return l.applyAbsent(now)
	case Stored:
		return l.applyStored(now, r.Version(), pending.spec)
	case Conflict, Lost:
		l.known = false
	}
	l.nextRequestAt = now.Add(l.backoff.Next())
	return l.expire(now)
}

func (l *Lease) expire(now time.Time) Transition {
	if !l.held || l.Held(now) {
		return Unchanged
	}
	return l.markLapsed(now)
}

func (l *Lease) markLapsed(now time.Time) Transition {
	l.held = false
	l.known = false
	l.nextRequestAt = now
	return Lapsed
}

// canAcquire reports whether the lease has no other holder, or its version has not changed for a whole duration.
func (l *Lease) canAcquire(now time.Time) bool {
	if l.version == "" || l.spec.holder == "" || l.spec.holder == l.identity {
		return true
	}
	return now.Sub(l.versionSeenAt) >= max(l.spec.duration, l.duration)
}

func (l *Lease) ownSpec(now time.Time) leaseSpec {
	spec := leaseSpec{holder: l.identity, duration: l.duration, renewTime: now, transitions: l.spec.transitions}
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
	spec := l.ownSpec(now)
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
	spec.renewTime = now
	l.pending = pendingLease{ref: refs.Next(), spec: spec}
	return []Request{NewPut(l.pending.ref, l.key, l.version, encodeLease(spec))}
}

func (l *Lease) applyFound(now time.Time, f Found) Transition {
	spec, err := decodeLease(f.Data())
	if err != nil {
		spec = leaseSpec{holder: "unreadable", duration: l.duration}
	}
	l.backoff.Reset()
	l.observe(now, f.Version(), spec)
	if spec.holder == l.identity {
		return l.confirmRenewal(now, spec.renewTime)
	}
	l.nextRequestAt = now.Add(l.duration/4 + l.backoff.Jitter(l.duration/4))
	if l.canAcquire(now) {
		l.nextRequestAt = now.Add(l.backoff.Jitter(l.duration / 8))
	}
	if l.held {
		l.held = false
		return Lapsed
	}
	return Unchanged
}

func (l *Lease) applyAbsent(now time.Time) Transition {
	l.backoff.Reset()
	l.observe(now, "", leaseSpec{})
	l.nextRequestAt = now.Add(l.backoff.Jitter(l.duration / 8))
	if l.held {
		l.held = false
		return Lapsed
	}
	return Unchanged
}

func (l *Lease) applyStored(now time.Time, version Version, spec leaseSpec) Transition {
	l.backoff.Reset()
	l.observe(now, version, spec)
	if spec.holder != l.identity {
		return l.expire(now)
	}
	return l.confirmRenewal(now, spec.renewTime)
}

func (l *Lease) observe(now time.Time, version Version, spec leaseSpec) {
	if l.versionSeenAt.IsZero() || l.version != version {
		l.versionSeenAt = now
	}
	l.known, l.version, l.spec = true, version, spec
}

// confirmRenewal counts the duration from the time at which the renewal was sent, which the object itself contains.
func (l *Lease) confirmRenewal(now, sentAt time.Time) Transition {
	if l.held && sentAt.Before(l.renewedAt) {
		sentAt = l.renewedAt
	}
	wasHeld := l.held
	l.held, l.renewedAt = true, sentAt
	if l.resigned || !l.Held(now) {
		return l.rejectRenewal(now, wasHeld)
	}
	l.nextRequestAt = l.renewedAt.Add(l.duration / 3)
	if wasHeld {
		return Unchanged
	}
	return Acquired
}

// rejectRenewal handles a renewal that took effect too late or after Resign.
func (l *Lease) rejectRenewal(now time.Time, wasHeld bool) Transition {
	l.held = false
	l.nextRequestAt = now
	if wasHeld {
		return Lapsed
	}
	return Unchanged
}
