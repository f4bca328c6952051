// Package daemon runs one azurepond daemon. It feeds events to the reducer one at a time, executes the effects in order,
// and owns the listeners and clients, so that all of them stop together.
package daemon
