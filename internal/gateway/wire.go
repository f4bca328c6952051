package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// Wire reads and writes the headers of callers and upstreams.
type Wire interface {
	// Request returns what a caller asks for; content is a hash of the request.
	Request(id dispatch.ID, r *http.Request, content uint64) dispatch.Request
	// Forward turns the headers of a caller's request into those that an upstream gets.
	Forward(header http.Header, send dispatch.Send)
	// Belongs reports whether an answer with these headers is to the request that the caller calls name.
	Belongs(answer http.Header, name string) bool
	// Judge returns what an answer says.
	Judge(answer *http.Response) Verdict
	// Return removes from the headers of an answer what concerns the upstream's connection alone.
	Return(header http.Header)
}

// Verdict is what the head of an upstream's answer says: NoFailure for a success.
type Verdict struct {
	Failure dispatch.Failure
	Load    dispatch.Load
	Fault   string // the upstream that keeps this one from running the request, empty for none
}

// Store is the platform's object API.
type Store interface {
	// Do makes one call.
	Do(ctx context.Context, request object.Request) object.Result
	// Watch delivers each state of an object until the watch breaks or ctx ends.
	Watch(ctx context.Context, request object.Watch, deliver func(object.Result))
	// Follow delivers gateway.Listed and Unlisted events until ctx ends.
	Follow(ctx context.Context, deliver func(gateway.Event))
	// Config reads a configuration as the store holds it.
	Config(data []byte) (route.Config, error)
}

// Engines takes orders to engines and looks at them.
type Engines interface {
	// Order gives an order and returns how it was answered.
	Order(ctx context.Context, order replica.Order) replica.Reply
	// Look returns what the instance called id at address says of itself.
	Look(ctx context.Context, id replica.ID, address string) (replica.Instance, error)
}

// Entry answers callers that ask where to connect, and the platform's checks of readiness.
type Entry interface {
	// Ready returns a handler of checks of readiness.
	Ready(isReady func() bool) http.Handler
	// Addresses returns a handler that tells addresses with their lifetime.
	Addresses(addresses func() []string) http.Handler
}

// Adapter is all that a daemon needs of the platform.
type Adapter struct {
	Wire    Wire
	Store   Store
	Engines Engines
	Entry   Entry
}

// Settings say who a daemon is and where it listens.
type Settings struct {
	Gateway gateway.Settings
	Name    string
	Peers   string // address for peers, host:port
	Callers string // address for callers
	Checks  string // address for checks of readiness
	Answers string // address for callers that ask where to connect
	Metrics string // address for metrics
	Linger  time.Duration
	Grace   time.Duration // after the signal to stop, the process ends at the latest
}
