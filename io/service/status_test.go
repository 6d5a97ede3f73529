package service

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A status that ends no response must not be passed on, since a server cannot send it: the
// caller's connection would end without an answer.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nno")
		}()
		_, err = NewClient("http://"+l.Addr().String()).Call(t.Context(), Request{Method: http.MethodPost, Path: "/"})
		assert.Assert(t, errors.Is(err, ErrNoResponse), "%s: %v", status, err)
		assert.NilError(t, l.Close())
	}
}

// Nothing of a response with a malformed head is passed on: its type could hold another field, and its
// body could have another length or be that of an encoding. The call may have run.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, answer := range map[string]string{
		"blank in a name":            "HTTP/1.1 200 OK\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno",
		"blank, unframed":            "HTTP/1.1 200 OK\r\nBad : v\r\n\r\nno",
		"length with a blank":        "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nnine byte",
		"encoding with a blank":      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"continued type":             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n Bad: v\r\nContent-Length: 2\r\n\r\nno",
		"continued type, with a tab": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\tBad: v\r\nContent-Length: 2\r\n\r\nno",
		"interim response":           "HTTP/1.1 103 X\r\nBad Name: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"after an interim response":  "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nBad Name: v\r\nContent-Length: 2\r\n\r\nno",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"control character":          "HTTP/1.1 200 OK\r\nBad\x01Name: v\r\nContent-Length: 2\r\n\r\nno",
		"tab in a name":              "HTTP/1.1 200 OK\r\nBad\tName: v\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(serveEarly(t, answer, func(*net.TCPConn) {}))
			resp, err := c.Call(t.Context(), Request{Method: http.MethodGet, Path: "/"})
			assert.Assert(t, errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrNotSent), "%+v %v", resp, err)
		})
	}
}
