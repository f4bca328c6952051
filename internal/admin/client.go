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

// clientTimeout bounds one request to one entry; it is longer than an entry works on a change.
const clientTimeout = 20 * time.Second

// Client speaks to the administration API of any of several entries.
type Client struct {
	entries []string
	token   string
	scheme  string
	http    http.Client
}

// NewClient returns a client that tries entries (addresses with ports) in order, with token.
func NewClient(entries []string, token string) *Client {
	return &Client{entries: entries, token: token, scheme: "http", http: http.Client{Timeout: clientTimeout}}
}

// WithRootCAs returns the client as one that speaks HTTPS, and trusts certificates signed by those in authority (PEM).
func (c *Client) WithRootCAs(authority []byte) (*Client, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, trace.BadParameter("the authority holds no certificate in PEM form")
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &Client{
		entries: c.entries, token: c.token, scheme: "https",
		http: http.Client{Timeout: clientTimeout, Transport: transport},
	}, nil
}

// response is what one entry answered.
type response struct {
	status int
	data   []byte
}

// Configuration returns the configuration that is in force for team; an empty team is that of the token.
func (c *Client) Configuration(ctx context.Context, team string) (operator.Config, error) {
	data, err := c.read(ctx, "/v1/configuration?"+url.Values{"team": {team}}.Encode())
	if err != nil {
		return operator.Config{}, err
	}
	return operator.ParseConfigJSON(data)
}

// Status returns the status that the first entry to answer gives.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, err := c.read(ctx, "/v1/status")
	if err != nil {
		return Status{}, err
	}
	return ParseStatus(data)
}

// StatusOf returns the status that the entry called name gives, or else that of the first entry to answer.
func (c *Client) StatusOf(ctx context.Context, name string) (Status, error) {
	if name == "" {
		return c.Status(ctx)
	}
	var first *Status
	problem := unreachable(nil)
	for _, entry := range c.entries {
		one := *c
		one.entries = []string{entry}
		status, err := one.Status(ctx)
		if err != nil {
			problem = err
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
		return Status{}, problem
	}
	return *first, nil
}

// Dump returns the state of one part of the daemon, or all of it when part is empty, as JSON.
func (c *Client) Dump(ctx context.Context, part string) ([]byte, error) {
	return c.read(ctx, "/v1/dump?"+url.Values{"part": {part}}.Encode())
}

// Metrics returns the metrics of the first entry to answer, as JSON.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) { return c.read(ctx, "/v1/metrics") }

// MetricsText returns the metrics of the first entry to answer, in the text form.
func (c *Client) MetricsText(ctx context.Context) ([]byte, error) { return c.read(ctx, "/metrics") }

// IdempotencyKey names a change across the fleet; again says that the change was sent under it before.
type IdempotencyKey struct {
	text    string
	isRetry bool
}

// NewIdempotencyKey returns the key text of a change, which was sent before if again.
func NewIdempotencyKey(text string, again bool) IdempotencyKey { return IdempotencyKey{text, again} }

// String returns the key as it is sent.
func (k IdempotencyKey) String() string { return k.text }

// Apply asks that config replace its team's configuration, under key.
func (c *Client) Apply(ctx context.Context, key IdempotencyKey, config operator.Config) (operator.Outcome, error) {
	return c.change(ctx, http.MethodPut, "/v1/configuration", key, config.JSON())
}

// Plan asks for a planned action, under key.
func (c *Client) Plan(ctx context.Context, key IdempotencyKey, action operator.Action) (operator.Outcome, error) {
	body := mustJSON(map[string]string{
		"verb": string(action.Verb()), "kind": string(action.Kind()), "target": action.Target(),
	})
	return c.change(ctx, http.MethodPost, "/v1/actions", key, body)
}

// History asks what the store keeps of the team's changes, under key.
func (c *Client) History(ctx context.Context, key IdempotencyKey) (operator.Outcome, error) {
	return c.change(ctx, http.MethodGet, "/v1/history", key, nil)
}

// change sends a request with an outcome; since it carries its key, it is safe to send it to one entry after another.
func (c *Client) change(ctx context.Context, method, path string, key IdempotencyKey, body []byte) (operator.Outcome, error) {
	sent := false
	var last operator.Outcome
	var problem error
	for _, entry := range c.entries {
		got, err := c.send(ctx, entry, method, path, key, body)
		if err != nil {
			sent = sent || !isDial(err)
			key.isRetry = key.isRetry || sent
			problem = err
			continue
		}
		if got.status == http.StatusUnauthorized {
			return nil, errDenied
		}
		outcome, err := ParseOutcome(got.data)
		if err != nil {
			return nil, trace.Wrap(err, "entry %s answered with status %d", entry, got.status)
		}
		last = outcome
		key.isRetry = true
		if _, isUnknown := outcome.(operator.Unknown); !isUnknown {
			return outcome, nil
		}
	}
	if last != nil {
		return last, nil
	}
	if sent {
		return operator.NewUnknown("no entry answered: " + problem.Error()), nil
	}
	return nil, unreachable(problem)
}

var errDenied = trace.AccessDenied("the token is not known there; set AZUREPOND_TOKEN to a valid one")

func unreachable(problem error) error {
	if problem == nil {
		return trace.BadParameter("no entry is given; set AZUREPOND_ENTRY to the operator address of one or more")
	}
	return trace.ConnectionProblem(problem, "no entry can be reached: %v", problem)
}

// isDial reports whether err says that no trusted connection came about, so that nothing was sent.
func isDial(err error) bool {
	var operation *net.OpError
	var untrusted *tls.CertificateVerificationError
	return errors.As(err, &untrusted) || errors.As(err, &operation) && operation.Op == "dial"
}

// read returns the body of the first entry that answers.
func (c *Client) read(ctx context.Context, path string) ([]byte, error) {
	var problem error
	for _, entry := range c.entries {
		got, err := c.send(ctx, entry, http.MethodGet, path, IdempotencyKey{}, nil)
		if err != nil {
			problem = err
			continue
		}
		switch got.status {
		case http.StatusOK:
			return got.data, nil
		case http.StatusUnauthorized:
			return nil, errDenied
		}
		return nil, refusalError(got)
	}
	return nil, unreachable(problem)
}

// refusalError returns what the entry says is wrong with a request.
func refusalError(got response) error {
	outcome, err := ParseOutcome(got.data)
	if refused, ok := outcome.(operator.Refused); ok && err == nil && len(refused.Mistakes()) > 0 {
		return trace.BadParameter("%s", refused.Mistakes()[0].String())
	}
	return trace.BadParameter("the entry answered with status %d", got.status)
}

func (c *Client) send(ctx context.Context, entry, method, path string, key IdempotencyKey, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if key.text != "" {
		request.Header.Set(IdempotencyKeyHeader, key.text)
		request.Header.Set(RetryHeader, strconv.FormatBool(key.isRetry))
	}
	answered, err := c.http.Do(request)
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	defer func() { _ = answered.Body.Close() }()
	data, err := io.ReadAll(answered.Body)
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	return response{answered.StatusCode, data}, nil
}
