// Package pace limits the rate of weight traffic while it delays live requests.
//
// # Usage
//
//	p := pace.New(pace.DefaultSettings(linkRate))
//	p.RecordFirstToken(delay, now)    // a live request got its first token
//	p.RecordRoundTrip(roundTrip, now) // a heartbeat over the link was acknowledged
//	limiter.SetLimit(p.Rate(now))
//
// The round trips of the heartbeats show the queueing delay of small messages behind
// weights on the link. While live requests are served, the allowed queueing delay is a
// share of the delay of their first tokens. The rate is multiplied by a factor below 1
// when the queueing delay exceeds the allowed one and increases linearly otherwise, as
// in TCP congestion control. Without live requests the rate is the full rate.
package pace

import (
	"math"
	"time"

	"amaranthturn/core/fleet"
)

// Settings are the parameters of a Pacer.
type Settings struct {
	FullRate fleet.Bytes // bytes a second without live requests
	MinRate  fleet.Bytes // bytes a second that distribution always gets
	// MaxDelayShare is the allowed queueing delay as a share of the first token's delay.
	MaxDelayShare float64
	// MinAllowedDelay is the lower bound of the allowed queueing delay; shorter delays
	// cannot be distinguished from noise.
	MinAllowedDelay time.Duration
	// DecreaseFactor is applied to the rate when the queueing delay is too long, at most
	// once per DecreaseInterval.
	DecreaseFactor   float64
	DecreaseInterval time.Duration
	// RecoveryTime is the time from the minimum rate back to the full rate.
	RecoveryTime time.Duration
	// IdleTime is the time without live requests after which the rate is the full rate.
	IdleTime time.Duration
}

// fullRateShare is the full rate as a share of the link's rate. It is below 1 so that weight
// traffic alone builds no queue.
const fullRateShare = 0.97

// DefaultSettings returns the settings for a link with the given rate in bytes a second.
func DefaultSettings(linkRate fleet.Bytes) Settings {
	full := fleet.Bytes(fullRateShare * float64(linkRate))
	return Settings{
		FullRate: full, MinRate: full / 4, MaxDelayShare: 0.10, MinAllowedDelay: 4 * time.Millisecond, DecreaseFactor: 0.85,
		DecreaseInterval: 250 * time.Millisecond, RecoveryTime: 3 * time.Second, IdleTime: 2 * time.Second,
	}
}

// Pacer computes the rate of weight traffic. It is not safe for concurrent use.
type Pacer struct {
	settings          Settings
	rate              float64
	updatedAt         time.Time
	lastDecrease      time.Time
	lastLiveRequest   time.Time
	averageFirstToken time.Duration // smoothed delay of live requests
	minRoundTrip      time.Duration
	averageRoundTrip  time.Duration // smoothed current round trip
}

// New returns a pacer at the full rate.
func New(settings Settings) *Pacer {
	return &Pacer{settings: settings, rate: float64(settings.FullRate)}
}

// RecordFirstToken records the delay of the first token of a live request.
func (p *Pacer) RecordFirstToken(firstToken time.Duration, now time.Time) {
	p.advance(now)
	p.lastLiveRequest = now
	p.averageFirstToken = smooth(p.averageFirstToken, firstToken, 16)
}

// RecordRoundTrip records the round trip of a small message over the link.
func (p *Pacer) RecordRoundTrip(roundTrip time.Duration, now time.Time) {
	p.advance(now)
	if p.minRoundTrip == 0 || roundTrip < p.minRoundTrip {
		p.minRoundTrip = roundTrip
	}
	p.averageRoundTrip = smooth(p.averageRoundTrip, roundTrip, 4)
	if now.Sub(p.lastLiveRequest) > p.settings.IdleTime || p.queueDelay() <= p.allowedDelay() {
		return
	}
	if now.Sub(p.lastDecrease) >= p.settings.DecreaseInterval {
		p.lastDecrease = now
		p.rate = math.Max(float64(p.settings.MinRate), p.rate*p.settings.DecreaseFactor)
	}
}

// queueDelay returns the one-way queueing delay of a message on the link.
func (p *Pacer) queueDelay() time.Duration { return (p.averageRoundTrip - p.minRoundTrip) / 2 }

// allowedDelay returns the queueing delay above which the rate is decreased.
func (p *Pacer) allowedDelay() time.Duration {
	return max(p.settings.MinAllowedDelay, time.Duration(p.settings.MaxDelayShare*float64(p.averageFirstToken)))
}

// smooth returns the moving average with the sample weighted 1/divisor.
func smooth(old, sample time.Duration, divisor time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/divisor
}

// Rate returns the current limit of weight traffic in bytes a second.
func (p *Pacer) Rate(now time.Time) fleet.Bytes {
	p.advance(now)
	if now.Sub(p.lastLiveRequest) > p.settings.IdleTime {
		p.rate = float64(p.settings.FullRate)
	}
	return fleet.Bytes(p.rate)
}

// advance increases the rate for the time since the last call. After a pause of the
// process it counts at most one DecreaseInterval.
func (p *Pacer) advance(now time.Time) {
	elapsed := min(max(0, now.Sub(p.updatedAt)), p.settings.DecreaseInterval)
	p.updatedAt = now
	step := float64(p.settings.FullRate-p.settings.MinRate) * float64(elapsed) / float64(p.settings.RecoveryTime)
	p.rate = math.Min(float64(p.settings.FullRate), p.rate+step)
}
