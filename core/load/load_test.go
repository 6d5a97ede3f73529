package load_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/load"
)

var t0 = time.Unix(1_000_000, 0)

func board(n, slots int) *load.Board {
	b := load.NewBoard(load.DefaultSettings, rand.New(rand.NewPCG(1, 2)))
	var rows []load.Target
	for i := range n {
		rows = append(rows, load.Target{ID: id(i), Slots: slots, Near: i%2 == 0})
	}
	b.SetTargets(rows)
	return b
}

func id(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("t%d", i)) }

// Replays more requests than slots: no target gets more than it has slots for, and none is
// refused while a slot is free.
func TestSteadyOverload(t *testing.T) {
	b := board(4, 16)
	for range 4 * 16 {
		got, ok := b.Choose(load.Query{}, t0)
		assert.Assert(t, ok)
		b.Started(got, 1000)
	}
	assert.Equal(t, b.Room(t0), 0)
	_, ok := b.Choose(load.Query{}, t0)
	assert.Assert(t, !ok)
	b.Ended(id(3), 0, load.ResultDone, t0)
	got, ok := b.Choose(load.Query{}, t0)
	assert.Assert(t, ok)
	assert.Equal(t, got, id(3))
}

// Replays three entries that share targets: with each other's load in the reports, none
// sends to a target that the others have filled; as the report ages it counts less.
func TestOthersRequestsCount(t *testing.T) {
	b := board(1, 16)
	b.Started(id(0), 0)
	b.Reported(id(0), 16, t0)
	assert.Equal(t, b.Room(t0), 0)
	assert.Equal(t, b.Room(t0.Add(load.DefaultSettings.ReportLife)), 7, "half of the others' 15 and the own one")
}

// Replays a target that fails fast among working ones: it must not attract requests.
func TestFailingTargetIsLeftAlone(t *testing.T) {
	b := board(4, 16)
	now, failed := t0, 0
	for range 2000 {
		got, ok := b.Choose(load.Query{}, now)
		assert.Assert(t, ok)
		b.Started(got, 0)
		if got == id(0) {
			failed++
			b.Ended(got, 0, load.ResultFailed, now)
		} else {
			b.Ended(got, 0, load.ResultDone, now)
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, failed < 20, "%d of 2000 requests went to a target that fails all", failed)
}

func TestNearTargetsComeFirst(t *testing.T) {
	b := board(2, 16)
	for range 5 {
		got, _ := b.Choose(load.Query{}, t0)
		assert.Equal(t, got, id(0))
		b.Started(got, 0)
	}
	got, _ := b.Choose(load.Query{Avoid: []fleet.InstanceID{id(0)}}, t0)
	assert.Equal(t, got, id(1))
}

// A target that restarts under its id holds none of the requests of before.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	b := board(1, 1)
	b.Started(id(0), 0)
	b.SetTargets([]load.Target{{ID: id(0), Born: 7, Slots: 1}})
	_, ok := b.Choose(load.Query{}, t0)
	assert.Assert(t, ok)
}

func TestClosedTargetGetsNothing(t *testing.T) {
	b := board(1, 4)
	b.SetTargets([]load.Target{{ID: id(0), Slots: 4, Closed: true}})
	_, ok := b.Choose(load.Query{Beyond: true}, t0)
	assert.Assert(t, !ok)
	assert.Equal(t, b.Room(t0), 0)
}

// Replays a zone of 11 entries beside 9 targets in which each entry has half of its share
// in flight and reports are half a second old. Without home targets the entries fill the
// same ones; the fullest target must stay within its slots.
func TestManyEntriesDoNotFillOneTarget(t *testing.T) {
	const entries, targets, slots, each = 11, 9, 12, 5
	fullest := func(bonus float64) int {
		set := load.DefaultSettings
		set.HomeBonus = bonus
		var total [targets]int
		random := rand.New(rand.NewPCG(5, 6))
		for e := range entries {
			b := load.NewBoard(set, random)
			var rows []load.Target
			for i := range targets {
				rows = append(rows, load.Target{ID: id(i), Slots: slots, Near: true, Home: load.IsHome(e, entries, i, targets)})
			}
			b.SetTargets(rows)
			// Before the burst the reports showed one target as the emptiest.
			for i := range targets {
				b.Reported(id(i), min(i, 2), t0)
			}
			for range each {
				got, ok := b.Choose(load.Query{}, t0)
				assert.Assert(t, ok)
				b.Started(got, 0)
				for i := range targets {
					if got == id(i) {
						total[i]++
					}
				}
			}
		}
		most := 0
		for _, n := range total {
			most = max(most, n)
		}
		return most
	}
	assert.Assert(t, fullest(0) > slots, "the pattern must overfill without home targets: %d", fullest(0))
	assert.Assert(t, fullest(load.DefaultSettings.HomeBonus) <= slots, "%d", fullest(load.DefaultSettings.HomeBonus))
}

func TestEveryEntryAndTargetHasAHome(t *testing.T) {
	for entries := 1; entries < 15; entries++ {
		for targets := 1; targets < 15; targets++ {
			var e, x [15]int
			for i := range entries {
				for j := range targets {
					if load.IsHome(i, entries, j, targets) {
						e[i]++
						x[j]++
					}
				}
			}
			for i := range entries {
				assert.Assert(t, e[i] > 0, "%d entries, %d targets", entries, targets)
			}
			for j := range targets {
				assert.Assert(t, x[j] > 0, "%d entries, %d targets", entries, targets)
			}
		}
	}
}
