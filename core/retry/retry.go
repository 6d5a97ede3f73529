// Package retry bounds how often requests are tried again, so that retries
// never become a load of their own.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.Request()
//	if b.Allow() {
//		wait := retry.Backoff(attempt, random.Float64())
//	}
package retry

import "time"

// Backoff bounds.
const (
	BaseDelay = 20 * time.Millisecond
	MaxDelay  = time.Second
)

// Budget allows a share of retries per first attempt. It is not safe for
// concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget of share retries for each first attempt, which
// saves up at most burst of them.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// SetShare changes the share for later first attempts.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetBurst changes how many retries are saved up at most.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Allow takes one retry out of the budget, or tells that none is left.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before the attempt numbered from 1. The jitter, in
// [0, 1), spreads the retries of many callers over the whole wait.
func Backoff(attempt int, jitter float64) time.Duration {
	d := BaseDelay << min(max(attempt-1, 0), 10)
	d = min(d, MaxDelay)
	return d/2 + time.Duration(jitter*float64(d/2))
}
