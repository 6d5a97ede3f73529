package switchover

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

// givenUp tells that the desired version failed on too many instances, or failed
// here a short while ago.
func (m *Machine) givenUp(in Input, now time.Time) bool {
	return m.failedOn(in) >= m.failLimit(in, now) || m.failures[in.Desired] > 0 && now.Before(m.retryAt[in.Desired])
}

// failedOn counts the instances that the desired version failed on.
func (m *Machine) failedOn(in Input) int {
	n := in.View.FailedOn[in.Desired]
	if m.failures[in.Desired] > 0 {
		n++
	}
	return n
}

// failLimit is the failed instances at which a version stops spreading. A
// version that many serve is not stopped by a few bad instances, and a lone
// instance stops by itself.
func (m *Machine) failLimit(in Input, now time.Time) int {
	serving := 0
	for _, o := range in.View.Members {
		if o.Serving == in.Desired && !m.stale(o, now) {
			serving++
		}
	}
	limit := min(m.set.FailLimit, len(in.View.Members)+1)
	return max(1, limit, serving/toleratedShare)
}

// toleratedShare of the serving instances may fail without stopping a version.
const toleratedShare = 4

// mayBegin tells whether the version may be loaded here now.
func (m *Machine) mayBegin(in Input, v fleet.Version, now time.Time) bool {
	if v == m.lastGood || m.proven(in, v, now) {
		return true
	}
	key := string(v)
	mine := rank.Score(key, string(m.set.Self))
	for _, o := range in.View.Members {
		if o.Zone != m.set.Zone || o.Staged != v || o.Leaving || m.stale(o, now) {
			continue
		}
		if rank.Score(key, string(o.ID)) > mine {
			m.wait = WaitCanary
			return false
		}
	}
	return true
}

func (m *Machine) proven(in Input, v fleet.Version, now time.Time) bool {
	return slices.ContainsFunc(in.View.Members, func(o Member) bool {
		return o.Serving == v && !m.stale(o, now)
	})
}

// watchEngine blames a version when the engine loses it soon after activation. An
// engine that only does not answer is not judged until it does.
func (m *Machine) watchEngine(in Input, now time.Time) {
	lost := m.active != "" && in.Engine.Up && in.Engine.Serving != m.active
	if !lost || m.busy.Kind != ActionNone || m.acting {
		return
	}
	// A request may be the cause, and is found by other means; a version that dies
	// under requests again is blamed all the same.
	excuse := in.DiedBusy && !m.excused[m.active]
	if excuse {
		m.excused[m.active] = true
	}
	if now.Sub(m.activeAt) < m.set.ProveTime && !excuse {
		m.failures[m.active]++
		m.retryAt[m.active] = now.Add(m.set.RetryAfter)
	}
	m.active = ""
}
