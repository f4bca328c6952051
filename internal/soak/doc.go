// Package soak runs gateway daemons as separate processes against a simulated platform and injects faults into
// processes and connections.
package soak
