package target

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"amaranthturn/io/bounded"
	"amaranthturn/io/http1"
)

// headReader reads the status line and header of one response, within a limit.
type headReader struct {
	rd      bounded.Reader
	scanner http1.HeadScanner
	err     error // of reading from the connection
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.rd.Read(p)
	r.scanner.Scan(p[:n])
	r.err = err
	return n, err
}

// readResponse reads the status line and header of a response.
func (c *conn) readResponse(hr *http.Request) (*http.Response, error) {
	c.head = &headReader{
		rd:      bounded.Reader{R: c.Conn, Part: bounded.PartHeader, Limit: maxHeadBytes},
		scanner: http1.NewHeadScanner(),
	}
	defer c.endHeader()
	buffered, _ := c.rd.Peek(c.rd.Buffered())
	c.head.scanner.Scan(buffered)
	if c.hasEncodingInHTTP10() {
		return nil, errEncodingInHTTP10
	}
	resp, err := http.ReadResponse(c.rd, hr)
	var malformed textproto.ProtocolError // of a line after the status line
	if err != nil && (c.head.err != nil || !errors.As(err, &malformed)) {
		return nil, err
	}
	if headErr := c.head.scanner.Err(); headErr != nil {
		return nil, fmt.Errorf("%w: %w", ErrBrokenHead, headErr)
	}
	if err != nil {
		return nil, err
	}
	if err := http1.CheckStatus(resp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBrokenHead, err)
	}
	return resp, nil
}

func (c *conn) endHeader() { c.head = nil }

// hasEncodingInHTTP10 reports whether a response of HTTP/1.0 states a transfer encoding.
// http.ReadResponse drops that header, and the sizes of chunks would become a part of the body.
// Only the part of the header that fits into the buffer is examined.
func (c *conn) hasEncodingInHTTP10() bool {
	const version = "HTTP/1.0 "
	for n := range len(version) { // a line that is shorter must not be waited on
		if v, err := c.rd.Peek(n + 1); err != nil || !strings.HasPrefix(version, string(v)) {
			return false
		}
	}
	for {
		head, _ := c.rd.Peek(c.rd.Buffered())
		end := bytes.Index(head, []byte("\n\r\n"))
		if end < 0 {
			end = bytes.Index(head, []byte("\n\n"))
		}
		if end >= 0 {
			return bytes.Contains(bytes.ToLower(head[:end]), []byte("\ntransfer-encoding:"))
		}
		if _, err := c.rd.Peek(len(head) + 1); err != nil {
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
		}
	}
}
