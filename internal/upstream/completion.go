package upstream

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/engine"
)

// Completion is one attempt at a chat completion, always asked for as a stream.
type Completion struct {
	address     string
	id          string
	tokenOffset int
	body        []byte
}

// NewCompletion returns an attempt called id (unique over all attempts of all daemons) at the engine on address
// (host:port), which continues after the first from tokens; body is the caller's request.
func NewCompletion(address, id string, from int, body []byte) (Completion, error) {
	streamed, err := asStream(body)
	if err != nil {
		return Completion{}, trace.Wrap(err)
	}
	return Completion{address: address, id: id, tokenOffset: from, body: streamed}, nil
}

// asStream returns the request with streaming and the final count of tokens switched on.
func asStream(body []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, trace.BadParameter("the request is no JSON object: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// Chunk is one part of a completion that is safe to pass on.
type Chunk struct {
	position int
	text     string
	hasUsage bool
	data     []byte
}

// Position returns the number of tokens of the whole answer up to this chunk.
func (c Chunk) Position() int { return c.position }

// Text returns the text that the chunk adds.
func (c Chunk) Text() string { return c.text }

// HasUsage reports whether this is the last chunk, which counts the tokens; callers that did not ask for it get none.
func (c Chunk) HasUsage() bool { return c.hasUsage }

// EncodeWithID returns the chunk as JSON under the identity id, by which the caller knows the whole answer.
func (c Chunk) EncodeWithID(id string) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(c.data, &fields) != nil {
		return c.data
	}
	fields["id"], _ = json.Marshal(id)
	named, err := json.Marshal(fields)
	if err != nil {
		return c.data
	}
	return named
}

// CompletionResult is how an attempt at a completion ended.
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

// Complete reports whether the whole answer was passed on: the identity matched, no token was missing or doubled, and
// the count and the end mark came.
func (e CompletionResult) Complete() bool { return e.complete }

// Failure returns why the answer is not whole.
func (e CompletionResult) Failure() engine.Failure { return e.failure }

// Tokens returns the number of tokens that the caller has, those before the attempt included.
func (e CompletionResult) Tokens() int { return e.tokens }

// Model returns the name of the model that a whole answer names.
func (e CompletionResult) Model() string { return e.model }

// FinishReason returns why the engine ended a whole answer, such as "stop" or "length".
func (e CompletionResult) FinishReason() string { return e.finishReason }

// Usage returns the count of tokens of a whole answer, as JSON.
func (e CompletionResult) Usage() []byte { return e.usage }

// Status returns the HTTP status of a refusal, 0 if there was none.
func (e CompletionResult) Status() int { return e.status }

// ErrorBody returns the body of a refusal, cut off after 16 KiB.
func (e CompletionResult) ErrorBody() []byte { return e.errorBody }

// RetryAfter returns how long a refusal asks to wait, 0 if it does not say.
func (e CompletionResult) RetryAfter() time.Duration { return e.retryAfter }
