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

func (arrivalOrder) isPolicy() {}

func (anyCentre) isPolicy() {}

func (noSlots) isPolicy() {}

func (noOverloadLimit) isPolicy() {}

func (oldestFirst) isPolicy() {}

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
