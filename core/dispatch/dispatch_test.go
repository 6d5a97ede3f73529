package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
)

// TestLostStreamIsRetriedOnlyIfResumable loses a target in the middle of its response. Only
// a response that another target can resume is retried: a restarted one would send the
// caller tokens of a different run.
func TestLostStreamIsRetriedOnlyIfResumable(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, canResume := range []bool{false, true} {
		r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
		r.StartAttempt("a")
		assert.NilError(t, r.Token(dispatch.TokenEvent{Version: "v1", Index: 0, CanResume: canResume}))
		step := r.Failed(dispatch.Failure{Kind: dispatch.KindLost}, func() bool { return true }, 0, now)
		assert.Equal(t, step.Retry, canResume)
		if !canResume {
			assert.Equal(t, step.Refusal.Outcome, fleet.OutcomeUnknown)
			assert.Equal(t, step.Refusal.Reason, fleet.ReasonTargetLost)
		}
	}
}

// TestAttemptsAndRefusalsHaveSeparateLimits checks that MaxAttempts counts only attempts that
// may have done work and MaxRefusals only the others.
func TestAttemptsAndRefusalsHaveSeparateLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := dispatch.Settings{MaxAttempts: 2, MaxRefusals: 3}
	always := func() bool { return true }
	fail := func(kind dispatch.Kind) (tries int) {
		r := dispatch.NewRequest(settings, now.Add(time.Minute))
		for {
			r.StartAttempt("a")
			tries++
			if tries > 10 || !r.Failed(dispatch.Failure{Kind: kind}, always, 0, now).Retry {
				return tries
			}
		}
	}
	assert.Equal(t, fail(dispatch.KindLost), settings.MaxAttempts)
	assert.Equal(t, fail(dispatch.KindNotSent), settings.MaxRefusals)
}

// TestRetryNeedsBudgetAndTime checks that a request ends at once, and not at its deadline,
// if the retry budget is empty or the deadline comes before the end of the backoff.
func TestRetryNeedsBudgetAndTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	lost := dispatch.Failure{Kind: dispatch.KindLost}
	r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
	r.StartAttempt("a")
	assert.Assert(t, !r.Failed(lost, func() bool { return false }, 0, now).Retry)
	r = dispatch.NewRequest(dispatch.DefaultSettings, now.Add(dispatch.DefaultSettings.CrashBackoff))
	r.StartAttempt("a")
	step := r.Failed(lost, func() bool { return true }, 0, now)
	assert.Assert(t, !step.Retry)
	assert.Equal(t, step.Refusal.Outcome, fleet.OutcomeUnknown)
}

// TestOrderIsNotRetriedAfterWork checks that an order that a target may have run is not
// retried, and that one that was not sent is.
func TestOrderIsNotRetriedAfterWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	settings := dispatch.Settings{MaxAttempts: 3, MaxRefusals: 3, AtMostOnce: true}
	r := dispatch.NewRequest(settings, now.Add(time.Minute))
	always := func() bool { return true }
	r.StartAttempt("a")
	assert.Assert(t, r.Failed(dispatch.Failure{Kind: dispatch.KindNotSent}, always, 0, now).Retry)
	r.StartAttempt("b")
	step := r.Failed(dispatch.Failure{Kind: dispatch.KindLost}, always, 0, now)
	assert.Assert(t, !step.Retry)
	assert.Equal(t, step.Refusal.Outcome, fleet.OutcomeUnknown)
}

// TestRepeatedTargetIsKnown checks that a second attempt on a target is recognized after the
// list of targets to avoid was cleared.
func TestRepeatedTargetIsKnown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
	for _, c := range []struct {
		target   fleet.InstanceID
		kind     dispatch.Kind
		repeated bool
	}{{"a", dispatch.KindLost, false}, {"b", dispatch.KindNotSent, false}, {"", dispatch.KindNoTarget, false}, {"a", dispatch.KindLost, true}} {
		r.StartAttempt(c.target)
		assert.Equal(t, r.IsRepeated(), c.repeated, "%s", c.target)
		_ = r.Failed(dispatch.Failure{Kind: c.kind}, func() bool { return true }, 0, now)
	}
}

// A request that a stop ends is not run only if no target can have begun it.
func TestStoppedRequestHasItsTrueOutcome(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	always := func() bool { return true }
	for _, c := range []struct {
		earlier dispatch.Failure
		target  fleet.InstanceID // of the attempt that the stop ends
		outcome fleet.Outcome
	}{
		{dispatch.Failure{Kind: dispatch.KindNotSent}, "", fleet.OutcomeNotRun},
		{dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonTargetBusy, 0)}, "", fleet.OutcomeNotRun},
		{dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonTargetBusy, 0)}, "b", fleet.OutcomeUnknown},
		{dispatch.Failure{Kind: dispatch.KindLost}, "", fleet.OutcomeUnknown},
	} {
		r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
		r.StartAttempt("a")
		assert.Assert(t, r.Failed(c.earlier, always, 0, now).Retry)
		r.StartAttempt(c.target)
		step := r.Failed(dispatch.Failure{Kind: dispatch.KindStopping}, always, 0, now)
		assert.Assert(t, !step.Retry)
		assert.Equal(t, step.Refusal.Outcome, c.outcome)
		assert.Equal(t, step.Refusal.Reason, fleet.ReasonLeaving)
	}
}
