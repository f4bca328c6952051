package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sashabaranov/go-openai"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/standin"
)

func (h *harness) client(key string) *openai.Client {
	config := openai.DefaultConfig(key)
	config.BaseURL = h.url + "/v1"
	return openai.NewClientWithConfig(config)
}

func (h *harness) request(tokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:     "drafts",
		MaxTokens: tokens,
		Messages:  []openai.ChatCompletionMessage{{Role: "user", Content: "a grey coat"}},
	}
}

// collect reads a stream to its end.
func collect(stream *openai.ChatCompletionStream) (text string, tokens int, err error) {
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text, tokens, nil
		}
		if err != nil {
			return text, tokens, err
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				text += choice.Delta.Content
				tokens++
			}
		}
	}
}

func TestOpenAIClient(t *testing.T) {
	Convey("Given the go-openai client", t, func() {
		h := newHarness(t)
		ctx := context.Background()
		client := h.client(testKey)
		response, err := client.CreateChatCompletion(ctx, h.request(20))
		So(err, ShouldBeNil)
		text := response.Choices[0].Message.Content

		Convey("A JSON answer has the text, the finish reason and the token count", func() {
			So(len(strings.Fields(text)), ShouldEqual, 20)
			So(string(response.Choices[0].FinishReason), ShouldEqual, "stop")
			So(response.Usage.CompletionTokens, ShouldEqual, 20)
		})

		Convey("A stream carries the same answer", func() {
			stream, err := client.CreateChatCompletionStream(ctx, h.request(20))
			So(err, ShouldBeNil)
			streamed, tokens, err := collect(stream)
			So(err, ShouldBeNil)
			So(tokens, ShouldEqual, 20)
			So(streamed, ShouldEqual, text)
		})

		Convey("A broken stream is resumed at another replica without missing or duplicate tokens", func() {
			faults := map[string]func(*standin.Engine){
				"aborted":    func(e *standin.Engine) { e.NextAborted(7) },
				"truncated":  func(e *standin.Engine) { e.NextTruncated(7) },
				"mismatched": func(e *standin.Engine) { e.NextMismatched(7) },
				"duplicated": func(e *standin.Engine) { e.NextDuplicated(7) },
			}
			for name, inject := range faults {
				h := newHarness(t)
				client := h.client(testKey)
				inject(h.engines[0])
				for range callsPerFault {
					stream, err := client.CreateChatCompletionStream(ctx, h.request(20))
					So(err, ShouldBeNil)
					streamed, _, err := collect(stream)
					So(name+errorText(err), ShouldEqual, name)
					So(streamed, ShouldEqual, text)
				}
				So(h.sends(), ShouldEqual, callsPerFault+1)
			}
		})

		Convey("A cancelled stream is cancelled at the engine", func() {
			gate := standin.NewGate()
			h.engines[0].NextBlocked(3, gate)
			h.engines[2].NextBlocked(3, gate)
			ctx, cancel := context.WithCancel(ctx)
			stream, err := client.CreateChatCompletionStream(ctx, h.request(20))
			So(err, ShouldBeNil)
			<-gate.Reached()
			cancel()
			_ = stream.Close()
			<-h.engines[0].Idle()
			<-h.engines[2].Idle()
		})

		Convey("An unknown model is an API error with its code and type", func() {
			req := h.request(5)
			req.Model = "none"
			_, err := client.CreateChatCompletion(ctx, req)
			var apiErr *openai.APIError
			So(errors.As(err, &apiErr), ShouldBeTrue)
			So(apiErr.HTTPStatusCode, ShouldEqual, http.StatusNotFound)
			So(apiErr.Code, ShouldEqual, "target")
			So(apiErr.Type, ShouldEqual, "not-run")
		})

		Convey("A wrong API key is an API error", func() {
			_, err := h.client("other").CreateChatCompletion(ctx, h.request(5))
			var apiErr *openai.APIError
			So(errors.As(err, &apiErr), ShouldBeTrue)
			So(apiErr.HTTPStatusCode, ShouldEqual, http.StatusUnauthorized)
		})
	})
}

// callsPerFault is enough for each of two replicas to receive a call.
const callsPerFault = 8

// sends returns the number of attempts so far.
func (h *harness) sends() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.sendCount
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestBadInput(t *testing.T) {
	Convey("Bad input returns a specific error, and the server accepts further requests", t, func() {
		h := newHarness(t)
		inputs := []struct {
			method, path, timeout, body string
			status                      int
			message                     string
		}{
			{"POST", "/v1/chat/completions", "", `{`, 400, "unexpected end of JSON input"},
			{"POST", "/v1/chat/completions", "", `[]`, 400, "not a chat completion request"},
			{"POST", "/v1/chat/completions", "", `{"model":7}`, 400, "not a chat completion request"},
			{"POST", "/v1/chat/completions", "", `{}`, 400, `field \"model\" is missing`},
			{"POST", "/v1/chat/completions", "", `{"model":"drafts"}`, 400, `field \"messages\" must be a list`},
			{"POST", "/v1/chat/completions", "", `{"model":"drafts","messages":[]}`, 400, `field \"messages\"`},
			{"POST", "/v1/chat/completions", "", `{"model":"drafts","messages":[{}],"n":2}`, 400, `field \"n\" must be 1`},
			{"POST", "/v1/chat/completions", "", `{"model":"drafts","messages":[{}],"max_tokens":-1}`, 400, "must not be negative"},
			{"POST", "/v1/chat/completions", "", strings.Repeat("x", 5000), 413, "larger than 4096 bytes"},
			{"POST", "/v1/chat/completions", "x", `{"model":"drafts","messages":[{}]}`, 400, "X-Timeout-Ms must be a positive"},
			{"POST", "/v1/chat/completions", "-5", `{"model":"drafts","messages":[{}]}`, 400, "X-Timeout-Ms must be a positive"},
			{"GET", "/v1/chat/completions", "", ``, 404, "there is nothing at /v1/chat/completions"},
			{"GET", "/nowhere", "", ``, 404, "there is nothing at /nowhere"},
		}
		for _, input := range inputs {
			request, err := http.NewRequest(input.method, h.url+input.path, strings.NewReader(input.body))
			So(err, ShouldBeNil)
			request.Header.Set("Authorization", "Bearer "+testKey)
			if input.timeout != "" {
				request.Header.Set(timeoutHeader, input.timeout)
			}
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			data, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, input.message)
			So(response.StatusCode, ShouldEqual, input.status)
		}
		_, err := h.client(testKey).CreateChatCompletion(context.Background(), h.request(3))
		So(err, ShouldBeNil)
	})
}
