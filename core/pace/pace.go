// Package pace holds weight traffic back while live requests feel it.
//
// # Usage
//
//	p := pace.New(pace.DefaultSettings(linkRate))
//	p.Observe(firstTokenDelay, now)
//	limiter.SetLimit(p.Rate(now))
//
// The rate falls by a factor when the delay of live requests rises above its
// baseline, and rises steadily while it does not, as TCP shares a link. Without
// live requests it returns to the full rate.
package pace

import (
	"math"
	"time"

	"amaranthturn/core/fleet"
)

// Settings are the constants of a Pacer.
type Settings struct {
	Full  fleet.Bytes // bytes a second without live requests
	Floor fleet.Bytes // bytes a second that distribution always keeps
	// Tolerance is the allowed rise of the delay over its baseline.
	Tolerance float64
	// Decrease is the factor after a rise, at most once a Window.
	Decrease float64
	Window   time.Duration
	// Recover is the time from the floor back to the full rate.
	Recover time.Duration
	// Quiet is the time without live requests after which the rate is full.
	Quiet time.Duration
}

// DefaultSettings suit a link of the given rate in bytes a second.
func DefaultSettings(full fleet.Bytes) Settings {
	return Settings{
		Full: full, Floor: full / 8, Tolerance: 1.10, Decrease: 0.7,
		Window: 250 * time.Millisecond, Recover: 4 * time.Second, Quiet: 2 * time.Second,
	}
}

// Pacer computes the rate of weight traffic. It is not safe for concurrent use.
type Pacer struct {
	set      Settings
	rate     float64
	at       time.Time
	lastCut  time.Time
	lastLive time.Time
	baseline time.Duration
	recent   time.Duration
}

// New returns a pacer at the full rate.
func New(set Settings) *Pacer {
	return &Pacer{set: set, rate: float64(set.Full)}
}

// Idle takes the delay of a live request while no weights move, which sets the
// baseline.
func (p *Pacer) Idle(delay time.Duration) {
	if p.baseline == 0 {
		p.baseline = delay
		return
	}
	p.baseline += (delay - p.baseline) / 16
}

// Observe takes the delay of a live request while weights move.
func (p *Pacer) Observe(delay time.Duration, now time.Time) {
	p.advance(now)
	p.lastLive = now
	if p.baseline == 0 {
		p.baseline, p.recent = delay, delay
		return
	}
	if p.recent == 0 {
		p.recent = delay
	}
	p.recent += (delay - p.recent) / 4
	p.baseline = min(p.baseline, delay+delay/4)
	if float64(p.recent) <= p.set.Tolerance*float64(p.baseline) {
		return
	}
	if now.Sub(p.lastCut) >= p.set.Window {
		p.lastCut = now
		p.rate = math.Max(float64(p.set.Floor), p.rate*p.set.Decrease)
	}
}

// Rate returns the bytes a second that weight traffic may use now.
func (p *Pacer) Rate(now time.Time) fleet.Bytes {
	p.advance(now)
	if now.Sub(p.lastLive) > p.set.Quiet {
		p.rate = float64(p.set.Full)
	}
	return fleet.Bytes(p.rate)
}

// advance lets the rate recover for the time that passed. A pause of the process
// gives no more than one window of recovery.
func (p *Pacer) advance(now time.Time) {
	passed := min(max(0, now.Sub(p.at)), p.set.Window)
	p.at = now
	step := float64(p.set.Full-p.set.Floor) * float64(passed) / float64(p.set.Recover)
	p.rate = math.Min(float64(p.set.Full), p.rate+step)
}
