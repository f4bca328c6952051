package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/dispatch"
)

func TestErrorTextAfterBegunAnswer(t *testing.T) {
	Convey("No final effect adds anything to an answer that has begun; the connection is aborted", t, func() {
		for _, effect := range []dispatch.Effect{dispatch.Refuse{}, dispatch.Fail{}, dispatch.ForwardFailure{}, dispatch.Drop{}} {
			recorder := httptest.NewRecorder()
			e := &exchange{writer: recorder, headSent: true, buffered: &bufferedAnswer{status: http.StatusInternalServerError, body: []byte("x")}}
			So(func() { e.execute(effect) }, ShouldPanicWith, http.ErrAbortHandler)
			So(recorder.Body.String(), ShouldBeEmpty)
		}
	})
}
