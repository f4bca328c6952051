package upstream

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/engine"
)

// Completion is one attempt at a chat completion. It always requests a stream.
type Completion struct {
	address     string
	id          string
	tokenOffset int
	body        []byte
}

// NewCompletion returns an attempt at the engine on address (host:port). The id is unique over all attempts of all
// daemons. The engine skips the first tokenOffset tokens, and body is the caller's request.
func NewCompletion(address, id string, tokenOffset int, body []byte) (Completion, error) {
	streamed, err := withStreaming(body)
	if err != nil {
		return Completion{}, trace.Wrap(err)
	}
	return Completion{address: address, id: id, tokenOffset: tokenOffset, body: streamed}, nil
}

// withStreaming returns the request with streaming and the final token count enabled.
func withStreaming(body []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, trace.BadParameter("the request is not a JSON object: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// Chunk is a checked part of a completion, which may be delivered to the caller.
type Chunk struct {
	position int
	text     string
	hasUsage bool
	data     []byte
}

// Position returns the number of tokens of the answer up to and including this chunk.
func (c Chunk) Position() int { return c.position }

// Text returns the text that the chunk adds.
func (c Chunk) Text() string { return c.text }

// HasUsage reports whether the chunk carries the token count. Only callers that request the count get such a chunk.
func (c Chunk) HasUsage() bool { return c.hasUsage }

// EncodeWithID returns the chunk as JSON with its ID replaced by id, which all chunks of an answer have in common.
func (c Chunk) EncodeWithID(id string) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(c.data, &fields) != nil {
		return c.data
	}
	fields["id"], _ = json.Marshal(id)
	encoded, err := json.Marshal(fields)
	if err != nil {
		return c.data
	}
	return encoded
}

// CompletionResult is the result of an attempt at a completion.
type CompletionResult struct {
	complete     bool
	failure      engine.Failure
	tokens       int
	model        string
	finishReason string
	usage        []byte
	status       int
	errorBody    []byte
	retryAfter   time.Duration
}

// Complete reports whether the complete answer was delivered: the IDs matched, no token was missing or duplicated, and
// the finish reason, the token count and the end marker were received.
func (r CompletionResult) Complete() bool { return r.complete }

// Failure returns why the answer is incomplete.
func (r CompletionResult) Failure() engine.Failure { return r.failure }

// Tokens returns the number of tokens that were delivered in order, including those from before the attempt. A stream
// that broke off is resumed after them.
func (r CompletionResult) Tokens() int { return r.tokens }

// Model returns the model name in the answer.
func (r CompletionResult) Model() string { return r.model }

// FinishReason returns why the engine ended the answer, such as "stop" or "length".
func (r CompletionResult) FinishReason() string { return r.finishReason }

// Usage returns the token count of the answer as JSON.
func (r CompletionResult) Usage() []byte { return r.usage }

// Status returns the HTTP status of an error response, 0 if there was none.
func (r CompletionResult) Status() int { return r.status }

// ErrorBody returns the body of an error response, truncated to 16 KiB.
func (r CompletionResult) ErrorBody() []byte { return r.errorBody }

// RetryAfter returns the wait that an error response requests, 0 if it requests none.
func (r CompletionResult) RetryAfter() time.Duration { return r.retryAfter }
