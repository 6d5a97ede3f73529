package forward

import "strconv"

// Stream follows the events of one answer over the targets that make it.
type Stream struct {
	last    int64
	lastRaw string
	any     bool
	version uint64
}

// NewStream returns the state of an answer that goes on after an event, or of a new one
// when after is empty.
func NewStream(after string) *Stream {
	s := &Stream{lastRaw: after}
	if n, err := strconv.ParseInt(after, 10, 64); err == nil && after != "" {
		s.last, s.any = n, true
	}
	return s
}

// Accept takes an event's id and tells whether the caller may be given it: ids rise, and
// follow on each other once the first is known.
func (s *Stream) Accept(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || s.any && n != s.last+1 {
		return false
	}
	s.last, s.lastRaw, s.any = n, id, true
	return true
}

// Last returns the id after which another target goes on, empty before the first event.
func (s *Stream) Last() string { return s.lastRaw }

// SetVersion pins the weights' version of the first target.
func (s *Stream) SetVersion(v uint64) {
	if s.version == 0 {
		s.version = v
	}
}

// Version returns the pinned version, 0 before it is known.
func (s *Stream) Version() uint64 { return s.version }
