package forward

import "strconv"

// Stream tracks the event IDs of one streamed response across the targets that produce it.
type Stream struct {
	lastNumber int64
	lastID     string
	hasLast    bool
	version    uint64
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
