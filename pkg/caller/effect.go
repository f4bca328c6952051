package caller

// Effect is what a driver or another part has to do: Dispatch, Reject, Cancel, Share or Stopped.
type Effect interface{ isEffect() }

// Dispatch hands a call on to its engine or service.
type Dispatch struct{ call Call }

// Call returns the call to run.
func (d Dispatch) Call() Call { return d.call }

// Reject ends a call that was never dispatched.
type Reject struct {
	id      ID
	outcome NotRun
}

// ID returns the call that ends.
func (r Reject) ID() ID { return r.id }

// Outcome returns what its caller is told.
func (r Reject) Outcome() NotRun { return r.outcome }

// Cancel asks the part that runs a call to end it; Finished follows.
type Cancel struct{ id ID }

// ID returns the call to cancel.
func (c Cancel) ID() ID { return c.id }

// ReportUsage tells the other daemons what this one holds and what its callers want.
type ReportUsage struct {
	allocations []Allocation
	usages      []Usage
}

// Allocations returns the capacity that this daemon holds, by target in order.
func (s ReportUsage) Allocations() []Allocation { return s.allocations }

// Usages returns what the organisations want at this daemon, by target and organisation in order.
func (s ReportUsage) Usages() []Usage { return s.usages }

// CompleteStop says that a planned stop may complete: nobody holds the address and nothing runs.
type CompleteStop struct{}

func (Dispatch) isEffect() {}

func (Reject) isEffect() {}

func (Cancel) isEffect() {}

func (ReportUsage) isEffect() {}

func (CompleteStop) isEffect() {}
