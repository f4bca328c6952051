// Package dispatch schedules requests: it selects the upstream that runs each one and the time, and decides whether to
// retry or refuse it.
package dispatch
