package upgrade

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAverageStartTimeFollowsRecentResponses(t *testing.T) {
	var s StartTime
	assert.Equal(t, s.Average(), time.Duration(0))
	s.Record(time.Second)
	assert.Equal(t, s.Average(), time.Second)
	s.Record(5 * time.Second)
	assert.Assert(t, s.Average() < 1200*time.Millisecond, "one late response: %v", s.Average())
	for range 200 {
		s.Record(100 * time.Millisecond)
	}
	assert.Assert(t, s.Average() < 120*time.Millisecond, "%v", s.Average())
}
