package callers

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// parseTimeout parses the timeout header. It returns 0 if the header is empty.
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis <= 0 {
		return 0, trace.BadParameter("header %s must be a positive number of milliseconds, not %q", timeoutHeader, text)
	}
	return min(time.Duration(millis)*time.Millisecond, maxCallTimeout), nil
}

// idempotencyKey returns the idempotency key of a request, empty if it has none.
func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(idempotencyKeyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		return "", trace.BadParameter("header %s is longer than %d bytes", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	return key, nil
}
