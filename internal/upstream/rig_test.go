package upstream

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/instance"
)

// rig is a replica of two stand-in engines; requests go to its lead.
type rig struct {
	lead, second *standin.Engine
	address      string
	client       *Client
}

func newRig(t *testing.T) *rig {
	var fabric standin.Cluster
	r := &rig{lead: fabric.Engine("a"), second: fabric.Engine("b"), client: New()}
	server := httptest.NewServer(r.lead)
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	for rank, engine := range []*standin.Engine{r.lead, r.second} {
		r.order(engine, orderWire{Verb: "load", Replica: "r1", Fence: 3, Model: "m", Rank: rank, Members: []string{"a", "b"}})
	}
	return r
}

func (r *rig) order(engine *standin.Engine, order orderWire) {
	body, _ := json.Marshal(order)
	engine.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/order", strings.NewReader(string(body))))
}

const ask = `{"model":"m","max_tokens":6,"messages":[{"role":"user","content":"hello"}]}`

// collected is what reached the caller of one attempt.
type collected struct {
	text   string
	chunks []Chunk
	ending CompletionResult
}

func (r *rig) stream(ctx context.Context, id string, from int) collected {
	completion, err := NewCompletion(r.address, id, from, []byte(ask))
	if err != nil {
		panic(err)
	}
	var got collected
	got.ending = r.client.Stream(ctx, completion, func(c Chunk) error {
		got.text += c.Text()
		got.chunks = append(got.chunks, c)
		return nil
	})
	return got
}

func (r *rig) assignment() instance.Assignment { return instance.NewAssignment("r1", 3) }
