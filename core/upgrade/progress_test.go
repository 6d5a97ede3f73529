package upgrade_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/upgrade"
)

// A fetch that has stalled, because its source is away, was expected to end in time.
func TestStalledFetchHasNoEnd(t *testing.T) {
	var p upgrade.Progress
	_, ok := p.CompleteAt(64, t0)
	assert.Assert(t, !ok, "nothing has arrived")
	now := t0
	for range 21 {
		p.Record(now)
		now = now.Add(50 * time.Millisecond)
	}
	now = now.Add(-50 * time.Millisecond)
	at, ok := p.CompleteAt(40, now)
	assert.Assert(t, ok && !at.Before(now.Add(2*time.Second)) && at.Before(now.Add(3*time.Second)), "%v", at.Sub(now))
	_, ok = p.CompleteAt(40, now.Add(600*time.Millisecond))
	assert.Assert(t, !ok)
	at, ok = p.CompleteAt(0, now.Add(time.Hour))
	assert.Assert(t, ok && at.Equal(now.Add(time.Hour)))
}
