package transport

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// cutAnswer is an answer that breaks off at any byte.
type cutAnswer struct {
	name, method string
	interim      string // an informational answer before it
	status       string
	framing      string // the header that states its end
	body         string // as sent
	content      string // as read
	unframed     bool   // only the end of the connection ends the body
}

// cutAnswers are answers of which each beginning is tried.
var cutAnswers = []cutAnswer{
	{name: "with a length", status: "200 OK", framing: "Content-Length: 12\r\n", body: "id: 1\ndata\n\n", content: "id: 1\ndata\n\n"},
	{name: "in chunks", status: "200 OK", framing: "Transfer-Encoding: chunked\r\n", body: "6\r\nid: 1\n\r\n6\r\ndata\n\n\r\n0\r\n\r\n", content: "id: 1\ndata\n\n"},
	{
		name: "in chunks with a trailer", status: "200 OK", framing: "Trailer: X-End\r\nTransfer-Encoding: chunked\r\n",
		body: "3;x=y\r\nabc\r\n0\r\nX-End: a\r\n\r\n", content: "abc",
	},
	{name: "without a length", status: "200 OK", framing: "Connection: close\r\n", body: "id: 1\n\n", content: "id: 1\n\n", unframed: true},
	{name: "with an error", status: "503 Service Unavailable", framing: "Content-Length: 4\r\n", body: "busy", content: "busy"},
	{name: "with status 204", status: "204 No Content"},
	{name: "with status 304", status: "304 Not Modified", framing: "Content-Length: 12\r\n"},
	{name: "to HEAD", method: http.MethodHead, status: "200 OK", framing: "Content-Length: 12\r\n"},
	{
		name: "after an informational one", interim: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		status: "200 OK", framing: "Content-Length: 2\r\n", body: "ab", content: "ab",
	},
}

// head returns the head of the answer, which names the request and has a folded header.
func (a cutAnswer) head(lineEnd string) string {
	head := a.interim + "HTTP/1.1 " + a.status + "\r\n" + idHeader + ": r1\r\nX-Fold: a\r\n b\r\n" + a.framing + "\r\n"
	return strings.ReplaceAll(head, "\r\n", lineEnd)
}

// cuttingServer returns the address of a server that answers one request on each connection with a text, and the channel for these.
func cuttingServer(t *testing.T, isReset bool) (address string, texts chan<- string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	queue := make(chan string, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c)) // the client fails if it is incomplete
			write(c, <-queue)
			if isReset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().String(), queue
}

// readThroughPool sends a request over a Pool, and returns the body of the answer.
func readThroughPool(method, address string) (string, error) {
	var pool Pool
	request := RawRequest{Method: method, Target: "/", Host: "h", Header: http.Header{idHeader: {"r1"}}}
	exchange, _, err := pool.Do(context.Background(), address, true, request, func(h http.Header) Match {
		if h.Get(idHeader) != "r1" {
			return Unidentified
		}
		return Own
	})
	if err != nil {
		return "", err
	}
	defer exchange.Abort()
	body, err := io.ReadAll(exchange.Response.Body)
	return string(body), err
}

// readThroughTransport sends a request over the transport that New returns, and returns the body of the answer.
func readThroughTransport(method, address string) (string, error) {
	request, err := NewRequest(context.Background(), method, "http://"+address, nil)
	if err != nil {
		return "", err
	}
	roundTripper := NewWithoutKeepAlives()
	defer roundTripper.CloseIdleConnections()
	response, _, err := Send(roundTripper, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestAnswerCutAtAnyByte(t *testing.T) {
	clients := map[string]func(method, address string) (string, error){
		"pool": readThroughPool, "transport of net/http": readThroughTransport,
	}
	for name, read := range clients {
		for _, isReset := range []bool{false, true} {
			Convey(fmt.Sprintf("An answer that ends early is not complete, read through the %s, reset %v", name, isReset), t, func() {
				address, texts := cuttingServer(t, isReset)
				for _, answer := range cutAnswers {
					for _, lineEnd := range []string{"\r\n", "\n"} {
						So(takenAsWhole(answer, lineEnd, isReset, func(text string) (string, error) {
							texts <- text
							return read(cmp.Or(answer.method, http.MethodGet), address)
						}), ShouldBeEmpty)
					}
				}
			})
		}
	}
}

// takenAsWhole returns the beginnings of an answer that were read wrongly: as complete though they are not, or the other way round.
func takenAsWhole(answer cutAnswer, lineEnd string, isReset bool, read func(text string) (string, error)) (wrong []string) {
	head := answer.head(lineEnd)
	whole := head + answer.body
	for cut := range len(whole) + 1 {
		isWhole, content := cut == len(whole), answer.content
		if answer.unframed {
			isWhole, content = cut >= len(head) && !isReset, whole[min(len(head), cut):cut]
		}
		body, err := read(whole[:cut])
		isUnknown := isReset && isWhole // the reset may overtake the end
		if !isUnknown && isWhole != (err == nil) || err == nil && body != content {
			wrong = append(wrong, fmt.Sprintf("%s: %q: body %q, error %v", answer.name, whole[:cut], body, err))
		}
	}
	return wrong
}
