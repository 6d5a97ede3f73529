package loadbalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/loadbalance"
)

// A slot that is free for a moment is not passed on, one that stays free is.
func TestPeakFollowsLoadThatStays(t *testing.T) {
	var p loadbalance.Peak
	assert.Equal(t, p.Value(), 0)
	now := t0
	for i := range 30 {
		now = now.Add(100 * time.Millisecond)
		p.Record(7+i%2, now)
		if i > 0 {
			assert.Equal(t, p.Value(), 8)
		}
	}
	var lowAfter time.Duration
	for p.Value() > 3 {
		lowAfter += 100 * time.Millisecond
		p.Record(3, now.Add(lowAfter))
	}
	assert.Assert(t, lowAfter >= time.Second && lowAfter <= 2*time.Second, "after %v", lowAfter)
	p.Record(1, now.Add(time.Minute))
	assert.Equal(t, p.Value(), 1, "nothing is known of the time before")
}

// A report is older than this entry's last requests, and counts some that have ended since.
func TestOldReportIsComparedWithOwnRequestsOfItsTime(t *testing.T) {
	b := newTestBalancer(1, 8)
	b.SetEntries(2)
	b.FreeSlots(t0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	b.RecordStart(id(0), 0, at(0))
	b.RecordStart(id(0), 0, at(10))
	b.RecordEnd(id(0), 0, loadbalance.ResultDone, at(500))
	b.RecordStart(id(0), 0, at(600))
	b.RecordStart(id(0), 0, at(700))
	b.RecordReport(id(0), 5, 500*time.Millisecond, at(800)) // of 300 ms: two own ones and three others
	assert.Equal(t, b.FreeSlots(at(800)), 8-3-3)
}
