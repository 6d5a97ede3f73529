package loadbalance

import (
	"math"
	"math/rand/v2"
	"time"
)

// window limits the requests that one entry has in flight on targets whose load nobody reports.
// It begins at the entry's share of the slots and grows while it is used up and responses are
// not slower than they were with less load. Targets that queue show an overload only by slower
// responses, those that don't by rejections. It is never less than the share.
type window struct {
	size      float64
	mean      time.Duration // of the last responses
	steady    time.Duration // of more responses
	lowest    time.Duration // lowest steady mean, which approaches the current one with time
	deviation time.Duration // mean absolute deviation of responses
	responses int
	updatedAt time.Time
	shrunkAt  time.Time
	draw      float64 // decides whether the fraction of a request is allowed
	drawnAt   time.Time
}

const (
	// windowResponses is the number of responses over which their duration is averaged.
	windowResponses = 8
	// steadyResponses is the number of responses of the mean that the lowest is taken of.
	steadyResponses = 32
	// windowTolerance is the factor above the lowest mean duration up to which responses show
	// no overload.
	windowTolerance = 1.6
	// windowDeviations is the number of mean deviations of an average that its chance explains.
	windowDeviations = 4
	// windowDecrease multiplies the window when there is an overload, at most once per
	// windowInterval.
	windowDecrease = 0.7
	windowInterval = 200 * time.Millisecond
	// lowestTimeConstant, or lowestTimeFactor times the mean if that is longer, is the time
	// constant with which the lowest mean approaches the current one, so that the window adapts
	// to requests that have become longer.
	lowestTimeConstant = time.Minute
	lowestTimeFactor   = 200
)

// limit returns the number of requests allowed in flight for an entry with the given share of
// the slots. A fraction is allowed for a fraction of the time: many entries before few slots
// would otherwise keep one request each in flight.
func (w *window) limit(share float64, random *rand.Rand, now time.Time) int {
	size := math.Max(share, w.size)
	if w.shrunkAt.IsZero() {
		size = math.Max(1, size)
	}
	whole, fraction := math.Modf(size)
	if now.Sub(w.drawnAt) >= w.mean {
		w.drawnAt, w.draw = now, random.Float64()
	}
	if w.draw < fraction {
		whole++
	}
	return int(whole)
}

// recordResponse records the duration of a complete response, with the number of requests that
// were in flight meanwhile.
func (w *window) recordResponse(took time.Duration, inFlight int, share, slots float64, now time.Time) {
	w.updateMean(took, now)
	size := math.Max(share, w.size)
	switch {
	case w.responses >= windowResponses && w.mean > w.threshold():
		w.shrink(now)
	case float64(inFlight) >= size-1:
		w.size = math.Min(slots, size+1.0/windowResponses)
	}
}

// threshold returns the mean duration above which responses show an overload.
func (w *window) threshold() time.Duration {
	chance := windowDeviations * float64(w.deviation) / math.Sqrt(windowResponses)
	return w.lowest + max(time.Duration((windowTolerance-1)*float64(w.lowest)), time.Duration(chance))
}

// shrink reduces the window after a sign of overload.
func (w *window) shrink(now time.Time) {
	if now.Sub(w.shrunkAt) < max(windowInterval, w.mean) {
		return
	}
	w.shrunkAt = now
	w.size *= windowDecrease
}

func (w *window) updateMean(took time.Duration, now time.Time) {
	w.responses++
	if w.responses == 1 {
		w.mean, w.steady, w.lowest, w.updatedAt = took, took, took, now
		return
	}
	w.deviation += (max(took-w.steady, w.steady-took) - w.deviation) / time.Duration(min(w.responses, steadyResponses))
	w.mean += (took - w.mean) / time.Duration(min(w.responses, windowResponses))
	w.steady += (took - w.steady) / time.Duration(min(w.responses, steadyResponses))
	if w.responses <= windowResponses || w.steady < w.lowest {
		w.lowest = w.steady
	}
	drift := 1 - math.Exp(-float64(max(0, now.Sub(w.updatedAt)))/float64(max(lowestTimeConstant, lowestTimeFactor*w.lowest)))
	w.lowest += time.Duration(drift * float64(w.steady-w.lowest))
	w.updatedAt = now
}
