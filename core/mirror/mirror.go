// Package mirror keeps a read-only copy of the platform's metadata. The data is read from
// the store or received from another daemon that reads it.
//
// # Usage
//
//	m := mirror.New()
//	m.Load(prefix, items, at, now)               // after reading a range
//	m.Apply(events, at, now)                     // after a watch or an update from another daemon
//	events, at, full := m.ChangesSince(revision) // changes that another daemon has not received
//
// # Invariants
//
// The revision of an item never decreases, so events may be applied repeatedly and in any
// order. A deleted item stays deleted until a later write.
package mirror

import (
	"slices"
	"strings"
	"time"
)

// Revision orders the changes of the store.
type Revision uint64

// Event is the write or deletion of an item.
type Event struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// maxLogLength is the number of changes kept for daemons that lag behind. A daemon that
// lags further receives the full copy.
const maxLogLength = 4096

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	items map[string]Event // including deleted items
	log   []Event
	// logBase is the revision after which the log is complete.
	logBase   Revision
	revision  Revision
	currentAt time.Time // last time the copy was known to match the store
}

// New returns an empty copy.
func New() *Mirror { return &Mirror{items: map[string]Event{}} }

// Revision returns the revision up to which the copy is complete, 0 before the first read.
func (m *Mirror) Revision() Revision { return m.revision }

// CurrentAt returns the last time at which the copy was known to be current.
func (m *Mirror) CurrentAt() time.Time { return m.currentAt }

// Get returns an item that is not deleted.
func (m *Mirror) Get(key string) (Event, bool) {
	e, ok := m.items[key]
	return e, ok && !e.Deleted
}

// WithPrefix returns the items whose key begins with prefix, without deleted ones, sorted by key.
func (m *Mirror) WithPrefix(prefix string) []Event {
	var out []Event
	for k, e := range m.items {
		if !e.Deleted && strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Load replaces the items under prefix by the result of a full read that began at revision
// at. It returns the changes.
func (m *Mirror) Load(prefix string, items []Event, at Revision, now time.Time) []Event {
	present := make(map[string]bool, len(items))
	var out []Event
	for _, e := range items {
		present[e.Key] = true
		out = m.put(out, e)
	}
	for k, e := range m.items {
		// The read may lack items that were written after it began.
		if strings.HasPrefix(k, prefix) && !present[k] && !e.Deleted && e.Revision <= at {
			out = m.put(out, Event{Key: k, Revision: at, Deleted: true})
		}
	}
	m.advance(at, now)
	return out
}

// Apply applies changes up to revision at and returns those that were new.
func (m *Mirror) Apply(events []Event, at Revision, now time.Time) []Event {
	var out []Event
	for _, e := range events {
		out = m.put(out, e)
	}
	m.advance(at, now)
	return out
}

func (m *Mirror) advance(at Revision, now time.Time) {
	m.revision = max(m.revision, at)
	if now.After(m.currentAt) {
		m.currentAt = now
	}
}

func (m *Mirror) put(out []Event, e Event) []Event {
	old, ok := m.items[e.Key]
	if ok && (old.Revision > e.Revision || old.Revision == e.Revision && old.Deleted == e.Deleted) {
		return out
	}
	m.items[e.Key] = e
	m.log = append(m.log, e)
	if len(m.log) > maxLogLength {
		drop := len(m.log) - maxLogLength/2
		for _, d := range m.log[:drop] {
			m.logBase = max(m.logBase, d.Revision)
		}
		m.log = slices.Clone(m.log[drop:])
	}
	return append(out, e)
}

// ChangesSince returns the changes after a revision. If the log does not reach back that
// far, it returns all items, including deleted ones, and full is true.
func (m *Mirror) ChangesSince(after Revision) (events []Event, at Revision, full bool) {
	if after == 0 || after < m.logBase {
		for _, e := range m.items {
			events = append(events, e)
		}
		return events, m.revision, true
	}
	for _, e := range m.log {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, m.revision, false
}
