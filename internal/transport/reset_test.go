package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// uploadBytes exceeds the socket buffers of both ends, so that a server which does not read holds up the write.
const uploadBytes = 8 << 20

// serveEarly accepts a connection, reads a part of the request, answers without a length, and ends the connection.
func serveEarly(listener net.Listener, end func(c *net.TCPConn)) {
	c, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = c.Read(make([]byte, 4<<10)) // the client fails if nothing arrives
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\n\r\npart"))
	end(c.(*net.TCPConn))
}

// uploadThroughPool sends an upload over a Pool, and returns the body of the answer.
func uploadThroughPool(address string) (string, error) {
	var pool Pool
	request := RawRequest{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes)}
	exchange, _, err := pool.Do(context.Background(), address, true, request, func(http.Header) Match { return Own })
	if err != nil {
		return "", err
	}
	defer exchange.Abort()
	body, err := io.ReadAll(exchange.Response.Body)
	return string(body), err
}

// uploadThroughTransport sends an upload over the transport that New returns, and returns the body of the answer.
func uploadThroughTransport(address string) (string, error) {
	request, err := NewRequest(context.Background(), http.MethodPost, "http://"+address, make([]byte, uploadBytes))
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

// This guards against a part of an answer that is taken as whole, since the write of the request took the error of the reset.
func TestResetDuringUpload(t *testing.T) {
	const tries = 25
	for name, upload := range map[string]func(address string) (string, error){
		"pool": uploadThroughPool, "transport of net/http": uploadThroughTransport,
	} {
		Convey("An answer without a length that is reset during the upload is not complete, read through the "+name, t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			wholes := 0
			for range tries {
				go serveEarly(listener, func(c *net.TCPConn) {
					_ = c.SetLinger(0)
					_ = c.Close()
				})
				if _, err := upload(listener.Addr().String()); err == nil {
					wholes++
				}
			}
			So(wholes, ShouldEqual, 0)
		})
	}

	Convey("An answer without a length that ends while the rest of the upload is read is complete", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		for range tries {
			go serveEarly(listener, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			})
			body, err := uploadThroughPool(listener.Addr().String())
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "part")
		}
	})

	Convey("The end of a connection that is closed is an error", t, func() {
		client, server := net.Pipe()
		So(endOfRead(client, io.EOF), ShouldEqual, io.EOF) // no socket
		So(errors.Join(client.Close(), server.Close()), ShouldBeNil)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		c, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		So(endOfRead(c, io.EOF), ShouldEqual, io.EOF)
		So(c.Close(), ShouldBeNil)
		So(endOfRead(c, io.EOF), ShouldEqual, errReset)
	})
}
