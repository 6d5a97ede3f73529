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
