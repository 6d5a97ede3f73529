// Package shutdown decides which requests a daemon that stops may still send to a target, and by
// when it has to answer all of them.
//
// # Usage
//
//	p := shutdown.NewPlan()
//	p.Record(group, took, now)                // for each completed request
//	p.Begin(now, grace, reserve)              // when the daemon is told to stop
//	if !p.CanStart(group, deadline, now) { … refuse the request as not run … }
//	… at p.AnswerBy() end the requests that are still in progress …
//
// # Invariants
//
// Before Begin every request may start. After it a request may start only if its deadline, or the
// time that such requests have taken lately, ends before the process has to answer. Time differences
// are those of the times passed in; with monotonic readings a step of the clock changes nothing.
package shutdown

import "time"

// Group identifies requests that take similar times, such as those of one route.
type Group string

const (
	// maxSamples is the number of completed requests of a group that are remembered.
	maxSamples = 64
	// maxSampleAge is how long a completed request counts.
	maxSampleAge = time.Minute
	// maxGroups limits the groups that are remembered.
	maxGroups = 4096
	// marginShare is added to the longest time of the samples, as a share of it.
	marginShare = 0.25
	// maxReserveShare limits the reserve of a short grace period.
	maxReserveShare = 0.5
)

// Plan is the stop of one daemon. It is not safe for concurrent use.
type Plan struct {
	stopping bool
	answerBy time.Time
	groups   map[Group]*samples
}

// NewPlan returns a plan of a daemon that does not stop.
func NewPlan() *Plan { return &Plan{groups: map[Group]*samples{}} }

// samples is a ring of the last completed requests.
type samples struct {
	list []sample
	next int
}

type sample struct {
	at   time.Time
	took time.Duration
}

// Record adds a completed request, which took from its admission to its end.
func (p *Plan) Record(g Group, took time.Duration, now time.Time) {
	s, ok := p.groups[g]
	if !ok {
		if len(p.groups) >= maxGroups {
			p.forget(now)
		}
		if len(p.groups) >= maxGroups {
			return
		}
		s = &samples{}
		p.groups[g] = s
	}
	if len(s.list) < maxSamples {
		s.list = append(s.list, sample{now, took})
		return
	}
	s.list[s.next] = sample{now, took}
	s.next = (s.next + 1) % maxSamples
}

// forget removes the groups without a recent request.
func (p *Plan) forget(now time.Time) {
	for g, s := range p.groups {
		if _, ok := s.longest(now); !ok {
			delete(p.groups, g)
		}
	}
}

// longest returns the longest time of a recent request.
func (s *samples) longest(now time.Time) (time.Duration, bool) {
	var longest time.Duration
	ok := false
	for _, x := range s.list {
		if now.Sub(x.at) <= maxSampleAge {
			longest, ok = max(longest, x.took), true
		}
	}
	return longest, ok
}

// Begin begins the stop. The reserve is the end of the grace period in which answers are written and
// the process exits. A stop that has begun stays as it is.
func (p *Plan) Begin(now time.Time, grace, reserve time.Duration) {
	if p.stopping {
		return
	}
	p.stopping = true
	p.answerBy = now.Add(grace - min(reserve, time.Duration(maxReserveShare*float64(grace))))
}

// AnswerBy returns when the requests in progress have to be answered. It is valid after Begin.
func (p *Plan) AnswerBy() time.Time { return p.answerBy }

// LatestStart returns until when a request with the given deadline may be sent to a target. It is
// valid after Begin; it is the zero time if the request may not be sent at all.
func (p *Plan) LatestStart(g Group, deadline, now time.Time) time.Time {
	if !deadline.After(p.answerBy) {
		return deadline
	}
	s, ok := p.groups[g]
	if !ok {
		return time.Time{}
	}
	took, ok := s.longest(now)
	if !ok {
		return time.Time{}
	}
	return p.answerBy.Add(-took - time.Duration(marginShare*float64(took)))
}

// CanStart reports whether a request with the given deadline may be sent to a target.
func (p *Plan) CanStart(g Group, deadline, now time.Time) bool {
	return !p.stopping || !now.After(p.LatestStart(g, deadline, now))
}
