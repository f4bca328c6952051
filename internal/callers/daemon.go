package callers

import (
	"context"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// Daemon gives a server access to the reducer and the configuration of the daemon that it runs in.
type Daemon interface {
	// Feed passes an event to the reducer. It returns an error once the daemon has stopped.
	Feed(e reducer.Event) error
	// Fleet returns the current configuration.
	Fleet() operator.Fleet
	// Addresses returns where a caller in dataCentre should connect.
	Addresses(ctx context.Context, dataCentre string) (caller.Addresses, error)
}
