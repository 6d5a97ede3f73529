package dispatch

import (
	"slices"

	"amaranthturn/core/fleet"
)

// Attempts are the attempts of one request that are in progress. A silent target keeps its attempt
// while a replacement runs on another target. The first of them that has the next part of the
// response goes on with it, and the others are canceled. It is not safe for concurrent use.
type Attempts struct{ list []*Attempt }

// Attempt is one attempt in progress.
type Attempt struct {
	Target     fleet.InstanceID
	cancel     func()
	superseded bool
}

// Start adds an attempt on a target. The function cancel ends it.
func (s *Attempts) Start(target fleet.InstanceID, cancel func()) *Attempt {
	a := &Attempt{Target: target, cancel: cancel}
	s.list = append(s.list, a)
	return a
}

// Continue reports whether the next part of the response may be that of attempt a. If so, the other
// attempts are superseded and canceled.
func (s *Attempts) Continue(a *Attempt) bool {
	if a.superseded {
		return false
	}
	for _, other := range s.list {
		if other != a && !other.superseded {
			other.superseded = true
			other.cancel()
		}
	}
	return true
}

// End removes an attempt that has ended.
func (s *Attempts) End(a *Attempt) {
	s.list = slices.DeleteFunc(s.list, func(other *Attempt) bool { return other == a })
}

// Len returns the number of attempts in progress.
func (s *Attempts) Len() int { return len(s.list) }

// Targets returns the targets of the attempts in progress.
func (s *Attempts) Targets() []fleet.InstanceID {
	targets := make([]fleet.InstanceID, 0, len(s.list))
	for _, a := range s.list {
		targets = append(targets, a.Target)
	}
	return targets
}

// IsSuperseded reports whether another attempt has continued the response.
func (a *Attempt) IsSuperseded() bool { return a.superseded }
