// Package upstream is the HTTP client for model engines and plain services. It sends probes, orders, streamed chat
// completions and calls to services, and reads the cache events of engines.
package upstream
