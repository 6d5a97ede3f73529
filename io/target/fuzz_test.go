package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// textConn is a connection on which a text arrives, followed by the end of the connection.
type textConn struct {
	net.Conn
	rd io.Reader
}

// Read implements net.Conn.
func (c *textConn) Read(p []byte) (int, error) { return c.rd.Read(p) }

// readText reads the response to request 1 from a connection on which a text arrives, and reports
// whether its body is framed.
func readText(text string) (body string, framed bool, err error) {
	c := &conn{Conn: &textConn{rd: strings.NewReader(text)}}
	c.rd = bufio.NewReaderSize(c, 4<<10)
	r := &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Match: func(_ int, h http.Header) Match {
		if h.Get("Id") == "1" {
			return MatchRequest
		}
		return MatchOther
	}}
	hr, err := newHTTPRequest(r)
	if err != nil {
		return "", false, err
	}
	resp := &Response{conn: c, writer: newRequestWriter(hr, io.Discard)}
	resp.writer.run()
	if err := resp.readHeader(hr, r); err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(resp.Body)
	return string(b), resp.Framed(), err
}

// FuzzCutResponse cuts responses after any byte. Only the complete one, or an unframed one whose
// head is complete, may be read without an error.
func FuzzCutResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for _, fields := range []string{"", "X: y\r\n z\r\n", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Trailer: A\r\n", "Content-Encoding: gzip\r\n"} {
		for _, cut := range []uint16{0, 1, 17, 24, 60, 65535} {
			f.Add("", fields, []byte("body"), cut)
			f.Add("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", fields, []byte("4\r\nbody\r\n0\r\n\r\n"), cut)
		}
	}
	f.Fuzz(func(t *testing.T, before, fields string, body []byte, cut uint16) {
		text := before + head + fields + "\r\n" + string(body)
		whole, _, wholeErr := readText(text)
		if wholeErr != nil || int(cut) >= len(text) {
			return
		}
		part, framed, err := readText(text[:cut])
		if err != nil {
			return
		}
		assert.Assert(t, !framed || part == whole, "%q cut after %d bytes: %q", text, cut, part)
		assert.Assert(t, strings.Contains(text[:cut], "\n\r\n") || strings.Contains(text[:cut], "\n\n"), "%q cut after %d bytes", text, cut)
		assert.Assert(t, strings.HasPrefix(whole, part))
	})
}
