package upstream

import (
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/azurepond/azurepond/internal/transport"
)

// identity knows which upstreams name the requests in their answers, and numbers the requests that have no ID of their own. The zero value
// is ready to use.
type identity struct {
	known  sync.Map // the addresses of these upstreams
	lastID atomic.Uint64
}

// nextID returns the ID of a control request, which is unique on the connections of this client.
func (i *identity) nextID() string { return "control-" + strconv.FormatUint(i.lastID.Add(1), 10) }

// observe handles the ID in an answer of the upstream at address.
func (i *identity) observe(address, echoed string) {
	if echoed == "" {
		i.known.Delete(address)
		return
	}
	i.known.Store(address, true)
}

// send sends a request with an ID, and returns errIdentity for an answer that may belong to another one. Only one that mayRepeat uses a kept
// connection, and only if its upstream names the requests in its answers.
func (c *Client) send(request *http.Request, id string, mayRepeat bool) (response *http.Response, sent bool, err error) {
	request.Header.Set(requestIDHeader, id)
	roundTripper := c.unpooled
	if _, isKnown := c.identity.known.Load(request.URL.Host); isKnown && mayRepeat {
		roundTripper = c.pooled
	}
	isReused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isReused = info.Reused }}
	response, sent, err = transport.Send(roundTripper, request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		c.identity.known.Delete(request.URL.Host)
		return nil, sent, err
	}
	c.identity.observe(request.URL.Host, response.Header.Get(requestIDHeader))
	if !isAnswerTo(id, response, isReused) {
		_ = response.Body.Close() // it is not read
		return nil, true, errIdentity
	}
	return response, sent, nil
}

// isAnswerTo reports whether a response belongs to the request with this ID. One without an ID may be a second copy of an earlier response if
// its connection was used before.
func isAnswerTo(id string, response *http.Response, isReused bool) bool {
	echoed := response.Header.Get(requestIDHeader)
	return echoed == id || echoed == "" && !isReused
}
