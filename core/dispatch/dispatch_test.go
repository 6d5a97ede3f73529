package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
)

// A target is lost in the middle of its answer. Only an answer that another target can go
// on with is tried again: one begun anew would give the caller tokens of another run.
func TestLostStreamGoesOnOnlyWhenItCanResume(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, canResume := range []bool{false, true} {
		r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
		r.Began("a")
		assert.NilError(t, r.Token(dispatch.Event{Version: "v1", Index: 0, CanResume: canResume}))
		step := r.Failed(dispatch.Failure{Kind: dispatch.KindLost}, func() bool { return true }, 0, now)
		assert.Equal(t, step.Retry, canResume)
		if !canResume {
			assert.Equal(t, step.Refusal.Outcome, fleet.OutcomeUnknown)
			assert.Equal(t, step.Refusal.Reason, fleet.ReasonTargetLost)
		}
	}
}

// The bound on attempts counts those that may have done work, the bound on refusals the
// others; neither stands for the other.
func TestAttemptsAndRefusalsHaveTheirOwnBounds(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	set := dispatch.Settings{MaxAttempts: 2, MaxRefusals: 3}
	always := func() bool { return true }
	fail := func(kind dispatch.Kind) (tries int) {
		r := dispatch.NewRequest(set, now.Add(time.Minute))
		for {
			r.Began("a")
			tries++
			if tries > 10 || !r.Failed(dispatch.Failure{Kind: kind}, always, 0, now).Retry {
				return tries
			}
		}
	}
	assert.Equal(t, fail(dispatch.KindLost), set.MaxAttempts)
	assert.Equal(t, fail(dispatch.KindNotSent), set.MaxRefusals)
}

// A retry that the budget does not allow ends the request, and one without time left for
// the wait before it does, too: the refusal comes at once and not at the deadline.
func TestRetryNeedsBudgetAndTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	lost := dispatch.Failure{Kind: dispatch.KindLost}
	r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
	r.Began("a")
	assert.Assert(t, !r.Failed(lost, func() bool { return false }, 0, now).Retry)
	r = dispatch.NewRequest(dispatch.DefaultSettings, now.Add(dispatch.DefaultSettings.CrashWait))
	r.Began("a")
	step := r.Failed(lost, func() bool { return true }, 0, now)
	assert.Assert(t, !step.Retry)
	assert.Equal(t, step.Refusal.Outcome, fleet.OutcomeUnknown)
}

// An order that a target may have run is not sent again; one that was refused without
// work is.
func TestOrderIsNotSentAgainAfterWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	set := dispatch.Settings{MaxAttempts: 3, MaxRefusals: 3, AtMostOnce: true}
	r := dispatch.NewRequest(set, now.Add(time.Minute))
	always := func() bool { return true }
	r.Began("a")
	assert.Assert(t, r.Failed(dispatch.Failure{Kind: dispatch.KindNotSent}, always, 0, now).Retry)
	r.Began("b")
	step := r.Failed(dispatch.Failure{Kind: dispatch.KindLost}, always, 0, now)
	assert.Assert(t, !step.Retry)
	assert.Equal(t, step.Refusal.Outcome, fleet.OutcomeUnknown)
}
