package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/memory"
	"github.com/azurepond/azurepond/pkg/dispatch"
)

func TestErrorTextAfterBegunAnswer(t *testing.T) {
	Convey("No final effect adds anything to an answer that has begun; the connection is aborted", t, func() {
		for _, effect := range []dispatch.Effect{dispatch.Refuse{}, dispatch.Fail{}, dispatch.ForwardFailure{}, dispatch.Drop{}} {
			recorder := httptest.NewRecorder()
			var body memory.Buffer
			_, err := body.ReadAll(strings.NewReader("x"), 1)
			So(err, ShouldBeNil)
			e := &exchange{writer: recorder, headSent: true, buffered: &bufferedAnswer{status: http.StatusInternalServerError, body: &body}}
			So(func() { e.execute(effect) }, ShouldPanicWith, http.ErrAbortHandler)
			So(recorder.Body.String(), ShouldBeEmpty)
		}
	})
}
