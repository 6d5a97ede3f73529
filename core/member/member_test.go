package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/switchover"
)

var now = time.Unix(1_700_000_000, 0)

func report(id fleet.InstanceID, inc fleet.Incarnation, seq uint64) Report {
	return Report{
		Instance: id, Incarnation: inc, Sequence: seq, Address: "127.0.0.1:1",
		Models: []ModelState{{Model: "m", Serving: "v1", Phase: switchover.PhaseServing}}, Services: []fleet.Service{"s"},
	}
}

func scene() *Table {
	t := NewTable(DefaultSettings)
	t.SetList([]fleet.Instance{{ID: "a", Role: fleet.RoleTarget}, {ID: "b", Role: fleet.RoleTarget}}, now)
	t.Heard(report("a", 1, 1), now)
	t.Heard(report("b", 1, 1), now)
	return t
}

// TestLeavingAndSilentGetNoWork: by the list, by its own word, by silence, by a broken
// connection, or replaced: no work, well within 3 s.
func TestLeavingAndSilentGetNoWork(t *testing.T) {
	rows := map[string]func(*Table) time.Time{
		"leaving by the list": func(x *Table) time.Time {
			x.SetList([]fleet.Instance{{ID: "a", Leaving: true}, {ID: "b"}}, now)
			return now
		},
		"leaving by its word": func(x *Table) time.Time {
			r := report("a", 1, 2)
			r.Leaving = true
			x.Heard(r, now)
			return now
		},
		"silent": func(x *Table) time.Time {
			x.Heard(report("b", 1, 2), now.Add(2*time.Second))
			return now.Add(2900 * time.Millisecond)
		},
		"broken off":     func(x *Table) time.Time { x.Broken("a", 1); return now },
		"gone from list": func(x *Table) time.Time { x.SetList([]fleet.Instance{{ID: "b"}}, now); return now },
		"draining engine": func(x *Table) time.Time {
			r := report("a", 1, 2)
			r.Models[0].Phase = switchover.PhaseDraining
			x.Heard(r, now)
			return now
		},
	}
	for name, do := range rows {
		t.Run(name, func(t *testing.T) {
			x := scene()
			at := do(x)
			list := x.Serving("m", at)
			assert.Equal(t, len(list), 1)
			assert.Equal(t, list[0].Instance, fleet.InstanceID("b"))
		})
	}
}

func TestOlderRunsAreNotBelieved(t *testing.T) {
	x := scene()
	assert.Assert(t, x.Heard(report("a", 5, 1), now))
	assert.Assert(t, !x.Heard(report("a", 1, 99), now), "an older run")
	assert.Assert(t, !x.Heard(report("a", 5, 1), now), "an older stream")
	x.Broken("a", 1)
	assert.Equal(t, len(x.Offering("s", now)), 2, "the end of an older run's stream says nothing of the new one")
}

// TestPauseIsNoticed: leases from before a pause of this process do not count.
func TestPauseIsNoticed(t *testing.T) {
	x := scene()
	later := now.Add(time.Second)
	x.Resumed(later)
	assert.Equal(t, len(x.Serving("m", later)), 0)
	x.Heard(report("a", 1, 2), later)
	assert.Equal(t, len(x.Serving("m", later)), 1)
}

// TestHomesAgree: the homes follow from the list alone, few and even, never a leaving
// entry.
func TestHomesAgree(t *testing.T) {
	var list []fleet.Instance
	for i := range 72 {
		list = append(list, fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("e%02d", i)), Role: fleet.RoleEntry, Zone: fleet.Zone(fmt.Sprint(i % 2)), Leaving: i == 4})
	}
	for i := range 900 {
		list = append(list, fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("t%03d", i)), Role: fleet.RoleTarget, Zone: fleet.Zone(fmt.Sprint(i % 2)), Pool: fleet.Pool(fmt.Sprint(i / 2 % 20))})
	}
	loads := map[fleet.InstanceID]int{}
	for p := range 20 {
		homes := Homes(list, "0", fleet.Pool(fmt.Sprint(p)))
		assert.Equal(t, len(homes), HomeCount)
		for _, h := range homes {
			assert.Assert(t, !h.Leaving)
			assert.Equal(t, h.Zone, fleet.Zone("0"))
			loads[h.ID]++
		}
	}
	for id, n := range loads {
		assert.Assert(t, n <= 2, "%s has %d pools", id, n)
	}
	few := list[:6]
	assert.Equal(t, len(Homes(few, "0", "p")), 5, "all entries while they are few")
	offered := Offered(few, "1", "p", "caller")
	assert.Equal(t, offered[0].Zone, fleet.Zone("1"), "the zone's own come first")
}

// BenchmarkHeard measures a heartbeat as agents grow, and the state of one agent.
func BenchmarkHeard(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			x := NewTable(DefaultSettings)
			reports := make([]Report, n)
			for i := range reports {
				reports[i] = report(fleet.InstanceID(fmt.Sprintf("t%04d", i)), 1, 1)
				x.Heard(reports[i], now)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := &reports[i%n]
				r.Sequence++
				x.Heard(*r, now)
				i++
			}
		})
	}
}

// BenchmarkServing measures a selection, which is made anew a few times a second.
func BenchmarkServing(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			x := NewTable(DefaultSettings)
			for i := range n {
				x.Heard(report(fleet.InstanceID(fmt.Sprintf("t%04d", i)), 1, 1), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				x.Serving("m", now)
			}
		})
	}
}
