package caller

import "time"

// ID identifies a call within one daemon.
type ID uint64

// Kind is the kind of target of a call.
type Kind uint8

// The kinds of call.
const (
	Model Kind = iota
	Service
)

// Call holds the properties of a request that decide how it is run. The driver keeps the body.
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

// NewCall returns a call of organisation for target, a model or a service. Its answer is useless after deadline.
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

// WithHashes returns the call with the hash of its whole body and the hashes of the prefix blocks of its prompt.
func (c Call) WithHashes(fingerprint uint64, prefixHashes []uint64) Call {
	c.fingerprint, c.prefixHashes = fingerprint, prefixHashes
	return c
}

// WithPriority returns the call with a priority; calls with a higher one run first.
func (c Call) WithPriority(priority int) Call {
	c.priority = priority
	return c
}

// WithMaxTokens returns the call with its limit of output tokens, 0 if it has none.
func (c Call) WithMaxTokens(tokens int) Call {
	c.maxTokens = tokens
	return c
}

// ID returns the ID of the call within its daemon.
func (c Call) ID() ID { return c.id }

// Kind returns the kind of the target.
func (c Call) Kind() Kind { return c.kind }

// Target returns the name of the model or service.
func (c Call) Target() string { return c.target }

// Organisation returns the organisation that the call counts against.
func (c Call) Organisation() string { return c.organisation }

// Priority returns the priority; calls with a higher one run first.
func (c Call) Priority() int { return c.priority }

// Deadline returns the time after which the answer is useless.
func (c Call) Deadline() time.Time { return c.deadline }

// Idempotent reports whether the call is safe to run more than once.
func (c Call) Idempotent() bool { return c.idempotent }

// Key returns the caller's idempotency key, empty for none.
func (c Call) Key() string { return c.key }

// Fingerprint returns the hash of the whole body, which is the same when a caller repeats a call.
func (c Call) Fingerprint() uint64 { return c.fingerprint }

// PrefixHashes returns the hashes of the prefix blocks of the prompt. Each covers all blocks before it.
func (c Call) PrefixHashes() []uint64 { return c.prefixHashes }

// MaxTokens returns the limit of output tokens, 0 if the call has none.
func (c Call) MaxTokens() int { return c.maxTokens }
