package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/engine"
)

const (
	completionsPath = "/v1/chat/completions"
	answerIDPrefix  = "chatcmpl-"
	endMarker       = "[DONE]"
)

// Errors of a stream that is not the complete answer to its request.
var (
	errIdentity       = errors.New("the answer has the ID of another request")
	errPosition       = errors.New("a token is missing or duplicated")
	errTokenCount     = errors.New("the token count differs from the tokens received")
	errTruncated      = errors.New("the stream ended without a finish reason, a token count or an end marker")
	errMalformedChunk = errors.New("a chunk is malformed")
	errDeliver        = errors.New("the caller stopped reading")
)

// Stream runs one attempt and calls deliver with each chunk as soon as its position is checked. An error of deliver or
// the end of ctx ends the attempt as Halted. The chunks with the finish reason and the token count are only delivered
// once the answer is complete.
func (c *Client) Stream(ctx context.Context, completion Completion, deliver func(Chunk) error) CompletionResult {
	ctx, watchdog := newWatchdog(ctx, c.stallTimeout)
	defer watchdog.stop()
	response, result := c.open(ctx, completion)
	if response == nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(requestIDHeader); echoed != completion.id {
		return CompletionResult{failure: engine.IdentityMismatch, tokens: completion.tokenOffset}
	}
	s := streamReader{
		id:       answerIDPrefix + completion.id,
		deliver:  deliver,
		received: completion.tokenOffset,
		result:   CompletionResult{tokens: completion.tokenOffset},
	}
	err := s.read(newEventReader(response.Body), watchdog)
	s.result.complete = err == nil
	if err != nil {
		s.result.failure = failureOf(ctx, err)
	}
	return s.result
}

// open sends the request. If the response is nil, the result says why.
func (c *Client) open(ctx context.Context, completion Completion) (*http.Response, CompletionResult) {
	result := CompletionResult{tokens: completion.tokenOffset}
	url := "http://" + completion.address + completionsPath
	request, err := transport.NewRequest(ctx, http.MethodPost, url, completion.body)
	if err != nil {
		result.failure = engine.NotSent
		return nil, result
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(requestIDHeader, completion.id)
	if completion.tokenOffset > 0 {
		request.Header.Set(lastEventIDHeader, strconv.Itoa(completion.tokenOffset))
	}
	isReused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isReused = info.Reused }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, sent, err := transport.Send(c.pooled, request)
	switch {
	case err != nil && !sent:
		result.failure = engine.NotSent
		return nil, result
	case err != nil:
		result.failure = failureOf(ctx, err)
		return nil, result
	case response.StatusCode == http.StatusOK:
		return response, result
	}
	defer func() { _ = response.Body.Close() }()
	if !isAnswerTo(completion.id, response, isReused) {
		result.failure = engine.IdentityMismatch
		return nil, result
	}
	return nil, errorResult(response, result)
}

// errorResult adds a status other than 200 to a result. Statuses other than 4xx and 503 count as Broken, since the call
// may have run.
func errorResult(response *http.Response, result CompletionResult) CompletionResult {
	result.status = response.StatusCode
	result.errorBody, _ = io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	result.retryAfter = retryAfter(response.Header)
	switch {
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		result.failure = engine.RefusedOverload
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError:
		result.failure = engine.RefusedPermanently
	default:
		result.failure = engine.Broken
	}
	return result
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get(retryAfterHeader))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// failureOf maps an error after the request was sent to a failure.
func failureOf(ctx context.Context, err error) engine.Failure {
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		return engine.TimedOut
	case errors.Is(err, errDeliver), ctx.Err() != nil:
		return engine.Halted
	case errors.Is(err, errIdentity):
		return engine.IdentityMismatch
	case errors.Is(err, errPosition), errors.Is(err, errTokenCount),
		errors.Is(err, errTruncated), errors.Is(err, errMalformedChunk):
		return engine.Broken
	default:
		return engine.Crashed
	}
}

// streamReader checks the chunks of one answer and delivers them in order.
type streamReader struct {
	id           string
	deliver      func(Chunk) error
	result       CompletionResult
	received     int // position of the last token received; result counts the delivered ones
	finalChunks  []Chunk
	countChecked bool
}

// chunkWire holds the fields of a completion chunk that are checked.
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
	FinishReason string `json:"finish_reason"`
}

type usageWire struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (s *streamReader) read(source eventReader, watchdog *watchdog) error {
	for {
		event, err := source.next()
		if err == io.EOF {
			return errTruncated
		}
		if errors.Is(err, bufio.ErrTooLong) {
			return errMalformedChunk
		}
		if err != nil {
			return err
		}
		watchdog.reset()
		if string(event.data) == endMarker {
			return s.finish()
		}
		if err := s.readChunk(event); err != nil {
			return err
		}
	}
}

// readChunk checks one event and delivers it, or keeps it for finish if it has a finish reason or the token count.
func (s *streamReader) readChunk(event event) error {
	var wire chunkWire
	if json.Unmarshal(event.data, &wire) != nil {
		return errMalformedChunk
	}
	if wire.ID != s.id {
		return errIdentity
	}
	chunk := Chunk{data: event.data}
	finishReason := ""
	if len(wire.Choices) > 0 {
		chunk.text, finishReason = wire.Choices[0].Delta.Content, wire.Choices[0].FinishReason
	}
	if event.id != "" {
		if len(s.finalChunks) > 0 || event.id != strconv.Itoa(s.received+1) {
			return errPosition
		}
		s.received++
	} else if chunk.text != "" {
		return errPosition
	}
	chunk.position = s.received
	s.result.model = wire.Model
	if finishReason != "" {
		s.result.finishReason = finishReason
	}
	if err := s.checkCount(wire.Usage, &chunk); err != nil {
		return err
	}
	if finishReason != "" || chunk.hasUsage {
		s.finalChunks = append(s.finalChunks, chunk)
		return nil
	}
	return s.deliverChunk(chunk)
}

// checkCount compares the token count that the engine reports with the tokens received.
func (s *streamReader) checkCount(usage json.RawMessage, chunk *Chunk) error {
	if len(usage) == 0 || string(usage) == "null" {
		return nil
	}
	var reported usageWire
	if json.Unmarshal(usage, &reported) != nil {
		return errMalformedChunk
	}
	if reported.CompletionTokens != s.received {
		return errTokenCount
	}
	chunk.hasUsage, s.countChecked, s.result.usage = true, true, usage
	return nil
}

// finish delivers the final chunks if the answer is complete.
func (s *streamReader) finish() error {
	if !s.countChecked || s.result.finishReason == "" {
		return errTruncated
	}
	for _, chunk := range s.finalChunks {
		if err := s.deliverChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (s *streamReader) deliverChunk(chunk Chunk) error {
	if s.deliver(chunk) != nil {
		return errDeliver
	}
	s.result.tokens = chunk.position
	return nil
}
