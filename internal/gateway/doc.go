// Package gateway runs one gateway daemon: its listeners, connections and timers. It executes the effects of pkg/gateway.
package gateway
