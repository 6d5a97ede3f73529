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
