package http1

import (
	"bytes"
	"errors"
	"net/http"
)

// Errors of a response.
var (
	ErrStatus        = errors.New("response has an invalid status")
	ErrMalformedHead = errors.New("response has a header line with a blank before the colon")
)

// minStatus is the lowest status of HTTP.
const minStatus = 100

// HeadScanner examines the lines of the head of one response as they arrive. What net/http rejects by
// itself, such as a control character in a name, is not its concern.
type HeadScanner struct {
	isMalformed bool
	skipsLine   bool // the rest of the line does not matter
	hasName     bool // the line is not empty
	ended       bool
}

// NewHeadScanner returns a scanner of a head from its status line on.
func NewHeadScanner() HeadScanner { return HeadScanner{skipsLine: true} }

// Scan examines the next bytes of the response. Those after the head do not matter.
func (s *HeadScanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended {
		if s.skipsLine {
			_, rest, found := bytes.Cut(p, []byte{'\n'})
			s.skipsLine, s.hasName = !found, false
			p = rest
			continue
		}
		s.scanName(p[0])
		p = p[1:]
	}
}

// scanName examines a byte before the colon of a line.
func (s *HeadScanner) scanName(c byte) {
	switch c {
	case '\n':
		s.ended, s.hasName = !s.hasName, false
	case '\r':
	case ':':
		s.skipsLine = true
	case ' ', '\t':
		s.isMalformed, s.skipsLine = true, true
	default:
		s.hasName = true
	}
}

// Check returns ErrStatus or ErrMalformedHead if the response whose head was scanned is broken.
func (s *HeadScanner) Check(resp *http.Response) error {
	switch {
	case resp.StatusCode < minStatus:
		return ErrStatus
	case s.isMalformed:
		return ErrMalformedHead
	}
	return nil
}
