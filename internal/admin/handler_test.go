package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
)

// stoppingDaemon fails every change, as a daemon does while it stops. Its dump cannot be encoded as JSON.
type stoppingDaemon struct{ submitted []operator.Event }

func (d *stoppingDaemon) Submit(_ context.Context, e operator.Event) (operator.Outcome, error) {
	d.submitted = append(d.submitted, e)
	return nil, trace.ConnectionProblem(nil, "the daemon is stopping")
}

func (*stoppingDaemon) Fleet() operator.Fleet { return operator.Fleet{} }

func (*stoppingDaemon) Status() Status { return Status{} }

func (*stoppingDaemon) Dump(string) (any, error) { return func() {}, nil }

// newHandler returns a handler with a stopped clock.
func newHandler() (*Handler, *stoppingDaemon) {
	daemon := &stoppingDaemon{}
	h := NewHandler(daemon, []settings.Token{
		settings.NewToken("maria", "koinonia", operator.NewHash("maria-token")),
		settings.NewToken("root", operator.FleetTeam, operator.NewHash("root-token")),
	}, metrics.NewRegistry())
	h.now = func() time.Time { return time.Unix(1_700_000_000, 0) }
	return h, daemon
}

func call(h *Handler, token, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	request.Header.Set(IdempotencyKeyHeader, "key")
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

func TestAuthentication(t *testing.T) {
	Convey("Without a valid token, the response is empty", t, func() {
		for _, token := range []string{"", "guess", "maria-token ", "Bearer"} {
			for _, path := range []string{"/v1/status", "/v1/history", "/v1/dump", "/metrics", "/v1/questionnaire", "/nowhere"} {
				h, _ := newHandler()
				response := call(h, token, "GET", path, "")
				So(response.Code, ShouldEqual, http.StatusUnauthorized)
				So(response.Body.Len(), ShouldEqual, 0)
				So(response.Header(), ShouldBeEmpty)
			}
		}
	})
	Convey("Many requests without a valid token are rate-limited and do not affect requests with a token", t, func() {
		h, _ := newHandler()
		for range unauthenticatedBurst {
			So(call(h, "guess", "GET", "/v1/status", "").Code, ShouldEqual, http.StatusUnauthorized)
		}
		So(call(h, "guess", "GET", "/v1/status", "").Code, ShouldEqual, http.StatusTooManyRequests)
		So(call(h, "maria-token", "GET", "/v1/status", "").Code, ShouldEqual, http.StatusOK)
	})
}

func TestLimits(t *testing.T) {
	Convey("The requests of each token are rate-limited separately", t, func() {
		h, _ := newHandler()
		for range tokenRequestBurst {
			So(call(h, "maria-token", "GET", "/v1/status", "").Code, ShouldEqual, http.StatusOK)
		}
		response := call(h, "maria-token", "GET", "/v1/status", "")
		So(response.Code, ShouldEqual, http.StatusTooManyRequests)
		So(response.Header().Get("Retry-After"), ShouldEqual, "1")
		So(call(h, "root-token", "GET", "/v1/status", "").Code, ShouldEqual, http.StatusOK)
	})
	Convey("A request body that is too large is rejected", t, func() {
		h, daemon := newHandler()
		response := call(h, "maria-token", "PUT", "/v1/configuration", strings.Repeat("#", maxBodyBytes+1))
		So(response.Code, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(daemon.submitted, ShouldBeEmpty)
	})
}

func TestRequests(t *testing.T) {
	const config = "team: koinonia\n"
	Convey("Each bad request gets its own status and message, and changes nothing", t, func() {
		h, daemon := newHandler()
		for _, test := range []struct {
			token, method, path, body string
			code                      int
			want                      string
		}{
			{"maria-token", "GET", "/v1/nowhere", "", 404, "not found"},
			{"maria-token", "DELETE", "/v1/configuration", "", 405, "Method Not Allowed"},
			{"maria-token", "PUT", "/v1/configuration", "team: bellandi\n", 403, "the token is not one of team bellandi"},
			{"maria-token", "PUT", "/v1/configuration", "team: [", 422, "is not YAML"},
			{"maria-token", "PUT", "/v1/configuration", "", 422, "is empty"},
			{"maria-token", "POST", "/v1/actions", "drain", 400, "is not JSON"},
			{"maria-token", "POST", "/v1/make", config, 422, "callers"},
			{"maria-token", "GET", "/v1/dump", "", 403, "a dump shows all teams"},
			{"root-token", "GET", "/v1/dump", "", 500, "unsupported type"},
		} {
			response := call(h, test.token, test.method, test.path, test.body)
			So(response.Code, ShouldEqual, test.code)
			So(response.Body.String(), ShouldContainSubstring, test.want)
		}
		So(daemon.submitted, ShouldBeEmpty)
	})
	Convey("A change without a request ID is rejected", t, func() {
		h, daemon := newHandler()
		request := httptest.NewRequest("PUT", "/v1/configuration", strings.NewReader(config))
		request.Header.Set("Authorization", "Bearer maria-token")
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, request)
		So(recorder.Code, ShouldEqual, http.StatusBadRequest)
		So(daemon.submitted, ShouldBeEmpty)
	})
	Convey("The outcome of a change that the daemon does not answer is unknown", t, func() {
		h, daemon := newHandler()
		response := call(h, "maria-token", "PUT", "/v1/configuration", config)
		So(response.Code, ShouldEqual, http.StatusGatewayTimeout)
		So(response.Body.String(), ShouldContainSubstring, `"outcome":"unknown"`)
		So(len(daemon.submitted), ShouldEqual, 1)
	})
	Convey("The questionnaire generates a configuration, which is checked and compared", t, func() {
		h, _ := newHandler()
		questionnaire := call(h, "maria-token", "GET", "/v1/questionnaire", "")
		generated := call(h, "maria-token", "POST", "/v1/make", questionnaire.Body.String())
		So(generated.Code, ShouldEqual, http.StatusOK)
		So(generated.Body.String(), ShouldStartWith, "team: my-team # team: as answered\n")
		So(call(h, "maria-token", "POST", "/v1/check", generated.Body.String()).Code, ShouldEqual, http.StatusOK)
		So(call(h, "maria-token", "POST", "/v1/diff", generated.Body.String()).Body.String(),
			ShouldStartWith, `["+ team: my-team"`)
	})
}
