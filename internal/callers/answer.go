package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// answerWriter writes a completion to the caller in the format that the request asks for.
type answerWriter interface {
	// writeChunk writes one chunk of the answer. The content is the text that the chunk adds.
	writeChunk(chunk []byte, content string) error
	// writeEnd ends a complete answer.
	writeEnd(s summary)
	// writeProblem reports that the answer is incomplete or that there is none.
	writeProblem(p problem)
}

// summary holds the properties of a complete answer, as the last attempt reported them.
type summary struct {
	model        string
	finishReason string
	usage        []byte
}

// eventStreamWriter writes an answer as server-sent events.
type eventStreamWriter struct {
	w             http.ResponseWriter
	id            string
	headerWritten bool
}

func (a *eventStreamWriter) writeHeader() {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
	header := a.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *eventStreamWriter) writeChunk(chunk []byte, _ string) error {
	a.writeHeader()
	return a.writeEvent(chunk)
}

// eventWriteTimeout limits the write of one event. A caller that reads more slowly loses its connection.
const eventWriteTimeout = 30 * time.Second

func (a *eventStreamWriter) writeEvent(data []byte) error {
	controller := http.NewResponseController(a.w)
	if err := controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(a.w, "data: "+string(data)+"\n\n"); err != nil {
		return err
	}
	return controller.Flush()
}

func (a *eventStreamWriter) writeEnd(summary) {
	a.writeHeader()
	a.writeLastEvent([]byte("[DONE]"))
}

// writeLastEvent writes the last event and clears the write deadline, as the connection may serve another request.
func (a *eventStreamWriter) writeLastEvent(data []byte) {
	_ = a.writeEvent(data)
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Time{})
}

func (a *eventStreamWriter) writeProblem(p problem) {
	if !a.headerWritten {
		p.write(a.w)
		return
	}
	a.writeLastEvent(p.encode())
}

// jsonWriter buffers an answer and writes it as one JSON object.
type jsonWriter struct {
	w    http.ResponseWriter
	id   string
	text strings.Builder
}

type wireCompletionResponse struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []wireChoice    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int         `json:"index"`
	Message      wireMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *jsonWriter) writeChunk(_ []byte, content string) error {
	a.text.WriteString(content)
	return nil
}

func (a *jsonWriter) writeEnd(s summary) {
	message := wireMessage{"assistant", a.text.String()}
	a.w.Header().Set(outcomeHeader, outcomeAnswered)
	writeJSON(a.w, wireCompletionResponse{
		ID:      a.id,
		Object:  "chat.completion",
		Model:   s.model,
		Choices: []wireChoice{{Message: message, FinishReason: s.finishReason}},
		Usage:   s.usage,
	})
}

func (a *jsonWriter) writeProblem(p problem) { p.write(a.w) }
