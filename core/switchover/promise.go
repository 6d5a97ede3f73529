package switchover

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

type givenPromise struct {
	nonce     uint64
	renewedAt time.Time
}

// Promises returns the promises of this instance that are in force, sorted by receiver.
func (m *Machine) Promises() []Promise {
	var out []Promise
	for id, g := range m.promises {
		out = append(out, Promise{id, g.nonce})
	}
	slices.SortFunc(out, func(a, b Promise) int {
		if a.To < b.To {
			return -1
		}
		return 1
	})
	return out
}

// mayStopServing announces an intent to stop serving and reports whether enough members
// promised to continue.
func (m *Machine) mayStopServing(in Input, now time.Time) bool {
	if m.switching {
		return true
	}
	m.phase = PhaseStaged
	if len(m.promises) > 0 {
		// Two instances that promised each other to keep serving would deadlock.
		m.intent = 0
		m.wait = WaitPromiseGiven
		return false
	}
	if m.intent == 0 || now.Sub(m.intentAt) >= m.settings.IntentTTL {
		m.nonce++
		m.intent, m.intentAt = m.nonce, now
	}
	required := min(in.MinServing, in.View.ZoneSize-1)
	if m.countPromises(in, now) < required {
		m.wait = WaitPromises
		return false
	}
	return true
}

// countPromises counts the serving members of the zone that promised to keep serving.
func (m *Machine) countPromises(in Input, now time.Time) int {
	n := 0
	for _, o := range in.View.Members {
		if o.Zone != m.settings.Zone || o.Leaving || o.Serving == "" || m.isStale(o, now) {
			continue
		}
		if slices.Contains(o.Promises, Promise{m.settings.Self, m.intent}) {
			n++
		}
	}
	return n
}

// updatePromises makes promises to members with an intent and drops those no longer needed.
func (m *Machine) updatePromises(in Input, now time.Time) {
	m.dropPromises(in, now)
	if m.switching || in.Leaving || in.Engine.Serving == "" || !in.Engine.Up {
		return
	}
	for _, o := range in.View.Members {
		if o.Zone != m.settings.Zone || o.Intent == 0 || m.isStale(o, now) {
			continue
		}
		if m.intent != 0 && !m.isOutranked(in, o.ID) {
			continue
		}
		if g, ok := m.promises[o.ID]; !ok || g.nonce != o.Intent {
			m.promises[o.ID] = givenPromise{o.Intent, now}
		}
	}
}

// isOutranked reports whether another member ranks higher than this one.
func (m *Machine) isOutranked(in Input, other fleet.InstanceID) bool {
	key := string(in.Desired)
	return rank.Score(key, string(other)) > rank.Score(key, string(m.settings.Self))
}

// dropPromises drops promises to members that no longer have an intent, or whose last
// update is so old that the intent must have expired.
func (m *Machine) dropPromises(in Input, now time.Time) {
	for id, g := range m.promises {
		i := slices.IndexFunc(in.View.Members, func(o Member) bool { return o.ID == id })
		if i >= 0 && in.View.Members[i].LastSeen.After(g.renewedAt) {
			o := in.View.Members[i]
			if o.Intent == 0 {
				delete(m.promises, id)
				continue
			}
			if o.Intent == g.nonce {
				g.renewedAt = o.LastSeen
				m.promises[id] = g
			}
		}
		if now.Sub(g.renewedAt) > promiseTTLFactor*m.settings.IntentTTL {
			delete(m.promises, id)
		}
	}
}
