package loadbalance

import "time"

// Peak is the highest load of a target in the last reports. An entry tells those of other zones the
// peak and not the last load: a slot that is free for a moment is taken by the entries of the
// target's zone, which learn of it sooner, and all others would send requests for the same one. A
// slot that stays free is theirs too. The zero value has no reports.
type Peak struct {
	current, previous int
	since             time.Time // of current
}

// peakPeriod is the time from which reports are combined. A peak is of one to two periods.
const peakPeriod = 1000 * time.Millisecond

// Record adds a report.
func (p *Peak) Record(requests int, now time.Time) {
	switch age := now.Sub(p.since); {
	case age >= 2*peakPeriod:
		p.current, p.previous, p.since = requests, requests, now
	case age >= peakPeriod:
		p.current, p.previous, p.since = requests, p.current, now
	}
	p.current = max(p.current, requests)
}

// Value returns the peak.
func (p *Peak) Value() int { return max(p.current, p.previous) }
