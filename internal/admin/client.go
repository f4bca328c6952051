package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
)

// clientTimeout bounds one request to one entry. It exceeds the time that an entry takes to process a change.
const clientTimeout = 20 * time.Second

// Client calls the administration API of the first of several entries that answers.
type Client struct {
	entries    []string
	token      string
	scheme     string
	httpClient http.Client
}

// NewClient returns a client that tries entries (addresses with ports) in order and authenticates with token.
func NewClient(entries []string, token string) *Client {
	return &Client{entries: entries, token: token, scheme: "http", httpClient: http.Client{Timeout: clientTimeout}}
}

// WithRootCAs returns a copy of the client that uses HTTPS and trusts the root certificates in authority (PEM).
func (c *Client) WithRootCAs(authority []byte) (*Client, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, trace.BadParameter("the authority holds no certificate in PEM form")
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &Client{
		entries: c.entries, token: c.token, scheme: "https",
		httpClient: http.Client{Timeout: clientTimeout, Transport: transport},
	}, nil
}

// entryResponse is the response of one entry to one request.
type entryResponse struct {
	status int
	data   []byte
}

// Configuration returns the configuration in force for team. If team is empty, the team of the token applies.
func (c *Client) Configuration(ctx context.Context, team string) (operator.Config, error) {
	data, err := c.read(ctx, "/v1/configuration?"+url.Values{"team": {team}}.Encode())
	if err != nil {
		return operator.Config{}, err
	}
	return operator.ParseConfigJSON(data)
}

// Status returns the status from the first entry that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, err := c.read(ctx, "/v1/status")
	if err != nil {
		return Status{}, err
	}
	return ParseStatus(data)
}

// StatusOf returns the status from the entry called name, or from the first entry that answers if that one does not.
func (c *Client) StatusOf(ctx context.Context, name string) (Status, error) {
	if name == "" {
		return c.Status(ctx)
	}
	var first *Status
	lastErr := unreachableError(nil)
	for _, entry := range c.entries {
		single := *c
		single.entries = []string{entry}
		status, err := single.Status(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		if status.entry == name {
			return status, nil
		}
		if first == nil {
			first = &status
		}
	}
	if first == nil {
		return Status{}, lastErr
	}
	return *first, nil
}

// Dump returns the state of one part of the daemon as JSON, or of all parts if part is empty.
func (c *Client) Dump(ctx context.Context, part string) ([]byte, error) {
	return c.read(ctx, "/v1/dump?"+url.Values{"part": {part}}.Encode())
}

// Metrics returns the metrics of the first entry that answers, as JSON.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) { return c.read(ctx, "/v1/metrics") }

// MetricsText returns the metrics of the first entry that answers, in the text format.
func (c *Client) MetricsText(ctx context.Context) ([]byte, error) { return c.read(ctx, "/metrics") }

// IdempotencyKey identifies a change across the fleet. isRetry reports that the change was sent under this key before.
type IdempotencyKey struct {
	text    string
	isRetry bool
}

// NewIdempotencyKey returns the key of a change. isRetry marks a change that was sent before.
func NewIdempotencyKey(text string, isRetry bool) IdempotencyKey {
	return IdempotencyKey{text, isRetry}
}

// String returns the key as sent in the request header.
func (k IdempotencyKey) String() string { return k.text }

// Apply requests that config replace the configuration of its team, under key.
func (c *Client) Apply(ctx context.Context, key IdempotencyKey, config operator.Config) (operator.Outcome, error) {
	return c.change(ctx, http.MethodPut, "/v1/configuration", key, config.JSON())
}

// Plan requests a planned action, under key.
func (c *Client) Plan(ctx context.Context, key IdempotencyKey, action operator.Action) (operator.Outcome, error) {
	body := mustJSON(map[string]string{
		"verb": string(action.Verb()), "kind": string(action.Kind()), "target": action.Target(),
	})
	return c.change(ctx, http.MethodPost, "/v1/actions", key, body)
}

// History requests the changes of the team that the store keeps, under key.
func (c *Client) History(ctx context.Context, key IdempotencyKey) (operator.Outcome, error) {
	return c.change(ctx, http.MethodGet, "/v1/history", key, nil)
}

// change sends a request that has an outcome to one entry after another. Retries are safe, as all carry the same key.
func (c *Client) change(ctx context.Context, method, path string, key IdempotencyKey, body []byte,
) (operator.Outcome, error) {
	maybeSent := false
	var lastOutcome operator.Outcome
	var lastErr error
	for _, entry := range c.entries {
		response, err := c.send(ctx, entry, method, path, key, body)
		if err != nil {
			maybeSent = maybeSent || !isConnectError(err)
			key.isRetry = key.isRetry || maybeSent
			lastErr = err
			continue
		}
		if response.status == http.StatusUnauthorized {
			return nil, errUnauthorized
		}
		outcome, err := ParseOutcome(response.data)
		if err != nil {
			return nil, trace.Wrap(err, "entry %s answered with status %d", entry, response.status)
		}
		lastOutcome = outcome
		key.isRetry = true
		if _, isUnknown := outcome.(operator.Unknown); !isUnknown {
			return outcome, nil
		}
	}
	if lastOutcome != nil {
		return lastOutcome, nil
	}
	if maybeSent {
		return operator.NewUnknown("no entry answered: " + lastErr.Error()), nil
	}
	return nil, unreachableError(lastErr)
}

var errUnauthorized = trace.AccessDenied("the token is not known there; set AZUREPOND_TOKEN to a valid one")

func unreachableError(cause error) error {
	if cause == nil {
		return trace.BadParameter("no entry is given; set AZUREPOND_ENTRY to the operator address of one or more")
	}
	return trace.ConnectionProblem(cause, "no entry can be reached: %v", cause)
}

// isConnectError reports whether err means that no trusted connection was established, so that no request was sent.
func isConnectError(err error) bool {
	var operation *net.OpError
	var verification *tls.CertificateVerificationError
	return errors.As(err, &verification) || errors.As(err, &operation) && operation.Op == "dial"
}

// read returns the response body of the first entry that answers.
func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	var lastErr error
	for _, entry := range c.entries {
		response, err := c.send(ctx, entry, http.MethodGet, path, IdempotencyKey{}, nil)
		if err != nil {
			lastErr = err
			continue
		}
		switch response.status {
		case http.StatusOK:
			return response.data, nil
		case http.StatusUnauthorized:
			return nil, errUnauthorized
		}
		return nil, responseError(response)
	}
	return nil, unreachableError(lastErr)
}

// responseError returns the first mistake that the entry reports for a request, or the response status.
func responseError(response entryResponse) error {
	outcome, err := ParseOutcome(response.data)
	if refused, ok := outcome.(operator.Refused); ok && err == nil && len(refused.Mistakes()) > 0 {
		return trace.BadParameter("%s", refused.Mistakes()[0].String())
	}
	return trace.BadParameter("the entry answered with status %d", response.status)
}

func (c *Client) send(ctx context.Context, entry, method, path string, key IdempotencyKey, body []byte,
) (entryResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return entryResponse{}, trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if key.text != "" {
		request.Header.Set(IdempotencyKeyHeader, key.text)
		request.Header.Set(RetryHeader, strconv.FormatBool(key.isRetry))
	}
	httpResponse, err := c.httpClient.Do(request)
	if err != nil {
		return entryResponse{}, trace.Wrap(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return entryResponse{}, trace.Wrap(err)
	}
	return entryResponse{httpResponse.StatusCode, data}, nil
}
