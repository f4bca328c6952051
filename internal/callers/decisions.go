package callers

import (
	"context"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// Daemon is what this driver needs of the daemon that it runs in.
type Daemon interface {
	// Feed hands an event to the reducer; it returns an error when the daemon has ended.
	Feed(e reducer.Event) error
	// Fleet returns the configuration that is in force.
	Fleet() operator.Fleet
	// Addresses returns where a caller in dataCentre should connect.
	Addresses(ctx context.Context, dataCentre string) (caller.Addresses, error)
}
