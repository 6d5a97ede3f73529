// Package mirror keeps a read-only copy of the platform's metadata. The data is read from
// the store or received from another daemon that reads it.
//
// # Usage
//
//	m := mirror.New(retention)
//	changes := m.Load(mirror.Snapshot{Items: items, At: at}, asOf, now) // after reading the full store
//	changes = m.Apply(events, at, asOf)                                 // after a watch
//	changes = m.Tick(now)                                               // ends retentions that are due
//	u := m.ChangesSince(position)                                       // what another daemon has not received
//	changes = m.Merge(u, asOf, now)                                     // an update from another daemon
//
// The time asOf is when the store is known to have had the content, or zero if unknown.
//
// # Eras
//
// A store that is restored from a copy loses what was written since the copy was made, and
// assigns the revisions of these writes again. Each restoration begins an era, and states
// are ordered by era and revision. Only a complete read or update leads into a later era;
// what belongs to an earlier one is ignored.
//
// # Restored items
//
// A restored store may list an item in an older state than the one known from the previous
// era, or lack it, until its writer has written it again. The later state is retained
// meanwhile. Retention states for how long: a target renews its record, so the listed state
// applies once its writer has had the time to. Revisions say nothing about the order of states
// of different eras, since a copy may be from before an earlier restoration; values are compared.
// Items without a period are reported as listed, and the retained state is only handed on to
// daemons that do not know it.
//
// # Daemons that lag behind
//
// A daemon receives the last state of each item that has changed since its position, not the states
// in between, as one does that reads the store. What a copy holds is therefore bounded by the size of
// the store and not by the number of changes. A state that cannot be used does not take the place of
// the one before it: both are handed on, so that a daemon which has missed the first is left with the
// same one in force as all others.
//
// Deleted items are kept too, with a summary of their last value, and those that were deleted first are
// dropped when there are too many. A daemon whose position is before that receives the full copy.
package mirror

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/google/btree"
)

// Revision orders the changes of the store within an era.
type Revision uint64

// Era counts the restorations of the store from a copy. It is 0 for a store that does not
// state it.
type Era uint64

// Position is a point in the history of the store.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Event is the write or deletion of an item.
type Event struct {
	Key      string
	Value    []byte
	Era      Era
	Revision Revision
	// Deleted reports that the item is gone. Value is then the summary of its last known state.
	Deleted bool
	// Missing reports that the item is known to be gone only because a complete read lacked it.
	// Revision is that of the read.
	Missing bool
}

// Position returns the position at which the event was read.
func (e Event) Position() Position { return Position{e.Era, e.Revision} }

// isSame reports whether two events leave an item in the same state.
func (e Event) isSame(f Event) bool {
	return e.Deleted == f.Deleted && (e.Deleted || bytes.Equal(e.Value, f.Value))
}

// Retention describes the items under a prefix of keys: which of their states can come in force, how two
// states compare, and how long one from before a restoration remains in force. Without periods it
// remains until the item is written again, and users of the mirror order its states.
type Retention struct {
	// IsUsable reports whether a state can come in force. Nil means that every state can.
	IsUsable func(e Event) bool
	// Compare returns a number below, at or above 0 if by its value the first state is earlier
	// than, equal to or later than the second one of the same item.
	Compare func(a, b Event) int
	// Summary returns what Compare needs of a state's value, which is kept of a deleted item. Nil keeps
	// all of it.
	Summary func(e Event) []byte
	// Missing applies to an item that the restored store lacks.
	Missing time.Duration
	// Older applies to an item of which the restored store may list an older state.
	Older time.Duration
}

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	retentions map[string]Retention // by prefix of the key
	items      map[string]Event     // as listed by the store, including deleted items
	// usable holds the last usable state of each item whose listed state is not usable.
	usable   map[string]Event
	order    *btree.BTreeG[change] // of items and usable
	retained map[string]retained
	// completeAfter is the revision after which all changes are known. Of what came and left before it, some
	// may not be.
	completeAfter Revision
	deleted       int // items that are gone
	// forgotten is the latest position of a deleted item that is not kept any more. An item that is
	// not known, and was last written before, may be one of these.
	forgotten Position
	position  Position
	// eraBase is the lowest revision at which the store is known to have been read in this
	// era. Writes after it are not from the copy.
	eraBase   Revision
	eraSince  time.Time // when this daemon learned of the era
	currentAt time.Time // last time the copy was known to match the store
}

// retained is the last state of an item from before a restoration.
type retained struct {
	Event
	until time.Time // zero: until it is written again
}

// New returns an empty copy. The keys of the map are prefixes of the items' keys. States of items
// with other keys cannot be compared.
func New(retentions map[string]Retention) *Mirror {
	return &Mirror{
		retentions: retentions, items: map[string]Event{}, usable: map[string]Event{}, retained: map[string]retained{},
		order: btree.NewG(treeDegree, change.isBefore),
	}
}

// Position returns the position up to which the copy is complete, zero before the first read.
func (m *Mirror) Position() Position { return m.position }

// CurrentAt returns the last time at which the copy was known to be current.
func (m *Mirror) CurrentAt() time.Time { return m.currentAt }

// Get returns an item that is listed.
func (m *Mirror) Get(key string) (Event, bool) {
	e, ok := m.items[key]
	return e, ok && !e.Deleted
}

// WithPrefix returns the listed items whose key begins with prefix, sorted by key.
func (m *Mirror) WithPrefix(prefix string) []Event {
	var out []Event
	for k, e := range m.items {
		if !e.Deleted && strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	sortByKey(out)
	return out
}

// Snapshot is the result of a complete read that began at a position.
type Snapshot struct {
	// Prefix is that of all items of the snapshot.
	Prefix string
	Items  []Event
	At     Position
}

// Load replaces the items under the snapshot's prefix and returns the changes.
func (m *Mirror) Load(s Snapshot, asOf, now time.Time) []Event {
	if !m.enter(s.At, s.At.Revision, now) {
		return nil
	}
	if m.position.Revision > 0 && m.position.Before(s.At) { // what came and left in between is not known
		m.completeAfter = max(m.completeAfter, s.At.Revision)
	}
	present := make(map[string]bool, len(s.Items))
	var out []Event
	for _, e := range s.Items {
		present[e.Key] = true
		out = m.put(out, e, s.At)
	}
	for k, e := range m.items {
		if strings.HasPrefix(k, s.Prefix) && !present[k] && m.isMissing(e, s.At) {
			out = m.put(out, Event{Key: k, Era: s.At.Era, Revision: s.At.Revision, Deleted: true, Missing: true}, s.At)
		}
	}
	m.advance(s.At, asOf)
	m.forgetDeleted()
	return out
}

// Apply applies changes up to a position and returns those that were new. It ignores changes
// of another era.
func (m *Mirror) Apply(events []Event, at Position, asOf time.Time) []Event {
	if at.Era != m.position.Era {
		return nil
	}
	var out []Event
	for _, e := range events {
		out = m.put(out, e, Position{})
	}
	m.advance(at, asOf)
	m.forgetDeleted()
	return out
}

// enter begins the era of a position that is later than the known one, and reports whether
// the position belongs to the current era.
func (m *Mirror) enter(at Position, base Revision, now time.Time) bool {
	switch {
	case at.Era < m.position.Era:
		return false
	case at.Era > m.position.Era:
		m.position, m.eraBase, m.eraSince = Position{Era: at.Era}, base, now
		m.completeAfter = at.Revision
	default:
		m.eraBase = min(m.eraBase, base)
	}
	return true
}

func (m *Mirror) advance(at Position, asOf time.Time) {
	m.position.Revision = max(m.position.Revision, at.Revision)
	if asOf.After(m.currentAt) {
		m.currentAt = asOf
	}
}

// isMissing reports whether the lack of an item in a complete read that began at a position is
// news. The read may lack items that were written after it began.
func (m *Mirror) isMissing(e Event, at Position) bool {
	if e.Deleted {
		_, isRetained := m.retained[e.Key]
		return isRetained && e.Era < at.Era
	}
	return !at.Before(e.Position())
}

// put records the state that the store lists for an item, and appends it to out if it is in
// force now. The position readAt is that of a complete read that lists it, zero for a change.
func (m *Mirror) put(out []Event, e Event, readAt Position) []Event {
	old, ok := m.items[e.Key]
	if !ok {
		old, ok = m.forgottenState(e, readAt)
	}
	if m.endsRetention(e, old) {
		delete(m.retained, e.Key)
		return append(out, e)
	}
	if ok && (e.Position().Before(old.Position()) || e.Position() == old.Position() && old.Deleted == e.Deleted) {
		return out
	}
	inForce, isRetained := m.retained[e.Key]
	if !isRetained {
		inForce.Event = m.lastUsable(old)
	}
	m.list(e)
	if !ok || !m.mayBeRestored(e, inForce.Event) {
		delete(m.retained, e.Key)
		return append(out, e)
	}
	isInForce := !m.mayBeOlder(e, inForce.Event)
	inForce.until = m.retainUntil(e)
	switch isTimed := !inForce.until.IsZero(); {
	case !isInForce, isTimed && e.isSame(inForce.Event): // known, so that no other daemon's earlier state applies
		m.retained[e.Key] = inForce
	default:
		delete(m.retained, e.Key)
	}
	if isInForce || inForce.until.IsZero() {
		return append(out, e)
	}
	return out
}

// endsRetention reports whether an event states the removal of an item that a read of this
// daemon was already lacking, and whose earlier state is retained.
func (m *Mirror) endsRetention(e, listed Event) bool {
	_, isRetained := m.retained[e.Key]
	return isRetained && listed.Missing && e.Deleted && !e.Missing && e.Era == m.position.Era && e.Revision > m.eraBase
}

// mayBeOlder reports whether the state e, which is listed now, may be older than the one from
// an earlier era by their positions and contents.
func (m *Mirror) mayBeOlder(e, earlier Event) bool {
	if e.isSame(earlier) || !m.mayBeRestored(e, earlier) {
		return false
	}
	if e.Missing {
		return true
	}
	c, ok := m.compare(e, earlier)
	return !ok || c < 0 || c == 0 && earlier.Deleted
}

// compare compares two states of an item by their values, or the last ones before a deletion. It
// reports false if they cannot be compared.
func (m *Mirror) compare(a, b Event) (int, bool) {
	r, ok := m.retention(a.Key)
	if !ok || r.Compare == nil || len(a.Value) == 0 || len(b.Value) == 0 {
		return 0, false
	}
	return r.Compare(a, b), true
}

// mayBeRestored reports whether the state e, which is listed now, may be from the copy and the
// other one from before the restoration. What is written after the first read of an era is not.
func (m *Mirror) mayBeRestored(e, earlier Event) bool {
	return e.Era > earlier.Era && (e.Missing || e.Revision <= m.eraBase)
}

// retainUntil returns until when an earlier state remains in force instead of the listed one,
// or zero for items that have a version of their own.
func (m *Mirror) retainUntil(listed Event) time.Time {
	r, ok := m.retention(listed.Key)
	period := r.Older
	if listed.Deleted {
		period = r.Missing
	}
	if !ok || period == 0 {
		return time.Time{}
	}
	return m.eraSince.Add(period)
}

func (m *Mirror) retention(key string) (Retention, bool) {
	for prefix, r := range m.retentions {
		if strings.HasPrefix(key, prefix) {
			return r, true
		}
	}
	return Retention{}, false
}

// HasTimedRetentions reports whether states are retained for a period that has not ended.
func (m *Mirror) HasTimedRetentions() bool {
	for _, r := range m.retained {
		if !r.until.IsZero() {
			return true
		}
	}
	return false
}

// Tick ends the retentions that are due and returns the listed states that are in force
// instead.
func (m *Mirror) Tick(now time.Time) []Event {
	var out []Event
	for k, r := range m.retained {
		if !r.until.IsZero() && !now.Before(r.until) {
			delete(m.retained, k)
			out = append(out, m.items[k])
		}
	}
	sortByKey(out)
	return out
}

func sortByKey(events []Event) {
	slices.SortFunc(events, func(a, b Event) int { return strings.Compare(a.Key, b.Key) })
}

// Retained returns the states from before a restoration that are still in force, sorted by
// key.
func (m *Mirror) Retained() []Event {
	var out []Event
	for _, r := range m.retained {
		out = append(out, r.Event)
	}
	sortByKey(out)
	return out
}

// Recall applies states that another daemon retains, and returns those that are in force
// here too and were not known.
func (m *Mirror) Recall(events []Event, now time.Time) []Event {
	var out []Event
	for _, e := range events {
		listed, isListed := m.items[e.Key]
		if !isListed {
			listed = Event{Key: e.Key, Era: m.position.Era, Revision: m.eraBase, Deleted: true, Missing: true}
		}
		until := m.retainUntil(listed)
		known, isRetained := m.retained[e.Key]
		switch {
		case e.Era >= m.position.Era:
			continue // not from before the restoration
		case !until.IsZero() && !now.Before(until):
			continue
		case !isListed && !until.IsZero() && m.mayBeForgotten(e):
			continue
		case isListed && listed.Deleted && m.hasSeenLater(listed, e):
			continue // known to have been there, and to be gone since
		case isRetained && !m.isLater(e, known.Event):
			continue
		case !m.mayBeOlder(listed, e):
			continue
		}
		m.list(listed)
		m.retained[e.Key] = retained{e, until}
		out = append(out, e)
	}
	return out
}

// hasSeenLater reports whether an item that is gone is known in a state that is not earlier than
// e, or was gone before the restoration.
func (m *Mirror) hasSeenLater(gone, e Event) bool {
	c, ok := m.compare(e, gone)
	return ok && c <= 0 || !ok && gone.Era < m.position.Era
}

// isLater reports whether a state that another daemon retains is later than the known one.
// Both may be from any era before the current one.
func (m *Mirror) isLater(e, known Event) bool {
	if c, ok := m.compare(e, known); ok {
		return c > 0 || c == 0 && e.Deleted && !known.Deleted
	}
	return known.Position().Before(e.Position()) && known.Era == e.Era
}
