package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRetriesStayWithinTheirShare checks that under persistent failure the retries, after
// the burst, are the configured share of the requests.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewBudget(0.1, 10)
	n := 0
	for range 10_000 {
		b.RecordRequest()
		if b.Allow() {
			n++
		}
	}
	assert.Assert(t, n >= 1000 && n <= 1011, "got %d retries, want 1000 to 1011", n)
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	assert.Assert(t, Backoff(1, 0) >= BaseDelay/2)
	assert.Assert(t, Backoff(4, 0.5) > Backoff(2, 0.5))
	assert.Assert(t, Backoff(1000, 0.999) <= MaxDelay)
	assert.Assert(t, Backoff(-3, 0) > 0)
}

// TestEntriesDivideGlobalBudget simulates 44 entries that reach a failing service at the same
// time. In total they must stay within the budget of the whole system, 250 retries per window,
// without coordination.
func TestEntriesDivideGlobalBudget(t *testing.T) {
	const entries, globalBudget = 44, 250
	retries := 0
	for range entries {
		b := NewBudget(0.1, globalBudget/2/8)
		b.SetBurst(globalBudget / 2.0 / entries)
		for range 100 {
			if b.Allow() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= globalBudget, "got %d retries", retries)
}
