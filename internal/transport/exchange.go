package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RawRequest is a request as it goes over a connection.
type RawRequest struct {
	Method string
	Target string // as it came: path and query, not encoded again
	Host   string
	Header http.Header
	Body   []byte
}

// smallBody is the size up to which a body is written before the answer is read; it fits any socket buffer.
const smallBody = 16 << 10

// maxStrays is how many answers to earlier requests are passed over.
const maxStrays = 3

// ErrResponseMismatch says that the answers that came belong to other requests.
var ErrResponseMismatch = errors.New("the answers on the connection belong to other requests")

// Exchange is a request that was sent and the head of its answer.
type Exchange struct {
	Response *http.Response
	conn     *Conn
	written  chan error
	release  func() bool
}

// Do sends a message over a connection to address and returns the answer that mine accepts; if err is not nil, sent
// reports whether any byte may have left this process. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, address string, fresh bool, m RawRequest, mine func(http.Header) bool) (
	exchange *Exchange, sent bool, err error,
) {
	conn, err := p.Get(ctx, address, fresh)
	if err != nil {
		return nil, false, err
	}
	e := &Exchange{conn: conn, written: make(chan error, 1)}
	e.release = context.AfterFunc(ctx, conn.drop)
	if err := conn.SetDeadline(time.Time{}); err != nil {
		e.Abort()
		return nil, false, err
	}
	if sent, err = e.write(m); err != nil {
		e.Abort()
		return nil, sent, err
	}
	if err := e.await(m.Method, mine); err != nil {
		e.Abort()
		return nil, true, err
	}
	return e, true, nil
}

// write sends the message; a long body goes on beside the reading of the answer.
func (e *Exchange) write(m RawRequest) (sent bool, err error) {
	head := encodeHead(m)
	if len(m.Body) <= smallBody {
		head.Write(m.Body)
		n, err := e.conn.Write(head.Bytes())
		e.written <- err
		return n > 0, err
	}
	if n, err := e.conn.Write(head.Bytes()); err != nil {
		return n > 0, err
	}
	go func() {
		_, err := e.conn.Write(m.Body)
		e.written <- err
	}()
	return true, nil
}

func encodeHead(m RawRequest) *bytes.Buffer {
	var b bytes.Buffer
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	for name, values := range m.Header {
		for _, value := range values {
			b.WriteString(name + ": " + cleanValue(value) + "\r\n")
		}
	}
	if len(m.Body) > 0 || !bodyless(m.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

// cleanValue keeps a header value on its line.
func cleanValue(value string) string {
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(value)
}

// await reads answers until one belongs to this exchange.
func (e *Exchange) await(method string, mine func(http.Header) bool) error {
	for range maxStrays {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if mine(response.Header) {
			e.Response = response
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return ErrResponseMismatch
}

// Close ends an exchange whose answer was read whole, and keeps the connection if it can run another one.
func (e *Exchange) Close() {
	if !e.release() || !e.reusable() {
		e.conn.drop()
		return
	}
	e.conn.until = time.Now().Add(idleTime(e.Response.Header.Get("Keep-Alive")))
	e.conn.pool.put(e.conn)
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
	return framed && !r.Close && e.conn.reader.Buffered() == 0
}

// Abort ends an exchange at once.
func (e *Exchange) Abort() {
	e.release()
	e.conn.drop()
}

// idleTime returns how long a connection may be kept by what its server says ("timeout=5").
func idleTime(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.Trim(value, `"`)); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleDefault
}
