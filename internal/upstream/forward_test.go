package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// dyingService answers the first request on each connection and closes the connection when another one arrives.
func dyingService(t *testing.T) (address string, arrivals *atomic.Int64) {
	arrivals = &atomic.Int64{}
	served := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrivals.Add(1)
		if served[r.RemoteAddr] {
			panic(http.ErrAbortHandler)
		}
		served[r.RemoteAddr] = true
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), arrivals
}

func TestForwardArrivals(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		Convey("A "+method+" that is not idempotent arrives once for each attempt, also after a kept connection died", t, func() {
			address, arrivals := dyingService(t)
			client := New()
			idempotent := NewRequest(address, "a", method, "/", http.Header{}, nil).WithIdempotent()
			So(client.Forward(context.Background(), idempotent).Delivery(), ShouldEqual, Answered)
			for range 2 {
				client.Forward(context.Background(), NewRequest(address, "b", method, "/", http.Header{}, nil))
			}
			So(arrivals.Load(), ShouldEqual, 3)
		})
	}
}
