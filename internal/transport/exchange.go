package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/quantity"
)

// RawRequest is a request that is written to a connection without net/http.
type RawRequest struct {
	Method string
	Target string // path and query as received, not encoded again
	Host   string
	Header http.Header
	Body   []byte
}

// maxInlineBodyBytes limits the bodies that are written before the response is read. They fit into any socket buffer.
const maxInlineBodyBytes = 16 << 10

// maxSkippedBodyBytes limits the body of an answer that belongs to another request. After a longer one, the connection is useless.
const maxSkippedBodyBytes = 1 << 20

// maxResponsesPerRequest limits the responses that are read for one request. Informational responses and responses to
// earlier requests are skipped.
const maxResponsesPerRequest = 3

// ErrResponseMismatch says that the connection only delivered responses to other requests.
var ErrResponseMismatch = errors.New("the responses on the connection belong to other requests")

// ErrUnidentified says that a response that names no request arrived on a connection with an earlier one, so that it may be a second copy.
var ErrUnidentified = errors.New("the response names no request on a connection that was used before")

// Match is how an answer relates to a request.
type Match uint8

// The matches of an answer.
const (
	// Foreign means that the answer belongs to another request.
	Foreign Match = iota
	// Unidentified means that the answer names no request. It is accepted only as the first answer on its connection, which is not used
	// again: a later copy of it could not be told from the answer to the next request.
	Unidentified
	// Own means that the answer belongs to the request.
	Own
)

// Exchange is a request that was sent and its response. The caller of Pool.Do reads the body of the response, and then
// calls Close or Abort.
type Exchange struct {
	Response   *http.Response
	conn       *Conn
	written    chan error
	match      Match
	stopCancel func() bool
}

// Do sends a request over a connection to address and returns the first response that is not Foreign by match. If err is not
// nil, sent reports whether any byte may have left this process. When ctx ends, the connection is closed. A request whose answers are
// Unidentified needs forceNew.
func (p *Pool) Do(ctx context.Context, address string, forceNew bool, request RawRequest, match func(http.Header) Match) (
	exchange *Exchange, sent bool, err error,
) {
	conn, err := p.Get(ctx, address, forceNew)
	if err != nil {
		return nil, false, err
	}
	e := &Exchange{conn: conn, written: make(chan error, 1)}
	e.stopCancel = context.AfterFunc(ctx, conn.discard)
	if err := conn.SetDeadline(time.Time{}); err != nil {
		e.Abort()
		return nil, false, err
	}
	if sent, err = e.write(request); err != nil {
		e.Abort()
		return nil, sent, err
	}
	if err := e.awaitResponse(request.Method, match); err != nil {
		e.Abort()
		return nil, true, err
	}
	return e, true, nil
}

// write sends the request. A long body is written while the response is read.
func (e *Exchange) write(request RawRequest) (sent bool, err error) {
	head := encodeHead(request)
	if len(request.Body) <= maxInlineBodyBytes {
		head.Write(request.Body)
		n, err := e.conn.Write(head.Bytes())
		e.written <- err
		return n > 0, err
	}
	if n, err := e.conn.Write(head.Bytes()); err != nil {
		return n > 0, err
	}
	go func() {
		_, err := e.conn.Write(request.Body)
		e.written <- err
	}()
	return true, nil
}

func encodeHead(request RawRequest) *bytes.Buffer {
	var b bytes.Buffer
	b.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			b.WriteString(name + ": " + replaceLineBreaks(value) + "\r\n")
		}
	}
	if len(request.Body) > 0 || !bodyless(request.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

// replaceLineBreaks replaces line breaks by spaces, so that a value cannot add headers.
func replaceLineBreaks(value string) string {
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(value)
}

// awaitResponse reads responses until one is not Foreign. One that is Unidentified must be the first on the connection.
func (e *Exchange) awaitResponse(method string, match func(http.Header) Match) error {
	e.conn.limitHead()
	defer e.conn.unlimitHead()
	for range maxResponsesPerRequest {
		if err := e.conn.checkHead(); err != nil {
			return err
		}
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		isFirst := !e.conn.hasAnswered
		e.conn.hasAnswered = true
		switch e.match = match(response.Header); {
		case e.match == Unidentified && !isFirst:
			return ErrUnidentified
		case e.match != Foreign:
			e.Response = response
			return nil
		}
		if err := e.skipBody(response.Body); err != nil {
			return err
		}
	}
	return ErrResponseMismatch
}

// skipBody reads the body of an answer that belongs to another request.
func (e *Exchange) skipBody(body io.Reader) error {
	e.conn.unlimitHead()
	defer e.conn.limitHead()
	skipped, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBodyBytes+1))
	if err == nil && skipped > maxSkippedBodyBytes {
		return fmt.Errorf("%w: a body exceeds %d bytes", ErrResponseMismatch, maxSkippedBodyBytes)
	}
	return err
}

// IsNewConnection reports whether the connection of the exchange was opened for it.
func (e *Exchange) IsNewConnection() bool { return !e.conn.isReused }

// Drain ends an exchange whose answer is not needed. The connection is kept if the body ends within limit bytes and wait.
func (e *Exchange) Drain(limit int64, wait time.Duration) {
	if err := e.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		e.Abort()
		return
	}
	read, err := io.Copy(io.Discard, io.LimitReader(e.Response.Body, limit+1))
	if err != nil || read > limit || e.conn.SetReadDeadline(time.Time{}) != nil {
		e.Abort()
		return
	}
	e.Close()
}

// Close ends an exchange whose response was read completely, and keeps the connection if it is reusable.
func (e *Exchange) Close() {
	if !e.stopCancel() || !e.reusable() {
		e.conn.discard()
		return
	}
	e.conn.idleDeadline = time.Now().Add(idleTimeoutOf(e.Response.Header.Get("Keep-Alive")))
	e.conn.pool.putIdle(e.conn)
}

func (e *Exchange) reusable() bool {
	select {
	case err := <-e.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	r := e.Response
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return e.match == Own && framed && !r.Close && e.conn.reader.Buffered() == 0 && !e.conn.hasLargeHead
}

// Abort ends an exchange and closes its connection.
func (e *Exchange) Abort() {
	e.stopCancel()
	e.conn.discard()
}

// idleTimeoutOf returns how long a connection may be kept, given the server's Keep-Alive header ("timeout=5").
func idleTimeoutOf(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.Trim(value, `"`)); err == nil {
			return quantity.Seconds(float64(seconds)) - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
