package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Verbs of an order.
const (
	loadVerb    = "load"
	releaseVerb = "release"
)

// orderWire is an order to load or release a model.
type orderWire struct {
	Verb     string    `json:"verb"`
	Replica  string    `json:"replica,omitempty"`
	Fence    uint64    `json:"fence"`
	Model    string    `json:"model,omitempty"`
	Rank     int       `json:"rank"`
	Members  []string  `json:"members,omitempty"`
	Deadline time.Time `json:"deadline"`
}

// SendOrder sends an order to an engine and returns its reply. The reply is instance.ReplyStale only if the engine
// rejected the order because of its fencing token or its deadline.
func (c *Client) SendOrder(ctx context.Context, order instance.Order) instance.Reply {
	wire := orderWire{
		Verb:     loadVerb,
		Replica:  string(order.Assignment().Replica()),
		Fence:    uint64(order.Assignment().FencingToken()),
		Model:    order.Model(),
		Rank:     order.Rank(),
		Members:  order.Members(),
		Deadline: order.Deadline(),
	}
	if order.IsRelease() {
		wire.Verb = releaseVerb
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return instance.ReplyUnanswered
	}
	ctx, cancel := context.WithDeadline(ctx, order.Deadline())
	defer cancel()
	status, _, err := c.callControl(ctx, http.MethodPost, order.Address(), "/order", body)
	switch {
	case err != nil:
		return instance.ReplyUnanswered
	case status == http.StatusOK || status == http.StatusAccepted || status == http.StatusNoContent:
		return instance.ReplyAccepted
	case status == http.StatusConflict || status == http.StatusGone:
		return instance.ReplyStale
	default:
		return instance.ReplyUnanswered
	}
}
