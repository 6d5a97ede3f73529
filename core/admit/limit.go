package admit

import (
	"math"
	"time"
)

// LimitSettings are the constants of an adaptive concurrency limit.
type LimitSettings struct {
	Min, Max int
	// Tolerance is how far above its baseline the delay may rise.
	Tolerance float64
	// Decrease is the factor applied when the delay is too high.
	Decrease float64
	// Window is the time between two decreases.
	Window time.Duration
	// BaselineLife is the time in which the baseline drifts to the present
	// delay, so that a lasting change of the targets is accepted.
	BaselineLife time.Duration
}

// DefaultLimitSettings suit engines that batch: delay rises once they are full.
var DefaultLimitSettings = LimitSettings{
	Min: 4, Max: 4096, Tolerance: 2, Decrease: 0.9, Window: 500 * time.Millisecond, BaselineLife: time.Minute,
}

// Limit adapts how many requests an entry has in flight to the delay of the
// targets: it rises by one a round while it is used up and the delay is near the
// baseline, and falls by a factor when the delay rises.
type Limit struct {
	set      LimitSettings
	value    float64
	baseline time.Duration
	recent   time.Duration
	lastCut  time.Time
	lastSeen time.Time
}

// NewLimit returns a limit that starts at start.
func NewLimit(set LimitSettings, start int) *Limit {
	return &Limit{set: set, value: float64(start)}
}

// Value returns the requests that may be in flight.
func (l *Limit) Value() int { return int(l.value) }

// Observe takes the delay of one first token, measured while inFlight requests
// were in flight.
func (l *Limit) Observe(delay time.Duration, inFlight int, now time.Time) {
	l.track(delay, now)
	if float64(l.recent) > l.set.Tolerance*float64(l.baseline) {
		l.cut(now)
		return
	}
	if inFlight >= int(l.value)-1 {
		l.value = math.Min(float64(l.set.Max), l.value+1/l.value)
	}
}

// Failed takes a target that refused or broke for overload.
func (l *Limit) Failed(now time.Time) { l.cut(now) }

func (l *Limit) track(delay time.Duration, now time.Time) {
	if l.baseline == 0 {
		l.baseline, l.recent, l.lastSeen = delay, delay, now
		return
	}
	l.recent += (delay - l.recent) / 8
	if delay < l.baseline {
		l.baseline = delay
	}
	drift := 1 - math.Exp(-float64(max(0, now.Sub(l.lastSeen)))/float64(l.set.BaselineLife))
	l.baseline += time.Duration(drift * float64(l.recent-l.baseline))
	l.lastSeen = now
}

func (l *Limit) cut(now time.Time) {
	if now.Sub(l.lastCut) < l.set.Window {
		return
	}
	l.lastCut = now
	l.value = math.Max(float64(l.set.Min), l.value*l.set.Decrease)
}
