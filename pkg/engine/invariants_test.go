package engine

import (
	"fmt"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// checks finds broken invariants in a run of the fake fleet.
type invariants struct {
	sends      int
	calls      int
	drained    map[instance.ReplicaID]bool
	faults     []string
	placements []placement
}

// placement is where an attempt was sent.
type placement struct {
	at      time.Time
	replica instance.ReplicaID
	isLocal bool
}

func (inv *invariants) fail(format string, arguments ...any) {
	inv.faults = append(inv.faults, fmt.Sprintf(format, arguments...))
}

// send checks that an attempt goes on where the caller is, on a replica that takes new calls.
func (inv *invariants) checkSend(now time.Time, dataCentre string, r *result, s Send, replicas Replicas) {
	inv.sends++
	upstream, _ := replicas.Find(s.replica)
	inv.placements = append(inv.placements, placement{now, s.replica, upstream.dataCentre == dataCentre})
	if !r.sent {
		inv.calls++
	}
	r.sent = true
	if _, isAvailable := replicas.Find(s.replica); !isAvailable {
		inv.fail("call %d is sent to %s, which isn't whole", s.call.ID(), s.replica)
	}
	if inv.drained[s.replica] {
		inv.fail("call %d is sent to %s, which drains", s.call.ID(), s.replica)
	}
	if s.tokenOffset != r.receivedTokens {
		inv.fail("call %d resumes at %d while its caller has %d tokens", s.call.ID(), s.tokenOffset, r.receivedTokens)
	}
	if r.outcome != nil {
		inv.fail("call %d is sent after it finished", s.call.ID())
	}
	if r.runs > 0 && !s.call.Idempotent() {
		inv.fail("call %d isn't idempotent and is sent again", s.call.ID())
	}
}

// conclude checks that an outcome is true and the only one.
func (inv *invariants) checkOutcome(r *result, outcome caller.Outcome) {
	if r.outcome != nil {
		inv.fail("call %d finishes twice", r.call.ID())
	}
	switch outcome.(type) {
	case caller.Answered:
		if r.receivedTokens != r.wantTokens {
			inv.fail("call %d is answered with %d of %d tokens", r.call.ID(), r.receivedTokens, r.wantTokens)
		}
	case caller.NotRun:
		if r.runs > 0 {
			inv.fail("call %d ran and is said not to have run", r.call.ID())
		}
	}
}

// end checks, some time after the last deadline, that every call has its outcome, and in time.
func (inv *invariants) checkFinished(f *fleet) {
	for id, r := range f.results {
		switch {
		case r.outcome == nil:
			inv.fail("call %d never finishes", id)
		case r.ended.After(r.call.Deadline().Add(time.Second)):
			inv.fail("call %d finishes %v after its deadline", id, r.ended.Sub(r.call.Deadline()))
		}
	}
}
