package callers

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// prefixBlockBytes is the length of one block of a prompt. Each prefix hash covers the prompt up to the end of a block.
const prefixBlockBytes = 256

// maxPrefixBlocks limits the prefix hashes of a prompt. The rest of a longer prompt is not hashed.
const maxPrefixBlocks = 32

// completionRequest holds the fields of a chat completion request that the reducer needs, and the unchanged body.
type completionRequest struct {
	body         []byte
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int
	priority     int
	prompt       []byte
}

type wireCompletionRequest struct {
	Model               *string           `json:"model"`
	Messages            json.RawMessage   `json:"messages"`
	Stream              bool              `json:"stream"`
	StreamOptions       wireStreamOptions `json:"stream_options"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Priority            int               `json:"priority"`
	Choices             int               `json:"n"`
}

type wireStreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// readBody reads a request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return body, nil
}

// parseCompletion decodes the fields of body that the reducer needs. Its errors are sent to the caller.
func parseCompletion(body []byte) (completionRequest, error) {
	var wire wireCompletionRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return completionRequest{}, trace.BadParameter("the body is not a chat completion request: %v", err)
	}
	if wire.Model == nil || *wire.Model == "" {
		return completionRequest{}, trace.BadParameter("field \"model\" is missing")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(wire.Messages, &messages); err != nil || len(messages) == 0 {
		return completionRequest{}, trace.BadParameter("field \"messages\" must be a list with at least one message")
	}
	if wire.Choices > 1 {
		return completionRequest{}, trace.BadParameter("field \"n\" must be 1: one answer for each request")
	}
	if wire.MaxTokens < 0 || wire.MaxCompletionTokens < 0 {
		return completionRequest{}, trace.BadParameter("field \"max_tokens\" must not be negative")
	}
	return completionRequest{
		body:         body,
		model:        *wire.Model,
		stream:       wire.Stream,
		includeUsage: wire.StreamOptions.IncludeUsage,
		maxTokens:    max(wire.MaxTokens, wire.MaxCompletionTokens),
		priority:     wire.Priority,
		prompt:       wire.Messages,
	}, nil
}

// fingerprint returns the hash of the content of a call, which is equal whenever a caller sends the same content again.
func fingerprint(content []byte) uint64 { return xxhash.Sum64(content) }

// prefixHashes returns the hash of each prefix of prompt that ends at a block boundary.
func prefixHashes(prompt []byte) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for len(prompt) >= prefixBlockBytes && len(hashes) < maxPrefixBlocks {
		_, _ = digest.Write(prompt[:prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return hashes
}
