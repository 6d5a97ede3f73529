package upgrade

import "time"

// startTimePeriod is the time over which start times are combined. The longest is of one to two
// periods.
const startTimePeriod = 10 * time.Second

// maxStartTime limits the time that is kept of a response that began very late.
const maxStartTime = 2 * time.Second

// StartTimes keeps the longest recent time from sending a request to an engine until its response
// began. Some engines begin a request although its connection has been closed meanwhile, so a request
// that must begin before a certain time has to be sent earlier by that much. The zero value has no
// times.
type StartTimes struct {
	current, previous time.Duration
	since             time.Time // of current
}

// Record adds the time of a response that has begun now.
func (s *StartTimes) Record(took time.Duration, now time.Time) {
	s.advance(now)
	s.current = max(s.current, min(took, maxStartTime))
}

// Longest returns the longest recent time.
func (s *StartTimes) Longest(now time.Time) time.Duration {
	s.advance(now)
	return max(s.current, s.previous)
}

func (s *StartTimes) advance(now time.Time) {
	switch age := now.Sub(s.since); {
	case age >= 2*startTimePeriod:
		s.current, s.previous, s.since = 0, 0, now
	case age >= startTimePeriod:
		s.current, s.previous, s.since = 0, s.current, now
	}
}
