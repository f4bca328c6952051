package relay

// Effect is an action for the driver or for another component: Check, PathLost, PathRestored or AccessChanged.
type Effect interface{ isEffect() }

// Check requests a connection to an upstream, to find out whether there is a path; Connected or ConnectFailed carries the result.
type Check struct{ upstream, address string }

// Upstream returns the name of the upstream.
func (c Check) Upstream() string { return c.upstream }

// Address returns where the upstream listens, as host:port.
func (c Check) Address() string { return c.address }

// PathLost reports that this daemon lost its path to an upstream.
type PathLost struct{ upstream string }

// Upstream returns the name of the upstream.
func (p PathLost) Upstream() string { return p.upstream }

// PathRestored reports that this daemon reaches an upstream again.
type PathRestored struct{ upstream string }

// Upstream returns the name of the upstream.
func (p PathRestored) Upstream() string { return p.upstream }

// AccessChanged reports a change of this daemon's access to the upstreams.
type AccessChanged struct {
	access Access
	lost   int
}

// Access returns the access.
func (a AccessChanged) Access() Access { return a.access }

// Lost returns the number of upstreams to which the path is lost.
func (a AccessChanged) Lost() int { return a.lost }

func (Check) isEffect() {}

func (PathLost) isEffect() {}

func (PathRestored) isEffect() {}

func (AccessChanged) isEffect() {}
