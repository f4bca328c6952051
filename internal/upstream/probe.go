package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// statusWire is the status that an engine or a service reports. A service has no assignment.
type statusWire struct {
	Boot    string `json:"boot"`
	Replica string `json:"replica"`
	Fence   uint64 `json:"fence"`
	Phase   string `json:"phase"`
	Loaded  int    `json:"loaded"` // percent of the model
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// Probe requests the status of the upstream id at address (host:port) on behalf of the daemon watcher. The result has
// the time at which the request is sent, as an answer proves nothing about later times.
func (c *Client) Probe(ctx context.Context, id instance.ID, address, watcher string, at time.Time) instance.ProbeResult {
	status, body, err := c.callControl(ctx, http.MethodGet, address, "/status", nil)
	if err != nil || status != http.StatusOK {
		return instance.NewFailedProbe(id, watcher, at)
	}
	var wire statusWire
	if json.Unmarshal(body, &wire) != nil {
		return instance.NewFailedProbe(id, watcher, at)
	}
	assignment := instance.NewAssignment(instance.ReplicaID(wire.Replica), instance.FencingToken(wire.Fence))
	load := instance.NewLoad(max(wire.Running, 0), max(wire.Queued, 0), min(max(wire.Loaded, 0), 100))
	return instance.NewProbeResult(id, instance.BootID(wire.Boot), assignment, parsePhase(wire.Phase), load, watcher, at)
}

func parsePhase(name string) instance.Phase {
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
