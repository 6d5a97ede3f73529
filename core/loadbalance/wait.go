package loadbalance

import "time"

const (
	// waitShare is the share of the objective that a request may wait for a slot. The remainder is
	// needed for its work, which at an engine shares the batch with the running requests.
	waitShare = 0.35
	// durationMargin is the factor of the mean duration within which most responses end.
	durationMargin = 1.5
)

// MaxWait returns how long a request may wait for a slot so that it can be answered within its
// objective, with the expected duration of the response or 0.
func MaxWait(objective, expected time.Duration) time.Duration {
	wait := time.Duration(waitShare * float64(objective))
	if expected > 0 {
		wait = min(wait, objective-time.Duration(durationMargin*float64(expected)))
	}
	return max(0, wait)
}
