// Package mirror keeps a read-only copy of the platform's metadata: what was read from
// the store, or heard from another daemon that read it.
//
// # Usage
//
//	m := mirror.New(prefixes)
//	m.Load(prefix, items, at, now)      // a range was read
//	m.Apply(events, at, now)            // a watch returned, or another daemon told
//	events, at, ok := m.Since(revision) // what another daemon lacks
//
// # Invariants
//
// The revision of an item never falls, so that events may be applied twice and in any
// order. An item that was deleted stays deleted until a later write.
package mirror

import (
	"slices"
	"strings"
	"time"
)

// Revision orders the changes of the store.
type Revision uint64

// Event is a written item, or a deleted one.
type Event struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// logLength is how many changes are kept for daemons that lag behind; one that lags
// further gets the whole copy.
const logLength = 4096

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	items map[string]Event // deleted ones included
	log   []Event
	// base is the revision after which the log is complete.
	base Revision
	at   Revision
	seen time.Time // when the store was known to be at revision at
}

// New returns an empty copy.
func New() *Mirror { return &Mirror{items: map[string]Event{}} }

// At returns the revision up to which the copy is complete, 0 before the first read.
func (m *Mirror) At() Revision { return m.at }

// Seen returns when the copy was last known to be current.
func (m *Mirror) Seen() time.Time { return m.seen }

// Get returns a live item.
func (m *Mirror) Get(key string) (Event, bool) {
	e, ok := m.items[key]
	return e, ok && !e.Deleted
}

// Under returns the live items whose key begins with prefix, sorted by key.
func (m *Mirror) Under(prefix string) []Event {
	var out []Event
	for k, e := range m.items {
		if !e.Deleted && strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Load replaces what is known under prefix by a whole read that began at revision at. It
// returns the changes.
func (m *Mirror) Load(prefix string, items []Event, at Revision, now time.Time) []Event {
	present := make(map[string]bool, len(items))
	var out []Event
	for _, e := range items {
		present[e.Key] = true
		out = m.put(out, e)
	}
	for k, e := range m.items {
		// An item that was written after the read began may be missing from it.
		if strings.HasPrefix(k, prefix) && !present[k] && !e.Deleted && e.Revision <= at {
			out = m.put(out, Event{Key: k, Revision: at, Deleted: true})
		}
	}
	m.advance(at, now)
	return out
}

// Apply takes changes up to revision at and returns those that are new.
func (m *Mirror) Apply(events []Event, at Revision, now time.Time) []Event {
	var out []Event
	for _, e := range events {
		out = m.put(out, e)
	}
	m.advance(at, now)
	return out
}

func (m *Mirror) advance(at Revision, now time.Time) {
	m.at = max(m.at, at)
	if now.After(m.seen) {
		m.seen = now
	}
}

func (m *Mirror) put(out []Event, e Event) []Event {
	old, ok := m.items[e.Key]
	if ok && (old.Revision > e.Revision || old.Revision == e.Revision && old.Deleted == e.Deleted) {
		return out
	}
	m.items[e.Key] = e
	m.log = append(m.log, e)
	if len(m.log) > logLength {
		drop := len(m.log) - logLength/2
		for _, d := range m.log[:drop] {
			m.base = max(m.base, d.Revision)
		}
		m.log = slices.Clone(m.log[drop:])
	}
	return append(out, e)
}

// Since returns the changes after a revision. When the log does not reach back that far
// it returns every item and whole is true.
func (m *Mirror) Since(after Revision) (events []Event, at Revision, whole bool) {
	if after == 0 || after < m.base {
		for _, e := range m.items {
			events = append(events, e)
		}
		return events, m.at, true
	}
	for _, e := range m.log {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, m.at, false
}
