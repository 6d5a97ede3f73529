// Package hold decides which versions an instance without a disk keeps in memory:
// what is wanted, what is served, and for a while what was, for others to fetch.
//
// # Usage
//
//	l := hold.NewLedger(4 << 30)
//	drop, ok := l.Admit(version, size, now)
//	l.SetRole(version, hold.RoleWanted, now)
//	for _, v := range l.Expired(now) { … }
package hold

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Role -output=hold_string.go -linecomment

// Role is why a version is kept. A higher role is dropped later.
type Role int

// The roles.
const (
	RoleObsolete Role = iota // obsolete
	RoleKept                 // kept
	RoleFallback             // fallback
	RoleWanted               // wanted
)

type entry struct {
	size  fleet.Bytes
	role  Role
	since time.Time
	until time.Time // of RoleKept
}

// Ledger counts the memory of versions. It is not safe for concurrent use.
type Ledger struct {
	limit   fleet.Bytes
	used    fleet.Bytes
	entries map[fleet.Version]*entry
}

// NewLedger returns a ledger of limit bytes.
func NewLedger(limit fleet.Bytes) *Ledger {
	return &Ledger{limit: limit, entries: map[fleet.Version]*entry{}}
}

// Admit makes room for a wanted version. It returns the versions to drop, least
// useful first, or false when the version cannot fit beside what must stay.
func (l *Ledger) Admit(v fleet.Version, size fleet.Bytes, now time.Time) ([]fleet.Version, bool) {
	if e, ok := l.entries[v]; ok {
		e.role = RoleWanted
		return nil, true
	}
	drop, freed := l.evict(l.used + size - l.limit)
	if l.used-freed+size > l.limit {
		return nil, false
	}
	for _, d := range drop {
		l.Drop(d)
	}
	l.entries[v] = &entry{size: size, role: RoleWanted, since: now}
	l.used += size
	return drop, true
}

// evict returns versions to drop until need bytes are free.
func (l *Ledger) evict(need fleet.Bytes) ([]fleet.Version, fleet.Bytes) {
	var order []fleet.Version
	for v, e := range l.entries {
		if e.role != RoleWanted {
			order = append(order, v)
		}
	}
	slices.SortFunc(order, func(a, b fleet.Version) int {
		x, y := l.entries[a], l.entries[b]
		if c := cmp.Compare(x.role, y.role); c != 0 {
			return c
		}
		if c := x.since.Compare(y.since); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	var freed fleet.Bytes
	n := 0
	for n < len(order) && freed < need {
		freed += l.entries[order[n]].size
		n++
	}
	return order[:n], freed
}

// Keep makes a version that is not wanted any more stay for others until a time.
func (l *Ledger) Keep(v fleet.Version, role Role, until, now time.Time) {
	e, ok := l.entries[v]
	if !ok || e.role == role {
		return
	}
	if e.role == RoleWanted || role > e.role {
		e.since = now
	}
	e.role = role
	e.until = until
}

// Expired returns the versions that need not be kept any more.
func (l *Ledger) Expired(now time.Time) []fleet.Version {
	var out []fleet.Version
	for v, e := range l.entries {
		if e.role == RoleObsolete || e.role == RoleKept && now.After(e.until) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// Drop forgets a version.
func (l *Ledger) Drop(v fleet.Version) {
	if e, ok := l.entries[v]; ok {
		l.used -= e.size
		delete(l.entries, v)
	}
}

// Has tells whether a version is counted.
func (l *Ledger) Has(v fleet.Version) bool { _, ok := l.entries[v]; return ok }

// Used returns the bytes that are counted.
func (l *Ledger) Used() fleet.Bytes { return l.used }

// Versions returns the counted versions, sorted.
func (l *Ledger) Versions() []fleet.Version {
	out := make([]fleet.Version, 0, len(l.entries))
	for v := range l.entries {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}
