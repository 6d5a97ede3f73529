package target

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"

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

// hasMalformedLine reports whether net/http has rejected a line of the header, and not its end or the
// status line.
func (r *headReader) hasMalformedLine(err error) bool {
	var malformed textproto.ProtocolError
	return r.err == nil && errors.As(err, &malformed)
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
	resp, err := http.ReadResponse(c.rd, hr)
	if err != nil && !c.head.hasMalformedLine(err) {
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
