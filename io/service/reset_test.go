package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// serveEarly answers each call once its head has been read and returns the base of the service. What
// becomes of the connection is up to end.
func serveEarly(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, answer)
		end(c.(*net.TCPConn))
		_ = c.Close()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

// upload is a call that the sockets do not hold.
var upload = Request{Method: http.MethodPost, Path: "/", Body: []byte(strings.Repeat("x", 3<<20))}

// A service answers a long call without a length, sends a part of the body and resets the connection
// while the call is being written. The part is no response, and the call may have run.
func TestUnframedResponseResetDuringCall(t *testing.T) {
	c := NewClient(serveEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) }))
	for n := range 500 {
		resp, err := c.Call(t.Context(), upload)
		assert.Assert(t, errors.Is(err, ErrNoResponse), "call %d: %d %q", n, resp.Status, resp.Body)
		assert.Assert(t, !errors.Is(err, ErrNotSent))
	}
}

// A service may end its response and read the rest of the call afterwards.
func TestUnframedResponseBeforeTheCallIsRead(t *testing.T) {
	c := NewClient(serveEarly(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}))
	for range 50 {
		resp, err := c.Call(t.Context(), upload)
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "whole")
		assert.Assert(t, resp.Unframed)
	}
}
