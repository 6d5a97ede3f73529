// Package clock declares the time source that is passed to every component,
// and detects that a process was paused.
//
// # Usage
//
//	w := clock.NewWatch(2 * time.Second)
//	for range ticks {
//		if w.Jumped(c.Now()) {
//			// The process was paused: the view is stale.
//		}
//	}
package clock

import "time"

// Clock tells the time. Core packages take a time.Time with each event instead.
type Clock interface {
	Now() time.Time
}

// System is the clock of the machine.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Watch finds that more time passed between two looks than a running process
// would need, which means that it was paused. The zero Watch is not usable.
type Watch struct {
	limit time.Duration
	last  time.Time
}

// NewWatch returns a Watch that reports gaps longer than limit.
func NewWatch(limit time.Duration) *Watch {
	return &Watch{limit: limit}
}

// Jumped records now and tells whether the gap since the previous look exceeds
// the limit. Wall time is compared beside monotonic time, because the monotonic
// clock stands still while a machine is suspended.
func (w *Watch) Jumped(now time.Time) bool {
	last := w.last
	w.last = now
	if last.IsZero() {
		return false
	}
	wall := now.Round(0).Sub(last.Round(0))
	return now.Sub(last) > w.limit || wall > w.limit
}
