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
	// resumeHeader carries the position of the last token that the client has, as server-sent events define it.
	resumeHeader = "Last-Event-ID"
	// defaultTokens is the length of an answer for which the request sets no limit.
	defaultTokens = 16
)

// answerFault is what goes wrong with the stream of one completion.
type answerFault struct {
	kind  answerKind
	token int
	gate  *Gate
}

type answerKind uint8

const (
	shortAnswer answerKind = iota
	brokenAnswer
	crossedAnswer
	doubledAnswer
	heldTokens
	crashing
)

// NextTruncated ends the next stream cleanly after tokens, without usage and end mark.
func (e *Engine) NextTruncated(tokens int) {
	e.queueFault(answerFault{kind: shortAnswer, token: tokens})
}

// NextAborted closes the connection of the next stream after tokens.
func (e *Engine) NextAborted(tokens int) {
	e.queueFault(answerFault{kind: brokenAnswer, token: tokens})
}

// NextMismatched makes the next answer name another request, in a stream from the token after tokens on.
func (e *Engine) NextMismatched(tokens int) {
	e.queueFault(answerFault{kind: crossedAnswer, token: tokens})
}

// NextDuplicated sends the token after tokens of the next stream twice.
func (e *Engine) NextDuplicated(tokens int) {
	e.queueFault(answerFault{kind: doubledAnswer, token: tokens})
}

// NextBlocked keeps the next stream at gate after tokens.
func (e *Engine) NextBlocked(tokens int, gate *Gate) {
	e.queueFault(answerFault{kind: heldTokens, token: tokens, gate: gate})
}

// NextCrash crashes the engine in the next stream after tokens.
func (e *Engine) NextCrash(tokens int) { e.queueFault(answerFault{kind: crashing, token: tokens}) }

func (e *Engine) queueFault(fault answerFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers = append(e.answers, fault)
}

type completionWire struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// completion is one answer that an engine makes.
type completion struct {
	id     string
	model  string
	prompt string
	from   int
	tokens int
	fault  *answerFault
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var wanted completionWire
	if !readJSON(w, r, &wanted) {
		return
	}
	c, admitted := e.admit(w, r, wanted)
	if !admitted {
		return
	}
	defer e.leave()
	if e.poisoned(c.prompt) {
		e.Crash()
		return
	}
	if wanted.Stream {
		e.stream(w, r, c)
		return
	}
	e.whole(w, r, c)
}

// admit reports whether the engine serves the request; if not, it has answered why.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, wanted completionWire) (completion, bool) {
	e.mu.Lock()
	held := e.held
	e.mu.Unlock()
	switch {
	case held.rank != 0 || !e.cluster.whole(held.assignment, held.members):
		writeStatus(w, http.StatusServiceUnavailable, "NotReady", "this engine leads no whole replica")
		return completion{}, false
	case wanted.Model != held.model:
		writeStatus(w, http.StatusNotFound, "NotFound", "unknown model "+wanted.Model)
		return completion{}, false
	}
	c := completion{id: r.Header.Get(requestHeader), model: wanted.Model, tokens: wanted.MaxTokens}
	if c.tokens <= 0 {
		c.tokens = defaultTokens
	}
	c.from, _ = strconv.Atoi(r.Header.Get(resumeHeader))
	var prompt strings.Builder
	for _, message := range wanted.Messages {
		prompt.WriteString(message.Role)
		prompt.Write(message.Content)
	}
	c.prompt = prompt.String()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.answers) > 0 {
		c.fault = &e.answers[0]
		e.answers = e.answers[1:]
	}
	e.running++
	e.cache.store(c.prompt)
	return c, true
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.running > 0 {
		return
	}
	for _, idle := range e.waiting {
		close(idle)
	}
	e.waiting = nil
}

func (e *Engine) poisoned(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.poison != "" && strings.Contains(prompt, e.settings.poison)
}

// token returns the text of the token at position, which begins at 1, in the answer to a prompt.
func token(prompt string, position int) string {
	word := xxhash.Sum64String(prompt + "/" + strconv.Itoa(position))
	return fmt.Sprintf("w%04x ", word&0xffff)
}

// whole writes the answer as one JSON object.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, c completion) {
	var text strings.Builder
	id := c.id
	for position := c.from + 1; position <= c.tokens; position++ {
		if !e.step(r, c, position-1) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(token(c.prompt, position))
	}
	if c.fault != nil && c.fault.kind == crossedAnswer {
		id = "other"
		w.Header().Set(requestHeader, id)
	}
	finished := "stop"
	writeJSON(w, http.StatusOK, answerWire{
		ID:      answerID(id),
		Object:  "chat.completion",
		Model:   c.model,
		Choices: []choiceWire{{Message: &messageWire{"assistant", text.String()}, FinishReason: &finished}},
		Usage:   c.usage(),
	})
}

// step waits for the token after position and reports whether the stream goes on.
func (e *Engine) step(r *http.Request, c completion, position int) bool {
	e.mu.Lock()
	gap := e.settings.tokenInterval
	e.mu.Unlock()
	if gap > 0 {
		pause(r, gap)
	}
	if c.fault != nil && c.fault.token == position {
		switch c.fault.kind {
		case brokenAnswer:
			return false
		case heldTokens:
			c.fault.gate.passOrLeave(r)
		case crashing:
			e.Crash()
			return false
		}
	}
	return r.Context().Err() == nil
}

// stream writes the answer as server-sent events, one for each token, whose event identity is the token's position.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	id := c.id
	for position := c.from + 1; position <= c.tokens; position++ {
		if !e.step(r, c, position-1) {
			flush(w)
			panic(http.ErrAbortHandler)
		}
		repeats := 1
		if c.fault != nil && c.fault.token == position-1 {
			switch c.fault.kind {
			case shortAnswer:
				return
			case crossedAnswer:
				id = "other"
			case doubledAnswer:
				repeats = 2
			}
		}
		for range repeats {
			writeChunk(w, position, c.chunk(id, token(c.prompt, position)))
		}
	}
	writeChunk(w, 0, c.finish(id))
	last := c.finish(id)
	last.Choices, last.Usage = []choiceWire{}, c.usage()
	writeChunk(w, 0, last)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// answerWire is a chat completion or one chunk of it.
type answerWire struct {
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

func (c completion) chunk(id, text string) answerWire {
	return answerWire{
		ID:      answerID(id),
		Object:  "chat.completion.chunk",
		Model:   c.model,
		Choices: []choiceWire{{Delta: &deltaWire{Content: text}}},
	}
}

func (c completion) finish(id string) answerWire {
	last := c.chunk(id, "")
	reason := "stop"
	last.Choices[0].FinishReason = &reason
	return last
}

func answerID(request string) string { return "chatcmpl-" + request }

func writeChunk(w http.ResponseWriter, position int, chunk answerWire) {
	body, _ := json.Marshal(chunk)
	if position > 0 {
		_, _ = fmt.Fprintf(w, "id: %d\n", position)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	flush(w)
}
