package upgrade

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestStartTimeIsForgotten(t *testing.T) {
	var s StartTimes
	now := proofStart
	assert.Equal(t, s.Longest(now), time.Duration(0))
	s.Record(time.Second, now)
	s.Record(100*time.Millisecond, now.Add(time.Second))
	assert.Equal(t, s.Longest(now.Add(startTimePeriod)), time.Second)
	s.Record(300*time.Millisecond, now.Add(startTimePeriod))
	assert.Equal(t, s.Longest(now.Add(2*startTimePeriod)), 300*time.Millisecond)
	assert.Equal(t, s.Longest(now.Add(5*startTimePeriod)), time.Duration(0))
	s.Record(time.Hour, now.Add(5*startTimePeriod))
	assert.Equal(t, s.Longest(now.Add(5*startTimePeriod)), maxStartTime)
}
