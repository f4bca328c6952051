// Package gateway runs one gateway daemon: its listeners, connections and timers; it carries out what pkg/gateway decides.
package gateway
