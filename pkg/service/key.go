package service

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/azurepond/azurepond/pkg/object"
)

// claimsKind is the kind of the objects that store claims.
const claimsKind = "claims"

// keyUUIDVersion is the UUID version that contains a creation time.
const keyUUIDVersion = 7

// key is an idempotency key with its creation time.
type key struct {
	text      string
	createdAt time.Time
}

// parseKey returns the key in text and whether it is a UUID with a creation time.
func parseKey(text string) (key, bool) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyUUIDVersion || id.Variant() != uuid.RFC4122 {
		return key{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return key{id.String(), time.Unix(seconds, nanoseconds)}, true
}

// accepted reports whether no daemon can have removed the claim of k at now.
func (k key) accepted(now time.Time) bool {
	age := now.Sub(k.createdAt)
	return age <= MaxKeyAge && age >= -MaxClockSkew
}

// objectKey returns the key of the object that stores the claim of k on service.
func (k key) objectKey(service string) object.Key {
	return shardKey(service, spanOf(k.createdAt), int(xxhash.Sum64String(k.text)%shardCount))
}

// spanOf returns the number of the span that contains t.
func spanOf(t time.Time) int64 { return t.UnixMilli() / keySpan.Milliseconds() }

// spanEnd returns the time at which a span ends.
func spanEnd(span int64) time.Time { return time.UnixMilli((span + 1) * keySpan.Milliseconds()) }

func shardKey(service string, span int64, shard int) object.Key {
	name := service + "-" + strconv.FormatInt(span, 10) + "-" + strconv.Itoa(shard)
	return object.NewKey(claimsKind, name)
}

// isSpanExpired reports whether all daemons reject the keys of the span.
func isSpanExpired(span int64, now time.Time) bool {
	return now.After(spanEnd(span).Add(MaxKeyAge + MaxClockSkew))
}
