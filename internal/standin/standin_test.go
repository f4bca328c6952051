package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/instance"
)

const leadOrder = `{"verb":"load","replica":"r1","fence":3,"model":"m","rank":0,"members":["a","b"]}`

func call(handler http.Handler, method, path, body string) (int, string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set(requestHeader, "q1")
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)
	return answer.Code, answer.Body.String()
}

func TestEngineServesWhileWhole(t *testing.T) {
	Convey("Given a replica of two engines", t, func() {
		var fabric Cluster
		lead, second := fabric.Engine("a"), fabric.Engine("b")
		ask := `{"model":"m","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`
		order(lead, leadOrder)

		Convey("It refuses while a member holds nothing", func() {
			code, _ := call(lead, "POST", "/v1/chat/completions", ask)
			So(code, ShouldEqual, http.StatusServiceUnavailable)
		})

		Convey("It streams while whole, and a resumed stream continues the same text", func() {
			order(second, strings.Replace(leadOrder, `"rank":0`, `"rank":1`, 1))
			_, whole := call(lead, "POST", "/v1/chat/completions", ask)
			So(whole, ShouldEndWith, "data: [DONE]\n\n")
			So(whole, ShouldContainSubstring, `"id":"chatcmpl-q1"`)
			request := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(ask))
			request.Header.Set(requestHeader, "q1")
			request.Header.Set(resumeHeader, "1")
			answer := httptest.NewRecorder()
			lead.ServeHTTP(answer, request)
			rest, _ := io.ReadAll(answer.Body)
			So(whole, ShouldEndWith, string(rest))
			So(string(rest), ShouldStartWith, "id: 2\n")
		})

		Convey("It stops when a member crashes, and a restart has another identity", func() {
			order(second, strings.Replace(leadOrder, `"rank":0`, `"rank":1`, 1))
			before := second.BootID()
			second.Crash()
			code, _ := call(lead, "POST", "/v1/chat/completions", ask)
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			second.Start()
			So(second.BootID(), ShouldNotEqual, before)
			So(fabric.whole(instance.NewAssignment("r1", 3), []string{"a", "b"}), ShouldBeFalse)
		})

		Convey("An old order is refused, or obeyed by an engine that ignores fencing numbers", func() {
			old := strings.Replace(leadOrder, `"fence":3`, `"fence":2`, 1)
			code, _ := call(lead, "POST", "/order", old)
			So(code, ShouldEqual, http.StatusConflict)
			lead.SetIgnoresFencing(true)
			code, _ = call(lead, "POST", "/order", old)
			So(code, ShouldEqual, http.StatusNoContent)
		})
	})
}

func order(engine *Engine, body string) {
	code, text := call(engine, "POST", "/order", body)
	if code != http.StatusNoContent {
		panic(text)
	}
}

func TestServiceCountsRuns(t *testing.T) {
	Convey("A ticket is issued for each request, repeated or not", t, func() {
		var desk Service
		code, body := call(&desk, "POST", "/tickets", `{"name":"Eleni"}`)
		So(code, ShouldEqual, http.StatusCreated)
		So(body, ShouldContainSubstring, `"id":1`)
		_, body = call(&desk, "POST", "/tickets", `{"name":"Eleni"}`)
		So(body, ShouldContainSubstring, `"id":2`)
		So(desk.RunCount(""), ShouldEqual, 2)
		code, _ = call(&desk, "GET", "/tickets/2", "")
		So(code, ShouldEqual, http.StatusOK)
		code, _ = call(&desk, "GET", "/tickets/3", "")
		So(code, ShouldEqual, http.StatusNotFound)
	})
}
