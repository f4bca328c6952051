package operator

import "github.com/azurepond/azurepond/pkg/object"

// Event is an input of State.Reduce: Configured, ApplyRequested, ActionRequested, ReadRequested, StoreCompleted,
// ConfigReceived or Ticked.
type Event interface{ isEvent() }

// Configured sets the identity of this daemon. It is the first event.
type Configured struct {
	name string
	seed uint64
}

// NewConfigured returns the event for a daemon called name. Its jitter is seeded with seed.
func NewConfigured(name string, seed uint64) Configured { return Configured{name, seed} }

// ApplyRequested requests to replace the configuration of a team.
type ApplyRequested struct {
	request RequestID
	author  string
	config  Config
	isRetry bool
}

// NewApplyRequested returns the request of author to replace the configuration of config's team. The base revision is
// the revision of config.
func NewApplyRequested(request RequestID, author string, config Config) ApplyRequested {
	return ApplyRequested{request: request, author: author, config: config}
}

// AsRetry returns the event marked as a retry. The first attempt may still take effect.
func (a ApplyRequested) AsRetry() ApplyRequested {
	a.isRetry = true
	return a
}

// Request returns the ID of the operator's request.
func (a ApplyRequested) Request() RequestID { return a.request }

// StoreCompleted reports the result of a request to the object API.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event for the result of a Store effect.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// ConfigReceived reports a configuration that a peer holds or that the store held.
type ConfigReceived struct{ document []byte }

// NewConfigReceived returns the event for a received document, the bytes of an earlier Publish.
func NewConfigReceived(document []byte) ConfigReceived { return ConfigReceived{document} }

// ActionRequested requests a planned action.
type ActionRequested struct {
	request RequestID
	author  string
	team    string
	action  Action
	isRetry bool
}

// NewActionRequested returns the request of author, on behalf of team, for action.
func NewActionRequested(request RequestID, author, team string, action Action) ActionRequested {
	return ActionRequested{request: request, author: author, team: team, action: action}
}

// AsRetry returns the event marked as a retry. The first attempt may still take effect.
func (a ActionRequested) AsRetry() ActionRequested {
	a.isRetry = true
	return a
}

// Request returns the ID of the operator's request.
func (a ActionRequested) Request() RequestID { return a.request }

// ReadRequested requests the stored configuration of a team.
type ReadRequested struct {
	request RequestID
	team    string
}

// NewReadRequested returns the request to read the stored configuration of team. Its outcome is a ReadResult.
func NewReadRequested(request RequestID, team string) ReadRequested {
	return ReadRequested{request, team}
}

// Request returns the ID of the operator's request.
func (r ReadRequested) Request() RequestID { return r.request }

// Ticked runs retries and timeouts that are due.
type Ticked struct{}

func (Configured) isEvent() {}

func (ApplyRequested) isEvent() {}

func (StoreCompleted) isEvent() {}

func (ConfigReceived) isEvent() {}

func (ActionRequested) isEvent() {}

func (ReadRequested) isEvent() {}

func (Ticked) isEvent() {}
