package ratelimit_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/notice"
	"amaranthturn/core/ratelimit"
)

var (
	t0     = time.Unix(1_000_000, 0)
	target = notice.Target{ID: "t", Incarnation: 5}
)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func stated(rate ratelimit.Rate, sentAt time.Time) ratelimit.Answer {
	return ratelimit.Answer{Target: target, IsStated: true, Rate: rate, SentAt: sentAt}
}

func unstated(sentAt time.Time) ratelimit.Answer {
	return ratelimit.Answer{Target: target, SentAt: sentAt}
}

func isLimited(l *ratelimit.Ledger, now time.Time) bool {
	_, limited := l.Available(target.ID, target.Incarnation, now)
	return limited
}

// Of two answers in flight, the one without a limit may be older than the one with it.
func TestAnswerToEarlierRequestEndsNoLimit(t *testing.T) {
	l := ratelimit.NewLedger()
	l.RecordAnswer(stated(2, at(0)), at(1))
	_, changed := l.RecordAnswer(unstated(at(0.5)), at(2))
	assert.Assert(t, !changed && isLimited(l, at(2)))
	l.RecordAnswer(stated(2, at(0.6)), at(3))
	_, changed = l.RecordAnswer(unstated(at(2.5)), at(4))
	assert.Assert(t, !changed && isLimited(l, at(4)), "the limit was stated again meanwhile")
	limit, changed := l.RecordAnswer(unstated(at(3.5)), at(5))
	assert.Assert(t, changed && !limit.IsInForce && !isLimited(l, at(5)))
}

// The same holds for a limit that was learned from another entry.
func TestAnswerToEarlierRequestEndsNoLimitOfAnotherEntry(t *testing.T) {
	l := ratelimit.NewLedger()
	l.Merge([]ratelimit.Limit{{Target: target, Revision: 1, IsInForce: true, Rate: 2}}, at(1))
	l.RecordAnswer(unstated(at(0.5)), at(2))
	assert.Assert(t, isLimited(l, at(2)))
	l.RecordAnswer(unstated(at(1.5)), at(2))
	assert.Assert(t, !isLimited(l, at(2)))
}

// An answer to a request from before the last change may lower a limit, but doesn't raise it.
func TestAnswerToEarlierRequestRaisesNoLimit(t *testing.T) {
	l := ratelimit.NewLedger()
	l.RecordAnswer(stated(1, at(0)), at(1))
	_, changed := l.RecordAnswer(stated(3, at(0.5)), at(2))
	assert.Assert(t, !changed)
	limit, changed := l.RecordAnswer(stated(3, at(1.5)), at(2))
	assert.Assert(t, changed)
	assert.Equal(t, limit.Rate, ratelimit.Rate(3))
	limit, _ = l.RecordAnswer(stated(0.5, at(0.1)), at(3))
	assert.Equal(t, limit.Rate, ratelimit.Rate(0.5))
}

// An incarnation of a target has no limit of an earlier one.
func TestLimitOfAnEarlierIncarnation(t *testing.T) {
	l := ratelimit.NewLedger()
	l.RecordAnswer(stated(0, at(0)), at(1))
	_, limited := l.Available(target.ID, target.Incarnation+1, at(1))
	assert.Assert(t, !limited)
}

// A limit of 0 can end only by an answer, hence it is asked for one every two seconds.
func TestTargetThatWantsNothingIsAsked(t *testing.T) {
	l := ratelimit.NewLedger()
	l.RecordAnswer(stated(0, at(0)), at(0))
	l.Divide(target, 0, 8, at(0))
	sent := 0
	for s := range 20 {
		for l.Take(target, at(float64(s))) {
			sent++
		}
	}
	assert.Assert(t, sent >= 9 && sent <= 10, "%d requests in 20 s", sent)
}

// Only the first entries of the order may send, and a new share has saved nothing.
func TestShares(t *testing.T) {
	l := ratelimit.NewLedger()
	l.RecordAnswer(stated(3, at(0)), at(0))
	assert.Assert(t, !l.Take(target, at(60)), "before it is divided")
	share, changed := l.Divide(target, 4, 8, at(60))
	assert.Assert(t, !changed || share.Rate == 0)
	assert.Assert(t, !l.Take(target, at(120)))
	share, changed = l.Divide(target, 3, 8, at(120))
	assert.Assert(t, changed)
	assert.Equal(t, share, ratelimit.Share{Rate: 0.75, Entries: 4})
	assert.Assert(t, !l.Take(target, at(120)))
	assert.Assert(t, l.Take(target, at(122)))
	l.Return(target, at(122))
	assert.Assert(t, l.Take(target, at(122)))
	share, _ = l.Divide(target, 0, 2, at(122))
	assert.Equal(t, share, ratelimit.Share{Rate: 1.5, Entries: 2})
	l.Divide(target, -1, 2, at(123))
	assert.Assert(t, !l.Take(target, at(200)))
}

// Limits may reach an entry in any order and more than once.
func TestMergeInAnyOrder(t *testing.T) {
	limits := []ratelimit.Limit{
		{Target: target, Revision: 1, IsInForce: true, Rate: 4},
		{Target: target, Revision: 2},
		{Target: target, Revision: 3, IsInForce: true, Rate: 2},
		{Target: target, Revision: 3, IsInForce: true, Rate: 1},
		{Target: target, Revision: 3},
	}
	var permute func(order, left []ratelimit.Limit)
	permute = func(order, left []ratelimit.Limit) {
		if len(left) == 0 {
			l := ratelimit.NewLedger()
			for i, x := range order {
				l.Merge([]ratelimit.Limit{x}, at(float64(i)))
			}
			assert.Assert(t, len(l.Merge(order, at(10))) == 0)
			assert.DeepEqual(t, l.Limits(), []ratelimit.Limit{{Target: target, Revision: 3, IsInForce: true, Rate: 1}})
			return
		}
		for i := range left {
			rest := append(append([]ratelimit.Limit(nil), left[:i]...), left[i+1:]...)
			permute(append(append([]ratelimit.Limit(nil), order...), left[i]), rest)
		}
	}
	permute(nil, limits)
}

// What a broken entry sends must not keep others from recording what answers show.
func TestOddLimitsOfAnotherEntry(t *testing.T) {
	l := ratelimit.NewLedger()
	news := l.Merge([]ratelimit.Limit{
		{Target: target, Revision: math.MaxUint64, IsInForce: true, Rate: 1},
		{Target: target, Revision: 0, IsInForce: true, Rate: 1},
		{Target: target, Revision: 1, IsInForce: true, Rate: ratelimit.Rate(math.NaN())},
	}, at(0))
	assert.Equal(t, len(news), 0)
	l.Merge([]ratelimit.Limit{{Target: target, Revision: 1, IsInForce: true, Rate: ratelimit.Rate(math.Inf(1))}}, at(0))
	assert.Equal(t, l.Limits()[0].Rate, ratelimit.MaxRate)
	l.Merge([]ratelimit.Limit{{Target: target, Revision: 2, IsInForce: true, Rate: -1}}, at(0))
	assert.Equal(t, l.Limits()[0].Rate, ratelimit.Rate(0))
}

// The limit of a target that is not listed is kept as long as its record may come back.
func TestForget(t *testing.T) {
	l := ratelimit.NewLedger()
	l.RecordAnswer(stated(1, at(0)), at(0))
	listed := false
	isListed := func(notice.Target) bool { return listed }
	l.Forget(isListed, at(60))
	assert.Assert(t, isLimited(l, at(60)))
	listed = true
	l.Forget(isListed, at(3600))
	assert.Assert(t, isLimited(l, at(3600)))
	listed = false
	l.Forget(isListed, at(3600))
	assert.Assert(t, !isLimited(l, at(3600)))
}
