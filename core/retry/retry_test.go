package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetriesStayWithinTheirShare: under lasting failure retries are the stated share of
// the load, after the burst.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewBudget(0.1, 10)
	n := 0
	for range 10_000 {
		b.Request()
		if b.Allow() {
			n++
		}
	}
	assert.Assert(t, n >= 1000 && n <= 1011, "%d retries", n)
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	assert.Assert(t, Backoff(1, 0) >= BaseDelay/2)
	assert.Assert(t, Backoff(4, 0.5) > Backoff(2, 0.5))
	assert.Assert(t, Backoff(1000, 0.999) <= MaxDelay)
	assert.Assert(t, Backoff(-3, 0) > 0)
}

// Replays 44 entries that all meet a failing service at once: together they stay within
// the allowance of the whole system, 250 retries in a window, although none asks another.
func TestEntriesShareTheAllowance(t *testing.T) {
	const entries, allowance = 44, 250
	retries := 0
	for range entries {
		b := NewBudget(0.1, allowance/2/8)
		b.SetBurst(allowance / 2.0 / entries)
		for range 100 {
			if b.Allow() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= allowance, "%d", retries)
}
