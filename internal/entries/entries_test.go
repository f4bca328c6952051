package entries_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/entries"
)

type part struct {
	names map[string][]int
	next  *part
	any   any
}

func TestCount(t *testing.T) {
	Convey("Entries are counted by the fields that lead to them, and each pointer is followed once", t, func() {
		p := &part{names: map[string][]int{"a": {1, 2}, "b": {3}}, any: []string{"x"}}
		p.next = p
		counts := entries.Count([]*part{p, p})
		So(counts, ShouldResemble, entries.Counts{"": 2, "[].names": 2, "[].names[]": 3, "[].any": 1})
		So(counts.Above(2), ShouldResemble, entries.Counts{"[].names[]": 3})
	})
}
