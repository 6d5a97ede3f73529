package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_700_000_000, 0)

// play probes for a while and returns the rate as a share of the full one.
func play(p *Pacer, from time.Time, live bool, rtt time.Duration) (float64, time.Time) {
	for range 40 {
		from = from.Add(100 * time.Millisecond)
		if live {
			p.Live(40*time.Millisecond, from)
		}
		p.Probe(rtt, from)
	}
	return float64(p.Rate(from)) / float64(p.set.Full), from
}

func TestWeightsGiveWayAndTakeTheRoomBack(t *testing.T) {
	p := New(DefaultSettings(1 << 20))
	share, at := play(p, now, true, 2*time.Millisecond)
	assert.Equal(t, share, 1.0, "nothing waits")
	share, at = play(p, at, true, 60*time.Millisecond)
	assert.Assert(t, share < 0.8, "%.2f while live requests wait", share)
	share, at = play(p, at, true, 2*time.Millisecond)
	assert.Assert(t, share > 0.9, "%.2f after they do not", share)
	play(p, at, true, 60*time.Millisecond)
	share, _ = play(p, at.Add(5*time.Second), false, 60*time.Millisecond)
	assert.Equal(t, share, 1.0, "nobody is served")
}

func TestFloorIsKept(t *testing.T) {
	p := New(DefaultSettings(1 << 20))
	play(p, now, true, time.Millisecond)
	at := now.Add(time.Minute)
	for range 10 {
		_, at = play(p, at, true, time.Second)
	}
	assert.Assert(t, p.Rate(at) >= p.set.Floor)
}
