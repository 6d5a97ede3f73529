package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_700_000_000, 0)

// simulate records 40 round trips at intervals of 100 ms, with live requests if live is set, and
// returns the rate as a share of the full rate and the end time.
func simulate(p *Pacer, from time.Time, live bool, rtt time.Duration) (float64, time.Time) {
	for range 40 {
		from = from.Add(100 * time.Millisecond)
		if live {
			p.RecordFirstToken(40*time.Millisecond, from)
		}
		p.RecordRoundTrip(rtt, from)
	}
	return float64(p.Rate(from)) / float64(p.settings.FullRate), from
}

func TestRateFallsAndRecovers(t *testing.T) {
	p := New(DefaultSettings(1 << 20))
	share, at := simulate(p, now, true, 2*time.Millisecond)
	assert.Equal(t, share, 1.0, "no queueing delay")
	share, at = simulate(p, at, true, 60*time.Millisecond)
	assert.Assert(t, share < 0.8, "rate is %.2f of the full rate while live requests are delayed", share)
	share, at = simulate(p, at, true, 2*time.Millisecond)
	assert.Assert(t, share > 0.9, "rate is %.2f of the full rate after the delay has ended", share)
	simulate(p, at, true, 60*time.Millisecond)
	share, _ = simulate(p, at.Add(5*time.Second), false, 60*time.Millisecond)
	assert.Equal(t, share, 1.0, "no live requests")
}

func TestRateStaysAboveMinimum(t *testing.T) {
	p := New(DefaultSettings(1 << 20))
	simulate(p, now, true, time.Millisecond)
	at := now.Add(time.Minute)
	for range 10 {
		_, at = simulate(p, at, true, time.Second)
	}
	assert.Assert(t, p.Rate(at) >= p.settings.MinRate)
}
