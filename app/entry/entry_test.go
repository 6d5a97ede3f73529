package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/io/peer"
)

// clockAt is a clock that stands still.
type clockAt time.Time

func (c clockAt) Now() time.Time { return time.Time(c) }

// A request that was suspected of a crash and then ran to its end beside no other is
// cleared; one that ran beside others stays suspected in part.
func TestRequestThatRanAloneIsCleared(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, alone := range []bool{false, true} {
		e := &Entry{opt: Options{Clock: clockAt(now)}, ledger: crashblame.NewLedger(crashblame.DefaultSettings)}
		f := &flight{e: e, gen: peer.GenerateRequest{Fingerprint: 7}, alone: alone}
		e.ledger.RecordCrash([]fleet.Fingerprint{7}, now)
		f.whole()
		assert.Equal(t, len(e.ledger.MostBlamed(1, now)) == 0, alone)
	}
}
