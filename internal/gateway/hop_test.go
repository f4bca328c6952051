package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	hop "github.com/azurepond/azurepond/internal/relay"
	"github.com/azurepond/azurepond/internal/transport"
)

// hopAnswer is an answer of a peer up to its body, and the rest of it.
func hopAnswer(body, trailer string) (head, rest string) {
	head = "HTTP/1.1 200 OK\r\nAzurepond-Outcome: answered\r\nTrailer: Azurepond-Failure\r\nTransfer-Encoding: chunked\r\n\r\n"
	return head, fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// resetReader fails as a connection that is reset.
type resetReader struct{}

func (resetReader) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

// readHop reads an answer of a peer, as a stream or as a whole.
func readHop(text string, end io.Reader, isStream bool) error {
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(text), end)), nil)
	if err != nil {
		panic(err)
	}
	hop.Unwrap(response)
	e := &exchange{daemon: &Daemon{}, headSent: true, writer: httptest.NewRecorder()}
	if isStream {
		return e.relay(&transport.Exchange{Response: response}, func(bool) {}, func(bool) {})
	}
	_, _, err = e.readAnswer(response.Body)
	return err
}

func TestPeerLostAtAnyByte(t *testing.T) {
	small := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	large := "data: " + strings.Repeat("x", answerChunkBytes-len("data: \n\n")) + "\n\n" // read in one piece
	Convey("The peer is to blame for an answer that breaks off at any byte, also in its trailer", t, func() {
		var wrong []string
		for _, body := range []string{small, large} {
			for _, trailer := range []string{"", "Azurepond-Failure: incomplete\r\n"} {
				head, rest := hopAnswer(body, trailer)
				for cut := range len(rest) {
					if cut > 16 && len(rest)-cut > 64 {
						continue // the middle of a large body
					}
					for name, end := range map[string]io.Reader{"closed": strings.NewReader(""), "reset": resetReader{}} {
						for _, isStream := range []bool{false, true} {
							err := readHop(head+rest[:cut], end, isStream)
							if err == nil || !hop.IsLost(err) {
								wrong = append(wrong, fmt.Sprintf("%q %s stream=%t: %v", rest[max(cut-10, 0):cut], name, isStream, err))
							}
						}
					}
				}
			}
		}
		So(wrong, ShouldBeEmpty)
	})

	Convey("The upstream is to blame for an answer whose trailer says so, and for events that are malformed", t, func() {
		for _, body := range []string{small, large} {
			head, rest := hopAnswer(body, "Azurepond-Failure: incomplete\r\n")
			for _, isStream := range []bool{false, true} {
				err := readHop(head+rest, strings.NewReader(""), isStream)
				So(err, ShouldNotBeNil)
				So(hop.IsLost(err), ShouldBeFalse)
			}
		}
		for _, body := range []string{"id: 1\ndata: a", "{}\n\n", "id: 2\ndata: a\n\nid: 4\ndata: b\n\n"} {
			head, rest := hopAnswer(body, "")
			err := readHop(head+rest, strings.NewReader(""), true)
			So(err, ShouldNotBeNil)
			So(hop.IsLost(err), ShouldBeFalse)
		}
	})

	Convey("A whole answer has no error", t, func() {
		for _, body := range []string{small, large} {
			head, rest := hopAnswer(body, "")
			for _, isStream := range []bool{false, true} {
				err := readHop(head+rest, strings.NewReader(""), isStream)
				So(err, ShouldBeNil)
			}
		}
	})
}
