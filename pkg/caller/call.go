package caller

import "time"

// ID names one call within one daemon.
type ID uint64

// Kind tells what a call is for.
type Kind uint8

// The kinds of call.
const (
	Model Kind = iota
	Service
)

// Call is one request of a caller, as the decisions see it; the body stays with the driver.
type Call struct {
	id           ID
	kind         Kind
	target       string
	organisation string
	priority     int
	deadline     time.Time
	idempotent   bool
	key          string
	fingerprint  uint64
	prefixHashes []uint64
	maxTokens    int
}

// NewCall returns a call for target (a model or a service) by organisation that is useless after deadline.
func NewCall(id ID, kind Kind, target, organisation string, deadline time.Time) Call {
	return Call{id: id, kind: kind, target: target, organisation: organisation, deadline: deadline}
}

// WithIdempotent returns the call marked as safe to run more than once.
func (c Call) WithIdempotent() Call {
	c.idempotent = true
	return c
}

// WithKey returns the call with the caller's idempotency key.
func (c Call) WithKey(key string) Call {
	c.key = key
	return c
}

// WithHashes returns the call with the hash of its whole body and the hashes of its prompt's prefix blocks.
func (c Call) WithHashes(fingerprint uint64, prefix []uint64) Call {
	c.fingerprint, c.prefixHashes = fingerprint, prefix
	return c
}

// WithPriority returns the call with a priority; a higher one goes first.
func (c Call) WithPriority(priority int) Call {
	c.priority = priority
	return c
}

// WithMaxTokens returns the call with the most tokens that it asks for, 0 when it does not say.
func (c Call) WithMaxTokens(tokens int) Call {
	c.maxTokens = tokens
	return c
}

// ID returns the name of the call within its daemon.
func (c Call) ID() ID { return c.id }

// Kind returns what the call is for.
func (c Call) Kind() Kind { return c.kind }

// Target returns the model or service that the call is for.
func (c Call) Target() string { return c.target }

// Organisation returns who pays for the call.
func (c Call) Organisation() string { return c.organisation }

// Priority returns the priority; a higher one goes first.
func (c Call) Priority() int { return c.priority }

// Deadline returns the time after which the answer is useless.
func (c Call) Deadline() time.Time { return c.deadline }

// Idempotent reports whether the call is safe to run more than once.
func (c Call) Idempotent() bool { return c.idempotent }

// Key returns the caller's idempotency key, empty for none.
func (c Call) Key() string { return c.key }

// Fingerprint returns the hash of the whole body, which a caller that sends again repeats.
func (c Call) Fingerprint() uint64 { return c.fingerprint }

// PrefixHashes returns the hashes of the prompt's prefix blocks, each over all before it.
func (c Call) PrefixHashes() []uint64 { return c.prefixHashes }

// MaxTokens returns the most tokens that the call asks for, 0 when it does not say.
func (c Call) MaxTokens() int { return c.maxTokens }
