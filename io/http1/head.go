package http1

import (
	"bytes"
	"cmp"
	"errors"
	"net/http"
)

// Errors of a response.
var (
	ErrStatus        = errors.New("response has an invalid status")
	ErrMalformedHead = errors.New("response has a blank or a control character in the name of a field")
	ErrEncoding      = errors.New("response of a version before HTTP/1.1 has a transfer encoding")
)

// minStatus is the lowest status of HTTP.
const minStatus = 100

// CheckStatus returns ErrStatus if the status of a response is invalid.
func CheckStatus(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return ErrStatus
	}
	return nil
}

// HeadScanner examines the names of the fields of one response as they arrive, and those of interim
// responses before it.
type HeadScanner struct {
	err            error
	inStatus       bool // the status line has not ended
	isInterim      bool
	precedesHTTP11 bool // the version is one before HTTP/1.1
	skipsLine      bool // the rest of the line does not matter
	ended          bool
	prefix         [maxPrefix]byte // of the status line or of the name of the field
	prefixLen      int
}

// maxPrefix is how many bytes of a status line or of a name are kept.
const maxPrefix = 32

// encodingName is the name of the field with the transfer encoding.
const encodingName = "Transfer-Encoding"

// NewHeadScanner returns a scanner of a head from its status line on.
func NewHeadScanner() HeadScanner { return HeadScanner{inStatus: true} }

// Err returns ErrMalformedHead or ErrEncoding if what was scanned is broken.
func (s *HeadScanner) Err() error { return s.err }

// Scan examines the next bytes of the response. Those after the head do not matter.
func (s *HeadScanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended {
		if s.skipsLine {
			_, rest, found := bytes.Cut(p, []byte{'\n'})
			s.skipsLine = !found
			p = rest
			continue
		}
		if s.inStatus {
			s.scanStatus(p[0])
		} else {
			s.scanName(p[0])
		}
		p = p[1:]
	}
}

// keep adds a byte to the prefix of the line.
func (s *HeadScanner) keep(c byte) {
	if s.prefixLen < len(s.prefix) {
		s.prefix[s.prefixLen] = c
		s.prefixLen++
	}
}

// scanStatus examines a byte of a status line.
func (s *HeadScanner) scanStatus(c byte) {
	if c != '\n' {
		s.keep(c)
		return
	}
	version, status, _ := bytes.Cut(s.prefix[:s.prefixLen], []byte{' '})
	status = bytes.TrimLeft(status, " ") // net/http allows several blanks
	s.isInterim = bytes.HasPrefix(status, []byte{'1'}) && !bytes.HasPrefix(status, []byte("101"))
	s.precedesHTTP11 = bytes.Compare(version, []byte("HTTP/1.1")) < 0
	s.inStatus, s.prefixLen = false, 0
}

// deleteChar is the control character above the others.
const deleteChar = 0x7f

// scanName examines a byte before the colon of a line.
func (s *HeadScanner) scanName(c byte) {
	switch {
	case c == '\r':
	case c == '\n' && s.prefixLen == 0:
		s.inStatus, s.ended = s.isInterim, !s.isInterim
	case c == '\n': // net/http rejects a line without a colon
		s.prefixLen = 0
	case c == ':':
		if s.precedesHTTP11 && bytes.EqualFold(s.prefix[:s.prefixLen], []byte(encodingName)) {
			s.fail(ErrEncoding)
		}
		s.skipLine()
	case c <= ' ' || c == deleteChar:
		s.fail(ErrMalformedHead)
		s.skipLine()
	default:
		s.keep(c)
	}
}

func (s *HeadScanner) fail(err error) { s.err = cmp.Or(s.err, err) }

// skipLine skips the rest of the line. The next one begins with a name.
func (s *HeadScanner) skipLine() { s.skipsLine, s.prefixLen = true, 0 }
