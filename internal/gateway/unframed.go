package gateway

import (
	"context"
	"net"
	"net/http"
)

// A caller with HTTP/1.0 knows the end of an answer without a length only by the end of the connection. While such an answer is
// forwarded, its connection is set such that closing it, also by the end of the process, is a reset.

// callerConnKey is the key of a caller's connection in the contexts of its requests.
type callerConnKey struct{}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// isUnframed reports whether only the end of the connection can end an answer without a length to a request.
func isUnframed(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) }

func (e *exchange) beginUnframed() { e.setLinger(0) }

func (e *exchange) endUnframed() { e.setLinger(-1) }

// setLinger sets how the caller's connection is closed: by a reset if seconds is 0, as usual if negative.
func (e *exchange) setLinger(seconds int) {
	if e.request == nil || !isUnframed(e.request) {
		return
	}
	if c, isTCP := e.request.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error }); isTCP {
		_ = c.SetLinger(seconds) // fails only if the connection is closed
	}
}
