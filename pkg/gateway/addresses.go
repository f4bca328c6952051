package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Address is where a daemon listens for callers, and its data centre.
type Address struct{ address, centre string }

// NewAddress returns the address (host:port) of a daemon in a data centre.
func NewAddress(address, centre string) Address { return Address{address, centre} }

// SelectAddresses returns up to limit addresses for a caller in a data centre: those of daemons in the same one first, and then
// others, which differ between callers so that all daemons get an equal share. A caller gets the same addresses each time and
// from every daemon, since callers close their connections to addresses that are missing from a new list.
func SelectAddresses(all []Address, caller, centre string, limit int) []string {
	selected := all
	if len(all) > limit {
		selected = slices.Clone(all)
		ranks := make(map[Address]uint64, len(all))
		for _, a := range all {
			ranks[a] = xxhash.Sum64String(caller + " " + a.address)
		}
		slices.SortFunc(selected, func(a, b Address) int {
			return cmp.Or(
				cmp.Compare(boolToInt(b.centre == centre), boolToInt(a.centre == centre)),
				cmp.Compare(ranks[a], ranks[b]),
			)
		})
		selected = selected[:limit]
	}
	addresses := make([]string, 0, len(selected))
	for _, a := range selected {
		addresses = append(addresses, a.address)
	}
	return addresses
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
