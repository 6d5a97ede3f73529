package membership

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

func newTestTable() *Table {
	t := NewTable(DefaultSettings)
	t.SetList([]fleet.Instance{{ID: "a", Role: fleet.RoleTarget}, {ID: "b", Role: fleet.RoleTarget}}, now)
	t.RecordHeartbeat(report("a", 1, 1), now)
	t.RecordHeartbeat(report("b", 1, 1), now)
	return t
}

// TestUnavailableAgentsAreNotSelected checks that an agent receives no work, well within
// 3 s, when it is leaving according to the list or its own report, is unresponsive, lost
// its connection, was removed from the list, or has a draining engine.
func TestUnavailableAgentsAreNotSelected(t *testing.T) {
	tests := map[string]func(*Table) time.Time{
		"leaving according to the list": func(table *Table) time.Time {
			table.SetList([]fleet.Instance{{ID: "a", Leaving: true}, {ID: "b"}}, now)
			return now
		},
		"leaving according to its report": func(table *Table) time.Time {
			r := report("a", 1, 2)
			r.Leaving = true
			table.RecordHeartbeat(r, now)
			return now
		},
		"unresponsive": func(table *Table) time.Time {
			table.RecordHeartbeat(report("b", 1, 2), now.Add(2*time.Second))
			return now.Add(2900 * time.Millisecond)
		},
		"disconnected":          func(table *Table) time.Time { table.ConnectionLost("a", 1); return now },
		"removed from the list": func(table *Table) time.Time { table.SetList([]fleet.Instance{{ID: "b"}}, now); return now },
		"draining engine": func(table *Table) time.Time {
			r := report("a", 1, 2)
			r.Models[0].Phase = switchover.PhaseDraining
			table.RecordHeartbeat(r, now)
			return now
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTestTable()
			at := change(table)
			list := table.Serving("m", at)
			assert.Equal(t, len(list), 1)
			assert.Equal(t, list[0].Instance, fleet.InstanceID("b"))
		})
	}
}

func TestReportsOfOlderIncarnationsAreDropped(t *testing.T) {
	table := newTestTable()
	assert.Assert(t, table.RecordHeartbeat(report("a", 5, 1), now))
	assert.Assert(t, !table.RecordHeartbeat(report("a", 1, 99), now), "an older incarnation")
	assert.Assert(t, !table.RecordHeartbeat(report("a", 5, 1), now), "an older stream")
	table.ConnectionLost("a", 1)
	assert.Equal(t, len(table.WithService("s", now)), 2, "the end of an older incarnation's stream must not affect the newer one")
}

// TestPauseInvalidatesLeases checks that leases renewed before a pause of this process
// do not count.
func TestPauseInvalidatesLeases(t *testing.T) {
	table := newTestTable()
	later := now.Add(time.Second)
	table.Resumed(later)
	assert.Equal(t, len(table.Serving("m", later)), 0)
	table.RecordHeartbeat(report("a", 1, 2), later)
	assert.Equal(t, len(table.Serving("m", later)), 1)
}

// TestHomesAreBalanced checks that home entries are computed from the list alone, are
// HomeEntryCount per pool, are evenly loaded, and are never leaving.
func TestHomesAreBalanced(t *testing.T) {
	var list []fleet.Instance
	for i := range 72 {
		list = append(list, fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("e%02d", i)), Role: fleet.RoleEntry, Zone: fleet.Zone(fmt.Sprint(i % 2)), Leaving: i == 4})
	}
	for i := range 900 {
		list = append(list, fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("t%03d", i)), Role: fleet.RoleTarget, Zone: fleet.Zone(fmt.Sprint(i % 2)), Pool: fleet.Pool(fmt.Sprint(i / 2 % 20))})
	}
	loads := map[fleet.InstanceID]int{}
	for p := range 20 {
		homes := HomeEntries(list, "0", fleet.Pool(fmt.Sprint(p)))
		assert.Equal(t, len(homes), HomeEntryCount)
		for _, h := range homes {
			assert.Assert(t, !h.Leaving)
			assert.Equal(t, h.Zone, fleet.Zone("0"))
			loads[h.ID]++
		}
	}
	for id, n := range loads {
		assert.Assert(t, n <= 2, "%s has %d pools", id, n)
	}
	firstEntries := list[:6]
	assert.Equal(t, len(HomeEntries(firstEntries, "0", "p")), 5, "all entries up to AttachAllMaxEntries")
	forCaller := EntriesForCaller(firstEntries, "1", "p", "caller")
	assert.Equal(t, forCaller[0].Zone, fleet.Zone("1"), "entries in the zone come first")
}

// BenchmarkRecordHeartbeat measures the time and memory of a heartbeat for tables of
// different sizes.
func BenchmarkRecordHeartbeat(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table := NewTable(DefaultSettings)
			reports := make([]Report, n)
			for i := range reports {
				reports[i] = report(fleet.InstanceID(fmt.Sprintf("t%04d", i)), 1, 1)
				table.RecordHeartbeat(reports[i], now)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := &reports[i%n]
				r.Sequence++
				table.RecordHeartbeat(*r, now)
				i++
			}
		})
	}
}

// BenchmarkServing measures a selection. Entries make one a few times per second.
func BenchmarkServing(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			table := NewTable(DefaultSettings)
			for i := range n {
				table.RecordHeartbeat(report(fleet.InstanceID(fmt.Sprintf("t%04d", i)), 1, 1), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Serving("m", now)
			}
		})
	}
}

// A live instance that registered after the copy was made was dropped when the platform's store
// was restored, and one that was leaving got work again.
func TestRestoredListDropsNoLiveInstance(t *testing.T) {
	table := newTestTable()
	table.SetList([]fleet.Instance{{ID: "a", Role: fleet.RoleTarget}, {ID: "b", Role: fleet.RoleTarget}, {ID: "c", Role: fleet.RoleTarget, Leaving: true}}, now)
	table.RecordHeartbeat(report("c", 1, 1), now)
	serving := func(at time.Time) string {
		out := ""
		for _, a := range table.Serving("m", at) {
			out += string(a.Instance)
		}
		return out
	}
	assert.Equal(t, serving(now), "ab")
	restored := []fleet.Instance{{ID: "a", Role: fleet.RoleTarget}, {ID: "c", Role: fleet.RoleTarget}, {ID: "gone", Role: fleet.RoleTarget}}
	table.SetRestoredList(restored, now)
	table.RecordHeartbeat(report("c", 1, 2), now)
	assert.Equal(t, serving(now), "ab", "b is live, c is leaving, gone sends no heartbeats")
	table.SetList(restored[:2], now.Add(time.Second))
	assert.Equal(t, serving(now.Add(time.Second)), "ab")
	assert.Equal(t, serving(now.Add(3*time.Second)), "", "only leases count")

	end := now.Add(DefaultSettings.RestoredGrace)
	for _, id := range []fleet.InstanceID{"a", "b"} {
		table.RecordHeartbeat(report(id, 1, 3), end)
	}
	assert.Assert(t, !table.EndGrace(end.Add(-time.Millisecond)))
	assert.Assert(t, table.EndGrace(end))
	assert.Equal(t, serving(end), "a", "b did not register again")
	assert.Equal(t, len(table.List()), 2)
	assert.Assert(t, !table.EndGrace(end))
}
