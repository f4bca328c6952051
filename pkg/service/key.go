package service

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/azurepond/azurepond/pkg/object"
)

// claimsKind is the kind of the objects that hold claims.
const claimsKind = "claims"

// keyVersion is the version of UUID that carries its time.
const keyVersion = 7

// key is an idempotency key with its time.
type key struct {
	text string
	at   time.Time
}

// parseKey returns the key in text and whether it is a UUID that carries its time.
func parseKey(text string) (key, bool) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return key{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return key{id.String(), time.Unix(seconds, nanoseconds)}, true
}

// accepted reports whether the claim of k is certainly kept at now.
func (k key) accepted(now time.Time) bool {
	age := now.Sub(k.at)
	return age <= MaxKeyAge && age >= -MaxClockSkew
}

// object returns the object that holds the claim of k on service.
func (k key) object(service string) object.Key {
	return shardKey(service, spanOf(k.at), int(xxhash.Sum64String(k.text)%shardCount))
}

// spanOf returns the number of the span that holds t.
func spanOf(t time.Time) int64 { return t.UnixMilli() / span.Milliseconds() }

// spanEnd returns the time at which a span ends.
func spanEnd(number int64) time.Time { return time.UnixMilli((number + 1) * span.Milliseconds()) }

func shardKey(service string, number int64, shard int) object.Key {
	name := service + "-" + strconv.FormatInt(number, 10) + "-" + strconv.Itoa(shard)
	return object.NewKey(claimsKind, name)
}

// expired reports whether no daemon accepts a key of the span any more.
func expired(number int64, now time.Time) bool {
	return now.After(spanEnd(number).Add(MaxKeyAge + MaxClockSkew))
}
