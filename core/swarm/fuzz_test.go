package swarm

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/fleet"
	"amaranthturn/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// checkedPlanner wraps a planner and fails if it violates an invariant: it never fetches a
// chunk that it holds or that is in flight from the same source, never uses a banned peer, and
// keeps its limits.
type checkedPlanner struct {
	*Planner
	fail   func(format string, args ...any)
	active map[Fetch]bool
}

func (c *checkedPlanner) Next(now time.Time) []Fetch {
	out := c.Planner.Next(now)
	for _, f := range out {
		if c.held.Has(f.Chunk) {
			c.fail("fetches chunk %d that it holds", f.Chunk)
		}
		if c.active[f] {
			c.fail("fetches %v twice at once", f)
		}
		c.active[f] = true
		if q, ok := c.peers[f.Source.Peer]; ok && q.banned {
			c.fail("fetches from the banned peer %s", q.id)
		}
	}
	if n := c.flightsBySource[SourcePeer]; n > c.settings.PeerFetches+endgameChunks {
		c.fail("%d fetches from peers in flight", n)
	}
	if n := c.flightsBySource[SourceOrigin]; n > c.settings.OriginFetches {
		c.fail("%d fetches from the origin in flight", n)
	}
	for _, q := range c.sorted {
		if q.inFlight > c.settings.FetchesPerPeer {
			c.fail("%d fetches from one peer in flight", q.inFlight)
		}
	}
	return out
}

func (c *checkedPlanner) Done(f Fetch, now time.Time) []Fetch {
	delete(c.active, f)
	return c.Planner.Done(f, now)
}

func (c *checkedPlanner) Failed(f Fetch, cause Cause, retryAfter time.Duration, now time.Time) {
	delete(c.active, f)
	c.Planner.Failed(f, cause, retryAfter, now)
}

const (
	fuzzChunks = 32
	fuzzLimit  = 2 * time.Hour
)

// injectFault injects one fault and schedules its end.
func injectFault(s *simulation, kind, victim int) {
	n := s.nodes[victim%len(s.nodes)]
	switch kind {
	case 0:
		if liveNodes(s) > 2 {
			s.crash(n)
		}
	case 1:
		n.stalled = true
		s.after(20*time.Second, func() { n.stalled = false })
	case 2:
		n.sendsCorrupt = true
		s.after(15*time.Second, func() { n.sendsCorrupt = false })
	case 3:
		s.originDown = true
		s.after(10*time.Second, func() { s.originDown = false })
	case 4:
		s.partitionedRegion = n.region
		s.after(15*time.Second, func() { s.partitionedRegion = "" })
	case 5:
		s.join()
	}
}

func settingsOf(s *simulation) Settings { return s.nodes[0].chooser.(*checkedPlanner).settings }

func liveNodes(s *simulation) int {
	n := 0
	for _, x := range s.nodes {
		if !x.crashed {
			n++
		}
	}
	return n
}

// join adds a node without chunks and sends the new member list to all nodes.
func (s *simulation) join() {
	i := len(s.nodes)
	node := &simNode{
		id: fleet.InstanceID(fmt.Sprintf("n%03d", i)), region: s.nodes[i%3%len(s.nodes)].region,
		up: link{rate: s.nodes[0].up.rate}, down: link{rate: s.nodes[0].down.rate},
		watching: map[fleet.InstanceID]bool{}, watchers: map[fleet.InstanceID]bool{}, fetchIDs: map[Fetch]int{},
	}
	settings := DefaultSettings(node.id, node.region)
	settings.OriginRegion = "r0"
	node.chooser = s.newChooser(settings, s.manifest, rand.New(rand.NewPCG(uint64(i), 3)), s.now)
	s.nodes = append(s.nodes, node)
	s.byID[node.id] = node
	var list []Member
	for _, n := range s.nodes {
		if !n.crashed {
			list = append(list, Member{n.id, n.region})
		}
	}
	for _, n := range s.nodes {
		n.chooser.SetMembers(list, s.now)
	}
	s.poll(node)
}

// TestPlannersFinish injects random faults into swarms. After the faults have ended every
// live instance must hold the full version, and the copies sent by the origin must stay
// within the configured maximum plus one copy per fault.
func TestPlannersFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newChooser := func(settings Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
			return &checkedPlanner{NewPlanner(settings, m, r, now), t.Fatalf, map[Fetch]bool{}}
		}
		n := rapid.IntRange(2, 9).Draw(t, "nodes")
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		o := fleet.Objective(rapid.IntRange(0, 1).Draw(t, "objective"))
		s := newSimulation(n, regions, fuzzChunks, rapid.Uint64().Draw(t, "seed"), newChooser, o)
		faults := rapid.IntRange(0, 8).Draw(t, "strikes")
		for range faults {
			at := time.Duration(rapid.IntRange(0, 200).Draw(t, "at")) * time.Second
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			victim := rapid.IntRange(0, 20).Draw(t, "victim")
			s.after(at, func() { injectFault(s, kind, victim) })
		}
		if !s.run(fuzzLimit) {
			t.Fatalf("distribution not finished after %v", fuzzLimit)
		}
		// The operator's maximum, one chunk per member, and one copy per fault.
		bound := settingsOf(s).MaxOriginCopies + float64(len(s.nodes))/fuzzChunks + float64(faults)
		if s.originCopies() > bound {
			t.Fatalf("%.2f copies from the origin with %d faults", s.originCopies(), faults)
		}
	})
}

// A member's own link is the bottleneck. With eight chunks in flight at once none of them
// arrived in time, so all peers seemed unreachable and the member took over nine chunks from
// the origin although no fault was injected. Found by TestPlannersFinish at seed 4.
func TestNarrowLinkCausesNoTakeover(t *testing.T) {
	s := newSimulation(7, 1, fuzzChunks, 3, newPlannerChooser, fleet.ObjectiveOriginBytes)
	assert.Assert(t, s.run(fuzzLimit))
	assert.Assert(t, s.originCopies() <= 1.05, "%.2f copies from the origin", s.originCopies())
}

// TestCorruptPeerIsBanned checks that a peer that sends corrupt chunks is banned and that the
// chunks are fetched from other sources.
func TestCorruptPeerIsBanned(t *testing.T) {
	s := newSimulation(4, 1, fuzzChunks, 1, newPlannerChooser, fleet.ObjectiveTime)
	s.nodes[1].sendsCorrupt = true
	assert.Assert(t, s.run(fuzzLimit))
	for _, n := range s.nodes {
		if q, ok := n.chooser.(*Planner).peers["n001"]; ok && q.corrupt >= corruptPeerLimit {
			assert.Assert(t, q.banned)
		}
	}
}

// TestCorruptOriginIsReported checks that CorruptOriginChunk returns a chunk that the origin
// repeatedly serves corrupt.
func TestCorruptOriginIsReported(t *testing.T) {
	p := NewPlanner(DefaultSettings("a", "r"), newManifest(1), rand.New(rand.NewPCG(1, 1)), simStart)
	now := simStart
	for range corruptOriginLimit {
		now = now.Add(time.Minute)
		list := p.Next(now)
		assert.Equal(t, len(list), 1)
		p.Failed(list[0], CauseCorrupt, 0, now)
	}
	c, ok := p.CorruptOriginChunk()
	assert.Assert(t, ok)
	assert.Equal(t, c, 0)
}

// TestThrottledOriginIsRetriedLater checks that no fetch from the origin starts before Retry-After
// has passed.
func TestThrottledOriginIsRetriedLater(t *testing.T) {
	p := NewPlanner(DefaultSettings("a", "r"), newManifest(1), rand.New(rand.NewPCG(1, 1)), simStart)
	assert.Equal(t, len(p.Next(simStart)), 0, "no fetch from the origin within OriginDelay")
	started := simStart.Add(time.Second)
	f := p.Next(started)[0]
	p.Failed(f, CauseThrottled, 30*time.Second, started)
	assert.Equal(t, len(p.Next(started.Add(29*time.Second))), 0)
	assert.Equal(t, len(p.Next(started.Add(31*time.Second))), 1)
}

// TestResumedPlannerAbandonsFetches checks that Resumed returns the fetches from before a pause and
// restarts the stall timer.
func TestResumedPlannerAbandonsFetches(t *testing.T) {
	p := NewPlanner(DefaultSettings("a", "r"), newManifest(4), rand.New(rand.NewPCG(1, 1)), simStart)
	started := p.Next(simStart.Add(time.Second))
	assert.Equal(t, len(started), 3)
	later := simStart.Add(10 * time.Minute)
	abandoned := p.Resumed(later)
	assert.Equal(t, len(abandoned), len(started))
	for _, f := range abandoned {
		p.Failed(f, CauseCanceled, 0, later)
	}
	assert.Equal(t, p.InFlight(), 0)
	assert.Equal(t, p.takeoverLevel(later), 0)
}

func TestManifestIsVerified(t *testing.T) {
	body := []byte(`{"model":"m","chunks":[{"digest":"sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa","size":4}]}`)
	_, err := OpenManifest(fleet.VersionOf(body), body)
	assert.NilError(t, err)
	_, err = OpenManifest(fleet.VersionOf(body), append(body, ' '))
	assert.ErrorIs(t, err, ErrManifestDigest)
	empty := []byte(`{"model":"m"}`)
	_, err = OpenManifest(fleet.VersionOf(empty), empty)
	assert.ErrorContains(t, err, "0 chunks")
}

// FuzzOpenManifest searches for manifests that OpenManifest accepts and that crash the planner.
func FuzzOpenManifest(f *testing.F) {
	f.Add([]byte(`{"model":"m","chunks":[]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		m, err := OpenManifest(fleet.VersionOf(body), body)
		if err == nil && len(m.Chunks) < 1000 {
			NewPlanner(DefaultSettings("a", "r"), m, rand.New(rand.NewPCG(1, 1)), simStart).Next(simStart)
		}
	})
}
