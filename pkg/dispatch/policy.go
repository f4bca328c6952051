package dispatch

// policy is the order in which calls get upstreams. Simulations run earlier policies beside the present one, which is nil.
type policy interface{ isPolicy() }

// arrivalOrder serves calls in their order of arrival, without slot requests.
type arrivalOrder struct{}

// noSlots sends calls without slot requests.
type noSlots struct{}

// noOverloadLimit lets late calls wait while an overload lasts.
type noOverloadLimit struct{}

// oldestFirst grants slots in order of arrival while an overload lasts.
type oldestFirst struct{}

// anyCentre requests slots in all data centres alike.
type anyCentre struct{}

// lateRefusal refuses calls when they can no longer be on time, not when they arrive, and keeps no reservations without limits.
type lateRefusal struct{}

// underservedFirst grants slots to underserved organisations first, whatever the urgency and the length of their calls.
type underservedFirst struct{}

// estimatedFirstEvents takes first events to be as late as the engine's configuration says.
type estimatedFirstEvents struct{}

func (arrivalOrder) isPolicy() {}

func (anyCentre) isPolicy() {}

func (noSlots) isPolicy() {}

func (noOverloadLimit) isPolicy() {}

func (oldestFirst) isPolicy() {}

func (lateRefusal) isPolicy() {}

func (underservedFirst) isPolicy() {}

func (estimatedFirstEvents) isPolicy() {}

// isByUrgency reports whether urgent calls are served before others.
func isByUrgency(p policy) bool {
	switch p.(type) {
	case arrivalOrder:
		return false
	}
	return true
}

// requestsSlots reports whether calls need a slot before they are sent.
func requestsSlots(p policy) bool {
	switch p.(type) {
	case arrivalOrder, noSlots:
		return false
	}
	return true
}

// limitsOverload reports whether late calls are denied while an overload lasts.
func limitsOverload(p policy) bool {
	switch p.(type) {
	case noOverloadLimit:
		return false
	}
	return true
}

// prefersLocal reports whether calls get slots in the data centre of their daemon first.
func prefersLocal(p policy) bool {
	switch p.(type) {
	case anyCentre:
		return false
	}
	return true
}

// isYoungestFirst reports whether the youngest call gets the next slot while an overload lasts.
func isYoungestFirst(p policy) bool {
	switch p.(type) {
	case oldestFirst:
		return false
	}
	return true
}

// refusesAtArrival reports whether calls for which no slot is expected in time are refused when they arrive.
func refusesAtArrival(p policy) bool {
	switch p.(type) {
	case lateRefusal, noOverloadLimit, oldestFirst:
		return false
	}
	return true
}

// isByUnderserved reports whether calls of underserved organisations are served before more urgent ones.
func isByUnderserved(p policy) bool {
	switch p.(type) {
	case underservedFirst, lateRefusal, noOverloadLimit, oldestFirst:
		return true
	}
	return false
}

// observesFirstEvents reports whether the observed times of first events correct the estimate.
func observesFirstEvents(p policy) bool {
	switch p.(type) {
	case nil:
		return true
	}
	return false
}
