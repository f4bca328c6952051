// Package relay decides by which way a daemon reaches each upstream: over its own connections, or through a peer that passes its
// requests on. A path belongs to a pair of a daemon and an upstream, so a lost path says nothing about the upstream.
package relay
