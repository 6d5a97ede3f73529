package upgrade

import "time"

// Progress estimates when the fetch of a version will be complete. The zero value has no estimate.
type Progress struct {
	firstAt, lastAt time.Time
	chunks          int
}

const (
	// maxChunkGap is the time without a chunk after which a fetch counts as stalled.
	maxChunkGap = 500 * time.Millisecond
	// tailFactor allows for the last chunks, which have fewer sources.
	tailFactor = 1.25
)

// Record records that a chunk has arrived.
func (p *Progress) Record(now time.Time) {
	if p.chunks == 0 {
		p.firstAt = now
	}
	p.lastAt = now
	p.chunks++
}

// CompleteAt returns when the missing chunks will have arrived, if the fetch is not stalled.
func (p *Progress) CompleteAt(missing int, now time.Time) (time.Time, bool) {
	if missing == 0 {
		return now, true
	}
	if p.chunks < 2 || now.Sub(p.lastAt) > maxChunkGap {
		return time.Time{}, false
	}
	gap := float64(p.lastAt.Sub(p.firstAt)) / float64(p.chunks-1)
	return now.Add(time.Duration(tailFactor * gap * float64(missing))), true
}
