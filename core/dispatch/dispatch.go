// Package dispatch decides how an entry continues one request after each event: forward
// the token, retry on another target, or end with a refusal that states the true outcome.
//
// # Usage
//
//	r := dispatch.NewRequest(settings, deadline)
//	for {
//		r.StartAttempt(target)
//		… r.Token(event) for every token, forwarded when it returns nil …
//		step := r.Failed(failure, budget.Allow, random.Float64(), now)
//		if !step.Retry { return step.Refusal }
//	}
//
// # Invariants
//
// Once a token was sent to the caller the version is pinned, and the request continues
// only at the same version, after the last token sent. A token of another version or
// out of order is never forwarded. The outcome is not_run only while no target can have
// begun the request.
package dispatch

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
)

//go:generate stringer -type=Kind,OrderStep -output=dispatch_string.go -linecomment

// Kind classifies the failure of an attempt.
type Kind int

// The kinds.
const (
	KindNotSent            Kind = iota // not_sent
	KindRefused                        // refused
	KindLost                           // lost
	KindEngineCrashed                  // engine_died
	KindInvalidResponse                // broken_answer
	KindDeadline                       // deadline
	KindCallerDisconnected             // caller_gone
	KindNoTarget                       // no_target
	KindStopping                       // stopping
)

// Settings configure the retries of a request.
type Settings struct {
	// MaxAttempts limits the attempts that may have done work.
	MaxAttempts int
	// MaxRefusals limits the attempts that targets refused without doing work, until a token
	// was sent to the caller. After that, only the deadline limits them. Those beside another
	// attempt do not count.
	MaxRefusals int
	// AtMostOnce ends a request after the first attempt that may have done work.
	AtMostOnce bool
	// ChargeRefusals makes a retry after a refusal without work consume the retry budget, too.
	ChargeRefusals bool
	// CrashBackoff is the minimum wait after an engine crashed or a target was lost. In
	// this time the report of the requests that ran there reaches the entries.
	CrashBackoff time.Duration
}

// DefaultSettings limit the load and the crashes that one request can cause.
var DefaultSettings = Settings{MaxAttempts: 3, MaxRefusals: 40, CrashBackoff: 150 * time.Millisecond}

// Failure describes an attempt that ended without a complete response.
type Failure struct {
	Kind    Kind
	Refusal *fleet.Refusal // set for KindRefused
}

// Step is the decision after a failed attempt: retry after Wait, or end with Refusal.
type Step struct {
	Retry   bool
	Wait    time.Duration
	Refusal *fleet.Refusal // set when Retry is false
	// BudgetExhausted reports that the budget had no retry left.
	BudgetExhausted bool
	// AwaitsBudget reports that the request has sent tokens and lacks nothing but a retry of
	// the budget. It may be retried as soon as there is one.
	AwaitsBudget bool
}

// BudgetCheckInterval is how often a request that awaits the budget asks for a retry.
const BudgetCheckInterval = 100 * time.Millisecond

// TokenEvent describes a token received from a target.
type TokenEvent struct {
	Version   fleet.Version
	Index     int
	CanResume bool
}

// TokenMismatchError reports a token that must not be forwarded because its version or
// its index is not the expected one.
type TokenMismatchError struct {
	Pinned, Got     fleet.Version
	Expected, Index int
}

// Error implements error.
func (e *TokenMismatchError) Error() string {
	return fmt.Sprintf("unexpected token: got index %d of version %s, want index %d of version %s", e.Index, e.Got.Short(), e.Expected, e.Pinned.Short())
}

// Request tracks the attempts of one request. It is not safe for concurrent use, but for
// LowerMaxAttempts.
type Request struct {
	settings    Settings
	maxAttempts atomic.Int64 // at most settings.MaxAttempts
	deadline    *Deadline
	pinned      fleet.Version
	sent        int
	canResume   bool
	attempts    int
	refusals    int
	mayHaveRun  bool
	target      fleet.InstanceID
	tried       []fleet.InstanceID // the targets of earlier attempts
	avoid       []fleet.InstanceID
	// refusedByAll reports that a target refused beside another one, as others would.
	refusedByAll bool
	// owesRetry reports that an attempt failed beside another one and may have done work. That the
	// other one has taken a retry is not certain: it takes none, or keeps it, if it does no work.
	owesRetry bool
}

// NewRequest returns a request that was not sent to any target.
func NewRequest(settings Settings, deadline time.Time) *Request {
	return NewRequestUntil(settings, NewDeadline(deadline, 0))
}

// NewRequestUntil returns a request that was not sent to any target and whose deadline may be
// raised while it runs.
func NewRequestUntil(settings Settings, d *Deadline) *Request {
	r := &Request{settings: settings, deadline: d}
	r.maxAttempts.Store(int64(settings.MaxAttempts))
	return r
}

// LowerMaxAttempts limits the attempts that may have done work to n, if that is less than their
// limit. Attempts that were made stay. Only one goroutine at a time may call it.
func (r *Request) LowerMaxAttempts(n int) {
	if int64(n) < r.maxAttempts.Load() {
		r.maxAttempts.Store(int64(n))
	}
}

// allowsAttempts reports whether n attempts may have done work.
func (r *Request) allowsAttempts(n int) bool { return int64(n) <= r.maxAttempts.Load() }

// StartAttempt records the start of an attempt on a target.
func (r *Request) StartAttempt(target fleet.InstanceID) { r.target = target }

// Token checks a token of the current attempt. The token may be sent to the caller only
// if the error is nil.
func (r *Request) Token(e TokenEvent) error {
	r.mayHaveRun = true // holds whatever outcome the target reports later
	if r.pinned != "" && e.Version != r.pinned || e.Index != r.sent || e.Version == "" {
		return &TokenMismatchError{Pinned: r.pinned, Got: e.Version, Expected: r.sent, Index: e.Index}
	}
	r.pinned = e.Version
	r.canResume = e.CanResume
	r.sent++
	return nil
}

// Failed decides whether to retry after an attempt failed. allow takes a retry from the
// budget. It is called only if the failure and the limits on attempts permit a retry. The
// jitter is in [0, 1).
func (r *Request) Failed(f Failure, allow func() bool, jitter float64, now time.Time) Step {
	r.recordFailure(f)
	if step, ended := r.contextStep(f, now); ended {
		return step
	}
	owesRetry := r.owesRetry || r.consumesBudget(f)
	r.owesRetry = false
	switch {
	case r.sent > 0 && !r.canResume:
		return r.endStep(fleet.ReasonTargetLost, 0)
	case f.Kind == KindRefused && !canRetryElsewhere(f.Refusal):
		return r.endStep(f.Refusal.Reason, f.Refusal.RetryAfter)
	case r.refusedByAll:
		return r.endStep(r.refusalReason(f), 0)
	case r.sent == 0 && r.refusals >= r.settings.MaxRefusals || !r.allowsAttempts(r.attempts+1):
		return r.endStep(r.refusalReason(f), retry.MaxDelay)
	case r.settings.AtMostOnce && r.mayHaveRun:
		return r.endStep(r.refusalReason(f), 0)
	case owesRetry && !allow():
		step := r.endStep(r.refusalReason(f), retry.MaxDelay)
		step.BudgetExhausted, step.AwaitsBudget = true, r.sent > 0
		return step
	}
	return r.retryStep(f, jitter, now)
}

// contextStep ends a request for which no time is left, whatever its targets do.
func (r *Request) contextStep(f Failure, now time.Time) (Step, bool) {
	switch {
	case f.Kind == KindCallerDisconnected:
		return r.endStep(fleet.ReasonCallerDisconnected, 0), true
	case f.Kind == KindStopping:
		return r.endStep(fleet.ReasonLeaving, retry.BaseDelay), true
	case f.Kind == KindDeadline || !now.Before(r.deadline.Time()):
		return r.endStep(fleet.ReasonDeadlinePassed, 0), true
	}
	return Step{}, false
}

// FailedBeside records that the attempt on target failed while the request goes on with the attempt
// on current, which is in progress. A refusal without work does not count towards MaxRefusals: it ends
// nothing, and the time between replacements limits their number.
func (r *Request) FailedBeside(target, current fleet.InstanceID, f Failure) {
	r.target = target
	refusals := r.refusals
	r.recordFailure(f)
	r.target, r.refusals = current, refusals
	r.refusedByAll = r.refusedByAll || f.Kind == KindRefused && !canRetryElsewhere(f.Refusal)
	r.owesRetry = r.owesRetry || r.consumesBudget(f)
}

// CanReplace reports whether the limits on attempts permit another attempt beside those in progress.
func (r *Request) CanReplace(inProgress int) bool {
	return !r.settings.AtMostOnce && !r.refusedByAll && (r.sent == 0 || r.canResume) &&
		(r.sent > 0 || r.refusals < r.settings.MaxRefusals) && r.allowsAttempts(r.attempts+inProgress+1)
}

// consumesBudget reports whether another attempt takes a retry from the budget.
func (r *Request) consumesBudget(f Failure) bool {
	return r.mayHaveDoneWork(f) || r.settings.ChargeRefusals && f.Kind == KindRefused
}

// retryStep returns the step for another attempt, or ends the request if the deadline
// leaves no time for one.
func (r *Request) retryStep(f Failure, jitter float64, now time.Time) Step {
	wait := retry.Backoff(r.attempts+r.refusals, jitter)
	if f.Kind == KindEngineCrashed || f.Kind == KindLost {
		wait = max(wait, r.settings.CrashBackoff)
	}
	if !now.Add(wait).Before(r.deadline.Time()) {
		return r.endStep(r.refusalReason(f), retry.MaxDelay)
	}
	return Step{Retry: true, Wait: wait}
}

func (r *Request) recordFailure(f Failure) {
	if r.mayHaveDoneWork(f) {
		r.attempts++
		r.mayHaveRun = true
	} else {
		r.refusals++
	}
	if f.Kind == KindNoTarget || r.target == "" {
		r.avoid = nil
		return
	}
	if !slices.Contains(r.tried, r.target) {
		r.tried = append(r.tried, r.target)
	}
	if !slices.Contains(r.avoid, r.target) {
		r.avoid = append(r.avoid, r.target)
	}
}

// mayHaveDoneWork reports whether the failed attempt may have done work on a target.
func (r *Request) mayHaveDoneWork(f Failure) bool {
	switch f.Kind {
	case KindNotSent, KindNoTarget:
		return false
	case KindRefused:
		return f.Refusal.Outcome != fleet.OutcomeNotRun
	case KindCallerDisconnected, KindDeadline, KindStopping:
		return r.target != ""
	}
	return true
}

// canRetryElsewhere reports whether another target might accept a request that one
// target refused.
func canRetryElsewhere(r *fleet.Refusal) bool {
	switch r.Reason {
	case fleet.ReasonBadRequest, fleet.ReasonUnknownModel, fleet.ReasonUnknownService, fleet.ReasonDeadlinePassed,
		fleet.ReasonCrashesTargets, fleet.ReasonNotRepeatable, fleet.ReasonTargetsShed, fleet.ReasonTargetsLimited, fleet.ReasonVersionReplaced:
		return false
	}
	return true
}

func (r *Request) refusalReason(f Failure) fleet.Reason {
	switch f.Kind {
	case KindRefused:
		return f.Refusal.Reason
	case KindNoTarget, KindNotSent:
		return fleet.ReasonNoTarget
	case KindEngineCrashed:
		return fleet.ReasonEngineCrashed
	case KindInvalidResponse:
		return fleet.ReasonEngineFailed
	}
	return fleet.ReasonTargetLost
}

func (r *Request) endStep(reason fleet.Reason, retryAfter time.Duration) Step {
	if r.mayHaveRun {
		return Step{Refusal: &fleet.Refusal{Outcome: fleet.OutcomeUnknown, Reason: reason, RetryAfter: retryAfter}}
	}
	return Step{Refusal: fleet.NotRun(reason, retryAfter)}
}

// Pinned returns the version of the tokens sent to the caller, empty if none was sent.
func (r *Request) Pinned() fleet.Version { return r.pinned }

// Sent returns how many tokens were sent to the caller.
func (r *Request) Sent() int { return r.sent }

// IsRepeated reports whether an earlier attempt was made on the current attempt's target.
func (r *Request) IsRepeated() bool { return slices.Contains(r.tried, r.target) }

// Avoid returns the targets that failed this request. The list is cleared each time no
// other target is left.
func (r *Request) Avoid() []fleet.InstanceID { return r.avoid }
