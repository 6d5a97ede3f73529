package upgrade

import "time"

// Naming is a version that the operator wants, and since when.
type Naming struct {
	Version uint64
	// Since is zero for a version that was named before this process knew.
	Since time.Time
}

// Namings are the versions of one model in the order in which they were named. A version
// may be named before the one before it has arrived; each has its own time limit.
type Namings []Naming

// Add takes a version and tells whether it is newer than all others.
func (n *Namings) Add(version uint64, since time.Time) bool {
	if version <= n.Newest() {
		return false
	}
	*n = append(*n, Naming{version, since})
	return true
}

// Newest returns the newest version, 0 when none is named.
func (n Namings) Newest() uint64 {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].Version
}

// After returns when the first version after one was named, zero when there is none or it
// was before this process knew.
func (n Namings) After(version uint64) time.Time {
	for _, x := range n {
		if x.Version > version {
			return x.Since
		}
	}
	return time.Time{}
}

// Floor returns the oldest version that may still answer when each has limit from its
// naming.
func (n Namings) Floor(limit time.Duration, now time.Time) uint64 {
	var floor uint64
	for _, x := range n {
		if now.Sub(x.Since) >= limit {
			floor = x.Version
		}
	}
	return floor
}

// Until returns when a version may not answer any more, false when nothing newer is named.
func (n Namings) Until(version uint64, limit time.Duration) (time.Time, bool) {
	for _, x := range n {
		if x.Version > version {
			return x.Since.Add(limit), true
		}
	}
	return time.Time{}, false
}

// skipGap is the time between two namings below which the older version is not worth
// having: nothing of it has arrived when the newer one is known.
const skipGap = 500 * time.Millisecond

// Missing returns the versions after one that are worth having, oldest first: the newest,
// and the one before it, which may be had sooner when it was named earlier.
func (n Namings) Missing(after uint64) []uint64 {
	var out []uint64
	for i := max(0, len(n)-2); i < len(n); i++ {
		last := i == len(n)-1
		if n[i].Version > after && (last || n[i+1].Since.Sub(n[i].Since) >= skipGap) {
			out = append(out, n[i].Version)
		}
	}
	return out
}
