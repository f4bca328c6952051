// Package dispatch decides what becomes of each request: which upstream runs it and when, whether it is tried again,
// and when it is refused.
package dispatch
