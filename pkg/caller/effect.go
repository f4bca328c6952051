package caller

// Effect is an action for a driver or another package: Dispatch, Reject, Cancel, ReportUsage, EndCalls or CompleteStop.
type Effect interface{ isEffect() }

// Dispatch runs a call on an engine or a service.
type Dispatch struct{ call Call }

// Call returns the call to run.
func (d Dispatch) Call() Call { return d.call }

// Reject ends a call that was never dispatched.
type Reject struct {
	id      ID
	outcome NotRun
}

// ID returns the ID of the rejected call.
func (r Reject) ID() ID { return r.id }

// Outcome returns the outcome that the caller receives.
func (r Reject) Outcome() NotRun { return r.outcome }

// Cancel ends a running call; a Finished event follows.
type Cancel struct{ id ID }

// ID returns the ID of the call to cancel.
func (c Cancel) ID() ID { return c.id }

// ReportUsage sends the allocations and the usage of this daemon to the other daemons.
type ReportUsage struct {
	allocations []Allocation
	usages      []Usage
}

// Allocations returns the capacity that is allocated to this daemon, sorted by target.
func (r ReportUsage) Allocations() []Allocation { return r.allocations }

// Usages returns the usage of each organisation at this daemon, sorted by target and organisation.
func (r ReportUsage) Usages() []Usage { return r.usages }

// EndCalls gives the callers of all running calls their final answers, since the process ends. Cancel follows for each of these calls.
type EndCalls struct{}

// CompleteStop completes a planned stop: no caller has the address in its cache and no call runs or waits.
type CompleteStop struct{}

func (Dispatch) isEffect() {}

func (Reject) isEffect() {}

func (Cancel) isEffect() {}

func (ReportUsage) isEffect() {}

func (EndCalls) isEffect() {}

func (CompleteStop) isEffect() {}
