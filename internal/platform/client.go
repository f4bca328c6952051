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

	defaultTimeout = 5 * time.Second

	// maxAnswer is the largest answer about one object, in bytes: the value and room for what surrounds it.
	maxAnswer = object.MaxValueBytes + 64<<10
	// maxList is the largest instance list, in bytes.
	maxList = 8 << 20
)

// Client speaks to one platform.
type Client struct {
	base    string
	timeout time.Duration
	token   string
	by      http.RoundTripper
}

// New returns a client of the platform at base (a URL without path), which gives up on an answer after timeout, 0 for
// the default, and shows token as its bearer token unless token is empty.
func New(base string, timeout time.Duration, token string) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, token: token, by: transport.New()}
}

// errTooLarge says that an answer exceeds what may be read.
var errTooLarge = errors.New("the answer is too large")

// exchange is what one call to the platform came to: an answer, or an error and whether the call may have got through.
type exchange struct {
	status int
	body   []byte
	sent   bool
	err    error
}

// call makes one call and reads its whole answer, of limit bytes at most.
func (c *Client) call(ctx context.Context, method, path string, body []byte, limit int64) exchange {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return exchange{err: err}
	}
	response, sent, err := transport.Send(c.by, request)
	if err != nil {
		return exchange{sent: sent, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(read)) > limit {
		err = errTooLarge
	}
	return exchange{status: response.StatusCode, body: read, sent: true, err: err}
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := transport.NewRequest(ctx, method, c.base+path, body)
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

// reason describes an exchange that did not succeed.
func (e exchange) reason() string {
	if e.err != nil {
		return e.err.Error()
	}
	return fmt.Sprintf("status %d", e.status)
}
