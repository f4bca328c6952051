package link

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func TestHelloOfNewerBuildIsRead(t *testing.T) {
	Convey("Further fields of a hello are skipped", t, func() {
		data, err := msgpack.Marshal([]any{protocol, "one", "10.0.0.1:1", []any{1, map[string]any{"a": nil}}})
		So(err, ShouldBeNil)
		got, err := decodeHello(data)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, hello{"one", "10.0.0.1:1"})
	})
}
