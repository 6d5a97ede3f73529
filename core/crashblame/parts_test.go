package crashblame

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// Parts of the tests' prompts.
const (
	first  fleet.Fingerprint = 1
	deadly fleet.Fingerprint = 2
	other  fleet.Fingerprint = 3
)

type parts = []fleet.Fingerprint

func crash(l *PartLedger, n int, p parts, at time.Time) {
	for range n {
		l.RecordCrash(ReportID(rand.Uint64()), p, at)
	}
}

// TestSharedFirstPartIsNotBlamed has the first part crash together with the deadly one
// before any request proved it.
func TestSharedFirstPartIsNotBlamed(t *testing.T) {
	l := NewPartLedger()
	crash(l, MaxCrashes-1, parts{first, deadly}, now)
	assert.Equal(t, l.Restriction(parts{first, deadly}, now), Unrestricted)
	assert.Assert(t, l.Suspect(parts{first, deadly}, now))
	crash(l, 1, parts{first, deadly}, now)
	assert.Equal(t, l.Restriction(parts{first, deadly}, now), Refuse)
	assert.Equal(t, l.Restriction(parts{first}, now), Unrestricted)
	assert.Equal(t, l.Restriction(parts{first, other}, now), Unrestricted)
	assert.Equal(t, l.Restriction(parts{other, deadly}, now), Unrestricted, "the first part may be the one")
	assert.Assert(t, l.RecordBegun(parts{first}, now), "others must be told")
	assert.Equal(t, l.Restriction(parts{other, deadly}, now), Refuse)
	assert.Assert(t, !l.Suspect(parts{first}, now))
}

// TestFaultyResponseOfSoundRequestIsNotBlamed breaks off responses whose parts are proven.
func TestFaultyResponseOfSoundRequestIsNotBlamed(t *testing.T) {
	l := NewPartLedger()
	assert.Assert(t, !l.RecordBegun(parts{first, other}, now), "nobody needs to know a part that is not blamed")
	crash(l, 2*MaxCrashes, parts{first, other}, now)
	crash(l, 2*MaxCrashes, nil, now)
	reports, _ := l.Exchange(now)
	assert.Equal(t, len(reports), 0)
	assert.Equal(t, l.Restriction(parts{first, other}, now), Unrestricted)
}

// TestOneCrashIsCountedOnce reports the same crash at two entries and repeatedly.
func TestOneCrashIsCountedOnce(t *testing.T) {
	a, b := NewPartLedger(), NewPartLedger()
	for range 2 * MaxCrashes {
		a.RecordCrash(7, parts{deadly, deadly}, now)
		b.RecordCrash(7, parts{deadly}, now)
		exchange(a, b, now)
	}
	assert.Equal(t, a.Restriction(parts{deadly}, now), Unrestricted)
	reports, _ := a.Exchange(now)
	assert.DeepEqual(t, reports, []Report{{ID: 7, Parts: parts{deadly}}})
}

// TestRefusedPartIsServedOnceProven proves a refused part at another entry.
func TestRefusedPartIsServedOnceProven(t *testing.T) {
	a, b := NewPartLedger(), NewPartLedger()
	crash(a, MaxCrashes, parts{other}, now)
	assert.Equal(t, a.Restriction(parts{other}, now), Refuse)
	b.RecordBegun(parts{other}, now)
	changedA, changedB := exchange(a, b, now)
	assert.Assert(t, !changedA, "the proof was not sent: b did not know the reports")
	assert.Assert(t, changedB)
	changedA, _ = exchange(a, b, now)
	assert.Assert(t, changedA)
	assert.Equal(t, a.Restriction(parts{other}, now), Unrestricted)
	assert.Equal(t, b.Restriction(parts{other}, now), Unrestricted)
}

// TestPartStaysRefusedWhileRequestsCome sends requests with a refused part for longer than a
// report lives, then none.
func TestPartStaysRefusedWhileRequestsCome(t *testing.T) {
	l := NewPartLedger()
	crash(l, MaxCrashes, parts{deadly}, now)
	at := now
	for range 5 {
		at = at.Add(ReportLifetime - time.Second)
		assert.Equal(t, l.Restriction(parts{deadly}, at), Refuse)
	}
	at = at.Add(ReportLifetime)
	assert.Equal(t, l.Restriction(parts{deadly}, at), Unrestricted)
	assert.Assert(t, !l.Suspect(parts{deadly}, at))
}

// TestProofExpires blames a part whose proof is older than ProofLifetime.
func TestProofExpires(t *testing.T) {
	l := NewPartLedger()
	l.RecordBegun(parts{other}, now)
	l.RecordBegun(parts{other}, now.Add(time.Minute))
	crash(l, MaxCrashes, parts{other}, now.Add(ProofLifetime))
	assert.Equal(t, l.Restriction(parts{other}, now.Add(ProofLifetime)), Unrestricted, "the proof was renewed")
	at := now.Add(ProofLifetime + time.Minute)
	crash(l, MaxCrashes, parts{other}, at)
	assert.Equal(t, l.Restriction(parts{other}, at), Refuse)
}

// TestFalseMessagesAreHarmless merges lists of another entry that are oversized or senseless.
func TestFalseMessagesAreHarmless(t *testing.T) {
	l := NewPartLedger()
	ages := []time.Duration{-1, math.MinInt64, math.MaxInt64, ReportLifetime, ProofLifetime}
	var reports []Report
	var proven []Proof
	for i, age := range ages {
		reports = append(reports, Report{ID: ReportID(i), Parts: parts{deadly}, Age: age})
		proven = append(proven, Proof{Part: other, Age: age})
	}
	reports = append(reports, Report{ID: 100}, Report{ID: 101, Parts: make(parts, MaxParts+1)})
	assert.Assert(t, !l.Merge(reports, proven, now))
	crash(l, MaxCrashes, parts{other}, now)
	assert.Equal(t, l.Restriction(parts{other}, now), Refuse)
	reports, proven = nil, nil
	for i := range 3 * MaxProofs {
		reports = append(reports, Report{ID: ReportID(i), Parts: parts{fleet.Fingerprint(i)}, Age: time.Minute})
		proven = append(proven, Proof{Part: fleet.Fingerprint(i)})
	}
	for i := 0; i < len(proven); i += MaxReports * MaxParts {
		l.Merge(reports[i:], proven[i:], now)
	}
	assert.Assert(t, len(l.reports) <= MaxReports && len(l.proofs.elements) <= MaxProofs && l.proofs.order.Len() == len(l.proofs.elements))
}

// TestLedgerOfPartsIsBounded records more parts and crashes than are kept. The newest stay,
// and a report that has no place is not passed on for ever.
func TestLedgerOfPartsIsBounded(t *testing.T) {
	l := NewPartLedger()
	at := now
	for i := range fleet.Fingerprint(2 * MaxProofs) {
		at = at.Add(time.Millisecond)
		l.RecordBegun(parts{1000 + i, first}, at)
	}
	assert.Equal(t, len(l.proofs.elements), MaxProofs)
	assert.Equal(t, l.proofs.order.Len(), MaxProofs)
	assert.Assert(t, l.proofs.isValid(first, at) && l.proofs.isValid(1000+2*MaxProofs-1, at) && !l.proofs.isValid(1000, at))
	for i := range ReportID(2 * MaxReports) {
		at = at.Add(time.Millisecond)
		assert.Assert(t, l.RecordCrash(i, parts{deadly}, at))
	}
	reports, _ := l.Exchange(at)
	assert.Equal(t, len(reports), MaxReports)
	assert.Equal(t, reports[0].ID, ReportID(2*MaxReports-1))
	assert.Assert(t, !l.Merge([]Report{{ID: 0, Parts: parts{deadly}, Age: time.Minute}}, nil, at))
}

// TestMergeIsIndependentOfOrder merges messages in two orders and repeatedly.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			reports []Report
			proven  []Proof
		}
		age := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Minute), int64(2*ReportLifetime)).Draw(t, "age"))
		})
		messages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message {
			return message{
				rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
					id := rapid.Uint64Range(0, 20).Draw(t, "id")
					return Report{ID: ReportID(id), Parts: parts{deadly, fleet.Fingerprint(10 + id%4)}, Age: age.Draw(t, "")}
				}), 0, 8).Draw(t, "reports"),
				rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Proof {
					return Proof{Part: fleet.Fingerprint(rapid.Uint64Range(9, 14).Draw(t, "part")), Age: age.Draw(t, "")}
				}), 0, 4).Draw(t, "proven"),
			}
		}), 0, 6).Draw(t, "messages")
		a, b := NewPartLedger(), NewPartLedger()
		for _, m := range messages {
			a.Merge(m.reports, m.proven, now)
			assert.Assert(t, !a.Merge(m.reports, m.proven, now), "the same message again")
		}
		for _, m := range slices.Backward(messages) {
			b.Merge(m.reports, m.proven, now)
		}
		reportsA, provenA := a.Exchange(now)
		reportsB, provenB := b.Exchange(now)
		assert.DeepEqual(t, reportsA, reportsB)
		assert.DeepEqual(t, provenA, provenB)
		for i := range fleet.Fingerprint(20) {
			assert.Equal(t, a.Restriction(parts{deadly, i}, now), b.Restriction(parts{deadly, i}, now))
		}
	})
}

// TestProvenPartIsNeverRefused runs random operations at two entries that exchange. A part
// with a proof changes no decision, and no part is refused after fewer than MaxCrashes.
func TestProvenPartIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*PartLedger{NewPartLedger(), NewPartLedger()}
		at := now
		crashes := map[fleet.Fingerprint]int{}
		nextID := ReportID(0)
		drawParts := func(t *rapid.T) parts {
			return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleet.Fingerprint {
				return fleet.Fingerprint(rapid.Uint64Range(1, 6).Draw(t, "part"))
			}), 0, 3).Draw(t, "parts")
		}
		draw := func(t *rapid.T) *PartLedger { return rapid.SampledFrom(ledgers).Draw(t, "ledger") }
		t.Repeat(map[string]func(*rapid.T){
			"begun": func(t *rapid.T) { draw(t).RecordBegun(drawParts(t), at) },
			"crash": func(t *rapid.T) {
				nextID++
				p := drawParts(t)
				draw(t).RecordCrash(nextID, p, at)
				for _, q := range slices.Compact(slices.Sorted(slices.Values(p))) {
					crashes[q]++
				}
			},
			"exchange": func(*rapid.T) { exchange(ledgers[0], ledgers[1], at) },
			"time": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.Int64Range(0, int64(ProofLifetime)/2).Draw(t, "step")))
			},
			"": func(t *rapid.T) {
				for _, l := range ledgers {
					request := drawParts(t)
					unproven := slices.DeleteFunc(slices.Clone(request), func(p fleet.Fingerprint) bool { return l.proofs.isValid(p, at) })
					got := l.Restriction(request, at)
					assert.Equal(t, got, l.Restriction(unproven, at))
					assert.Equal(t, l.Suspect(request, at), l.Suspect(unproven, at))
					if got == Refuse {
						assert.Assert(t, slices.ContainsFunc(unproven, func(p fleet.Fingerprint) bool { return crashes[p] >= MaxCrashes }))
						assert.Assert(t, l.Suspect(request, at))
					}
				}
			},
		})
	})
}

// exchange has two entries tell each other what they know.
func exchange(a, b *PartLedger, at time.Time) (changedA, changedB bool) {
	reportsA, provenA := a.Exchange(at)
	reportsB, provenB := b.Exchange(at)
	return a.Merge(reportsB, provenB, at), b.Merge(reportsA, provenA, at)
}

// replayStep is the resolution of a replay.
const replayStep = 10 * time.Millisecond

// replay is a load of sound requests and of requests that crash each target, which arrive at
// random entries.
type replay struct {
	entryCount    int
	period        time.Duration // between the exchanges of an entry with a random other one
	wakeInterval  time.Duration // minimum interval of exchanges because of a change, 0 for none
	soundFrom     time.Duration // first sound request with the same first part
	deadlyPerStep float64
}

// replayResult is what a replay counted.
type replayResult struct {
	crashes, late, refused, soundServed, soundRefused int
}

const (
	replayEnd         = 26 * time.Second
	deadlyFrom        = 4 * time.Second
	stablePeriod      = 3 * time.Second // StableMs
	soundPerStep      = 0.05
	maxDeadlySends    = 3
	minCrashesToCount = 5
)

// replayRun is the state of one run of a replay. Times are since its start.
type replayRun struct {
	replay
	replayResult
	random     *rand.Rand
	entries    []replayEntry
	events     map[time.Duration][]func()
	elapsed    time.Duration
	fifthCrash time.Duration
}

type replayEntry struct {
	*PartLedger
	nextExchange, lastWake time.Duration
	changed                bool
}

func (c replay) run(seed uint64) replayResult {
	r := replayRun{replay: c, random: rand.New(rand.NewPCG(seed, 0)), events: map[time.Duration][]func(){}}
	for range c.entryCount {
		r.entries = append(r.entries, replayEntry{
			PartLedger: NewPartLedger(), nextExchange: time.Duration(r.random.Int64N(int64(c.period))), lastWake: -c.wakeInterval,
		})
	}
	for ; r.elapsed < replayEnd; r.elapsed += replayStep {
		for _, f := range r.events[r.elapsed] {
			f()
		}
		if r.elapsed >= c.soundFrom && r.random.Float64() < soundPerStep {
			r.sendSound(r.randomEntry())
		}
		if r.elapsed >= deadlyFrom && r.random.Float64() < c.deadlyPerStep {
			r.sendDeadly(r.randomEntry())
		}
		for i := range r.entries {
			r.exchangeIfDue(i)
		}
	}
	return r.replayResult
}

func (r *replayRun) now() time.Time { return now.Add(r.elapsed) }

func (r *replayRun) randomEntry() *replayEntry { return &r.entries[r.random.IntN(r.entryCount)] }

func (r *replayRun) after(steps int, f func()) {
	at := r.elapsed + time.Duration(steps)*replayStep
	r.events[at] = append(r.events[at], f)
}

func (r *replayRun) sendSound(e *replayEntry) {
	if e.Restriction(parts{first}, r.now()) == Refuse {
		r.soundRefused++
		return
	}
	r.soundServed++
	r.after(3, func() { e.changed = e.RecordBegun(parts{first}, r.now()) || e.changed })
}

func (r *replayRun) sendDeadly(e *replayEntry) {
	if e.Restriction(parts{first, deadly}, r.now()) == Refuse {
		r.refused++
		return
	}
	if r.fifthCrash > 0 && r.elapsed > r.fifthCrash+stablePeriod {
		r.late++
	}
	id := ReportID(r.random.Uint64())
	r.after(3+r.random.IntN(10), func() {
		if r.crashes++; r.crashes == minCrashesToCount {
			r.fifthCrash = r.elapsed
		}
		e.changed = e.RecordCrash(id, parts{first, deadly}, r.now()) || e.changed
	})
}

func (r *replayRun) exchangeIfDue(i int) {
	a := &r.entries[i]
	switch {
	case r.wakeInterval > 0 && a.changed && r.elapsed >= a.lastWake+r.wakeInterval:
		a.lastWake = r.elapsed
	case r.elapsed >= a.nextExchange:
		a.nextExchange += r.period
	default:
		return
	}
	b := &r.entries[(i+1+r.random.IntN(r.entryCount-1))%r.entryCount]
	changedA, changedB := exchange(a.PartLedger, b.PartLedger, r.now())
	a.changed, b.changed = changedA, b.changed || changedB
}

// TestDeadlyPartIsRefusedEverywhere replays the load of the incident of December 2026: no
// two requests with the part are alike, and others with the same first part are sound.
func TestDeadlyPartIsRefusedEverywhere(t *testing.T) {
	sizes := []replay{
		{entryCount: 8, period: 500 * time.Millisecond},
		{entryCount: 44, period: 4 * time.Second, wakeInterval: 100 * time.Millisecond},
	}
	for _, c := range sizes {
		for name, soundFrom := range map[string]time.Duration{
			"proven before": 0, "never proven before": deadlyFrom, "proven at the end": 20 * time.Second,
		} {
			t.Run(fmt.Sprintf("%d entries, first part %s", c.entryCount, name), func(t *testing.T) {
				c.soundFrom = soundFrom
				for _, c.deadlyPerStep = range []float64{0.02, 0.06, 0.2} {
					worst, counted, total := 0, 0, replayResult{}
					for seed := range uint64(20) {
						r := c.run(seed)
						assert.Assert(t, r.crashes >= MaxCrashes && r.refused > 0 && r.soundServed > 0, "seed %d: %+v", seed, r)
						assert.Equal(t, r.soundRefused, 0, "seed %d", seed)
						worst = max(worst, r.late)
						if r.crashes >= minCrashesToCount {
							counted++
						}
						total.crashes += r.crashes
						total.refused += r.refused
						total.soundServed += r.soundServed
					}
					t.Logf("%v deadly requests a step: at most %d late, %d runs with a fifth crash, %+v", c.deadlyPerStep, worst, counted, total)
					assert.Assert(t, counted > 0, "no run in which the rule applies")
					assert.Assert(t, worst <= maxDeadlySends, "%d", worst)
				}
			})
		}
	}
}

// Nobody uses a report and a proof any more. Entries that tell each other of them must not keep them.
func TestReportsEndAlthoughEntriesTellEachOther(t *testing.T) {
	const entries, delay = 8, 700 * time.Millisecond
	var all []*PartLedger
	for range entries {
		all = append(all, NewPartLedger())
	}
	crash(all[0], 1, parts{other, first}, now)
	all[0].RecordBegun(parts{first}, now)
	at := now
	for at.Before(now.Add(ReportLifetime + delay)) {
		at = at.Add(delay)
		for _, l := range all {
			reports, proven := l.Exchange(at.Add(-delay)) // the message takes its time
			all[rand.IntN(entries)].Merge(reports, proven, at)
		}
	}
	for _, l := range all {
		reports, _ := l.Exchange(at)
		assert.Equal(t, len(reports), 0)
		assert.Assert(t, !l.proofs.isValid(first, at))
	}
}
