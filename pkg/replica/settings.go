package replica

import (
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The pauses between tries of a write to the store.
const (
	minStoreBackoff = 50 * time.Millisecond // a dozen round trips of the store
	maxStoreBackoff = time.Second           // the pace of checks of readiness, by which callers notice an outage
)

// frozenGap is the time without an event after which a leader takes its knowledge for outdated; ticks come every 50 ms.
const maxEventGap = time.Second

// Settings say where the record is kept and who writes it.
type Settings struct {
	key       object.Key
	identity  string
	seed      uint64
	bootstrap bool
}

// NewSettings returns the settings of a daemon that keeps the record at key; identity is new at each start of the process.
func NewSettings(key object.Key, identity string, seed uint64) Settings {
	return Settings{key: key, identity: identity, seed: seed}
}

// WithBootstrap returns the settings with whether the whole system starts for the first time.
func (s Settings) WithBootstrap(first bool) Settings {
	s.bootstrap = first
	return s
}
