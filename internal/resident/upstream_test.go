package resident

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// slots is the number of calls that an upstream runs at once.
const slots = 64

// answer is what an upstream sends: a head, and chunks until the connection is closed. Without a chunk, the head is the whole answer.
type answer struct{ head, chunk string }

// stamped returns the head of an answer to the request with this id, without the headers that state its end.
func stamped(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\n", status, http.StatusText(status), id)
}

const (
	soundBody  = "id: 1\ndata: whole\n\n"
	pieceBytes = 64 << 10 // that an endless answer is written in
)

func soundAnswer(id string) answer {
	return answer{head: stamped(200, id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(soundBody), soundBody)}
}

// inChunks returns text as a body in chunks, without its end.
func inChunks(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// endlessAnswers are answers without an end, by the id of the request.
var endlessAnswers = map[string]func(id string) answer{
	"error in chunks": func(id string) answer {
		return answer{stamped(500, id) + "Transfer-Encoding: chunked\r\n\r\n", inChunks(letters)}
	},
	"error without a length": func(id string) answer { return answer{stamped(500, id) + "\r\n", letters} },
	"error of a terabyte": func(id string) answer {
		return answer{stamped(500, id) + "Content-Length: 1000000000000\r\n\r\n", letters}
	},
	"success in chunks": func(id string) answer {
		return answer{stamped(200, id) + "Transfer-Encoding: chunked\r\n\r\n", inChunks(letters)}
	},
	"success without a length": func(id string) answer { return answer{stamped(200, id) + "\r\n", letters} },
	"success of a terabyte": func(id string) answer {
		return answer{stamped(200, id) + "Content-Length: 1000000000000\r\n\r\n", letters}
	},
	"event of one line": func(id string) answer {
		return answer{stamped(200, id) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", letters}
	},
	"event of many lines": func(id string) answer {
		return answer{stamped(200, id) + "Content-Type: text/event-stream\r\n\r\nid: 1\n", "data: " + letters + "\n"}
	},
	"refusal": func(id string) answer {
		return answer{"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: " + id + "\r\n\r\n", letters}
	},
	"failure that is not forwarded": func(id string) answer { return answer{stamped(503, id) + "\r\n", letters} },
	"answer to another request":     func(string) answer { return answer{stamped(200, "other") + "\r\n", letters} },
	"head":                          func(id string) answer { return answer{stamped(200, id), "X-Field: " + letters[:100] + "\r\n"} },
	"extra bytes":                   func(id string) answer { return answer{soundAnswer(id).head, letters} },
}

var letters = string(bytes.Repeat([]byte("x"), 1000))

// upstream is a process of a plain service that writes its answers without net/http.
type upstream struct {
	address string
	answer  func(r *http.Request, id string) answer
}

// startUpstream starts an upstream of the plain service and registers it in the store.
func startUpstream(t testing.TB, store *standin.Store, id string, answer func(r *http.Request, id string) answer) {
	register(t, store, id, "desk", listen(t, answer))
}

// startEngine starts an engine without a replica and registers it in the store.
func startEngine(t testing.TB, store *standin.Store, id string, answer func(r *http.Request, id string) answer) {
	register(t, store, id, "engines", listen(t, answer))
}

func register(t testing.TB, store *standin.Store, id, service, address string) {
	entry := map[string]any{
		"born": time.Now().UnixMilli(), "phase": "both", "models": []any{}, "seq": 1, "service": service, "address": address,
		"zone": "z1", "version": "v1", "slots": slots, "state": "ready", "cold-left-ms": 0,
	}
	if service == "engines" {
		entry["domain"], entry["staged"] = "d1", []string{}
	}
	if err := store.Write("servers", id, entry); err != nil {
		t.Fatal(err)
	}
}

// listen starts an upstream and returns its address.
func listen(t testing.TB, answer func(r *http.Request, id string) answer) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{listener.Addr().String(), answer}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u.address
}

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !u.write(c, u.answer(r, r.Header.Get("X-Request-Id"))) {
			return
		}
	}
}

// write writes an answer and reports whether it ended.
func (u *upstream) write(c net.Conn, a answer) bool {
	if _, err := io.WriteString(c, a.head); err != nil {
		return false
	}
	if a.chunk == "" {
		return true
	}
	piece := bytes.Repeat([]byte(a.chunk), pieceBytes/len(a.chunk))
	for {
		if _, err := c.Write(piece); err != nil {
			return false
		}
	}
}
