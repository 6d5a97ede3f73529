package notice_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/core/notice"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

var t0 = time.Unix(1_000_000, 0)

// A target that has started again under its ID, also on a clock that was set back, begins
// without notices.
func TestNoticesEndWithTheIncarnation(t *testing.T) {
	l := notice.NewLedger()
	leaving := notice.Target{ID: "a", Incarnation: 5}
	assert.Assert(t, l.RecordLeaving(leaving, t0))
	assert.Assert(t, !l.RecordLeaving(leaving, t0.Add(time.Second)))
	l.RecordPause(leaving, time.Hour, t0)
	for _, born := range []fleet.Incarnation{4, 6} {
		reborn := notice.Target{ID: "a", Incarnation: born}
		assert.Assert(t, !l.IsLeaving(reborn))
		assert.Assert(t, l.PausedUntil(reborn).IsZero())
	}
	assert.Assert(t, l.IsLeaving(leaving))
}

// A target must not be lost for hours by one absurd number.
func TestPauseIsLimited(t *testing.T) {
	l, a := notice.NewLedger(), notice.Target{ID: "a", Incarnation: 1}
	assert.Equal(t, l.RecordPause(a, 1000*time.Hour, t0), t0.Add(notice.MaxPause))
}

// In any order of answers, a target is paused until the last end of all pauses that it asked for.
func TestShorterPauseEndsNoLongerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, a := notice.NewLedger(), notice.Target{ID: "a", Incarnation: 1}
		now, until := t0, time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			pause := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
			if end := now.Add(pause); end.After(until) {
				until = end
			}
			assert.Equal(t, l.RecordPause(a, pause, now), until)
			assert.Equal(t, l.PausedUntil(a), until)
		}
	})
}

// An entry that restarts learns from the others which targets leave.
func TestRestartedEntryLearnsOfLeavingTargets(t *testing.T) {
	known, restarted := notice.NewLedger(), notice.NewLedger()
	a, b := notice.Target{ID: "a", Incarnation: 1}, notice.Target{ID: "b", Incarnation: 2}
	known.RecordLeaving(b, t0)
	known.RecordLeaving(a, t0)
	known.RecordPause(notice.Target{ID: "c", Incarnation: 1}, time.Second, t0)
	assert.DeepEqual(t, restarted.Merge(known.Leaving(), t0), []notice.Target{a, b})
	assert.Equal(t, len(restarted.Merge(known.Leaving(), t0)), 0)
	assert.Assert(t, restarted.IsLeaving(a) && restarted.IsLeaving(b))
}

// A target leaves until it starts again, however long its record is missing: the store may list it
// again as ready. Pauses that have ended are dropped.
func TestLeavingTargetIsListedAgain(t *testing.T) {
	l := notice.NewLedger()
	gone, listed, paused := notice.Target{ID: "a", Incarnation: 1}, notice.Target{ID: "b", Incarnation: 1}, notice.Target{ID: "c", Incarnation: 1}
	l.RecordLeaving(gone, t0)
	l.RecordLeaving(listed, t0)
	l.RecordPause(paused, time.Second, t0)
	isListed := func(t notice.Target) bool { return t == listed }
	l.Forget(isListed, t0.Add(time.Minute))
	assert.DeepEqual(t, l.Leaving(), []notice.Target{gone, listed})
	l.Forget(isListed, t0.Add(time.Hour))
	assert.Assert(t, l.IsLeaving(gone) && l.IsLeaving(listed))
	assert.DeepEqual(t, l.Leaving(), []notice.Target{listed})
	assert.Assert(t, l.PausedUntil(paused).IsZero())
	l.Forget(func(notice.Target) bool { return true }, t0.Add(2*time.Hour))
	assert.DeepEqual(t, l.Leaving(), []notice.Target{gone, listed})
}

// Daemons that tell each other of a target must not keep it in their messages for ever.
func TestMessagesOmitTargetsThatAreGone(t *testing.T) {
	a, b := notice.NewLedger(), notice.NewLedger()
	target := notice.Target{ID: "a", Incarnation: 1}
	a.RecordLeaving(target, t0)
	isListed := func(notice.Target) bool { return false }
	for now := t0; now.Before(t0.Add(time.Hour)); now = now.Add(2 * time.Second) {
		b.Merge(a.Leaving(), now)
		a.Merge(b.Leaving(), now)
		a.Forget(isListed, now)
		b.Forget(isListed, now)
	}
	assert.Equal(t, len(a.Leaving())+len(b.Leaving()), 0)
	assert.Assert(t, a.IsLeaving(target) && b.IsLeaving(target))
}

// Of too many targets, those that only paused are dropped before those that leave.
func TestPausesMakeNoRoomAtTheCostOfLeavingTargets(t *testing.T) {
	l := notice.NewLedger()
	leaving := notice.Target{ID: "leaving", Incarnation: 1}
	l.RecordLeaving(leaving, t0)
	for i := range 16400 {
		l.RecordPause(notice.Target{ID: "paused", Incarnation: fleet.Incarnation(i)}, time.Second, t0.Add(time.Duration(i)*time.Second))
	}
	assert.Assert(t, l.IsLeaving(leaving))
}

// In any order of answers and exchanges, a target that has told any daemon that it leaves stays
// unusable there and wherever that was heard of.
func TestLeavingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*notice.Ledger{notice.NewLedger(), notice.NewLedger(), notice.NewLedger()}
		want := make([]map[notice.Target]bool, len(ledgers))
		for i := range want {
			want[i] = map[notice.Target]bool{}
		}
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(ledgers)-1).Draw(t, "daemon")
			target := notice.Target{ID: fleet.InstanceID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")), Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "born"))}
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				ledgers[i].RecordLeaving(target, now)
				want[i][target] = true
			case 1:
				ledgers[i].RecordPause(target, time.Second, now)
			case 2:
				from := rapid.IntRange(0, len(ledgers)-1).Draw(t, "from")
				ledgers[i].Merge(ledgers[from].Leaving(), now)
				for t := range want[from] {
					want[i][t] = true
				}
			}
			for i, l := range ledgers {
				assert.Equal(t, len(l.Leaving()), len(want[i]))
				for target := range want[i] {
					assert.Assert(t, l.IsLeaving(target))
				}
			}
		}
	})
}
