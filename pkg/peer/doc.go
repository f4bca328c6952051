// Package peer implements the gossip between daemons: membership, the health of the upstreams as their watchers observed
// it, the revision of each document in force, and the msgpack codec of the messages.
package peer
