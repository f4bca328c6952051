// Package transport sends HTTP requests at most once and reports whether a failed request may have reached the server.
// Only a repeatable GET or HEAD may be sent again, by net/http.
package transport
