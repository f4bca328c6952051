// Package transport sends HTTP requests at most once. It reports whether a failed request may have reached the server.
package transport
