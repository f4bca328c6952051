package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRecordWithoutMembersPanics(t *testing.T) {
	Convey("A replica without members in the record is dropped, since its head is asked for", t, func() {
		r, err := decodeRecord([]byte(`{"fence":4,"groups":[{"name":"a","model":"m","epoch":3,"members":[]},
			{"name":"b","model":"m","epoch":4,"members":[{"id":"i-1","born":1}]},{"name":"c"}]}`))
		So(err, ShouldBeNil)
		So(r.epoch, ShouldEqual, 4)
		So(len(r.groups), ShouldEqual, 1)
		So(r.groups[0].name, ShouldEqual, "b")
	})
}
