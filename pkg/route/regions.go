package route

import "slices"

// Regions restricts requests to upstreams in some regions; the zero value restricts nothing.
type Regions struct {
	isRestricted bool
	names        []string
}

// NewRegions returns the restriction to the named regions; without names nothing is restricted.
func NewRegions(names ...string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return Regions{true, names}
}

// IsRestricted reports whether requests are restricted to some regions.
func (r Regions) IsRestricted() bool { return r.isRestricted }

// Names returns the regions that are allowed, none if all are.
func (r Regions) Names() []string { return r.names }

// Allows reports whether requests may reach a region. An unknown one, which is empty, is not allowed if there is a restriction.
func (r Regions) Allows(region string) bool {
	return !r.isRestricted || region != "" && slices.Contains(r.names, region)
}

// And returns the regions that both restrictions allow, which may be none.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.isRestricted:
		return other
	case !other.isRestricted:
		return r
	}
	both := Regions{isRestricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}
