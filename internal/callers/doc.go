// Package callers serves the HTTP API for callers: chat completions with server-sent events, calls to plain services,
// the list of models, and the list of daemon addresses that a caller should use.
package callers
