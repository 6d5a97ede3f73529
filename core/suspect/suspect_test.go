package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

var now = time.Unix(1_700_000_000, 0)

// TestCulpritIsStoppedAndBystandersAreNot sends a crashing request repeatedly. It must be
// stopped, while requests that only ran next to it on the first target must not.
func TestCulpritIsStoppedAndBystandersAreNot(t *testing.T) {
	l := NewLedger(DefaultSettings)
	const culprit = fleet.Fingerprint(1)
	l.Crashed([]fleet.Fingerprint{culprit, 2, 3, 4}, now)
	assert.Equal(t, l.Restriction(culprit, now), Alone)
	assert.Equal(t, l.Restriction(3, now), Alone)
	l.Finished(3, true, now)
	assert.Equal(t, l.Restriction(3, now), Clear, "a request that finishes alone is cleared")
	crashes := 1
	for l.Restriction(culprit, now) != Stop {
		l.Crashed([]fleet.Fingerprint{culprit}, now)
		crashes++
	}
	assert.Assert(t, crashes <= DefaultSettings.Targets+1, "stopped after %d crashed targets", crashes)
	assert.Equal(t, l.Restriction(2, now.Add(2*time.Hour)), Clear, "shared blame must decay")
}

func TestBlameOfLostConnectionIsWithdrawn(t *testing.T) {
	l := NewLedger(DefaultSettings)
	l.Crashed([]fleet.Fingerprint{1}, now)
	l.Crashed([]fleet.Fingerprint{1, 2}, now)
	l.Withdraw([]fleet.Fingerprint{1, 2}, now)
	assert.Equal(t, l.Restriction(2, now), Clear)
	assert.Equal(t, l.Restriction(1, now), Alone, "blame of the other crash must stay")
}

func TestMergeKeepsHigherBlame(t *testing.T) {
	a, b := NewLedger(DefaultSettings), NewLedger(DefaultSettings)
	a.Crashed([]fleet.Fingerprint{7}, now)
	a.Crashed([]fleet.Fingerprint{7}, now)
	b.Merge(a.Worst(10, now), now)
	assert.Equal(t, b.Restriction(7, now), Stop)
	b.Merge([]Blame{{7, 0.1}, {8, -3}}, now)
	assert.Equal(t, b.Restriction(7, now), Stop)
	assert.Equal(t, b.Restriction(8, now), Clear)
}

func TestLedgerIsBounded(t *testing.T) {
	set := DefaultSettings
	set.Capacity = 10
	l := NewLedger(set)
	l.Crashed([]fleet.Fingerprint{1}, now)
	for f := range fleet.Fingerprint(100) {
		l.Crashed([]fleet.Fingerprint{1000 + f, 2000 + f}, now)
	}
	assert.Equal(t, l.Len(), 10)
	assert.Equal(t, l.Restriction(1, now), Alone, "the most blamed fingerprint must stay")
}
