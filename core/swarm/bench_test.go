package swarm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthturn/core/fleet"
)

// randomChoice is the baseline that fetches random chunks from random peers, and chunks that
// no peer holds from the origin.
type randomChoice struct {
	*Planner
}

func newRandomChoice(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	return &randomChoice{NewPlanner(s, m, r, now)}
}

func (p *randomChoice) Next(now time.Time) []Fetch {
	var out []Fetch
	n := len(p.placements)
	for range 4 * p.settings.PeerFetches {
		if len(p.flights) >= p.settings.PeerFetches {
			break
		}
		c := p.random.IntN(n)
		if p.held.Has(c) || p.isInFlight(c) {
			continue
		}
		var holders []*peer
		for _, q := range p.sorted {
			if q.held.Has(c) && p.isUsable(q, now) {
				holders = append(holders, q)
			}
		}
		s := Source{Kind: SourceOrigin}
		if len(holders) > 0 {
			q := holders[p.random.IntN(len(holders))]
			s = Source{SourcePeer, q.id}
		}
		out = append(out, p.startFetch(c, s, now))
	}
	return out
}

// originOnly is the baseline in which all nodes pull all chunks from the origin.
type originOnly struct{ *Planner }

func newOriginOnly(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	return &originOnly{NewPlanner(s, m, r, now)}
}

func (p *originOnly) PeersToWatch(time.Time) []fleet.InstanceID { return nil }
func (p *originOnly) Overdue(time.Time) []Fetch                 { return nil }

func (p *originOnly) Next(now time.Time) []Fetch {
	var out []Fetch
	for c := range p.placements {
		if len(p.flights) >= p.settings.OriginFetches {
			break
		}
		if !p.held.Has(c) && !p.isInFlight(c) {
			out = append(out, p.startFetch(c, Source{Kind: SourceOrigin}, now))
		}
	}
	return out
}

// fixedTree is the baseline in which each node pulls from one parent.
type fixedTree struct {
	*Planner
	parent fleet.InstanceID
	root   bool
}

func newFixedTree(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	var i int
	_, _ = fmt.Sscanf(string(s.Self), "n%d", &i)
	t := &fixedTree{Planner: NewPlanner(s, m, r, now), root: i == 0}
	t.parent = fleet.InstanceID(fmt.Sprintf("n%03d", (i-1)/2))
	return t
}

func (p *fixedTree) PeersToWatch(time.Time) []fleet.InstanceID {
	if p.root {
		return nil
	}
	return []fleet.InstanceID{p.parent}
}
func (p *fixedTree) Overdue(time.Time) []Fetch { return nil }

func (p *fixedTree) Next(now time.Time) []Fetch {
	var out []Fetch
	for c := range p.placements {
		if len(p.flights) >= p.settings.PeerFetches {
			break
		}
		if p.held.Has(c) || p.isInFlight(c) {
			continue
		}
		q := p.peers[p.parent]
		switch {
		case p.root:
			out = append(out, p.startFetch(c, Source{Kind: SourceOrigin}, now))
		case q != nil && q.held.Has(c):
			out = append(out, p.startFetch(c, Source{SourcePeer, q.id}, now))
		}
	}
	return out
}

type benchFault struct {
	name   string
	inject func(*simulation)
}

// leaseDuration is the time after which the entries announce that an instance is unresponsive.
const leaseDuration = 5 * time.Second

// removeStalled removes the stalled nodes from the member lists of all nodes, as entries do
// when heartbeats stop.
func (s *simulation) removeStalled() {
	var list []Member
	for _, n := range s.nodes {
		if !n.crashed && !n.stalled {
			list = append(list, Member{n.id, n.region})
		}
	}
	for _, n := range s.nodes {
		n.chooser.SetMembers(list, s.now)
	}
}

// benchFaults are injected when a third of the distribution is complete.
var benchFaults = []benchFault{
	{"none", func(*simulation) {}},
	{"deaths", func(s *simulation) {
		for i := range max(1, len(s.nodes)/10) {
			s.crash(s.nodes[i*7%len(s.nodes)])
		}
	}},
	{"stalls", func(s *simulation) {
		for i := range max(1, len(s.nodes)/10) {
			s.nodes[i*7%len(s.nodes)].stalled = true
		}
		s.after(leaseDuration, s.removeStalled)
	}},
	{"corrupt", func(s *simulation) {
		for i := range max(1, len(s.nodes)/10) {
			s.nodes[i*7%len(s.nodes)].sendsCorrupt = true
		}
	}},
	{"origin_down_30s", func(s *simulation) {
		s.originDown = true
		s.after(30*time.Second, func() { s.originDown = false })
	}},
	{"partition_30s", func(s *simulation) {
		s.partitionedRegion = s.nodes[len(s.nodes)-1].region
		s.after(30*time.Second, func() { s.partitionedRegion = "" })
	}},
}

func reportMetrics(b *testing.B, s *simulation, n, regions int, ok bool) {
	b.Helper()
	if !ok {
		b.Errorf("distribution to %d nodes not finished", n)
		return
	}
	b.ReportMetric(s.elapsed().Seconds()/s.minTime(n, regions).Seconds(), "floor_ratio")
	b.ReportMetric(s.originCopies(), "origin_copies")
	b.ReportMetric(s.crossCopies(regions), "cross_region_copies")
	maximum := 0.0
	for _, x := range s.nodes {
		maximum = max(maximum, x.controlBytes/s.elapsed().Seconds())
	}
	b.ReportMetric(maximum, "control_bytes_per_s_max")
}

// BenchmarkDistribution measures the planner against the minimum time that the links allow.
func BenchmarkDistribution(b *testing.B) {
	for _, n := range []int{14, 60, 210} {
		for _, regions := range []int{1, 3, 5} {
			for _, o := range []fleet.Objective{fleet.ObjectiveTime, fleet.ObjectiveOriginBytes} {
				for _, f := range benchFaults {
					b.Run(fmt.Sprintf("n=%d/regions=%d/objective=%s/fault=%s", n, regions, o, f.name), func(b *testing.B) {
						for i := range b.N {
							s := newSimulation(n, regions, simChunks, uint64(i+1), newPlannerChooser, o)
							s.after(50*time.Second, func() { f.inject(s) })
							reportMetrics(b, s, n, regions, s.run(time.Hour))
						}
					})
				}
			}
		}
	}
}

// BenchmarkBaselines measures the baselines that the planner is compared with.
func BenchmarkBaselines(b *testing.B) {
	kinds := []struct {
		name       string
		newChooser func(Settings, *Manifest, *rand.Rand, time.Time) chooser
	}{{"origin_only", newOriginOnly}, {"fixed_tree", newFixedTree}, {"random_choice", newRandomChoice}}
	for _, k := range kinds {
		for _, n := range []int{14, 60, 210} {
			for _, regions := range []int{1, 3} {
				b.Run(fmt.Sprintf("%s/n=%d/regions=%d", k.name, n, regions), func(b *testing.B) {
					for i := range b.N {
						s := newSimulation(n, regions, simChunks, uint64(i+1), k.newChooser, fleet.ObjectiveTime)
						reportMetrics(b, s, n, regions, s.run(200*time.Hour))
					}
				})
			}
		}
	}
}

// BenchmarkPlannerStep measures the CPU time of one call of Next.
func BenchmarkPlannerStep(b *testing.B) {
	for _, n := range []int{14, 60, 210} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			s := newSimulation(n, 1, simChunks, 1, newPlannerChooser, fleet.ObjectiveTime)
			s.run(40 * time.Second)
			p := s.nodes[0].chooser
			b.ReportAllocs()
			for b.Loop() {
				for _, f := range p.Next(s.now) {
					p.Failed(f, CauseCanceled, 0, s.now)
				}
			}
		})
	}
}
