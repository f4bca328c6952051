package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// resumeHeader carries the ID of the last server-sent event that the client received. In a completion, it is the
	// position of the last token.
	resumeHeader = "Last-Event-ID"
	// defaultMaxTokens is the number of tokens of a completion whose request sets no limit.
	defaultMaxTokens = 16
)

// completionFault is a fault that is injected into one completion.
type completionFault struct {
	kind        completionFaultKind
	afterTokens int
	gate        *Gate
}

type completionFaultKind uint8

const (
	faultTruncated completionFaultKind = iota
	faultAborted
	faultMismatched
	faultDuplicated
	faultAbortedAtFinish
	faultBlocked
	faultCrash
)

// NextTruncated ends the next stream cleanly after tokens, without the usage chunk and [DONE].
func (e *Engine) NextTruncated(tokens int) {
	e.queueFault(completionFault{kind: faultTruncated, afterTokens: tokens})
}

// NextAborted closes the connection of the next completion after tokens.
func (e *Engine) NextAborted(tokens int) {
	e.queueFault(completionFault{kind: faultAborted, afterTokens: tokens})
}

// NextMismatched puts the ID of another request into the next completion, in a stream only after tokens.
func (e *Engine) NextMismatched(tokens int) {
	e.queueFault(completionFault{kind: faultMismatched, afterTokens: tokens})
}

// NextDuplicated sends the token that follows tokens in the next stream twice.
func (e *Engine) NextDuplicated(tokens int) {
	e.queueFault(completionFault{kind: faultDuplicated, afterTokens: tokens})
}

// NextAbortedAtFinish sends the last token of the next stream in one chunk with the finish reason, and then closes the
// connection.
func (e *Engine) NextAbortedAtFinish() {
	e.queueFault(completionFault{kind: faultAbortedAtFinish})
}

// NextBlocked blocks the next completion at gate after tokens.
func (e *Engine) NextBlocked(tokens int, gate *Gate) {
	e.queueFault(completionFault{kind: faultBlocked, afterTokens: tokens, gate: gate})
}

// NextCrash crashes the engine in the next completion after tokens.
func (e *Engine) NextCrash(tokens int) {
	e.queueFault(completionFault{kind: faultCrash, afterTokens: tokens})
}

func (e *Engine) queueFault(fault completionFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completionFaults = append(e.completionFaults, fault)
}

type completionRequestWire struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// completion is the state of one completion request.
type completion struct {
	id             string
	model          string
	prompt         string
	resumePosition int // position of the last token that the client received, 0 if there is none
	tokens         int
	fault          *completionFault
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequestWire
	if !readJSON(w, r, &request) {
		return
	}
	c, admitted := e.admit(w, r, request)
	if !admitted {
		return
	}
	defer e.finishCompletion()
	if e.isPoisoned(c.prompt) {
		e.Crash()
		return
	}
	if request.Stream {
		e.streamCompletion(w, r, c)
		return
	}
	e.writeCompletion(w, r, c)
}

// admit starts the completion of request. If the engine cannot serve it, admit responds with an error and returns
// false.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, request completionRequestWire) (completion, bool) {
	e.mu.Lock()
	load := e.load
	e.mu.Unlock()
	switch {
	case load.rank != 0 || !e.cluster.isAvailable(load.assignment, load.members):
		writeStatus(w, http.StatusServiceUnavailable, "NotReady", "this engine leads no whole replica")
		return completion{}, false
	case request.Model != load.model:
		writeStatus(w, http.StatusNotFound, "NotFound", "unknown model "+request.Model)
		return completion{}, false
	}
	c := completion{id: r.Header.Get(requestHeader), model: request.Model, tokens: request.MaxTokens}
	if c.tokens <= 0 {
		c.tokens = defaultMaxTokens
	}
	c.resumePosition, _ = strconv.Atoi(r.Header.Get(resumeHeader))
	var prompt strings.Builder
	for _, message := range request.Messages {
		prompt.WriteString(message.Role)
		prompt.Write(message.Content)
	}
	c.prompt = prompt.String()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.completionFaults) > 0 {
		c.fault = &e.completionFaults[0]
		e.completionFaults = e.completionFaults[1:]
	}
	e.running++
	e.cache.addPrompt(c.prompt)
	return c, true
}

func (e *Engine) finishCompletion() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.running > 0 {
		return
	}
	for _, idle := range e.idleWaiters {
		close(idle)
	}
	e.idleWaiters = nil
}

func (e *Engine) isPoisoned(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.poison != "" && strings.Contains(prompt, e.settings.poison)
}

// tokenText returns the text of the token at position, counted from 1, in the completion of prompt.
func tokenText(prompt string, position int) string {
	hash := xxhash.Sum64String(prompt + "/" + strconv.Itoa(position))
	return fmt.Sprintf("w%04x ", hash&0xffff)
}

// writeCompletion writes the completion as one JSON object.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, c completion) {
	var text strings.Builder
	id := c.id
	for position := c.resumePosition + 1; position <= c.tokens; position++ {
		if !e.awaitToken(r, c, position-1) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(tokenText(c.prompt, position))
	}
	if c.fault != nil && c.fault.kind == faultMismatched {
		id = "other"
		w.Header().Set(requestHeader, id)
	}
	reason := "stop"
	writeJSON(w, http.StatusOK, completionResponseWire{
		ID:      completionID(id),
		Object:  "chat.completion",
		Model:   c.model,
		Choices: []choiceWire{{Message: &messageWire{"assistant", text.String()}, FinishReason: &reason}},
		Usage:   c.usage(),
	})
}

// awaitToken waits for the token after position and reports whether the completion continues. It injects the faults
// that end or block any completion, streamed or not.
func (e *Engine) awaitToken(r *http.Request, c completion, position int) bool {
	e.mu.Lock()
	interval := e.settings.tokenInterval
	e.mu.Unlock()
	if interval > 0 {
		sleep(r, interval)
	}
	if c.fault != nil && c.fault.afterTokens == position {
		switch c.fault.kind {
		case faultAborted:
			return false
		case faultBlocked:
			c.fault.gate.waitOrCancel(r)
		case faultCrash:
			e.Crash()
			return false
		}
	}
	return r.Context().Err() == nil
}

// streamCompletion writes the completion as server-sent events, one per token; the event ID is the token's position.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, c completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	id := c.id
	for position := c.resumePosition + 1; position <= c.tokens; position++ {
		if !e.awaitToken(r, c, position-1) {
			flush(w)
			panic(http.ErrAbortHandler)
		}
		repeats := 1
		if c.fault != nil && c.fault.afterTokens == position-1 {
			switch c.fault.kind {
			case faultTruncated:
				return
			case faultMismatched:
				id = "other"
			case faultDuplicated:
				repeats = 2
			}
		}
		chunk := c.chunk(id, tokenText(c.prompt, position))
		if position == c.tokens && c.fault != nil && c.fault.kind == faultAbortedAtFinish {
			reason := "stop"
			chunk.Choices[0].FinishReason = &reason
			writeChunk(w, position, chunk)
			panic(http.ErrAbortHandler)
		}
		for range repeats {
			writeChunk(w, position, chunk)
		}
	}
	writeChunk(w, 0, c.finishChunk(id))
	usageChunk := c.finishChunk(id)
	usageChunk.Choices, usageChunk.Usage = []choiceWire{}, c.usage()
	writeChunk(w, 0, usageChunk)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// completionResponseWire is a chat completion or one chunk of its stream.
type completionResponseWire struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceWire `json:"choices"`
	Usage   *usageWire   `json:"usage,omitempty"`
}

type choiceWire struct {
	Index        int          `json:"index"`
	Message      *messageWire `json:"message,omitempty"`
	Delta        *deltaWire   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type deltaWire struct {
	Content string `json:"content,omitempty"`
}

type usageWire struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (c completion) usage() *usageWire {
	prompt := len(strings.Fields(c.prompt))
	return &usageWire{Prompt: prompt, Completion: c.tokens, Total: prompt + c.tokens}
}

func (c completion) chunk(id, text string) completionResponseWire {
	return completionResponseWire{
		ID:      completionID(id),
		Object:  "chat.completion.chunk",
		Model:   c.model,
		Choices: []choiceWire{{Delta: &deltaWire{Content: text}}},
	}
}

func (c completion) finishChunk(id string) completionResponseWire {
	chunk := c.chunk(id, "")
	reason := "stop"
	chunk.Choices[0].FinishReason = &reason
	return chunk
}

func completionID(requestID string) string { return "chatcmpl-" + requestID }

func writeChunk(w http.ResponseWriter, position int, chunk completionResponseWire) {
	body, _ := json.Marshal(chunk)
	if position > 0 {
		_, _ = fmt.Fprintf(w, "id: %d\n", position)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	flush(w)
}
