package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

// An engine that sheds load gets no request until its pause ends, unless it starts again before.
func TestEngineThatAskedForAPauseGetsNoRequests(t *testing.T) {
	g, now := newGate(), time.Unix(1_000_000, 0)
	g.pause(2*time.Second, now)
	g.pause(time.Second, now) // an answer that was in flight
	_, refusal := g.admit(admission{}, now.Add(1900*time.Millisecond))
	assert.DeepEqual(t, refusal, fleet.NotRun(fleet.ReasonTargetBusy, 100*time.Millisecond))
	_, refusal = g.admit(admission{}, now.Add(2*time.Second))
	assert.Assert(t, refusal == nil)
	g.pause(time.Minute, now)
	assert.Assert(t, g.recordCrash(7, now))
	_, refusal = g.admit(admission{}, now)
	assert.Assert(t, refusal == nil)
}
