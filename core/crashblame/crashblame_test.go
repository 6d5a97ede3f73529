package crashblame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

var now = time.Unix(1_700_000_000, 0)

// TestOnlyCrashingRequestIsRefused sends a crashing request repeatedly. It must be refused,
// while requests that only ran next to it on the first target must not.
func TestOnlyCrashingRequestIsRefused(t *testing.T) {
	l := NewLedger(DefaultSettings)
	const crashing = fleet.Fingerprint(1)
	l.RecordCrash([]fleet.Fingerprint{crashing, 2, 3, 4}, now)
	assert.Equal(t, l.Restriction(crashing, now), Exclusive)
	assert.Equal(t, l.Restriction(3, now), Exclusive)
	l.RecordCompletion(3, true, now)
	assert.Equal(t, l.Restriction(3, now), Unrestricted, "a request that completes without others on its target is cleared")
	crashes := 1
	for l.Restriction(crashing, now) != Refuse {
		l.RecordCrash([]fleet.Fingerprint{crashing}, now)
		crashes++
	}
	assert.Assert(t, crashes <= DefaultSettings.MaxCrashedTargets+1, "refused after %d crashed targets", crashes)
	assert.Equal(t, l.Restriction(2, now.Add(2*time.Hour)), Unrestricted, "shared blame must decay")
}

func TestBlameOfLostConnectionIsRetracted(t *testing.T) {
	l := NewLedger(DefaultSettings)
	l.RecordCrash([]fleet.Fingerprint{1}, now)
	l.RecordCrash([]fleet.Fingerprint{1, 2}, now)
	l.RetractCrash([]fleet.Fingerprint{1, 2}, now)
	assert.Equal(t, l.Restriction(2, now), Unrestricted)
	assert.Equal(t, l.Restriction(1, now), Exclusive, "blame of the other crash must stay")
}

func TestMergeKeepsHigherBlame(t *testing.T) {
	a, b := NewLedger(DefaultSettings), NewLedger(DefaultSettings)
	a.RecordCrash([]fleet.Fingerprint{7}, now)
	a.RecordCrash([]fleet.Fingerprint{7}, now)
	b.Merge(a.MostBlamed(10, now), now)
	assert.Equal(t, b.Restriction(7, now), Refuse)
	b.Merge([]Blame{{7, 0.1}, {8, -3}}, now)
	assert.Equal(t, b.Restriction(7, now), Refuse)
	assert.Equal(t, b.Restriction(8, now), Unrestricted)
}

func TestLedgerIsBounded(t *testing.T) {
	settings := DefaultSettings
	settings.Capacity = 10
	l := NewLedger(settings)
	l.RecordCrash([]fleet.Fingerprint{1}, now)
	for f := range fleet.Fingerprint(100) {
		l.RecordCrash([]fleet.Fingerprint{1000 + f, 2000 + f}, now)
	}
	assert.Equal(t, l.Len(), 10)
	assert.Equal(t, l.Restriction(1, now), Exclusive, "the most blamed fingerprint must stay")
}
