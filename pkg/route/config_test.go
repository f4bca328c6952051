package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// This guards against requests that are admitted without a key, since the last key was taken away or is empty.
func TestKeysAreNeededWithoutAnyKey(t *testing.T) {
	Convey("Keys are needed as soon as the configuration has organisations, whether they have keys or not", t, func() {
		So(New(1).NeedsKeys(), ShouldBeFalse)
		So(New(1).WithKeys().NeedsKeys(), ShouldBeTrue)
		So(New(1).WithOrganisation(NewOrganisation("one", 0, false)).NeedsKeys(), ShouldBeTrue)
		So(New(1).WithOrganisation(NewOrganisation("one", 0, false), "k").NeedsKeys(), ShouldBeTrue)
	})

	Convey("An empty key admits nobody", t, func() {
		_, isKnown := New(1).WithOrganisation(NewOrganisation("one", 0, false), "", "k").Organisation("")
		So(isKnown, ShouldBeFalse)
	})
}
