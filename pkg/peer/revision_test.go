package peer

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOddPartHidesRevision(t *testing.T) {
	Convey("The revision of a document is found beside a part that can't be parsed", t, func() {
		deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
		revision, isValid := revisionIn([]byte(`{"routes":[`+deep+`],"version":7}`), "version")
		So(isValid, ShouldBeTrue)
		So(revision, ShouldEqual, 7)
	})
}
