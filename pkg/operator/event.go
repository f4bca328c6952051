package operator

import "github.com/azurepond/azurepond/pkg/object"

// Event is what the decisions towards operators react to: Configured, Applied, Planned, Asked, Resulted, Adopted
// or Ticked.
type Event interface{ isEvent() }

// Configured says who this daemon is; it comes first.
type Configured struct {
	name string
	seed uint64
}

// NewConfigured returns the event that this daemon is called name and draws its jitter from seed.
func NewConfigured(name string, seed uint64) Configured { return Configured{name, seed} }

// ApplyRequested asks that the configuration of a team be replaced.
type ApplyRequested struct {
	request RequestID
	who     string
	config  Config
	isRetry bool
}

// NewApplyRequested returns the wish of who, under the caller's request ID, to replace the configuration of config's team;
// it builds on config's revision.
func NewApplyRequested(request RequestID, who string, config Config) ApplyRequested {
	return ApplyRequested{request: request, who: who, config: config}
}

// AsRetry returns the event marked as sent before, so that the first sending may still take effect.
func (a ApplyRequested) AsRetry() ApplyRequested {
	a.isRetry = true
	return a
}

// Request returns the ID of the operator's request.
func (a ApplyRequested) Request() RequestID { return a.request }

// StoreCompleted brings the result of a request to the object API.
type StoreCompleted struct{ result object.Result }

// NewStoreCompleted returns the event that a request of this part came back with result.
func NewStoreCompleted(result object.Result) StoreCompleted { return StoreCompleted{result} }

// ConfigReceived brings a configuration that a peer holds or that the store held.
type ConfigReceived struct{ document []byte }

// NewConfigReceived returns the event that the configuration document is in force among peers, the bytes of an earlier Publish.
func NewConfigReceived(document []byte) ConfigReceived { return ConfigReceived{document} }

// ActionRequested asks for a planned action.
type ActionRequested struct {
	request RequestID
	who     string
	team    string
	action  Action
	isRetry bool
}

// NewActionRequested returns the wish of who, acting for team, for action under the caller's request ID.
func NewActionRequested(request RequestID, who, team string, action Action) ActionRequested {
	return ActionRequested{request: request, who: who, team: team, action: action}
}

// AsRetry returns the event marked as sent before, so that the first sending may still take effect.
func (p ActionRequested) AsRetry() ActionRequested {
	p.isRetry = true
	return p
}

// Request returns the ID of the operator's request.
func (p ActionRequested) Request() RequestID { return p.request }

// ReadRequested asks what the store holds for a team.
type ReadRequested struct {
	request RequestID
	team    string
}

// NewReadRequested returns the question, under the caller's request ID, what the store holds for team; its answer is Told.
func NewReadRequested(request RequestID, team string) ReadRequested {
	return ReadRequested{request, team}
}

// Request returns the ID of the operator's request.
func (a ReadRequested) Request() RequestID { return a.request }

// Ticked lets time pass.
type Ticked struct{}

func (Configured) isEvent() {}

func (ApplyRequested) isEvent() {}

func (StoreCompleted) isEvent() {}

func (ConfigReceived) isEvent() {}

func (ActionRequested) isEvent() {}

func (ReadRequested) isEvent() {}

func (Ticked) isEvent() {}
