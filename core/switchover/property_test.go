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

func TestMain(m *testing.M) { os.Exit(fixedseed.MainWithChecks(m, "400")) }

const (
	oldVersion = fleet.Version("old")
	newVersion = fleet.Version("new")
	zone       = fleet.Zone("z")
)

// node is one instance with an engine of one or two slots.
type node struct {
	m         *Machine
	id        fleet.InstanceID
	engine    Engine
	view      map[fleet.InstanceID]Member // last received states of the others
	pending   Action
	loadFails bool // loads of the new version fail
	inFlight  int  // requests in progress
}

type group struct {
	now            time.Time
	nodes          []*node
	minServing     int
	ignorePromises bool // act without promises; the oracle must detect it
}

func newGroup(n, minServing int, twoSlots bool) *group {
	g := &group{now: time.Unix(1_700_000_000, 0), minServing: minServing}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		x := &node{
			m: New(DefaultSettings(id, zone), fleet.Incarnation(i+1)), id: id, view: map[fleet.InstanceID]Member{},
			engine: Engine{Up: true, Loaded: []fleet.Version{oldVersion}, Serving: oldVersion, TwoSlots: twoSlots},
		}
		x.m.active, x.m.lastGood = oldVersion, oldVersion
		g.nodes = append(g.nodes, x)
	}
	return g
}

// state returns the state that a node reports now.
func (g *group) state(x *node) Member {
	st := Member{
		ID: x.id, Zone: zone, Serving: x.engine.Serving, Phase: x.m.Phase(), Intent: x.m.Intent(), Promises: x.m.Promises(), LastSeen: g.now,
	}
	if x.engine.Serving != newVersion {
		st.Staged = newVersion
	}
	return st
}

func (g *group) input(x *node) Input {
	in := Input{
		Desired: newVersion, Complete: func(fleet.Version) bool { return true }, MinServing: g.minServing, Engine: x.engine,
		InFlight: map[fleet.Version]int{x.engine.Serving: x.inFlight},
		View:     View{ZoneSize: len(g.nodes), FailedOn: map[fleet.Version]int{}},
	}
	in.Engine.Loaded = append([]fleet.Version(nil), x.engine.Loaded...)
	for _, o := range g.nodes {
		if st, ok := x.view[o.id]; ok && o != x {
			in.View.Members = append(in.View.Members, st)
			if o.m.Failures(newVersion) > 0 {
				in.View.FailedOn[newVersion]++
			}
		}
	}
	if g.ignorePromises {
		in.MinServing = 0
	}
	return in
}

func (g *group) step(x *node) {
	action := x.m.Step(g.input(x), g.now)
	if action.Kind != ActionNone {
		x.pending = action
		// The engine stops serving as soon as it receives the command.
		if action.Kind == ActionUnload {
			x.unload(action.Version)
		}
	}
}

func (x *node) unload(v fleet.Version) {
	var kept []fleet.Version
	for _, l := range x.engine.Loaded {
		if l != v {
			kept = append(kept, l)
		}
	}
	x.engine.Loaded = kept
	if x.engine.Serving == v {
		x.engine.Serving = ""
	}
}

var errBadWeights = errors.New("weights cannot be loaded")

// finish executes the pending command of a node's engine.
func (g *group) finish(x *node) {
	action := x.pending
	if action.Kind == ActionNone {
		return
	}
	x.pending = Action{}
	var err error
	switch action.Kind {
	case ActionLoad:
		if x.loadFails && action.Version == newVersion {
			err = errBadWeights
			break
		}
		x.engine.Loaded = append(x.engine.Loaded, action.Version)
	case ActionActivate:
		x.engine.Serving = action.Version
	}
	x.m.RecordResponse(action, err, g.now)
}

// deliver delivers the current state of node o to node x.
func (g *group) deliver(x, o *node) {
	if x != o {
		x.view[o.id] = g.state(o)
	}
}

func (g *group) serving() int {
	n := 0
	for _, x := range g.nodes {
		if x.engine.Serving != "" && x.m.AdmitsRequests() {
			n++
		}
	}
	return n
}

// runUntilSwitched delivers all states and executes all commands until every node serves
// the new version. It reports whether that happened within limit.
func (g *group) runUntilSwitched(limit time.Duration) bool {
	for end := g.now.Add(limit); g.now.Before(end); g.now = g.now.Add(200 * time.Millisecond) {
		done := true
		for _, x := range g.nodes {
			x.inFlight = 0
			for _, o := range g.nodes {
				g.deliver(x, o)
			}
			g.step(x)
			g.finish(x)
			done = done && x.engine.Serving == newVersion
		}
		if done {
			return true
		}
	}
	return false
}

// lossySwitch returns a property that drives a group whose members receive each other's
// states late, partly or not at all for a while, and are paused between decisions.
func lossySwitch(ignorePromises bool) func(*rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		minServing := rapid.IntRange(1, n-1).Draw(t, "floor")
		g := newGroup(n, minServing, false)
		g.ignorePromises = ignorePromises
		pick := func(t *rapid.T) *node { return g.nodes[rapid.IntRange(0, n-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(t *rapid.T) { g.step(pick(t)) },
			"hear":    func(t *rapid.T) { g.deliver(pick(t), pick(t)) },
			"hear2":   func(t *rapid.T) { g.deliver(pick(t), pick(t)) },
			"finish":  func(t *rapid.T) { g.finish(pick(t)) },
			"flight":  func(t *rapid.T) { pick(t).inFlight = rapid.IntRange(0, 2).Draw(t, "requests") },
			"resumed": func(t *rapid.T) { pick(t).m.Resumed() },
			"wait": func(t *rapid.T) {
				g.now = g.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if s := g.serving(); s < min(minServing, n-1) {
					t.Fatalf("%d of %d nodes serve, want at least %d", s, n, minServing)
				}
			},
		})
		if !g.runUntilSwitched(10 * time.Minute) {
			t.Fatalf("not all nodes switched to the new version")
		}
	}
}

// TestMinServingHolds checks that enough replicas serve at any time and that all switch
// in the end.
func TestMinServingHolds(t *testing.T) { rapid.Check(t, lossySwitch(false)) }

// TestOracleDetectsTooFewServing checks that too few nodes serve when promises are ignored.
func TestOracleDetectsTooFewServing(t *testing.T) {
	g := newGroup(3, 2, false)
	g.ignorePromises = true
	for _, x := range g.nodes {
		for _, o := range g.nodes {
			g.deliver(x, o)
		}
	}
	for _, x := range g.nodes {
		x.view = map[fleet.InstanceID]Member{}
		g.step(x)
	}
	assert.Assert(t, g.serving() < 2)
}

// TestBadVersionStops checks that a version that fails to load does not spread beyond
// the limit and that all instances keep serving the old version.
func TestBadVersionStops(t *testing.T) {
	for _, two := range []bool{false, true} {
		t.Run(fmt.Sprintf("two_slots=%v", two), func(t *testing.T) {
			g := newGroup(6, 2, two)
			for _, x := range g.nodes {
				x.loadFails = true
			}
			assert.Assert(t, !g.runUntilSwitched(2*time.Minute))
			failed := 0
			for _, x := range g.nodes {
				if x.m.Failures(newVersion) > 0 {
					failed++
				}
				assert.Equal(t, x.engine.Serving, oldVersion, "%s", x.id)
			}
			assert.Assert(t, failed >= 1 && failed <= DefaultSettings("", "").MaxFailedInstances, "%d failed", failed)
		})
	}
}

// TestTwoSlotsNeverStopServing checks that engines with two slots serve during the
// whole switch.
func TestTwoSlotsNeverStopServing(t *testing.T) {
	g := newGroup(5, 4, true)
	for range 600 {
		for _, x := range g.nodes {
			for _, o := range g.nodes {
				g.deliver(x, o)
			}
			g.step(x)
			g.finish(x)
		}
		assert.Equal(t, g.serving(), 5)
		g.now = g.now.Add(100 * time.Millisecond)
	}
	for _, x := range g.nodes {
		assert.Equal(t, x.engine.Serving, newVersion)
	}
}

// TestFenceIncreasesAcrossIncarnations checks that numbers increase across incarnations
// without stored state, also when the clock went back.
func TestFenceIncreasesAcrossIncarnations(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	first := NewFence(0, now)
	last := first.Next()
	second := NewFence(last, now.Add(-time.Hour))
	assert.Assert(t, second.Next() > last)
}

// staleCommand simulates a command of an earlier incarnation that arrives late at an engine
// that ignores fencing numbers, and reports whether it undid the new incarnation's work.
func staleCommand(isGuarded bool, ttl, delay time.Duration) bool {
	now := time.Unix(1_700_000_000, 0)
	e := Engine{Up: true, Loaded: []fleet.Version{oldVersion}, Serving: oldVersion}
	takeover := NewTakeover(ttl, !isGuarded)
	arrivesAt := now.Add(delay)
	acted := delay > ttl // engines drop expired commands
	hasTakenOver := false
	for range 200 {
		if !acted && !now.Before(arrivesAt) {
			acted = true
			e.Serving = "stale"
			if hasTakenOver {
				return true
			}
		}
		if !hasTakenOver && takeover.Observe(e, now) {
			hasTakenOver = true
			e.Serving = newVersion
		}
		now = now.Add(100 * time.Millisecond)
	}
	return false
}

// BenchmarkStaleCommands measures, with and without the guard, the share of late commands
// of an earlier incarnation that undo the work of the current one.
func BenchmarkStaleCommands(b *testing.B) {
	const ttl = 5 * time.Second
	for _, isGuarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("two_passes=%v", isGuarded), func(b *testing.B) {
			undone, all := 0, 0
			for range b.N {
				for delay := time.Duration(0); delay < 10*time.Second; delay += 50 * time.Millisecond {
					all++
					if staleCommand(isGuarded, ttl, delay) {
						undone++
					}
				}
			}
			b.ReportMetric(float64(undone)/float64(all), "undone_share")
		})
	}
}

// TestTwoPassesGuard checks that no late command acts after the takeover. Without the
// wait between the two passes of the takeover it fails.
func TestTwoPassesGuard(t *testing.T) {
	assert.Assert(t, staleCommand(false, 5*time.Second, time.Second))
	for delay := time.Duration(0); delay < 10*time.Second; delay += 100 * time.Millisecond {
		assert.Assert(t, !staleCommand(true, 5*time.Second, delay), "delayed by %v", delay)
	}
}

// TestCrashWithRequestsIsExcusedOnce checks that one crash with requests running does not
// count against a version, because a crashing request may have caused it, and that a second
// one does.
func TestCrashWithRequestsIsExcusedOnce(t *testing.T) {
	g := newGroup(1, 1, true)
	x := g.nodes[0]
	crash := func() {
		x.engine = Engine{Up: true, TwoSlots: true}
		in := g.input(x)
		in.CrashedWithRequests = true
		x.m.Step(in, g.now)
	}
	x.m.active, x.m.activeAt = newVersion, g.now
	crash()
	assert.Equal(t, x.m.Failures(newVersion), 0)
	x.m.pending = Action{}
	x.m.active, x.m.activeAt = newVersion, g.now
	crash()
	assert.Equal(t, x.m.Failures(newVersion), 1)
}
