package http1

import (
	"bytes"
	"errors"
	"net/http"
)

// Errors of a response.
var (
	ErrStatus        = errors.New("response has an invalid status")
	ErrMalformedHead = errors.New("response has a blank or a control character in the name of a field")
)

// minStatus is the lowest status of HTTP.
const minStatus = 100

// HeadScanner examines the names of the fields of one response as they arrive, and those of interim
// responses before it.
type HeadScanner struct {
	isMalformed bool
	inStatus    bool    // the status line has not ended
	hasVersion  bool    // the version of the status line has ended
	code        [3]byte // digits of the status
	digits      int     // how many of them have arrived
	skipsLine   bool    // the rest of the line does not matter
	hasName     bool    // the line is not empty
	ended       bool
}

// NewHeadScanner returns a scanner of a head from its status line on.
func NewHeadScanner() HeadScanner { return HeadScanner{inStatus: true} }

// Scan examines the next bytes of the response. Those after the head do not matter.
func (s *HeadScanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended {
		switch {
		case s.skipsLine:
			_, rest, found := bytes.Cut(p, []byte{'\n'})
			if found {
				s.skipsLine, s.hasName = false, false
			}
			p = rest
			continue
		case s.inStatus:
			s.scanStatus(p[0])
		default:
			s.scanName(p[0])
		}
		p = p[1:]
	}
}

// scanStatus examines a byte of a status line.
func (s *HeadScanner) scanStatus(c byte) {
	switch {
	case c == '\n':
		s.inStatus, s.hasName = false, false
	case !s.hasVersion:
		s.hasVersion = c == ' '
	case s.digits == 0 && c == ' ': // net/http allows several
	case s.digits < len(s.code):
		s.code[s.digits] = c
		s.digits++
	}
}

// deleteChar is the control character above the others.
const deleteChar = 0x7f

// scanName examines a byte before the colon of a line.
func (s *HeadScanner) scanName(c byte) {
	switch c {
	case '\n':
		if !s.hasName {
			s.endHead()
		}
		s.hasName = false
	case '\r':
	case ':':
		s.skipsLine = true
	default:
		s.hasName = true
		if c <= ' ' || c == deleteChar {
			s.isMalformed, s.skipsLine = true, true
		}
	}
}

// endHead ends the head, or begins the one after an interim response.
func (s *HeadScanner) endHead() {
	isInterim := s.code[0] == '1' && s.code != [3]byte{'1', '0', '1'}
	*s = HeadScanner{isMalformed: s.isMalformed, inStatus: isInterim, ended: !isInterim}
}

// Err returns ErrMalformedHead if what was scanned is malformed.
func (s *HeadScanner) Err() error {
	if s.isMalformed {
		return ErrMalformedHead
	}
	return nil
}

// CheckStatus returns ErrStatus if the status of a response is invalid.
func CheckStatus(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return ErrStatus
	}
	return nil
}
