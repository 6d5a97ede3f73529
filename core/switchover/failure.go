package switchover

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// desiredIsFailing reports whether the desired version failed on too many instances, or
// failed on this one and its retry delay has not passed.
func (m *Machine) desiredIsFailing(in Input, now time.Time) bool {
	return m.failedInstances(in) >= m.failedInstanceLimit(in, now) || m.failures[in.Desired] > 0 && now.Before(m.retryAt[in.Desired])
}

// failedInstances counts the instances on which the desired version failed.
func (m *Machine) failedInstances(in Input) int {
	n := in.View.FailedOn[in.Desired]
	if m.failures[in.Desired] > 0 {
		n++
	}
	return n
}

// failedInstanceLimit returns the number of failed instances at which a version stops
// spreading. The limit grows with the number of serving instances, so that isolated
// bad instances don't stop a widely served version. It is 1 without other members, so
// that a lone instance stops after its own failure.
func (m *Machine) failedInstanceLimit(in Input, now time.Time) int {
	serving := 0
	for _, o := range in.View.Members {
		if o.Serving == in.Desired && !m.isStale(o, now) {
			serving++
		}
	}
	limit := min(m.settings.MaxFailedInstances, len(in.View.Members)+1)
	return max(1, limit, serving/toleratedFailureDivisor)
}

// toleratedFailureDivisor is the number of serving instances for each tolerated failed
// instance: up to a quarter of them may fail before a version stops spreading.
const toleratedFailureDivisor = 4

// mayLoad reports whether this instance may load v now. Until v is proven, only the
// highest ranked member of the zone that has staged it may.
func (m *Machine) mayLoad(in Input, v fleet.Version, now time.Time) bool {
	if v == m.lastGood || m.isProven(in, v, now) {
		return true
	}
	key := string(v)
	selfScore := rank.Score(key, string(m.settings.Self))
	for _, o := range in.View.Members {
		if o.Zone != m.settings.Zone || o.Staged != v || o.Leaving || m.isStale(o, now) {
			continue
		}
		if rank.Score(key, string(o.ID)) > selfScore {
			m.wait = WaitCanary
			return false
		}
	}
	return true
}

func (m *Machine) isProven(in Input, v fleet.Version, now time.Time) bool {
	return slices.ContainsFunc(in.View.Members, func(o Member) bool {
		return o.Serving == v && !m.isStale(o, now)
	})
}

// checkActiveVersion counts a failure of the active version if the engine stops serving
// it soon after activation. An engine that does not respond is checked once it responds
// again.
func (m *Machine) checkActiveVersion(in Input, now time.Time) {
	lost := m.active != "" && in.Engine.Up && in.Engine.Serving != m.active
	if !lost || m.pending.Kind != ActionNone || m.switching {
		return
	}
	// A crashing request may be the cause and is detected elsewhere, so the first crash
	// with requests running does not count against the version. A second one does.
	isExcused := in.CrashedWithRequests && !m.crashExcused[m.active]
	if isExcused {
		m.crashExcused[m.active] = true
	}
	if now.Sub(m.activeAt) < m.settings.ProvingPeriod && !isExcused {
		m.failures[m.active]++
		m.retryAt[m.active] = now.Add(m.settings.RetryDelay)
	}
	m.active = ""
}
