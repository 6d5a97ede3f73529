package admit

import (
	"time"

	"amaranthturn/core/fleet"
)

const (
	// returnedShare is the share of the longest timeout below which a request's timeout shows
	// that its caller was refused before. Callers who send a request for the first time don't
	// all wait for the same time.
	returnedShare = 0.8
	// patiencePeriod is how long a timeout is remembered at least.
	patiencePeriod = 30 * time.Second
	// returnPeriod is how long after a refusal its caller may come back.
	returnPeriod = 6 * time.Second
)

// CallerGroup identifies callers who wait for the same time.
type CallerGroup struct {
	Route     string
	Workspace fleet.Workspace
	// Limit is the timeout of the route, which bounds what callers state.
	Limit time.Duration
}

// Patience recognizes requests whose callers come back after a refusal: the timeout of such a
// request is what is left of the first one's. It knows how long callers wait from their recent
// requests, and needs a recent refusal on the route: a caller that is refused by one entry comes
// back to another, but an overload concerns them all. The zero value is ready to use. It is not safe for concurrent use.
type Patience struct {
	current, previous map[CallerGroup]time.Duration // longest timeouts
	rotatedAt         time.Time
	refusedAt         map[string]time.Time // last refusal, by route
}

// RecordRefusal records that a caller of the route was refused and told to come back.
func (p *Patience) RecordRefusal(route string, now time.Time) {
	if p.refusedAt == nil {
		p.refusedAt = map[string]time.Time{}
	}
	p.refusedAt[route] = now
}

// HasReturned records the timeout of a request and reports whether its caller has come back.
func (p *Patience) HasReturned(g CallerGroup, timeout time.Duration, now time.Time) bool {
	if age := now.Sub(p.rotatedAt); age >= patiencePeriod || p.current == nil {
		p.previous, p.current, p.rotatedAt = p.current, map[CallerGroup]time.Duration{}, now
		if age >= 2*patiencePeriod {
			p.previous = nil
		}
	}
	p.current[g] = max(p.current[g], timeout)
	longest := max(p.current[g], p.previous[g])
	if refusedAt, ok := p.refusedAt[g.Route]; !ok || now.Sub(refusedAt) > returnPeriod {
		delete(p.refusedAt, g.Route)
		return false // nobody was refused who could come back
	}
	return float64(timeout) < returnedShare*float64(longest)
}
