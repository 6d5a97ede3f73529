// Package dispatch decides what an entry does with one request after each event:
// go on, try another target, or end with a truthful refusal.
//
// # Usage
//
//	r := dispatch.NewRequest(settings, deadline)
//	for {
//		r.Began(target)
//		… r.Token(event) for every token, forwarded when it returns nil …
//		step := r.Failed(failure, budget.Allow, random.Float64(), now)
//		if !step.Retry { return step.Refusal }
//	}
//
// # Invariants
//
// Once a token was given to the caller the version is pinned, and the request
// goes on only at the same version, after the last token given. A token of another
// version or out of order is never given on. The outcome is not_run only while
// no target can have begun the request.
package dispatch

import (
	"fmt"
	"slices"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
)

//go:generate stringer -type=Kind,OrderStep -output=dispatch_string.go -linecomment

// Kind is how an attempt failed.
type Kind int

// The kinds.
const (
	KindNotSent    Kind = iota // not_sent
	KindRefused                // refused
	KindLost                   // lost
	KindEngineDied             // engine_died
	KindBroken                 // broken_answer
	KindDeadline               // deadline
	KindCallerGone             // caller_gone
	KindNoTarget               // no_target
)

// Settings are the constants of a request.
type Settings struct {
	// MaxAttempts bounds the attempts that may have done work.
	MaxAttempts int
	// MaxRefusals bounds the attempts that targets refused without doing work.
	MaxRefusals int
	// AtMostOnce ends a request after the first attempt that may have done work.
	AtMostOnce bool
	// RefusalsCost takes a retry out of the budget after a refusal without work, too.
	RefusalsCost bool
	// CrashWait is the wait after an engine died, in which the news of what it
	// ran reaches the entries.
	CrashWait time.Duration
}

// DefaultSettings bound the harm of one request.
var DefaultSettings = Settings{MaxAttempts: 3, MaxRefusals: 40, CrashWait: 150 * time.Millisecond}

// Failure is the end of an attempt without a whole answer.
type Failure struct {
	Kind    Kind
	Refusal *fleet.Refusal // of KindRefused
}

// Step is what to do next.
type Step struct {
	Retry   bool
	Wait    time.Duration
	Refusal *fleet.Refusal // when Retry is false
}

// Event is a token as a target sent it.
type Event struct {
	Version   fleet.Version
	Index     int
	CanResume bool
}

// MixedError reports a token that must not be given on.
type MixedError struct {
	Pinned, Got     fleet.Version
	Expected, Index int
}

// Error implements error.
func (e *MixedError) Error() string {
	return fmt.Sprintf("token %d of %s in place of %d of %s", e.Index, e.Got.Short(), e.Expected, e.Pinned.Short())
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	set       Settings
	deadline  time.Time
	pinned    fleet.Version
	sent      int
	canResume bool
	attempts  int
	refusals  int
	mayRun    bool
	target    fleet.InstanceID
	avoid     []fleet.InstanceID
}

// NewRequest returns a request that was not sent anywhere.
func NewRequest(set Settings, deadline time.Time) *Request {
	return &Request{set: set, deadline: deadline}
}

// Began records an attempt on a target.
func (r *Request) Began(target fleet.InstanceID) { r.target = target }

// Token checks a token of the present attempt. The caller is given it only when
// the error is nil.
func (r *Request) Token(e Event) error {
	r.mayRun = true // whatever the target says of it later
	if r.pinned != "" && e.Version != r.pinned || e.Index != r.sent || e.Version == "" {
		return &MixedError{Pinned: r.pinned, Got: e.Version, Expected: r.sent, Index: e.Index}
	}
	r.pinned = e.Version
	r.canResume = e.CanResume
	r.sent++
	return nil
}

// Failed decides after an attempt failed. allow takes a retry out of the budget;
// it is only asked when a retry would be right. The jitter is in [0, 1).
func (r *Request) Failed(f Failure, allow func() bool, jitter float64, now time.Time) Step {
	r.count(f)
	switch {
	case f.Kind == KindCallerGone:
		return r.end(fleet.ReasonCallerGone, 0)
	case f.Kind == KindDeadline || !now.Before(r.deadline):
		return r.end(fleet.ReasonDeadline, 0)
	case r.sent > 0 && !r.canResume:
		return r.end(fleet.ReasonTargetLost, 0)
	case f.Kind == KindRefused && !worthAnother(f.Refusal):
		return r.end(f.Refusal.Reason, f.Refusal.RetryAfter)
	case r.refusals >= r.set.MaxRefusals || r.attempts >= r.set.MaxAttempts:
		return r.end(r.reason(f), retry.MaxDelay)
	case r.set.AtMostOnce && r.mayRun:
		return r.end(r.reason(f), 0)
	case r.costs(f) && !allow():
		return r.end(r.reason(f), retry.MaxDelay)
	}
	return r.again(f, jitter, now)
}

// costs tells whether another attempt takes a retry out of the budget.
func (r *Request) costs(f Failure) bool {
	return r.worked(f) || r.set.RefusalsCost && f.Kind == KindRefused
}

// again returns the step of another attempt, when there is time for one.
func (r *Request) again(f Failure, jitter float64, now time.Time) Step {
	wait := retry.Backoff(r.attempts+r.refusals, jitter)
	if f.Kind == KindEngineDied || f.Kind == KindLost {
		wait = max(wait, r.set.CrashWait)
	}
	if !now.Add(wait).Before(r.deadline) {
		return r.end(r.reason(f), retry.MaxDelay)
	}
	return Step{Retry: true, Wait: wait}
}

func (r *Request) count(f Failure) {
	if r.worked(f) {
		r.attempts++
		r.mayRun = true
	} else {
		r.refusals++
	}
	if f.Kind == KindNoTarget || r.target == "" {
		r.avoid = nil
		return
	}
	if !slices.Contains(r.avoid, r.target) {
		r.avoid = append(r.avoid, r.target)
	}
}

// worked tells whether the failed attempt may have done work on a target.
func (r *Request) worked(f Failure) bool {
	switch f.Kind {
	case KindNotSent, KindNoTarget:
		return false
	case KindRefused:
		return f.Refusal.Outcome != fleet.OutcomeNotRun
	case KindCallerGone, KindDeadline:
		return r.target != ""
	}
	return true
}

// worthAnother tells whether another target might take what one refused.
func worthAnother(r *fleet.Refusal) bool {
	switch r.Reason {
	case fleet.ReasonBadRequest, fleet.ReasonUnknownModel, fleet.ReasonUnknownService, fleet.ReasonDeadline,
		fleet.ReasonCrashing, fleet.ReasonNotRepeatable:
		return false
	}
	return true
}

func (r *Request) reason(f Failure) fleet.Reason {
	switch f.Kind {
	case KindRefused:
		return f.Refusal.Reason
	case KindNoTarget, KindNotSent:
		return fleet.ReasonNoTarget
	case KindEngineDied:
		return fleet.ReasonEngineDied
	case KindBroken:
		return fleet.ReasonEngineFailed
	}
	return fleet.ReasonTargetLost
}

func (r *Request) end(why fleet.Reason, retryAfter time.Duration) Step {
	if r.mayRun {
		return Step{Refusal: &fleet.Refusal{Outcome: fleet.OutcomeUnknown, Reason: why, RetryAfter: retryAfter}}
	}
	return Step{Refusal: fleet.NotRun(why, retryAfter)}
}

// Pinned returns the version of the tokens given to the caller, empty when none
// was given.
func (r *Request) Pinned() fleet.Version { return r.pinned }

// Sent returns how many tokens the caller was given.
func (r *Request) Sent() int { return r.sent }

// Avoid returns the targets that failed this request since the last time that
// no other was left.
func (r *Request) Avoid() []fleet.InstanceID { return r.avoid }
