// Package service runs calls to plain services: it chooses the upstream, retries, and ensures that a call that is not
// idempotent runs at most once across all daemons.
//
// A call with an idempotency key is claimed in an object of the platform before its first byte is sent upstream. The
// key contains its creation time. A key that is older than the stored claims is rejected. The claims of a service are
// distributed among objects, the shards, by the creation time and the hash of their keys. All times are those of the
// events.
package service
