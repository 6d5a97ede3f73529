package target_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/io/target"
)

// A head or body whose framing contradicts itself or is cut is no answer, whatever parts of it can
// be read.
func TestCutFramingIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, text := range map[string]string{
		"folded length":               head + "Content-Length: 1\r\n 8\r\n\r\nthe target's bytes",
		"second length":               head + "Content-Length: 18\r\nContent-Length: 2\r\n\r\nthe target's bytes",
		"list of lengths":             head + "Content-Length: 18, 2\r\n\r\nthe target's bytes",
		"empty length":                head + "Content-Length: \r\n\r\nthe target's bytes",
		"cut header name":             head + "Content-Len\r\n\r\nthe target's bytes",
		"cut encoding":                head + "Transfer-Encoding: chun\r\n\r\n12\r\nthe target's bytes\r\n0\r\n\r\n",
		"two encodings":               head + "Transfer-Encoding: gzip, chunked\r\n\r\n12\r\nthe target's bytes\r\n0\r\n\r\n",
		"short body":                  head + "Content-Length: 18\r\n\r\nthe target's byte",
		"no body":                     head + "Content-Length: 18\r\n\r\n",
		"cut size of a chunk":         head + "Transfer-Encoding: chunked\r\n\r\n1",
		"cut size after a chunk":      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nth\r\n1",
		"no size":                     head + "Transfer-Encoding: chunked\r\n\r\n\r\n",
		"cut chunk":                   head + "Transfer-Encoding: chunked\r\n\r\n12\r\nthe target's",
		"chunk longer than its size":  head + "Transfer-Encoding: chunked\r\n\r\n2\r\nthe\r\n0\r\n\r\n",
		"end before the last chunk":   head + "Transfer-Encoding: chunked\r\n\r\n12\r\nthe target's bytes\r\n",
		"cut last chunk":              head + "Transfer-Encoding: chunked\r\n\r\n12\r\nthe target's bytes\r\n0",
		"end after the last chunk":    head + "Transfer-Encoding: chunked\r\n\r\n12\r\nthe target's bytes\r\n0\r\n",
		"cut trailer":                 head + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nthe target's bytes\r\n0\r\nX: y",
		"end after a trailer":         head + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nthe target's bytes\r\n0\r\nX: y\r\n",
		"length and chunks, cut":      head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nthe t",
		"length and chunks, as bytes": head + "Content-Length: 18\r\nTransfer-Encoding: chunked\r\n\r\nthe target's bytes",
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, []string{text})
			body, err := do(t, target.NewPool(), s.l.Addr().String(), "1")
			assert.Assert(t, err != nil, "%q", body)
			var notSent *target.NotSentError
			assert.Assert(t, !errors.As(err, &notSent), "%v", err)
		})
	}
}

// A response of HTTP/1.0 can't have chunks. One that states them contradicts itself, and the sizes
// of the chunks are no part of a body.
func TestChunksInHTTP10AreAnError(t *testing.T) {
	for _, fields := range []string{"", "X: " + strings.Repeat("x", 9000) + "\r\n"} {
		s := start(t, []string{"HTTP/1.0 200 OK\r\nId: 1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n12\r\nthe target's bytes\r\n0\r\n\r\n"})
		body, err := do(t, target.NewPool(), s.l.Addr().String(), "1")
		assert.Assert(t, err != nil, "%q", body)
	}
}

// A target that sends a short line and stays silent has failed at once.
func TestShortLineIsAnErrorAtOnce(t *testing.T) {
	for _, text := range []string{"ok\r\n", "HTTP\r\n", "HTTP/1.0\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, c) // until the caller closes
			_ = c.Close()
		}()
		began := time.Now()
		_, err = do(t, target.NewPool(), l.Addr().String(), "1")
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(began) < time.Second, "%q", text)
		_ = l.Close()
	}
}
