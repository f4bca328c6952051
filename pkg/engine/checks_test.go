package engine

import (
	"fmt"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// checks finds broken invariants in a run of the fake fleet.
type checks struct {
	sends   int
	calls   int
	drained map[instance.ReplicaID]bool
	faults  []string
	log     []placement
}

// placement is where an attempt was sent.
type placement struct {
	at      time.Time
	replica instance.ReplicaID
	isNear  bool
}

func (c *checks) report(format string, arguments ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
}

// send checks that an attempt goes on where the caller is, on a replica that takes new calls.
func (c *checks) send(now time.Time, centre string, r *result, s Send, replicas Replicas) {
	c.sends++
	seen, _ := replicas.Find(s.replica)
	c.log = append(c.log, placement{now, s.replica, seen.dataCentre == centre})
	if !r.sent {
		c.calls++
	}
	r.sent = true
	if _, isWhole := replicas.Find(s.replica); !isWhole {
		c.report("call %d is sent to %s, which isn't whole", s.call.ID(), s.replica)
	}
	if c.drained[s.replica] {
		c.report("call %d is sent to %s, which drains", s.call.ID(), s.replica)
	}
	if s.tokenOffset != r.tokens {
		c.report("call %d resumes at %d while its caller has %d tokens", s.call.ID(), s.tokenOffset, r.tokens)
	}
	if r.outcome != nil {
		c.report("call %d is sent after it finished", s.call.ID())
	}
	if r.runs > 0 && !s.call.Idempotent() {
		c.report("call %d isn't idempotent and is sent again", s.call.ID())
	}
}

// conclude checks that an outcome is true and the only one.
func (c *checks) conclude(r *result, outcome caller.Outcome) {
	if r.outcome != nil {
		c.report("call %d finishes twice", r.call.ID())
	}
	switch outcome.(type) {
	case caller.Answered:
		if r.tokens != r.want {
			c.report("call %d is answered with %d of %d tokens", r.call.ID(), r.tokens, r.want)
		}
	case caller.NotRun:
		if r.runs > 0 {
			c.report("call %d ran and is said not to have run", r.call.ID())
		}
	}
}

// end checks, some time after the last deadline, that every call has its outcome, and in time.
func (c *checks) end(f *fleet) {
	for id, r := range f.results {
		switch {
		case r.outcome == nil:
			c.report("call %d never finishes", id)
		case r.ended.After(r.call.Deadline().Add(time.Second)):
			c.report("call %d finishes %v after its deadline", id, r.ended.Sub(r.call.Deadline()))
		}
	}
}
