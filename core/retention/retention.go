// Package retention decides which versions an instance without a disk keeps in memory:
// wanted and served versions, and for a limited time previously served versions, which
// other instances can fetch.
//
// # Usage
//
//	l := retention.NewLedger(4 << 30)
//	drop, ok := l.Admit(version, size, now)
//	l.SetRole(version, retention.RoleKept, until, now)
//	for _, v := range l.Expired(now) { … }
package retention

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

//go:generate stringer -type=Role -output=retention_string.go -linecomment

// Role is the reason why a version is kept. Versions with a higher role are dropped later.
type Role int

// Roles of a version.
const (
	RoleObsolete Role = iota // obsolete
	RoleKept                 // kept
	RoleFallback             // fallback
	RoleWanted               // wanted
)

type record struct {
	size  fleet.Bytes
	role  Role
	since time.Time
	until time.Time // end of retention for RoleKept
}

// Ledger accounts for the memory of the held versions. It is not safe for concurrent use.
type Ledger struct {
	limit   fleet.Bytes
	used    fleet.Bytes
	records map[fleet.Version]*record
}

// NewLedger returns an empty ledger with a limit in bytes.
func NewLedger(limit fleet.Bytes) *Ledger {
	return &Ledger{limit: limit, records: map[fleet.Version]*record{}}
}

// Admit reserves memory for a wanted version. It removes versions with lower roles from
// the ledger as needed and returns them, lowest role first, so that the caller drops them. It
// returns false if the version does not fit together with the other wanted versions.
func (l *Ledger) Admit(v fleet.Version, size fleet.Bytes, now time.Time) ([]fleet.Version, bool) {
	if r, ok := l.records[v]; ok {
		r.role = RoleWanted
		return nil, true
	}
	drop, freed := l.evict(l.used + size - l.limit)
	if l.used-freed+size > l.limit {
		return nil, false
	}
	for _, d := range drop {
		l.Drop(d)
	}
	l.records[v] = &record{size: size, role: RoleWanted, since: now}
	l.used += size
	return drop, true
}

// evict returns the versions to drop to free need bytes, as far as possible, and their
// total size.
func (l *Ledger) evict(need fleet.Bytes) ([]fleet.Version, fleet.Bytes) {
	var candidates []fleet.Version
	for v, r := range l.records {
		if r.role != RoleWanted {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b fleet.Version) int {
		x, y := l.records[a], l.records[b]
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
	for n < len(candidates) && freed < need {
		freed += l.records[candidates[n]].size
		n++
	}
	return candidates[:n], freed
}

// SetRole sets the role of a version that is no longer wanted. With RoleKept the version
// stays available to other instances until the given time.
func (l *Ledger) SetRole(v fleet.Version, role Role, until, now time.Time) {
	r, ok := l.records[v]
	if !ok || r.role == role {
		return
	}
	if r.role == RoleWanted || role > r.role {
		r.since = now
	}
	r.role = role
	r.until = until
}

// Expired returns the versions that are obsolete or whose retention has expired, sorted.
func (l *Ledger) Expired(now time.Time) []fleet.Version {
	var out []fleet.Version
	for v, r := range l.records {
		if r.role == RoleObsolete || r.role == RoleKept && now.After(r.until) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// Drop removes a version.
func (l *Ledger) Drop(v fleet.Version) {
	if r, ok := l.records[v]; ok {
		l.used -= r.size
		delete(l.records, v)
	}
}

// Has reports whether a version is in the ledger.
func (l *Ledger) Has(v fleet.Version) bool { _, ok := l.records[v]; return ok }

// Used returns the total size of the versions in bytes.
func (l *Ledger) Used() fleet.Bytes { return l.used }

// Versions returns all versions, sorted.
func (l *Ledger) Versions() []fleet.Version {
	out := make([]fleet.Version, 0, len(l.records))
	for v := range l.records {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}
