package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Organisation is a customer that sends calls.
type Organisation struct {
	name        string
	share       int
	targets     []string
	key         Hash
	priority    int
	maxInFlight int
}

// Name returns the name of the organisation, unique within the fleet.
func (o Organisation) Name() string { return o.name }

// Share returns the organisation's scheduling weight relative to the other organisations of its team.
func (o Organisation) Share() int { return o.share }

// Targets returns the models and services that the organisation may call.
func (o Organisation) Targets() []string { return o.targets }

// Key returns the hash of the organisation's API key.
func (o Organisation) Key() Hash { return o.key }

// Priority returns the priority of its calls. Calls with a higher priority go first.
func (o Organisation) Priority() int { return o.priority }

// MaxInFlight returns the maximum number of its calls in flight at one entry.
func (o Organisation) MaxInFlight() int { return o.maxInFlight }

// MayCall reports whether the organisation may call target.
func (o Organisation) MayCall(target string) bool {
	for _, allowed := range o.targets {
		if allowed == target {
			return true
		}
	}
	return false
}

// Hash is the SHA-256 hash of a secret in lower-case hexadecimal. The zero value matches no secret.
type Hash string

// NewHash returns the hash of secret.
func NewHash(secret string) Hash {
	sum := sha256.Sum256([]byte(secret))
	return Hash(hex.EncodeToString(sum[:]))
}

// Matches reports whether h is the hash of secret. It compares in constant time.
func (h Hash) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(NewHash(secret))) == 1
}

// Valid reports whether h has the form of a hash.
func (h Hash) Valid() bool {
	raw, err := hex.DecodeString(string(h))
	return err == nil && len(raw) == sha256.Size
}
