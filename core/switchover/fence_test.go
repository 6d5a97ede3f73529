package switchover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A new incarnation of the agent has a clock that is behind and has read no number from the
// engine. The engine refuses its first command and reports the highest number that it has
// seen. The next command must use a higher number.
func TestFenceExceedsNumberFromRefusal(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	before := NewFence(0, now)
	seen := before.Next()
	f := NewFence(0, now.Add(-time.Hour))
	assert.Assert(t, f.Next() < seen, "the engine must refuse the first command")
	f.Raise(seen)
	assert.Assert(t, f.Next() > seen)
	last := f.Next()
	f.Raise(seen)
	assert.Assert(t, f.Next() > last, "a late refusal must not lower the number")
}
