package dispatch

import (
	"sync/atomic"
	"time"
)

// Deadline is the time by which a request has to end. It only becomes later: a caller that has begun a
// request may use the longest time that it was allowed. It is safe for concurrent use.
type Deadline struct {
	from  time.Time
	limit atomic.Int64 // a time.Duration from then on
}

// NewDeadline returns a deadline that is the given time after from.
func NewDeadline(from time.Time, limit time.Duration) *Deadline {
	d := &Deadline{from: from}
	d.limit.Store(int64(limit))
	return d
}

// Time returns the deadline.
func (d *Deadline) Time() time.Time { return d.from.Add(time.Duration(d.limit.Load())) }

// Raise moves the deadline to limit after its beginning if that is later, and reports whether it
// is. Only one goroutine at a time may call it.
func (d *Deadline) Raise(limit time.Duration) bool {
	if limit <= time.Duration(d.limit.Load()) {
		return false
	}
	d.limit.Store(int64(limit))
	return true
}
