// Package clock defines the time source that is passed to every component, and
// detects pauses of the process.
//
// # Usage
//
//	d := clock.NewPauseDetector(2 * time.Second)
//	for range ticks {
//		if d.Observe(c.Now()) {
//			// The process was paused: the view is stale.
//		}
//	}
package clock

import "time"

// Clock is a time source. Core packages do not use it; they receive a time.Time with
// each event.
type Clock interface {
	Now() time.Time
}

// System is the system clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Elapsed returns the time between two readings of the system clock. It compares wall time as
// well as monotonic time, because the monotonic clock is paused while a machine is suspended.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// PauseDetector detects that more time passed between two polls than a running process needs,
// which means that the process was paused. The zero PauseDetector is not usable.
type PauseDetector struct {
	limit     time.Duration
	last      time.Time
	pausedAt  time.Time // last observation before the last pause
	resumedAt time.Time // end of the last pause
}

// NewPauseDetector returns a detector that reports gaps longer than limit.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit}
}

// Observe records now and reports whether the gap since the previous poll exceeds the
// limit.
func (d *PauseDetector) Observe(now time.Time) bool {
	last := d.last
	d.last = now
	if last.IsZero() {
		return false
	}
	if Elapsed(last, now) <= d.limit {
		return false
	}
	d.pausedAt, d.resumedAt = last, now
	return true
}

// PausedAt returns when the process was last observed before its last pause.
func (d *PauseDetector) PausedAt() time.Time { return d.pausedAt }

// PausedSince reports whether the process was paused at any time between since and now. It
// also notices a pause that has just ended and that no poll has observed yet.
func (d *PauseDetector) PausedSince(since, now time.Time) bool {
	return d.resumedAt.After(since) || !d.last.IsZero() && Elapsed(d.last, now) > d.limit
}
