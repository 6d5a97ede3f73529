package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseIsDetected(t *testing.T) {
	d := NewPauseDetector(2 * time.Second)
	now := time.Unix(1_700_000_000, 0)
	assert.Assert(t, !d.Observe(now), "the first poll has no previous poll to compare with")
	assert.Assert(t, !d.Observe(now.Add(time.Second)))
	assert.Assert(t, d.Observe(now.Add(time.Minute)))
	assert.Assert(t, !d.Observe(now.Add(time.Minute+time.Second)))
}
