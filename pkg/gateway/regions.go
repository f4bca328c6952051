package gateway

import (
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// A route or an organisation may restrict its requests to home regions. Daemons of another region that receive such requests send them to
// upstreams at home, and relay them through daemons at home only.

// WithRegions returns the settings with the region of this daemon, and the regions of all data centres. Without the latter, all data
// centres are in the region of this daemon.
func (s Settings) WithRegions(own string, byCentre map[string]string) Settings {
	s.region, s.regions = own, byCentre
	return s
}

// regionOf returns the region of a data centre, empty if it is unknown.
func (s Settings) regionOf(centre string) string {
	if len(s.regions) == 0 {
		return s.region
	}
	return s.regions[centre]
}

// hasCentres reports whether the deployment has several data centres.
func (s Settings) hasCentres() bool { return len(s.regions) > 1 }

// minRegionAddresses is the number of daemons in a region from which on its callers get no addresses of other regions: with fewer, the
// loss of one would leave callers without any until the next list.
const minRegionAddresses = 2

// InRegion returns the addresses in the region of a data centre, or all if there are too few.
func (s Settings) InRegion(all []Address, centre string) []Address {
	region := s.regionOf(centre)
	if len(s.regions) == 0 || region == "" {
		return all
	}
	near := slices.DeleteFunc(slices.Clone(all), func(a Address) bool { return s.regionOf(a.centre) != region })
	if len(near) < minRegionAddresses {
		return all
	}
	return near
}

// Way returns the ways to an upstream, through peers in some regions.
func (s *State) Way(now time.Time, upstream string, regions route.Regions) relay.Route {
	if !regions.IsRestricted() {
		return s.relay.Route(now, s, upstream)
	}
	return s.relay.RouteWithin(now, s, upstream, func(centre string) bool { return regions.Allows(s.settings.regionOf(centre)) })
}

// IsWithin reports whether an upstream, with all members of its replica, is in some regions.
func (s *State) IsWithin(upstream string, regions route.Regions) bool {
	centres, isKnown := s.centresByUpstream[upstream]
	if !isKnown {
		centres = s.centresOf(replica.ID(upstream))
		if s.centresByUpstream == nil {
			s.centresByUpstream = map[string][]string{}
		}
		s.centresByUpstream[upstream] = centres
	}
	return len(centres) > 0 && !slices.ContainsFunc(centres, func(centre string) bool {
		return !regions.Allows(s.settings.regionOf(centre))
	})
}

// centresOf returns the data centres of an upstream and of all members of its replica, none if it is not listed.
func (s *State) centresOf(id replica.ID) []string {
	var centres []string
	for _, member := range append(s.replica.Members(id), id) {
		u, isListed := s.listing.entries[member]
		if !isListed {
			return nil
		}
		if centre := u.instance.Centre(); !slices.Contains(centres, centre) {
			centres = append(centres, centre)
		}
	}
	return centres
}
