// Package pace holds weight traffic back while live requests feel it.
//
// # Usage
//
//	p := pace.New(pace.DefaultSettings(linkRate))
//	p.Live(firstTokenDelay, now) // a live request got its first token
//	p.Probe(roundTrip, now)      // a heartbeat crossed the link and came back
//	limiter.SetLimit(p.Rate(now))
//
// The probes show how long small messages wait on the link behind weights. While
// live requests are served, that wait may be a set share of their first token's
// delay. The rate falls by a factor when it is more, and rises steadily while it is
// not, as TCP shares a link. Without live requests the rate is full.
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
	// Share of the first token's delay that the wait on the link may take.
	Share float64
	// MinWait is always allowed; shorter waits cannot be told from noise.
	MinWait time.Duration
	// Decrease is the factor after a rise, at most once a Window.
	Decrease float64
	Window   time.Duration
	// Recover is the time from the floor back to the full rate.
	Recover time.Duration
	// Quiet is the time without live requests after which the rate is full.
	Quiet time.Duration
}

// headroom keeps weight traffic under the link's rate, so that it does not build a
// queue of its own.
const headroom = 0.97

// DefaultSettings suit a link of the given rate in bytes a second.
func DefaultSettings(link fleet.Bytes) Settings {
	full := fleet.Bytes(headroom * float64(link))
	return Settings{
		Full: full, Floor: full / 4, Share: 0.10, MinWait: 4 * time.Millisecond, Decrease: 0.85,
		Window: 250 * time.Millisecond, Recover: 3 * time.Second, Quiet: 2 * time.Second,
	}
}

// Pacer computes the rate of weight traffic. It is not safe for concurrent use.
type Pacer struct {
	set        Settings
	rate       float64
	at         time.Time
	lastCut    time.Time
	lastLive   time.Time
	firstToken time.Duration // usual delay of live requests
	baseline   time.Duration // least round trip
	recent     time.Duration // usual round trip now
}

// New returns a pacer at the full rate.
func New(set Settings) *Pacer {
	return &Pacer{set: set, rate: float64(set.Full)}
}

// Live takes the delay of the first token of a live request.
func (p *Pacer) Live(firstToken time.Duration, now time.Time) {
	p.advance(now)
	p.lastLive = now
	p.firstToken = smooth(p.firstToken, firstToken, 16)
}

// Probe takes the round trip of a small message over the link.
func (p *Pacer) Probe(roundTrip time.Duration, now time.Time) {
	p.advance(now)
	if p.baseline == 0 || roundTrip < p.baseline {
		p.baseline = roundTrip
	}
	p.recent = smooth(p.recent, roundTrip, 4)
	if now.Sub(p.lastLive) > p.set.Quiet || p.wait() <= p.allowed() {
		return
	}
	if now.Sub(p.lastCut) >= p.set.Window {
		p.lastCut = now
		p.rate = math.Max(float64(p.set.Floor), p.rate*p.set.Decrease)
	}
}

// wait returns how long a message waits on the link, one way.
func (p *Pacer) wait() time.Duration { return (p.recent - p.baseline) / 2 }

func (p *Pacer) allowed() time.Duration {
	return max(p.set.MinWait, time.Duration(p.set.Share*float64(p.firstToken)))
}

func smooth(old, sample time.Duration, weight time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/weight
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
