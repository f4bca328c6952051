package replica

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The bounds of the backoff between attempts to write to the store.
const (
	minStoreBackoff = 50 * time.Millisecond // a dozen round trips to the store
	maxStoreBackoff = time.Second           // the interval of readiness checks, by which callers notice an outage
)

// maxEventGap is the time without an event after which a leader treats its state as outdated. Ticks come every 50 ms.
const maxEventGap = time.Second

// Settings hold the store key of the record and the identity that writes it.
type Settings struct {
	key       object.Key
	identity  string
	seed      uint64
	bootstrap bool // the whole system starts for the first time
}

// NewSettings returns the settings of a daemon that stores the record at key. The identity differs for each start of the
// process.
func NewSettings(key object.Key, identity string, seed uint64) Settings {
	return Settings{key: key, identity: identity, seed: seed}
}

// WithBootstrap returns the settings with whether the whole system starts for the first time.
func (s Settings) WithBootstrap(bootstrap bool) Settings {
	s.bootstrap = bootstrap
	return s
}
