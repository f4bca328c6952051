// Package purity checks that the decision logic under pkg/ uses no sockets, files, clocks, global randomness, locks or
// goroutines.
package purity
