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

func (r *rig) client(key string) *openai.Client {
	config := openai.DefaultConfig(key)
	config.BaseURL = r.url + "/v1"
	return openai.NewClientWithConfig(config)
}

func (r *rig) ask(tokens int) openai.ChatCompletionRequest {
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

func TestPublishedClient(t *testing.T) {
	Convey("Given a published client of the chat completions shape", t, func() {
		r := newRig(t)
		ctx := context.Background()
		client := r.client(testKey)
		whole, err := client.CreateChatCompletion(ctx, r.ask(20))
		So(err, ShouldBeNil)
		text := whole.Choices[0].Message.Content

		Convey("A whole answer has its text, its finish and its count", func() {
			So(len(strings.Fields(text)), ShouldEqual, 20)
			So(string(whole.Choices[0].FinishReason), ShouldEqual, "stop")
			So(whole.Usage.CompletionTokens, ShouldEqual, 20)
		})

		Convey("A stream carries the same answer", func() {
			stream, err := client.CreateChatCompletionStream(ctx, r.ask(20))
			So(err, ShouldBeNil)
			streamed, tokens, err := collect(stream)
			So(err, ShouldBeNil)
			So(tokens, ShouldEqual, 20)
			So(streamed, ShouldEqual, text)
		})

		Convey("A stream that breaks is resumed elsewhere without a token lost or doubled", func() {
			faults := map[string]func(*standin.Engine){
				"broken":  func(e *standin.Engine) { e.NextAborted(7) },
				"short":   func(e *standin.Engine) { e.NextTruncated(7) },
				"crossed": func(e *standin.Engine) { e.NextMismatched(7) },
				"doubled": func(e *standin.Engine) { e.NextDuplicated(7) },
			}
			for name, bring := range faults {
				r := newRig(t)
				client := r.client(testKey)
				bring(r.engines[0])
				for range callsUntilFault {
					stream, err := client.CreateChatCompletionStream(ctx, r.ask(20))
					So(err, ShouldBeNil)
					streamed, _, err := collect(stream)
					So(name+errorText(err), ShouldEqual, name)
					So(streamed, ShouldEqual, text)
				}
				So(r.sent(), ShouldEqual, callsUntilFault+1)
			}
		})

		Convey("A cancelled stream reaches the engine and frees the call", func() {
			gate := standin.NewGate()
			r.engines[0].NextBlocked(3, gate)
			r.engines[2].NextBlocked(3, gate)
			ctx, cancel := context.WithCancel(ctx)
			stream, err := client.CreateChatCompletionStream(ctx, r.ask(20))
			So(err, ShouldBeNil)
			<-gate.Reached()
			cancel()
			_ = stream.Close()
			<-r.engines[0].Idle()
			<-r.engines[2].Idle()
		})

		Convey("An unknown model is a typed error", func() {
			wanted := r.ask(5)
			wanted.Model = "none"
			_, err := client.CreateChatCompletion(ctx, wanted)
			var typed *openai.APIError
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.HTTPStatusCode, ShouldEqual, http.StatusNotFound)
			So(typed.Code, ShouldEqual, "target")
			So(typed.Type, ShouldEqual, "not-run")
		})

		Convey("A wrong key is a typed error", func() {
			_, err := r.client("other").CreateChatCompletion(ctx, r.ask(5))
			var typed *openai.APIError
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.HTTPStatusCode, ShouldEqual, http.StatusUnauthorized)
		})
	})
}

// callsUntilFault is enough calls for each of two replicas to get one.
const callsUntilFault = 8

// sent returns how many attempts were made so far.
func (r *rig) sent() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.attempts
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestBadInput(t *testing.T) {
	Convey("Bad input gets a clear error, and the daemon goes on", t, func() {
		r := newRig(t)
		inputs := []struct {
			method, path, header, body string
			status                     int
			message                    string
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
			request, err := http.NewRequest(input.method, r.url+input.path, strings.NewReader(input.body))
			So(err, ShouldBeNil)
			request.Header.Set("Authorization", "Bearer "+testKey)
			if input.header != "" {
				request.Header.Set(timeoutHeader, input.header)
			}
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			data, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, input.message)
			So(response.StatusCode, ShouldEqual, input.status)
		}
		_, err := r.client(testKey).CreateChatCompletion(context.Background(), r.ask(3))
		So(err, ShouldBeNil)
	})
}
