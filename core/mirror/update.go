package mirror

import "time"

// Update is what another daemon needs to have the same copy.
type Update struct {
	// Events are the changes, or all items including deleted ones if Full is true.
	Events []Event
	At     Position
	Full   bool
	// EraBase is the lowest revision at which the store is known to have been read in the
	// era.
	EraBase Revision
}

// ChangesSince returns the last states of the items that have changed after a position, in the order
// in which they were written. If not all changes after it are known, the update is full.
func (m *Mirror) ChangesSince(after Position) Update {
	u := Update{At: m.position, EraBase: m.eraBase}
	if after.Era > m.position.Era {
		return u // a daemon of a later era ignores all others
	}
	first := Position{after.Era, after.Revision + 1}
	if after.Era != m.position.Era || after.Revision == 0 || after.Revision < m.completeAfter || after.Before(m.forgotten) {
		u.Full = true
		u.Events = make([]Event, 0, m.order.Len())
		first = Position{}
	}
	m.order.AscendGreaterOrEqual(change{at: first}, func(c change) bool {
		e := m.items[c.key]
		if e.Position() != c.at {
			e = m.usable[c.key]
		}
		u.Events = append(u.Events, e)
		return true
	})
	return u
}

// Merge applies an update from another daemon and returns the changes. It ignores one from
// an earlier era.
func (m *Mirror) Merge(u Update, asOf, now time.Time) []Event {
	if !u.Full {
		if u.At.Era == m.position.Era {
			m.eraBase = min(m.eraBase, u.EraBase)
		}
		return m.Apply(u.Events, u.At, asOf)
	}
	if !m.enter(u.At, u.EraBase, now) {
		return nil
	}
	return m.Load(Snapshot{Items: u.Events, At: u.At}, asOf, now)
}
