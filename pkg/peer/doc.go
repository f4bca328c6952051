// Package peer implements the gossip between daemons: membership, the health of the upstreams as their watchers observed
// it, the revision of each document in force, and the msgpack codec of the messages.
//
// Each upstream is probed by a few daemons, its watchers. The observations of one watcher form its report, and each change
// of a report gets the next version and is gossiped as an update. A heartbeat names a version and confirms all observations
// of that version. Evidence expires if it is not confirmed within the evidence TTL.
package peer
