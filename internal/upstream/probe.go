package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// statusWire is what an engine or a service reports of itself; a service has no assignment.
type statusWire struct {
	Boot    string `json:"boot"`
	Replica string `json:"replica"`
	Fence   uint64 `json:"fence"`
	Phase   string `json:"phase"`
	Loaded  int    `json:"loaded"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// Probe asks the upstream id at address (host:port) for its state and returns what watcher saw at time at, the time
// of asking: an answer proves nothing about the time after it was asked for.
func (c *Client) Probe(ctx context.Context, id instance.ID, address, watcher string, at time.Time) instance.ProbeResult {
	status, body, err := c.control(ctx, http.MethodGet, address, "/status", nil)
	if err != nil || status != http.StatusOK {
		return instance.NewFailedProbe(id, watcher, at)
	}
	var wire statusWire
	if json.Unmarshal(body, &wire) != nil {
		return instance.NewFailedProbe(id, watcher, at)
	}
	assignment := instance.NewAssignment(instance.ReplicaID(wire.Replica), instance.FencingToken(wire.Fence))
	load := instance.NewLoad(max(wire.Running, 0), max(wire.Queued, 0), min(max(wire.Loaded, 0), 100))
	return instance.NewProbeResult(id, instance.BootID(wire.Boot), assignment, phase(wire.Phase), load, watcher, at)
}

func phase(name string) instance.Phase {
	switch name {
	case "loading":
		return instance.PhaseLoading
	case "ready":
		return instance.PhaseReady
	case "stopping":
		return instance.PhaseStopping
	default:
		return instance.PhaseIdle
	}
}
