package upgrade

import "time"

// startTimeWeight is the weight of one response in the average.
const startTimeWeight = 1.0 / 32

// StartTime is the average recent time from sending a request to an engine until its response began.
// Some engines begin a request although its connection has been closed meanwhile, so a request that must
// begin before a certain time has to be sent earlier by that much. The zero value has no times.
type StartTime struct{ average time.Duration }

// Record adds the time of a response that has begun now.
func (s *StartTime) Record(took time.Duration) {
	if s.average == 0 {
		s.average = took
		return
	}
	s.average += time.Duration(startTimeWeight * float64(took-s.average))
}

// Average returns the average.
func (s *StartTime) Average() time.Duration { return s.average }
