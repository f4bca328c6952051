// Package gateway combines the state machines of one gateway daemon: its peers, the replicas it sends to and the requests
// it handles.
package gateway
