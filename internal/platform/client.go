package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/object"
)

const (
	objectsPath   = "/apis/azurepond.dev/v1/namespaces/default/"
	instancesPath = "/api/v1/nodes"

	// defaultTimeout limits one call, or the opening of a watch.
	defaultTimeout = 5 * time.Second

	// maxObjectBytes is the size limit of a response with one object: the value, and 64 KiB for its metadata.
	maxObjectBytes = object.MaxValueBytes + 64<<10
	// maxListBytes is the size limit of the instance list.
	maxListBytes = 8 << 20
)

// Client calls one platform.
type Client struct {
	base         string
	timeout      time.Duration
	token        string
	roundTripper http.RoundTripper
}

// New returns a client of the platform at base, a URL without a path. A call fails after timeout, 0 for the default. An
// empty token sends no bearer token.
func New(base string, timeout time.Duration, token string) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, token: token, roundTripper: transport.New()}
}

var errResponseTooLarge = errors.New("response exceeds the size limit")

// callResult is the response to one call, or an error.
type callResult struct {
	status int
	body   []byte
	sent   bool // whether any byte of the request may have been sent
	err    error
}

// call sends one request and reads the whole response, up to limit bytes.
func (c *Client) call(ctx context.Context, method, path string, body []byte, limit int64) callResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return callResult{err: err}
	}
	response, sent, err := transport.Send(c.roundTripper, request)
	if err != nil {
		return callResult{sent: sent, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errResponseTooLarge
	}
	return callResult{status: response.StatusCode, body: data, sent: true, err: err}
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := transport.NewRepeatableRequest(ctx, method, c.base+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Accept", "application/json")
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

func collectionPath(key object.Key) string { return objectsPath + url.PathEscape(key.Kind()) }

func objectPath(key object.Key) string { return collectionPath(key) + "/" + url.PathEscape(key.Name()) }

// reason describes a call that failed.
func (r callResult) reason() string {
	if r.err != nil {
		return r.err.Error()
	}
	return fmt.Sprintf("status %d", r.status)
}
