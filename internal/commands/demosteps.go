package commands

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/pkg/operator"
)

const demoPollInterval = 100 * time.Millisecond

// demoAnswerTokens is the length of the answer that the demo requests.
const demoAnswerTokens = 24

func applyConfiguration(ctx context.Context, f *demoFleet) (string, error) {
	config, err := operator.ParseConfig("demo", demoConfiguration(f.serviceAddress))
	if err != nil {
		return "", err
	}
	outcome, err := f.client.Apply(ctx, newIdempotencyKey(), config)
	if err != nil {
		return "", err
	}
	accepted, isAccepted := outcome.(operator.Accepted)
	if !isAccepted {
		return "", trace.CompareFailed("the outcome is %T", outcome)
	}
	return fmt.Sprintf("revision %d accepted", accepted.Revision()), nil
}

// waitForStatus polls the status of the first entry that answers until done holds.
func (f *demoFleet) waitForStatus(ctx context.Context, done func(admin.Status) bool) (admin.Status, error) {
	for {
		status, err := f.client.Status(ctx)
		if err == nil && done(status) {
			return status, nil
		}
		if err := sleep(ctx, demoPollInterval); err != nil {
			return status, trace.Wrap(err, "last seen: %s", describeReplicas(status))
		}
	}
}

func describeReplicas(status admin.Status) string {
	var parts []string
	for _, replica := range status.Replicas() {
		parts = append(parts, fmt.Sprintf("%s %s %s", replica.Name(), replica.State(), replica.Reason()))
	}
	return strings.Join(parts, ", ")
}

func countAvailable(status admin.Status) int {
	count := 0
	for _, replica := range status.Replicas() {
		if replica.State() == admin.StateAvailable {
			count++
		}
	}
	return count
}

func waitForReplicas(ctx context.Context, f *demoFleet) (string, error) {
	status, err := f.waitForStatus(ctx, func(s admin.Status) bool {
		return countAvailable(s) == 2 && len(s.Entries()) == demoEntries
	})
	if err != nil {
		return "", err
	}
	var parts []string
	for _, replica := range status.Replicas() {
		parts = append(parts, replica.Name()+" on "+strings.Join(replica.Instances(), "+"))
	}
	return strings.Join(parts, ", "), nil
}

func fetchAddresses(ctx context.Context, f *demoFleet) (string, error) {
	_, data, err := f.call(ctx, 0, http.MethodGet, "/v1/addresses", nil, nil)
	if err != nil {
		return "", err
	}
	var answer struct {
		Addresses []string `json:"addresses"`
		Lifetime  float64  `json:"lifetime"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return "", trace.Wrap(err)
	}
	if len(answer.Addresses) == 0 || answer.Lifetime <= 0 {
		return "", trace.CompareFailed("no addresses: %s", data)
	}
	return fmt.Sprintf("%s for %.0f s", strings.Join(answer.Addresses, ", "), answer.Lifetime), nil
}

// call sends one request of the demo's organisation to an entry and returns the response with its whole body.
func (f *demoFleet) call(ctx context.Context, entry int, method, path string, header http.Header, body []byte,
) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.callerAddresses[entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return response, data, trace.CompareFailed("%s: %s", response.Status, data)
	}
	return response, data, nil
}

// callWithRetry retries a request while the entry responds that it is unavailable and has not run the request.
func (f *demoFleet) callWithRetry(ctx context.Context, entry int, path string, header http.Header, body []byte,
) (*http.Response, []byte, error) {
	for {
		response, data, err := f.call(ctx, entry, http.MethodPost, path, header, body)
		if response == nil || response.StatusCode != http.StatusServiceUnavailable ||
			response.Header.Get("X-Call-Outcome") != "not-run" {
			return response, data, err
		}
		if err := sleep(ctx, demoPollInterval); err != nil {
			return response, data, err
		}
	}
}

func (f *demoFleet) stream(ctx context.Context, entry int) (text string, tokens int, err error) {
	body := fmt.Appendf(nil, `{"model":"drafts","stream":true,"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"Draft a note about a lost coat."}]}`, demoAnswerTokens)
	_, data, err := f.callWithRetry(ctx, entry, "/v1/chat/completions", nil, body)
	if err != nil {
		return "", 0, err
	}
	return parseStream(data)
}

// parseStream returns the text and the number of tokens of a complete stream.
func parseStream(data []byte) (text string, tokens int, err error) {
	var content strings.Builder
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		event, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if event == "[DONE]" {
			return content.String(), tokens, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			return "", 0, trace.Wrap(err)
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				content.WriteString(choice.Delta.Content)
				tokens++
			}
		}
	}
	return "", 0, trace.CompareFailed("the stream has no end mark")
}

func streamAnswer(ctx context.Context, f *demoFleet) (string, error) {
	text, tokens, err := f.stream(ctx, 0)
	if err != nil {
		return "", err
	}
	if tokens != demoAnswerTokens {
		return "", trace.CompareFailed("%d tokens instead of %d", tokens, demoAnswerTokens)
	}
	f.streamedText = text
	return fmt.Sprintf("%d tokens and the end mark", tokens), nil
}

// The path and body of the request that books a ticket.
const (
	ticketPath = "/services/tickets/tickets"
	ticketBody = `{"coat":"grey"}`
)

func (f *demoFleet) ticketHeader() http.Header { return http.Header{"Idempotency-Key": {f.ticketKey}} }

func (f *demoFleet) book(ctx context.Context, entry int) (*http.Response, []byte, error) {
	return f.callWithRetry(ctx, entry, ticketPath, f.ticketHeader(), []byte(ticketBody))
}

func bookTicket(ctx context.Context, f *demoFleet) (string, error) {
	f.ticketKey = uuid.Must(uuid.NewV7()).String()
	response, data, err := f.book(ctx, 0)
	if err != nil {
		return "", err
	}
	if runs := f.standIns.services[0].RunCount(f.ticketKey); runs != 1 {
		return "", trace.CompareFailed("the ticket was issued %d times", runs)
	}
	return fmt.Sprintf("%s: %s", response.Status, bytes.TrimSpace(data)), nil
}

func repeatBooking(ctx context.Context, f *demoFleet) (string, error) {
	response, data, err := f.book(ctx, 1)
	if response == nil {
		return "", err
	}
	if runs := f.standIns.services[0].RunCount(f.ticketKey); runs != 1 {
		return "", trace.CompareFailed("the ticket was issued %d times", runs)
	}
	return fmt.Sprintf("issued once; %s: %s", response.Status, bytes.TrimSpace(data)), nil
}

func drainReplica(ctx context.Context, f *demoFleet) (string, error) {
	status, err := f.client.Status(ctx)
	if err != nil {
		return "", err
	}
	name := status.Replicas()[0].Name()
	outcome, err := f.client.Plan(ctx, newIdempotencyKey(),
		operator.NewAction(operator.VerbDrain, operator.KindReplica, name))
	if err != nil {
		return "", err
	}
	accepted, isAccepted := outcome.(operator.Accepted)
	if !isAccepted {
		return "", trace.CompareFailed("the outcome is %T", outcome)
	}
	isDrained := targetDrained(operator.KindReplica, name, accepted.Revision())
	lastText := ""
	_, err = f.waitForStatus(ctx, func(s admin.Status) bool {
		done, text := isDrained(s)
		lastText = text
		return done
	})
	return lastText, err
}

func repeatStream(ctx context.Context, f *demoFleet) (string, error) {
	text, tokens, err := f.stream(ctx, 1)
	if err != nil {
		return "", err
	}
	if text != f.streamedText {
		return "", trace.CompareFailed("another answer than before")
	}
	return fmt.Sprintf("the same %d tokens, through the other entry", tokens), nil
}

func stopEntries(ctx context.Context, f *demoFleet) (string, error) {
	if err := f.stop(ctx); err != nil {
		return "", err
	}
	return "both ended by themselves", nil
}
