package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/io/peer"
)

// fixedClock is a clock that always returns the same time.
type fixedClock time.Time

func (c fixedClock) Now() time.Time { return time.Time(c) }

// A request that was blamed for a crash loses all blame if it then completes as the only
// request on its target. If it ran together with others, it keeps part of the blame.
func TestOnlyExclusiveCompletionClearsBlame(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, exclusive := range []bool{false, true} {
		e := &Entry{opt: Options{Clock: fixedClock(now)}, ledger: crashblame.NewLedger(crashblame.DefaultSettings)}
		h := &requestHandler{e: e, gen: peer.GenerateRequest{Fingerprint: 7}}
		e.ledger.RecordCrash(crashblame.CrashOf("t", 1), []fleet.Fingerprint{7}, now)
		h.recordCompletion(exclusive)
		assert.Equal(t, e.ledger.Blame(7, now) == 0, exclusive)
	}
}
