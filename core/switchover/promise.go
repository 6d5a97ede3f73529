package switchover

import (
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
)

type given struct {
	nonce uint64
	at    time.Time
}

// Promises returns the promises that this instance has given.
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

// mayStopServing announces the intent and tells whether enough members promised.
func (m *Machine) mayStopServing(in Input, now time.Time) bool {
	if m.acting {
		return true
	}
	m.phase = PhaseStaged
	if len(m.promises) > 0 {
		// Two that hold each other's promise would wait without end.
		m.intent = 0
		m.wait = WaitPromised
		return false
	}
	if m.intent == 0 || now.Sub(m.intentAt) >= m.set.IntentLife {
		m.nonce++
		m.intent, m.intentAt = m.nonce, now
	}
	floor := min(in.MinServing, in.View.ZoneSize-1)
	if m.promised(in, now) < floor {
		m.wait = WaitPromises
		return false
	}
	return true
}

// promised counts the members that serve and promised to go on.
func (m *Machine) promised(in Input, now time.Time) int {
	n := 0
	for _, o := range in.View.Members {
		if o.Zone != m.set.Zone || o.Leaving || o.Serving == "" || m.stale(o, now) {
			continue
		}
		if slices.Contains(o.Promises, Promise{m.set.Self, m.intent}) {
			n++
		}
	}
	return n
}

// keepPromises gives and ends promises.
func (m *Machine) keepPromises(in Input, now time.Time) {
	m.endPromises(in, now)
	if m.acting || in.Leaving || in.Engine.Serving == "" || !in.Engine.Up {
		return
	}
	for _, o := range in.View.Members {
		if o.Zone != m.set.Zone || o.Intent == 0 || m.stale(o, now) {
			continue
		}
		if m.intent != 0 && !m.outranks(in, o.ID) {
			continue
		}
		if g, ok := m.promises[o.ID]; !ok || g.nonce != o.Intent {
			m.promises[o.ID] = given{o.Intent, now}
		}
	}
}

// outranks tells whether another member goes before this one.
func (m *Machine) outranks(in Input, other fleet.InstanceID) bool {
	key := string(in.Desired)
	return rank.Score(key, string(other)) > rank.Score(key, string(m.set.Self))
}

// endPromises drops promises whose member has no intent any more, or about which
// nothing was heard for so long that its intent must have ended.
func (m *Machine) endPromises(in Input, now time.Time) {
	for id, g := range m.promises {
		i := slices.IndexFunc(in.View.Members, func(o Member) bool { return o.ID == id })
		if i >= 0 && in.View.Members[i].Heard.After(g.at) {
			o := in.View.Members[i]
			if o.Intent == 0 {
				delete(m.promises, id)
				continue
			}
			if o.Intent == g.nonce {
				g.at = o.Heard
				m.promises[id] = g
			}
		}
		if now.Sub(g.at) > promiseFactor*m.set.IntentLife {
			delete(m.promises, id)
		}
	}
}
