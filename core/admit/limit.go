package admit

import (
	"math"
	"time"
)

// LimitSettings configure a Limit.
type LimitSettings struct {
	Min, Max int
	// Tolerance is the factor above the baseline up to which the delay may rise.
	Tolerance float64
	// DecreaseFactor multiplies the limit when the delay is too high.
	DecreaseFactor float64
	// DecreaseInterval is the minimum time between two decreases.
	DecreaseInterval time.Duration
	// BaselineTimeConstant is the time constant with which the baseline approaches the
	// current delay, so that the limit adapts to a lasting change of the targets.
	BaselineTimeConstant time.Duration
}

// DefaultLimitSettings suit engines that batch requests: their delay rises once the
// batch is full.
var DefaultLimitSettings = LimitSettings{
	Min: 4, Max: 4096, Tolerance: 2, DecreaseFactor: 0.9, DecreaseInterval: 500 * time.Millisecond, BaselineTimeConstant: time.Minute,
}

// Limit is an adaptive concurrency limit (additive increase, multiplicative decrease)
// for the requests that an entry has in flight. It rises by one per round while it is
// reached and the delay of the targets is near the baseline, and falls by a factor when
// the delay rises.
type Limit struct {
	settings     LimitSettings
	value        float64
	baseline     time.Duration
	smoothed     time.Duration
	lastDecrease time.Time
	lastSample   time.Time
}

// NewLimit returns a limit with the initial value start.
func NewLimit(settings LimitSettings, start int) *Limit {
	return &Limit{settings: settings, value: float64(start)}
}

// Value returns how many requests may be in flight.
func (l *Limit) Value() int { return int(l.value) }

// Observe records the delay of one first token, measured while inFlight requests
// were in flight.
func (l *Limit) Observe(delay time.Duration, inFlight int, now time.Time) {
	l.updateDelays(delay, now)
	if float64(l.smoothed) > l.settings.Tolerance*float64(l.baseline) {
		l.decrease(now)
		return
	}
	if inFlight >= int(l.value)-1 {
		l.value = math.Min(float64(l.settings.Max), l.value+1/l.value)
	}
}

// RecordOverload decreases the limit after a target refused or failed a request because
// of overload.
func (l *Limit) RecordOverload(now time.Time) { l.decrease(now) }

func (l *Limit) updateDelays(delay time.Duration, now time.Time) {
	if l.baseline == 0 {
		l.baseline, l.smoothed, l.lastSample = delay, delay, now
		return
	}
	l.smoothed += (delay - l.smoothed) / 8
	if delay < l.baseline {
		l.baseline = delay
	}
	drift := 1 - math.Exp(-float64(max(0, now.Sub(l.lastSample)))/float64(l.settings.BaselineTimeConstant))
	l.baseline += time.Duration(drift * float64(l.smoothed-l.baseline))
	l.lastSample = now
}

func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < l.settings.DecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.value = math.Max(float64(l.settings.Min), l.value*l.settings.DecreaseFactor)
}
