package upgrade

import (
	"cmp"
	"slices"
	"time"

	"amaranthturn/core/clock"
)

// Declaration is a version that the operator declared as wanted, and when.
type Declaration struct {
	Version uint64
	// DeclaredAt is zero for a version that was declared before this process began to
	// receive declarations.
	DeclaredAt time.Time
	// KnownAt is the earliest time at which a daemon that this one has heard of states to have
	// received the declaration. It is what other daemons are told; DeclaredAt may be a more
	// cautious estimate.
	KnownAt time.Time
}

// Age is how long a declaration has been known to a daemon.
type Age struct {
	Version uint64
	Known   time.Duration
}

// Declarations are the declared versions of one model in order of declaration. A version may
// be declared before the previous one has been fetched; each has its own time limit.
type Declarations []Declaration

// Add records a version, and reports whether it is newer than all others. An older one still
// has its own limit, and one that another daemon has stated before counts from the earlier
// time.
func (d *Declarations) Add(version uint64, declaredAt, knownAt time.Time) bool {
	i, ok := d.search(version)
	if ok {
		known := &(*d)[i]
		known.DeclaredAt = clock.Earlier(known.DeclaredAt, declaredAt)
		return false
	}
	*d = slices.Insert(*d, i, Declaration{Version: version, DeclaredAt: declaredAt, KnownAt: knownAt})
	return i == len(*d)-1
}

// search returns the position of a version and whether it is declared.
func (d *Declarations) search(version uint64) (int, bool) {
	return slices.BinarySearchFunc(*d, version, func(x Declaration, v uint64) int { return cmp.Compare(x.Version, v) })
}

// MaxAge is the oldest declaration that one daemon tells another of. The limits of older ones
// have passed long ago.
const MaxAge = 10 * time.Minute

// Merge applies the ages that another daemon states, and reports whether a version is new. A
// daemon that learned of a version late counts its time from when the first one knew it.
func (d *Declarations) Merge(ages []Age, now time.Time) bool {
	added := false
	for _, a := range ages {
		if a.Version == 0 || a.Known < 0 || a.Known > MaxAge {
			continue
		}
		knownAt := now.Add(-a.Known)
		i, ok := d.search(a.Version)
		if !ok {
			*d = slices.Insert(*d, i, Declaration{Version: a.Version, DeclaredAt: knownAt, KnownAt: knownAt})
			added = true
			continue
		}
		known := &(*d)[i]
		known.KnownAt = clock.Earlier(known.KnownAt, knownAt)
		known.DeclaredAt = clock.Earlier(known.DeclaredAt, knownAt)
	}
	return added
}

// Ages returns the declarations that became known at most limit ago.
func (d Declarations) Ages(limit time.Duration, now time.Time) []Age {
	var out []Age
	for _, declaration := range d {
		if known := now.Sub(declaration.KnownAt); known <= limit {
			out = append(out, Age{declaration.Version, known})
		}
	}
	return out
}

// Newest returns the newest version, or 0 if none is declared.
func (d Declarations) Newest() uint64 {
	if len(d) == 0 {
		return 0
	}
	return d[len(d)-1].Version
}

// NewerDeclaredAt returns when the first version newer than the given one was declared. It is
// zero if there is none or if it was declared before this process began to receive
// declarations.
func (d Declarations) NewerDeclaredAt(version uint64) time.Time {
	for _, declaration := range d {
		if declaration.Version > version {
			return declaration.DeclaredAt
		}
	}
	return time.Time{}
}

// MinVersion returns the oldest version that may still serve requests at the given time, when
// each version must be in service within limit of its declaration.
func (d Declarations) MinVersion(limit time.Duration, now time.Time) uint64 {
	var oldest uint64
	for _, declaration := range d {
		if now.Sub(declaration.DeclaredAt) >= limit {
			oldest = declaration.Version
		}
	}
	return oldest
}

// minDeclarationGap is the time between two declarations below which the older version is
// not fetched: none of it has been received when the newer one becomes known.
const minDeclarationGap = 500 * time.Millisecond

// VersionsToFetch returns the versions to fetch that are newer than the given one, oldest
// first: the newest, and the one before it, which may be complete sooner if it was declared
// earlier.
func (d Declarations) VersionsToFetch(after uint64) []uint64 {
	var out []uint64
	for i := max(0, len(d)-2); i < len(d); i++ {
		isNewest := i == len(d)-1
		if d[i].Version > after && (isNewest || d[i+1].DeclaredAt.Sub(d[i].DeclaredAt) >= minDeclarationGap) {
			out = append(out, d[i].Version)
		}
	}
	return out
}
