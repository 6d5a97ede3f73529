package forward

import (
	"mime"
	"net/http"
	"strconv"
)

// Stream tracks one streamed response across the targets that produce it.
type Stream struct {
	lastNumber int64
	lastID     string
	hasLast    bool
	version    uint64
	begun      bool   // the caller has the header
	status     int    // of the header that the caller has
	mediaType  string // of the header that the caller has
	unframed   bool   // the caller's response is unframed
}

// NewStream returns a stream that continues after the event with ID after, or a new one
// if after is empty.
func NewStream(after string) *Stream {
	s := &Stream{lastID: after}
	if n, err := strconv.ParseInt(after, 10, 64); err == nil && after != "" {
		s.lastNumber, s.hasLast = n, true
	}
	return s
}

// Accept records an event's ID and reports whether the event may be sent to the caller.
// After the first known ID, only the next number is accepted.
func (s *Stream) Accept(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.hasLast && n != s.lastNumber+1 {
		return false
	}
	s.lastNumber, s.lastID, s.hasLast = n, id, true
	return true
}

// Begin records the reply whose header is sent to the caller.
func (s *Stream) Begin(r Reply) {
	s.begun, s.status, s.mediaType, s.unframed = true, r.Status, mediaType(r.Header), r.Unframed
}

// IsContinuedBy reports whether events of a reply may be sent to the caller. Once the stream has
// begun, a reply must be a success like the one that began it. Anything else, such as an error,
// has no place in the stream, nor have events of another version of the weights.
func (s *Stream) IsContinuedBy(r Reply) bool {
	if !s.begun {
		return true
	}
	isSameVersion := s.version == 0 || r.Version == 0 || r.Version == s.version
	return r.Signed && r.Status == s.status && mediaType(r.Header) == s.mediaType && isSameVersion
}

// IsEndedBy reports whether the end of a reply's body, after a complete event, ends the stream. The
// end of an unframed body does not show that the stream is complete, and the caller's response must
// not show it either.
func (s *Stream) IsEndedBy(r Reply) bool { return s.unframed || !r.Unframed }

// mediaType returns the media type of a body, empty if it is missing or malformed.
func mediaType(h http.Header) string {
	t, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return t
}

// LastEventID returns the ID of the event after which another target continues, empty before
// the first event.
func (s *Stream) LastEventID() string { return s.lastID }

// SetVersion pins the stream to the version of weights of the first target.
func (s *Stream) SetVersion(v uint64) {
	if s.version == 0 {
		s.version = v
	}
}

// Version returns the pinned version of weights, 0 if it isn't known yet.
func (s *Stream) Version() uint64 { return s.version }
