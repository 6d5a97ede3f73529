package upgrade

import "time"

// Declaration is a version that the operator declared as wanted, and when.
type Declaration struct {
	Version uint64
	// DeclaredAt is zero for a version that was declared before this process began to
	// receive declarations.
	DeclaredAt time.Time
}

// Declarations are the declared versions of one model in order of declaration. A version may
// be declared before the previous one has been fetched; each has its own time limit.
type Declarations []Declaration

// Add records a version and reports whether it is newer than all others. An older version
// is ignored.
func (d *Declarations) Add(version uint64, declaredAt time.Time) bool {
	if version <= d.Newest() {
		return false
	}
	*d = append(*d, Declaration{version, declaredAt})
	return true
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

// ServeDeadline returns when a version must stop serving requests, or false if no newer
// version is declared.
func (d Declarations) ServeDeadline(version uint64, limit time.Duration) (time.Time, bool) {
	for _, declaration := range d {
		if declaration.Version > version {
			return declaration.DeclaredAt.Add(limit), true
		}
	}
	return time.Time{}, false
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
