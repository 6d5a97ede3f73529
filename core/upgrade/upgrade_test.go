package upgrade_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/upgrade"
)

var t0 = time.Unix(1_000_000, 0)

var schedule = upgrade.Schedule{Timeline: upgrade.Timeline{Limit: 8 * time.Second}, FetchTime: 2650 * time.Millisecond}

// During a version switch of 24 engines at capacity, each engine is out of service while its
// running requests end and the weights load. If all fetched and loaded at once, all 24 would
// be out of service together. With the schedule, the engines in service must be able to carry
// the normal load of the 24 engines, which is 70 in 100 of their capacity.
func TestVersionSwitchKeepsCapacity(t *testing.T) {
	const n, outage = 24, 1500 * time.Millisecond
	maximum := 0
	for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
		outOfService := 0
		for i := range n {
			from := schedule.LoadAfter(upgrade.Position{Index: i, Count: n})
			if at >= from && at < from+outage {
				outOfService++
			}
		}
		maximum = max(maximum, outOfService)
	}
	assert.Assert(t, maximum <= n*3/10+1, "%d of %d engines are out of service at once", maximum, n)
}

func TestScheduleEndsWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := upgrade.Position{Count: rapid.IntRange(1, 300).Draw(t, "count")}
		p.Index = rapid.IntRange(0, p.Count-1).Draw(t, "index")
		s := upgrade.Schedule{
			Timeline:  upgrade.Timeline{Limit: time.Duration(rapid.IntRange(1, 20).Draw(t, "limit")) * time.Second},
			FetchTime: time.Duration(rapid.IntRange(1, 900).Draw(t, "fetch")) * time.Millisecond,
		}
		assert.Assert(t, s.LoadAfter(p) < s.Limit)
		assert.Assert(t, s.FetchAfter(p)+s.FetchTime <= s.LoadAfter(p), "the fetch must end before the scheduled load")
	})
}

func TestDecide(t *testing.T) {
	in := upgrade.Input{
		Wanted: 2, Serving: 1, Staged: true, DeclaredAt: t0, Schedule: schedule, Position: upgrade.Position{Index: 12, Count: 24},
	}
	loadAt := t0.Add(schedule.LoadAfter(in.Position))
	assert.Equal(t, upgrade.Decide(in, loadAt.Add(-time.Millisecond)), upgrade.ActionNone)
	assert.Equal(t, upgrade.Decide(in, loadAt), upgrade.ActionLoad)
	busy, missing, done, empty := in, in, in, in
	busy.Busy, missing.Staged, done.Serving, empty.Serving = true, false, 2, 0
	for _, x := range []upgrade.Input{busy, missing, done} {
		assert.Equal(t, upgrade.Decide(x, loadAt), upgrade.ActionNone)
	}
	assert.Equal(t, upgrade.Decide(empty, t0), upgrade.ActionLoad, "an engine that serves nothing does not wait")
}

// Two versions are declared two seconds apart. The limit of the first stays in force after the
// second is declared.
func TestEachDeclarationHasItsLimit(t *testing.T) {
	var d upgrade.Declarations
	assert.Assert(t, d.Add(2, t0, t0))
	assert.Assert(t, d.Add(3, t0.Add(2*time.Second), t0.Add(2*time.Second)))
	assert.Assert(t, !d.Add(2, t0.Add(3*time.Second), t0.Add(3*time.Second)), "a version can be declared only once")
	limit := 8 * time.Second
	assert.Equal(t, d.MinVersion(limit, t0.Add(7*time.Second)), uint64(0))
	assert.Equal(t, d.MinVersion(limit, t0.Add(8*time.Second)), uint64(2))
	assert.Equal(t, d.MinVersion(limit, t0.Add(10*time.Second)), uint64(3))
	assert.Equal(t, d.MinVersion(limit, t0.Add(8*time.Second-1)), uint64(0), "the limit of version 1 is that of the first newer version")
	assert.DeepEqual(t, d.VersionsToFetch(1), []uint64{2, 3})
	assert.Equal(t, d.NewerDeclaredAt(2), t0.Add(2*time.Second))
}

// Two versions become known together because the store was unavailable while they were
// declared. Only the newest is fetched.
func TestOnlyNewestOfSimultaneousVersionsIsFetched(t *testing.T) {
	var d upgrade.Declarations
	d.Add(2, t0, t0)
	d.Add(3, t0.Add(100*time.Millisecond), t0.Add(100*time.Millisecond))
	assert.DeepEqual(t, d.VersionsToFetch(1), []uint64{3})
}

// A daemon that learned of two versions late hears from one that knew them early. The limit of
// each counts from the earlier time, also that of a version that the daemon has not seen.
func TestLateDeclarationCountsFromTheFirstDaemonThatKnewIt(t *testing.T) {
	limit := 8 * time.Second
	var early, late upgrade.Declarations
	early.Add(2, t0, t0)
	early.Add(3, t0.Add(time.Second), t0.Add(time.Second))
	now := t0.Add(4 * time.Second)
	late.Add(3, now, now)
	assert.Assert(t, late.Merge(early.Ages(time.Minute, now), now), "version 2 is new")
	assert.Equal(t, late.MinVersion(limit, t0.Add(limit)), uint64(2))
	assert.Equal(t, late.MinVersion(limit, t0.Add(limit+time.Second)), uint64(3))
	assert.Assert(t, !early.Merge(late.Ages(time.Minute, now), now))
	assert.Assert(t, !early.Merge([]upgrade.Age{{Version: 2, Known: time.Second}, {Version: 0, Known: time.Second}, {Version: 9, Known: -1}, {Version: 9, Known: upgrade.MaxAge + 1}}, now))
	assert.Equal(t, early.MinVersion(limit, t0.Add(limit-1)), uint64(0))
	assert.Equal(t, early.Newest(), uint64(3))
}

// All daemons are paused across a declaration, and one hears of it from another before it reads
// it from the store itself.
func TestEstimateAfterExchangeIsKept(t *testing.T) {
	var d upgrade.Declarations
	now := t0.Add(3 * time.Second)
	d.Merge([]upgrade.Age{{Version: 2}}, now)
	assert.Assert(t, !d.Add(2, t0, now))
	assert.Equal(t, d.MinVersion(8*time.Second, t0.Add(8*time.Second)), uint64(2))
}

// A version is heard of from a daemon that never saw the one before it.
func TestOlderVersionAfterExchangeHasItsLimit(t *testing.T) {
	var d upgrade.Declarations
	now := t0.Add(2 * time.Second)
	d.Merge([]upgrade.Age{{Version: 3}}, now)
	assert.Assert(t, !d.Add(2, t0, now))
	assert.Equal(t, d.Newest(), uint64(3))
	assert.Equal(t, d.MinVersion(8*time.Second, t0.Add(8*time.Second)), uint64(2))
}

// A restarted daemon assumes an early time, which is an estimate and not passed on.
func TestEstimatedDeclarationTimeIsNotPassedOn(t *testing.T) {
	var restarted, running upgrade.Declarations
	restarted.Add(2, t0.Add(-5*time.Second), t0)
	running.Add(2, t0.Add(-time.Second), t0.Add(-time.Second))
	running.Merge(restarted.Ages(time.Minute, t0), t0)
	assert.Equal(t, running.MinVersion(5*time.Second, t0), uint64(0))
}
