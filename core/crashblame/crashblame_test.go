package crashblame

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
)

var now = time.Unix(1_700_000_000, 0)

// plainSettings are those for targets on which requests can't run alone.
var plainSettings = Settings{MaxCrashedTargets: 3, TrialDelay: 15 * time.Second, Capacity: 4096}

// crashOf names the crash of the i-th target.
func crashOf(i int) CrashID { return CrashOf(fleet.InstanceID(fmt.Sprintf("t%d", i)), 1) }

// tell passes the units of one ledger on to another.
func tell(from, to *Ledger, at time.Time) bool { return to.Merge(from.Exchange(at), at) }

// TestOnlyCrashingRequestIsRefused sends a crashing request repeatedly. It must be refused,
// while requests that only ran next to it on the first target must not.
func TestOnlyCrashingRequestIsRefused(t *testing.T) {
	l := NewLedger(DefaultSettings)
	const crashing = fleet.Fingerprint(1)
	l.RecordCrash(crashOf(0), []fleet.Fingerprint{crashing, 2, 3, 4}, now)
	assert.Equal(t, l.Restriction(crashing, now), Exclusive)
	assert.Equal(t, l.Restriction(3, now), Exclusive)
	l.RecordProof(3, now)
	assert.Equal(t, l.Restriction(3, now), Unrestricted, "a request that completes without others on its target is cleared")
	crashes := 1
	for l.Restriction(crashing, now) != Refuse {
		l.RecordCrash(crashOf(crashes), []fleet.Fingerprint{crashing}, now)
		crashes++
	}
	assert.Assert(t, crashes <= DefaultSettings.MaxCrashedTargets+1, "refused after %d crashed targets", crashes)
	assert.Equal(t, l.Restriction(2, now.Add(2*time.Hour)), Unrestricted, "shared blame must end")
}

func TestBlameOfLostConnectionIsRetracted(t *testing.T) {
	l := NewLedger(DefaultSettings)
	l.RecordCrash(crashOf(0), []fleet.Fingerprint{1}, now)
	l.RecordCrash(crashOf(1), []fleet.Fingerprint{1, 2}, now)
	l.RetractCrash(crashOf(1), now)
	assert.Equal(t, l.Restriction(2, now), Unrestricted)
	assert.Equal(t, l.Restriction(1, now), Exclusive, "blame of the other crash must stay")
}

// Two entries have seen the same and different crashes. Every order and number of messages leads to
// the same blame.
func TestMergeCountsEachCrashOnce(t *testing.T) {
	a, b := NewLedger(DefaultSettings), NewLedger(DefaultSettings)
	a.RecordCrash(crashOf(0), []fleet.Fingerprint{7}, now)
	b.RecordCrash(crashOf(0), []fleet.Fingerprint{7}, now)
	for range 3 {
		tell(a, b, now)
		tell(b, a, now)
	}
	assert.Equal(t, b.Blame(7, now), 1.0)
	b.RecordCrash(crashOf(1), []fleet.Fingerprint{7}, now)
	assert.Assert(t, tell(b, a, now))
	assert.Assert(t, !tell(b, a, now), "nothing is new")
	assert.Equal(t, a.Restriction(7, now), Refuse)
	a.RetractCrash(crashOf(1), now)
	tell(a, b, now)
	tell(b, a, now)
	for _, l := range []*Ledger{a, b} {
		assert.Equal(t, l.Blame(7, now), 1.0, "a share only falls")
	}
}

// Messages of another entry with values that no entry sends.
func TestFalseBlameIsHarmless(t *testing.T) {
	l := NewLedger(DefaultSettings)
	for _, b := range []Blame{
		{Share: math.NaN()}, {Share: math.Inf(1)}, {Share: -1}, {Share: 1.5}, {Share: 1, Age: -1}, {Share: 1, Idle: -1},
		{Share: 1, Age: math.MaxInt64, Idle: math.MaxInt64}, {Share: 1, Age: math.MinInt64},
	} {
		b.Fingerprint, b.Crash = 1, 2
		assert.Assert(t, !l.Merge([]Blame{b}, now), "%+v", b)
	}
	assert.Assert(t, !l.Merge([]Blame{{Fingerprint: 1, Share: 1}}, now), "a crash without a name")
	assert.Assert(t, l.Merge([]Blame{{Fingerprint: 1, Crash: 2, Share: 1, Age: math.MaxInt64}}, now))
	var many []Blame
	for i := range CrashID(10 * MaxExchanged) {
		many = append(many, Blame{Fingerprint: 5, Crash: 1 + i, Share: 1})
	}
	l.Merge(many, now)
	assert.Assert(t, len(l.records[5].units) <= maxUnits)
	assert.Assert(t, len(l.blamed) <= maxUnits+1, "%d", len(l.blamed))
	assert.Assert(t, len(l.Exchange(now)) <= MaxExchanged)
}

func TestLedgerIsBounded(t *testing.T) {
	settings := DefaultSettings
	settings.Capacity = 10
	l := NewLedger(settings)
	l.RecordCrash(crashOf(0), []fleet.Fingerprint{1}, now)
	for f := range fleet.Fingerprint(100) {
		l.RecordCrash(crashOf(1+int(f)), []fleet.Fingerprint{1000 + f, 2000 + f}, now)
	}
	assert.Equal(t, l.Len(), 10)
	assert.Equal(t, l.Restriction(1, now), Exclusive, "the most blamed fingerprint must stay")
	assert.Assert(t, len(l.blamed) <= 10)
}

// A request is refused for as long as it comes, but for the trials, and a while longer.
func TestBlameStaysWhileRequestComes(t *testing.T) {
	l := NewLedger(plainSettings)
	for i := range 3 {
		l.RecordCrash(crashOf(i), []fleet.Fingerprint{1}, now)
	}
	at := now
	for range 5 {
		at = at.Add(Lifetime - time.Second)
		assert.Equal(t, l.Restriction(1, at), Refuse)
	}
	assert.Equal(t, l.Restriction(1, at.Add(Lifetime)), Unrestricted)
	assert.Equal(t, l.Len(), 0)
	assert.Equal(t, len(l.blamed), 0)
}

// A request that is sound runs on three targets which another one crashes. It has completed before.
func TestProvenRequestIsExcused(t *testing.T) {
	l, other := NewLedger(plainSettings), NewLedger(plainSettings)
	l.RecordProof(2, now)
	for i := range 3 {
		l.RecordCrash(crashOf(i), []fleet.Fingerprint{1}, now.Add(time.Second))
		other.RecordCrash(crashOf(i), []fleet.Fingerprint{2}, now.Add(time.Second))
	}
	at := now.Add(2 * time.Second)
	assert.Equal(t, other.Restriction(2, at), Refuse, "it hasn't completed here")
	tell(other, l, at)
	tell(l, other, at)
	for _, l := range []*Ledger{l, other} {
		assert.Equal(t, l.Restriction(2, at), Unrestricted)
		assert.Equal(t, l.Restriction(1, at), Refuse)
	}
}

// A request that was sound begins to crash targets.
func TestProofEndsWithFurtherCrashes(t *testing.T) {
	l := NewLedger(plainSettings)
	l.RecordProof(1, now)
	crashes := 0
	for at := now; l.Restriction(1, at) != Refuse; crashes++ {
		at = at.Add(time.Second)
		l.RecordCrash(crashOf(crashes), []fleet.Fingerprint{1}, at)
	}
	assert.Equal(t, crashes, 2*plainSettings.MaxCrashedTargets)
}

// Connections break and the targets live: answers to requests that were sent afterwards show it.
func TestAnswerRetractsCrash(t *testing.T) {
	l := NewLedger(plainSettings)
	for i := range 3 {
		l.RecordCrash(crashOf(i), []fleet.Fingerprint{1}, now)
	}
	before, after := now.Add(-time.Second), now.Add(time.Second)
	l.RecordAnswer(crashOf(0), before, before, after)
	assert.Equal(t, l.Restriction(1, now), Refuse, "the answer is of a request from before the crash")
	l.RecordAnswer(crashOf(0), after, after, now.Add(2*time.Second))
	assert.Equal(t, l.Restriction(1, now), Refuse, "the target may have started again under its ID")
	l.RecordAnswer(crashOf(0), before, after, now.Add(2*time.Second))
	assert.Equal(t, l.Restriction(1, now), Unrestricted, "the connection is from before the crash")
	l.RecordCrash(crashOf(3), []fleet.Fingerprint{1}, now)
	assert.Equal(t, l.Restriction(1, now), Refuse)
	l.RecordAnswer(crashOf(1), after, after, now.Add(2*time.Second))
	l.EndIncarnation(crashOf(1))
	l.ConfirmAnswers(now.Add(9*time.Second), now.Add(9*time.Second))
	assert.Equal(t, l.Restriction(1, now), Refuse, "a later incarnation may have answered")
	l.RecordAnswer(crashOf(1), after, after, now.Add(2*time.Second))
	l.ConfirmAnswers(now.Add(2*time.Second), now.Add(9*time.Second))
	assert.Equal(t, l.Restriction(1, now), Refuse, "a later incarnation may not be known yet")
	l.ConfirmAnswers(now.Add(3*time.Second), now.Add(9*time.Second))
	assert.Equal(t, l.Restriction(1, now), Unrestricted)
}

// Targets have answered that count as crashed, and may have started again. One entry learns by a trial which
// it is, and the others wait.
func TestTrialWhileAnswersAreNotConfirmed(t *testing.T) {
	l := NewLedger(plainSettings)
	for i := range 3 {
		l.RecordCrash(crashOf(i), []fleet.Fingerprint{1}, now)
	}
	after := now.Add(time.Second)
	assert.Assert(t, !l.IsTrialDue(1, 0, now.Add(answeredTrialDelay)))
	l.RecordAnswer(crashOf(0), after, after, after)
	assert.Equal(t, l.Restriction(1, now), Refuse)
	assert.Assert(t, !l.IsTrialDue(1, 0, now.Add(answeredTrialDelay-1)))
	assert.Assert(t, l.IsTrialDue(1, 0, now.Add(answeredTrialDelay)))
	assert.Assert(t, !l.IsTrialDue(1, 1, now.Add(answeredTrialDelay)))
	l.RecordTrial(1, now.Add(answeredTrialDelay))
	assert.Assert(t, !l.IsTrialDue(1, 0, now.Add(answeredTrialDelay+1)))
	l.EndIncarnation(crashOf(0))
	assert.Assert(t, !l.IsTrialDue(1, 0, now.Add(3*answeredTrialDelay)))
}

// One entry at a time runs a refused request once more, and later each time.
func TestTrialsOfRefusedRequest(t *testing.T) {
	const entries = 8
	var all []*Ledger
	for range entries {
		all = append(all, NewLedger(plainSettings))
	}
	for i := range 3 {
		all[i].RecordCrash(crashOf(i), []fleet.Fingerprint{1}, now)
	}
	random := rand.New(rand.NewPCG(1, 2))
	trials := 0
	at := now
	round := func() {
		at = at.Add(500 * time.Millisecond)
		for i, l := range all {
			peer := all[random.IntN(entries)]
			tell(l, peer, at)
			tell(peer, l, at)
			if l.Restriction(1, at) == Refuse && l.IsTrialDue(1, i, at) {
				l.RecordTrial(1, at)
				l.RecordCrash(crashOf(100+trials), []fleet.Fingerprint{1}, at)
				trials++
			}
		}
	}
	for at.Before(now.Add(time.Hour)) {
		round()
	}
	assert.Assert(t, trials >= 2 && trials <= 4, "%d trials in an hour", trials)
	assert.Equal(t, all[0].Restriction(1, at), Refuse)
	all[0].RecordProof(1, at)
	for range 10 {
		round()
	}
	for _, l := range all {
		assert.Equal(t, l.Restriction(1, at), Unrestricted, "a trial has completed")
	}
}

// A trial that shows nothing, since its caller left, is not followed by another one soon, also if some of
// the blame is shared.
func TestTrialWithoutResultIsFollowedLater(t *testing.T) {
	for _, last := range []float64{1, 0.75} {
		l := NewLedger(plainSettings)
		l.RecordCrash(crashOf(0), []fleet.Fingerprint{1}, now)
		l.RecordCrash(crashOf(1), []fleet.Fingerprint{1}, now)
		l.RecordShare(crashOf(2), 1, last, now)
		assert.Equal(t, l.Restriction(1, now), Refuse)
		at := now.Add(plainSettings.TrialDelay)
		assert.Assert(t, !l.IsTrialDue(1, 0, at.Add(-1)) && l.IsTrialDue(1, 0, at) && !l.IsTrialDue(1, 1, at))
		l.RecordTrial(1, at)
		assert.Assert(t, !l.IsTrialDue(1, 0, at.Add(4*plainSettings.TrialDelay)))
	}
}

// Nobody uses the blame any more. Entries that tell each other of it must not keep it.
func TestBlameEndsAlthoughEntriesTellEachOther(t *testing.T) {
	const entries, delay = 8, 700 * time.Millisecond
	var all []*Ledger
	for range entries {
		all = append(all, NewLedger(plainSettings))
	}
	all[0].RecordCrash(crashOf(0), []fleet.Fingerprint{1}, now)
	random := rand.New(rand.NewPCG(1, 2))
	at := now
	for at.Before(now.Add(Lifetime + entries*delay)) {
		at = at.Add(delay)
		for _, l := range all {
			all[random.IntN(entries)].Merge(l.Exchange(at.Add(-delay)), at) // the message takes its time
		}
	}
	for _, l := range all {
		assert.Equal(t, l.Blame(1, at), 0.0)
	}
}
