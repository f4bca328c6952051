package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// The set of evacuated data centres is the last field of a message about the list: an empty array if it is not known, else era, version
// and a pair of name and age for each data centre.

// The lengths of the encoded arrays.
const (
	evacuationSetFields = 3
	evacuationFields    = 2
)

func (s evacuationSet) values() []any {
	if !s.known {
		return []any{}
	}
	centres := make([]any, 0, len(s.ages))
	for _, centre := range slices.Sorted(maps.Keys(s.ages)) {
		centres = append(centres, []any{centre, s.ages[centre].Milliseconds()})
	}
	return []any{s.era, s.version, centres}
}

func (f *decodedFields) evacuations() evacuationSet {
	n := f.length(maxListEntries)
	if n == 0 {
		return evacuationSet{}
	}
	if n < evacuationSetFields {
		f.setError(trace.BadParameter("set of evacuations of %d elements, want %d", n, evacuationSetFields))
	}
	set := evacuationSet{true, f.number(), f.number(), map[string]time.Duration{}}
	for range f.length(maxListEntries) {
		f.record(evacuationFields, func() {
			centre := f.text()
			set.ages[centre] = max(f.milliseconds(), unknownAge)
		})
	}
	f.skip(n - evacuationSetFields)
	set.known = f.err == nil
	return set
}
