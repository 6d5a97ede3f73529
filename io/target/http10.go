package target

import (
	"bytes"
	"strings"
)

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
