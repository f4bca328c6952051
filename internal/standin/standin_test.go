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
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

func TestEngineServesWhileReplicaIsAvailable(t *testing.T) {
	Convey("Given a replica of two engines", t, func() {
		var cluster Cluster
		lead, second := cluster.Engine("a"), cluster.Engine("b")
		body := `{"model":"m","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`
		order(lead, leadOrder)

		Convey("It responds with 503 while a member has no assignment", func() {
			code, _ := call(lead, "POST", "/v1/chat/completions", body)
			So(code, ShouldEqual, http.StatusServiceUnavailable)
		})

		Convey("It streams while the replica is available, and a resumed stream continues the same text", func() {
			order(second, strings.Replace(leadOrder, `"rank":0`, `"rank":1`, 1))
			_, full := call(lead, "POST", "/v1/chat/completions", body)
			So(full, ShouldEndWith, "data: [DONE]\n\n")
			So(full, ShouldContainSubstring, `"id":"chatcmpl-q1"`)
			request := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body))
			request.Header.Set(requestHeader, "q1")
			request.Header.Set(resumeHeader, "1")
			recorder := httptest.NewRecorder()
			lead.ServeHTTP(recorder, request)
			rest, _ := io.ReadAll(recorder.Body)
			So(full, ShouldEndWith, string(rest))
			So(string(rest), ShouldStartWith, "id: 2\n")
		})

		Convey("It responds with 503 after a member crashed, and a restarted engine has a new boot ID", func() {
			order(second, strings.Replace(leadOrder, `"rank":0`, `"rank":1`, 1))
			before := second.BootID()
			second.Crash()
			code, _ := call(lead, "POST", "/v1/chat/completions", body)
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			second.Start()
			So(second.BootID(), ShouldNotEqual, before)
			So(cluster.isAvailable(instance.NewAssignment("r1", 3), []string{"a", "b"}), ShouldBeFalse)
		})

		Convey("An order with an old fencing token is rejected, unless the engine ignores fencing", func() {
			staleOrder := strings.Replace(leadOrder, `"fence":3`, `"fence":2`, 1)
			code, _ := call(lead, "POST", "/order", staleOrder)
			So(code, ShouldEqual, http.StatusConflict)
			lead.SetIgnoresFencing(true)
			code, _ = call(lead, "POST", "/order", staleOrder)
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

func TestServiceCountsRequests(t *testing.T) {
	Convey("Each request issues a ticket, also a repeated one", t, func() {
		var service Service
		code, body := call(&service, "POST", "/tickets", `{"name":"Eleni"}`)
		So(code, ShouldEqual, http.StatusCreated)
		So(body, ShouldContainSubstring, `"id":1`)
		_, body = call(&service, "POST", "/tickets", `{"name":"Eleni"}`)
		So(body, ShouldContainSubstring, `"id":2`)
		So(service.RunCount(""), ShouldEqual, 2)
		code, _ = call(&service, "GET", "/tickets/2", "")
		So(code, ShouldEqual, http.StatusOK)
		code, _ = call(&service, "GET", "/tickets/3", "")
		So(code, ShouldEqual, http.StatusNotFound)
	})
}
