package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/pkg/instance"
)

// harness is a replica of two stand-in engines. Requests are sent to the lead.
type harness struct {
	lead, second *standin.Engine
	address      string
	client       *Client
}

func newHarness(t *testing.T) *harness {
	var cluster standin.Cluster
	h := &harness{lead: cluster.Engine("a"), second: cluster.Engine("b"), client: New()}
	server := httptest.NewServer(h.lead)
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	for rank, engine := range []*standin.Engine{h.lead, h.second} {
		h.order(engine, orderWire{Verb: "load", Replica: "r1", Fence: 3, Model: "m", Rank: rank, Members: []string{"a", "b"}})
	}
	return h
}

func (h *harness) order(engine *standin.Engine, order orderWire) {
	body, _ := json.Marshal(order)
	engine.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/order", strings.NewReader(string(body))))
}

const requestBody = `{"model":"m","max_tokens":6,"messages":[{"role":"user","content":"hello"}]}`

// repeatingEngine returns the address of an engine that refuses the first call on each connection, and sends the same refusal once more
// while it runs later ones, and the number of connections opened.
func repeatingEngine(t *testing.T, refusal string) (address string, opened *atomic.Int64) {
	opened = &atomic.Int64{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for reader := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, refusal); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go serve(conn)
		}
	}()
	return listener.Addr().String(), opened
}

// streamOutput holds the chunks and the result of one attempt.
type streamOutput struct {
	text   string
	chunks []Chunk
	result CompletionResult
}

func (h *harness) stream(ctx context.Context, id string, tokenOffset int) streamOutput {
	completion, err := NewCompletion(h.address, id, tokenOffset, []byte(requestBody))
	if err != nil {
		panic(err)
	}
	var got streamOutput
	got.result = h.client.Stream(ctx, completion, func(c Chunk) error {
		got.text += c.Text()
		got.chunks = append(got.chunks, c)
		return nil
	})
	return got
}

func (h *harness) assignment() instance.Assignment { return instance.NewAssignment("r1", 3) }
