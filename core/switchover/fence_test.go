package switchover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A new run of the agent whose clock is behind reads nothing back from the engine, which
// refuses its order and names the highest number that it has seen: the next order passes.
func TestFenceRisesAboveWhatTheEngineHasSeen(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	before := NewFence(0, now)
	seen := before.Next()
	f := NewFence(0, now.Add(-time.Hour))
	assert.Assert(t, f.Next() < seen, "the order that the engine refuses")
	f.Raise(seen)
	assert.Assert(t, f.Next() > seen)
	last := f.Next()
	f.Raise(seen)
	assert.Assert(t, f.Next() > last, "a late refusal does not lower it")
}
