package engine

import (
	"fmt"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/instance"
)

// invariants checks a run of the fake fleet and records the violations.
type invariants struct {
	sends      int
	calls      int
	draining   map[instance.ReplicaID]bool
	violations []string
	placements []placement
}

// placement is the replica to which an attempt was sent.
type placement struct {
	at      time.Time
	replica instance.ReplicaID
	isLocal bool
}

func (inv *invariants) fail(format string, arguments ...any) {
	inv.violations = append(inv.violations, fmt.Sprintf(format, arguments...))
}

// checkSend checks that an attempt resumes after the tokens that the caller has, on a replica that accepts new calls.
func (inv *invariants) checkSend(now time.Time, dataCentre string, r *result, s Send, replicas Replicas) {
	inv.sends++
	upstream, _ := replicas.Find(s.replica)
	inv.placements = append(inv.placements, placement{now, s.replica, upstream.dataCentre == dataCentre})
	if !r.sent {
		inv.calls++
	}
	r.sent = true
	if _, isAvailable := replicas.Find(s.replica); !isAvailable {
		inv.fail("call %d is sent to %s, which isn't available", s.call.ID(), s.replica)
	}
	if inv.draining[s.replica] {
		inv.fail("call %d is sent to %s, which is draining", s.call.ID(), s.replica)
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

// checkOutcome checks that an outcome is correct and the only one of its call.
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
			inv.fail("call %d ran but its outcome is NotRun", r.call.ID())
		}
	}
}

// checkFinished checks after the last deadline that every call finished in time.
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
