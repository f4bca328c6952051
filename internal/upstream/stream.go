package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/engine"
)

const (
	completionsPath = "/v1/chat/completions"
	answerPrefix    = "chatcmpl-"
	endMark         = "[DONE]"
)

// The errors of a stream that is not the whole answer to its request.
var (
	errCrossed  = errors.New("the answer names another request")
	errPosition = errors.New("a token is missing or doubled")
	errCount    = errors.New("the count differs from the tokens that came")
	errShort    = errors.New("the stream ended without its end mark")
	errChunk    = errors.New("a chunk is malformed")
	errCaller   = errors.New("the caller takes no more")
)

// Stream runs one attempt and passes each chunk to deliver as soon as it is known to be the next one; an error of
// deliver ends the attempt, as does the end of ctx, and both count as Halted. The chunks that tell the end are passed
// on only once the answer is known to be whole.
func (c *Client) Stream(ctx context.Context, completion Completion, deliver func(Chunk) error) CompletionResult {
	ctx, watchdog := newWatchdog(ctx, c.stallTimeout)
	defer watchdog.stop()
	response, ending := c.open(ctx, completion)
	if response == nil {
		return ending
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(requestHeader); echoed != completion.id {
		return CompletionResult{failure: engine.IdentityMismatch, tokens: completion.tokenOffset}
	}
	s := stream{
		id:      answerPrefix + completion.id,
		deliver: deliver,
		ending:  CompletionResult{tokens: completion.tokenOffset},
	}
	err := s.read(newEvents(response.Body), watchdog)
	s.ending.complete = err == nil
	if err != nil {
		s.ending.failure = failure(ctx, err)
	}
	return s.ending
}

// open sends the request; without a response that streams, the ending says why.
func (c *Client) open(ctx context.Context, completion Completion) (*http.Response, CompletionResult) {
	ending := CompletionResult{tokens: completion.tokenOffset}
	url := "http://" + completion.address + completionsPath
	request, err := transport.NewRequest(ctx, http.MethodPost, url, completion.body)
	if err != nil {
		ending.failure = engine.NotSent
		return nil, ending
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(requestHeader, completion.id)
	if completion.tokenOffset > 0 {
		request.Header.Set(resumeHeader, strconv.Itoa(completion.tokenOffset))
	}
	response, sent, err := transport.Send(c.reused, request)
	switch {
	case err != nil && !sent:
		ending.failure = engine.NotSent
		return nil, ending
	case err != nil:
		ending.failure = failure(ctx, err)
		return nil, ending
	case response.StatusCode == http.StatusOK:
		return response, ending
	}
	defer func() { _ = response.Body.Close() }()
	return nil, refused(response, ending)
}

// refused fills in an ending by a status other than 200; a server error other than 503 may come after the call ran.
func refused(response *http.Response, ending CompletionResult) CompletionResult {
	ending.status = response.StatusCode
	ending.errorBody, _ = io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	ending.retryAfter = retryAfter(response.Header)
	switch {
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		ending.failure = engine.RefusedOverload
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError:
		ending.failure = engine.RefusedPermanently
	default:
		ending.failure = engine.Broken
	}
	return ending
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get(againHeader))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// failure returns the kind of a failure after the request was sent.
func failure(ctx context.Context, err error) engine.Failure {
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return engine.TimedOut
	case errors.Is(err, errCaller), ctx.Err() != nil:
		return engine.Halted
	case errors.Is(err, errCrossed):
		return engine.IdentityMismatch
	case errors.Is(err, errPosition), errors.Is(err, errCount), errors.Is(err, errShort), errors.Is(err, errChunk):
		return engine.Broken
	default:
		return engine.Crashed
	}
}

// stream checks the chunks of one answer in their order.
type stream struct {
	id      string
	deliver func(Chunk) error
	ending  CompletionResult
	held    []Chunk
	counted bool
}

// chunkWire is what a chunk of a completion tells.
type chunkWire struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Choices []choiceWire    `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type choiceWire struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	Finish string `json:"finish_reason"`
}

type usageWire struct {
	Completion int `json:"completion_tokens"`
}

func (s *stream) read(from events, watchdog *watchdog) error {
	for {
		next, err := from.next()
		if err == io.EOF {
			return errShort
		}
		if errors.Is(err, bufio.ErrTooLong) {
			return errChunk
		}
		if err != nil {
			return err
		}
		watchdog.feed()
		if string(next.data) == endMark {
			return s.end()
		}
		if err := s.take(next); err != nil {
			return err
		}
	}
}

// take checks one event and passes it on, or holds it back if it belongs to the end.
func (s *stream) take(next event) error {
	var wire chunkWire
	if json.Unmarshal(next.data, &wire) != nil {
		return errChunk
	}
	if wire.ID != s.id {
		return errCrossed
	}
	chunk := Chunk{data: next.data}
	finish := ""
	if len(wire.Choices) > 0 {
		chunk.text, finish = wire.Choices[0].Delta.Content, wire.Choices[0].Finish
	}
	if next.id != "" {
		if len(s.held) > 0 || next.id != strconv.Itoa(s.ending.tokens+1) {
			return errPosition
		}
		s.ending.tokens++
	} else if chunk.text != "" {
		return errPosition
	}
	chunk.position = s.ending.tokens
	s.ending.model = wire.Model
	if finish != "" {
		s.ending.finishReason = finish
	}
	if err := s.count(wire.Usage, &chunk); err != nil {
		return err
	}
	if finish != "" || chunk.hasUsage {
		s.held = append(s.held, chunk)
		return nil
	}
	return s.pass(chunk)
}

// count compares the count of tokens that the engine announces with those that came.
func (s *stream) count(usage json.RawMessage, chunk *Chunk) error {
	if len(usage) == 0 || string(usage) == "null" {
		return nil
	}
	var announced usageWire
	if json.Unmarshal(usage, &announced) != nil {
		return errChunk
	}
	if announced.Completion != s.ending.tokens {
		return errCount
	}
	chunk.hasUsage, s.counted, s.ending.usage = true, true, usage
	return nil
}

// end passes on the chunks that were held back, if the answer is whole.
func (s *stream) end() error {
	if !s.counted || s.ending.finishReason == "" {
		return errShort
	}
	for _, chunk := range s.held {
		if err := s.pass(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (s *stream) pass(chunk Chunk) error {
	if s.deliver(chunk) != nil {
		return errCaller
	}
	return nil
}
