// Package retry limits how often requests are retried, so that retries don't overload
// the targets.
//
// # Usage
//
//	b := retry.NewBudget(0.1, 10)
//	b.RecordRequest()
//	if b.Allow() {
//		wait := retry.Backoff(attempt, random.Float64())
//	}
package retry

import "time"

// Bounds of the delay returned by Backoff.
const (
	BaseDelay = 20 * time.Millisecond
	MaxDelay  = time.Second
)

// Budget limits retries to a share of the first attempts. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that gains share retries per first attempt, up to burst
// retries. It starts with burst retries.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// SetShare sets the share for subsequent first attempts.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetBurst sets the maximum number of retries in the budget.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Allow takes one retry from the budget and reports whether one was left.
func (b *Budget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// AllowAll takes one retry from each budget if all have one left.
func AllowAll(budgets ...*Budget) bool {
	for _, b := range budgets {
		if b.tokens < 1 {
			return false
		}
	}
	for _, b := range budgets {
		b.tokens--
	}
	return true
}

// Backoff returns the delay before a retry; attempts are numbered from 1. The jitter, in
// [0, 1), spreads the retries of many callers over the second half of the delay.
func Backoff(attempt int, jitter float64) time.Duration {
	d := BaseDelay << min(max(attempt-1, 0), 10)
	d = min(d, MaxDelay)
	return d/2 + time.Duration(jitter*float64(d/2))
}
