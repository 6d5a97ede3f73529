package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWatchSeesAPause(t *testing.T) {
	w := NewWatch(2 * time.Second)
	now := time.Unix(1_700_000_000, 0)
	assert.Assert(t, !w.Jumped(now), "the first look has nothing to compare with")
	assert.Assert(t, !w.Jumped(now.Add(time.Second)))
	assert.Assert(t, w.Jumped(now.Add(time.Minute)))
	assert.Assert(t, !w.Jumped(now.Add(time.Minute+time.Second)))
}
