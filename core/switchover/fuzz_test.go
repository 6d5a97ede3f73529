package switchover

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.MainWith(m, "400")) }

const (
	oldVersion = fleet.Version("old")
	newVersion = fleet.Version("new")
	zone       = fleet.Zone("z")
)

// node is one instance with an engine that holds one version or two.
type node struct {
	m       *Machine
	id      fleet.InstanceID
	eng     Engine
	view    map[fleet.InstanceID]Member // what it last heard of the others
	pending Action
	broken  bool // the new version cannot be loaded here
	flight  int
}

type group struct {
	now    time.Time
	nodes  []*node
	floor  int
	noRule bool // act without promises: the oracle must see it
}

func newGroup(n, floor int, twoSlots bool) *group {
	g := &group{now: time.Unix(1_700_000_000, 0), floor: floor}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		x := &node{
			m: New(DefaultSettings(id, zone), fleet.Incarnation(i+1)), id: id, view: map[fleet.InstanceID]Member{},
			eng: Engine{Up: true, Loaded: []fleet.Version{oldVersion}, Serving: oldVersion, TwoSlots: twoSlots},
		}
		x.m.active, x.m.lastGood = oldVersion, oldVersion
		g.nodes = append(g.nodes, x)
	}
	return g
}

// state is what a node would report now.
func (g *group) state(x *node) Member {
	st := Member{
		ID: x.id, Zone: zone, Serving: x.eng.Serving, Phase: x.m.Phase(), Intent: x.m.Intent(), Promises: x.m.Promises(), Heard: g.now,
	}
	if x.eng.Serving != newVersion {
		st.Staged = newVersion
	}
	return st
}

func (g *group) input(x *node) Input {
	in := Input{
		Desired: newVersion, Complete: func(fleet.Version) bool { return true }, MinServing: g.floor, Engine: x.eng,
		InFlight: map[fleet.Version]int{x.eng.Serving: x.flight},
		View:     View{ZoneSize: len(g.nodes), FailedOn: map[fleet.Version]int{}},
	}
	in.Engine.Loaded = append([]fleet.Version(nil), x.eng.Loaded...)
	for _, o := range g.nodes {
		if st, ok := x.view[o.id]; ok && o != x {
			in.View.Members = append(in.View.Members, st)
			if o.m.Failures(newVersion) > 0 {
				in.View.FailedOn[newVersion]++
			}
		}
	}
	if g.noRule {
		in.MinServing = 0
	}
	return in
}

func (g *group) step(x *node) {
	act := x.m.Step(g.input(x), g.now)
	if act.Kind != ActionNone {
		x.pending = act
		// The engine stops serving as soon as it gets the order.
		if act.Kind == ActionUnload {
			x.unload(act.Version)
		}
	}
}

func (x *node) unload(v fleet.Version) {
	var kept []fleet.Version
	for _, l := range x.eng.Loaded {
		if l != v {
			kept = append(kept, l)
		}
	}
	x.eng.Loaded = kept
	if x.eng.Serving == v {
		x.eng.Serving = ""
	}
}

var errBadWeights = errors.New("weights cannot be loaded")

// finish answers the order that a node's engine was given.
func (g *group) finish(x *node) {
	act := x.pending
	if act.Kind == ActionNone {
		return
	}
	x.pending = Action{}
	var err error
	switch act.Kind {
	case ActionLoad:
		if x.broken && act.Version == newVersion {
			err = errBadWeights
			break
		}
		x.eng.Loaded = append(x.eng.Loaded, act.Version)
	case ActionActivate:
		x.eng.Serving = act.Version
	}
	x.m.Finished(act, err, g.now)
}

// hear tells one node the present state of another.
func (g *group) hear(x, o *node) {
	if x != o {
		x.view[o.id] = g.state(o)
	}
}

func (g *group) serving() int {
	n := 0
	for _, x := range g.nodes {
		if x.eng.Serving != "" && x.m.Open() {
			n++
		}
	}
	return n
}

// settle lets everything be heard and answered until nothing is left to do.
func (g *group) settle(limit time.Duration) bool {
	for end := g.now.Add(limit); g.now.Before(end); g.now = g.now.Add(200 * time.Millisecond) {
		done := true
		for _, x := range g.nodes {
			x.flight = 0
			for _, o := range g.nodes {
				g.hear(x, o)
			}
			g.step(x)
			g.finish(x)
			done = done && x.eng.Serving == newVersion
		}
		if done {
			return true
		}
	}
	return false
}

// switching drives a group whose members hear of each other late, in part, or not
// for a while, and are paused between decisions.
func switching(noRule bool) func(*rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		floor := rapid.IntRange(1, n-1).Draw(t, "floor")
		g := newGroup(n, floor, false)
		g.noRule = noRule
		pick := func(t *rapid.T) *node { return g.nodes[rapid.IntRange(0, n-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(t *rapid.T) { g.step(pick(t)) },
			"hear":    func(t *rapid.T) { g.hear(pick(t), pick(t)) },
			"hear2":   func(t *rapid.T) { g.hear(pick(t), pick(t)) },
			"finish":  func(t *rapid.T) { g.finish(pick(t)) },
			"flight":  func(t *rapid.T) { pick(t).flight = rapid.IntRange(0, 2).Draw(t, "requests") },
			"resumed": func(t *rapid.T) { pick(t).m.Resumed() },
			"wait": func(t *rapid.T) {
				g.now = g.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if s := g.serving(); s < min(floor, n-1) {
					t.Fatalf("%d of %d serve, the floor is %d", s, n, floor)
				}
			},
		})
		if !g.settle(10 * time.Minute) {
			t.Fatalf("not all switched")
		}
	}
}

// TestFloorHolds: enough replicas serve at any moment, and all get there.
func TestFloorHolds(t *testing.T) { rapid.Check(t, switching(false)) }

// TestOracleSeesBrokenFloor shows that the check fails without the promises.
func TestOracleSeesBrokenFloor(t *testing.T) {
	g := newGroup(3, 2, false)
	g.noRule = true
	for _, x := range g.nodes {
		for _, o := range g.nodes {
			g.hear(x, o)
		}
	}
	for _, x := range g.nodes {
		x.view = map[fleet.InstanceID]Member{}
		g.step(x)
	}
	assert.Assert(t, g.serving() < 2)
}

// TestBadVersionStops: a version that fails to load goes no further than the limit,
// and the instances go on serving what they had.
func TestBadVersionStops(t *testing.T) {
	for _, two := range []bool{false, true} {
		t.Run(fmt.Sprintf("two_slots=%v", two), func(t *testing.T) {
			g := newGroup(6, 2, two)
			for _, x := range g.nodes {
				x.broken = true
			}
			assert.Assert(t, !g.settle(2*time.Minute))
			failed := 0
			for _, x := range g.nodes {
				if x.m.Failures(newVersion) > 0 {
					failed++
				}
				assert.Equal(t, x.eng.Serving, oldVersion, "%s", x.id)
			}
			assert.Assert(t, failed >= 1 && failed <= DefaultSettings("", "").FailLimit, "%d failed", failed)
		})
	}
}

// TestTwoSlotsNeverStopServing: an engine that holds two versions serves throughout.
func TestTwoSlotsNeverStopServing(t *testing.T) {
	g := newGroup(5, 4, true)
	for range 600 {
		for _, x := range g.nodes {
			for _, o := range g.nodes {
				g.hear(x, o)
			}
			g.step(x)
			g.finish(x)
		}
		assert.Equal(t, g.serving(), 5)
		g.now = g.now.Add(100 * time.Millisecond)
	}
	for _, x := range g.nodes {
		assert.Equal(t, x.eng.Serving, newVersion)
	}
}

// TestFenceRises: numbers rise across runs that remember nothing, also when the
// clock went back.
func TestFenceRises(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	first := NewFence(0, now)
	last := first.Next()
	second := NewFence(last, now.Add(-time.Hour))
	assert.Assert(t, second.Next() > last)
}

// staleOrder plays an order of an earlier run that acts late on an engine that
// ignores numbers, and tells whether it undid the new run's work.
func staleOrder(guard bool, life, late time.Duration) bool {
	now := time.Unix(1_700_000_000, 0)
	e := Engine{Up: true, Loaded: []fleet.Version{oldVersion}, Serving: oldVersion}
	take := NewTakeover(life, !guard)
	arrives := now.Add(late)
	acted := late > life // an engine drops what has expired
	newRun := false
	for range 200 {
		if !acted && !now.Before(arrives) {
			acted = true
			e.Serving = "stale"
			if newRun {
				return true
			}
		}
		if !newRun && take.Look(e, now) {
			newRun = true
			e.Serving = newVersion
		}
		now = now.Add(100 * time.Millisecond)
	}
	return false
}

// BenchmarkStaleOrders measures what each guard leaves open: the share of late
// orders of an earlier run that undo the work of the present one.
func BenchmarkStaleOrders(b *testing.B) {
	const life = 5 * time.Second
	for _, guard := range []bool{false, true} {
		b.Run(fmt.Sprintf("two_passes=%v", guard), func(b *testing.B) {
			undone, all := 0, 0
			for range b.N {
				for late := time.Duration(0); late < 10*time.Second; late += 50 * time.Millisecond {
					all++
					if staleOrder(guard, life, late) {
						undone++
					}
				}
			}
			b.ReportMetric(float64(undone)/float64(all), "undone_share")
		})
	}
}

// TestTwoPassesGuard fails without the wait between the passes.
func TestTwoPassesGuard(t *testing.T) {
	assert.Assert(t, staleOrder(false, 5*time.Second, time.Second))
	for late := time.Duration(0); late < 10*time.Second; late += 100 * time.Millisecond {
		assert.Assert(t, !staleOrder(true, 5*time.Second, late), "late by %v", late)
	}
}

// TestDeathUnderRequestsIsExcusedOnce: a deadly request does not stop a version, a
// version that dies again under requests is stopped.
func TestDeathUnderRequestsIsExcusedOnce(t *testing.T) {
	g := newGroup(1, 1, true)
	x := g.nodes[0]
	die := func() {
		x.eng = Engine{Up: true, TwoSlots: true}
		in := g.input(x)
		in.DiedBusy = true
		x.m.Step(in, g.now)
	}
	x.m.active, x.m.activeAt = newVersion, g.now
	die()
	assert.Equal(t, x.m.Failures(newVersion), 0)
	x.m.busy = Action{}
	x.m.active, x.m.activeAt = newVersion, g.now
	die()
	assert.Equal(t, x.m.Failures(newVersion), 1)
}
