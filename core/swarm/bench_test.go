package swarm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthturn/core/fleet"
)

// randomChoice is the baseline that asks random peers for random chunks, and the
// origin for what no peer holds.
type randomChoice struct {
	*Planner
}

func newRandom(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	return &randomChoice{NewPlanner(s, m, r, now)}
}

func (p *randomChoice) Next(now time.Time) []Fetch {
	var out []Fetch
	n := len(p.place)
	for range 4 * p.set.PeerFetches {
		if len(p.flights) >= p.set.PeerFetches {
			break
		}
		c := p.random.IntN(n)
		if p.held.Has(c) || p.inFlight(c) {
			continue
		}
		var holders []*peer
		for _, q := range p.sorted {
			if q.has.Has(c) && p.usable(q, now) {
				holders = append(holders, q)
			}
		}
		s := Source{Kind: SourceOrigin}
		if len(holders) > 0 {
			q := holders[p.random.IntN(len(holders))]
			s = Source{SourcePeer, q.id}
		}
		out = append(out, p.begin(c, s, now))
	}
	return out
}

// originOnly is the baseline in which everybody pulls everything from the origin.
type originOnly struct{ *Planner }

func newOriginOnly(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	return &originOnly{NewPlanner(s, m, r, now)}
}

func (p *originOnly) Wanted(time.Time) []fleet.InstanceID { return nil }
func (p *originOnly) Overdue(time.Time) []Fetch           { return nil }

func (p *originOnly) Next(now time.Time) []Fetch {
	var out []Fetch
	for c := range p.place {
		if len(p.flights) >= p.set.OriginFetches {
			break
		}
		if !p.held.Has(c) && !p.inFlight(c) {
			out = append(out, p.begin(c, Source{Kind: SourceOrigin}, now))
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

func newTree(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	var i int
	_, _ = fmt.Sscanf(string(s.Self), "n%d", &i)
	t := &fixedTree{Planner: NewPlanner(s, m, r, now), root: i == 0}
	t.parent = fleet.InstanceID(fmt.Sprintf("n%03d", (i-1)/2))
	return t
}

func (p *fixedTree) Wanted(time.Time) []fleet.InstanceID {
	if p.root {
		return nil
	}
	return []fleet.InstanceID{p.parent}
}
func (p *fixedTree) Overdue(time.Time) []Fetch { return nil }

func (p *fixedTree) Next(now time.Time) []Fetch {
	var out []Fetch
	for c := range p.place {
		if len(p.flights) >= p.set.PeerFetches {
			break
		}
		if p.held.Has(c) || p.inFlight(c) {
			continue
		}
		q := p.peers[p.parent]
		switch {
		case p.root:
			out = append(out, p.begin(c, Source{Kind: SourceOrigin}, now))
		case q != nil && q.has.Has(c):
			out = append(out, p.begin(c, Source{SourcePeer, q.id}, now))
		}
	}
	return out
}

type benchFault struct {
	name string
	do   func(*bench)
}

// leaseTime is when the entries tell all that an instance has gone silent.
const leaseTime = 5 * time.Second

// dropStalled takes the stalled nodes out of everybody's list, as entries do when
// heartbeats stop.
func (b *bench) dropStalled() {
	var list []Member
	for _, n := range b.nodes {
		if !n.dead && !n.stalled {
			list = append(list, Member{n.id, n.region})
		}
	}
	for _, n := range b.nodes {
		n.plan.SetMembers(list, b.now)
	}
}

// benchFaults strike while a third of the distribution is done.
var benchFaults = []benchFault{
	{"none", func(*bench) {}},
	{"deaths", func(b *bench) {
		for i := range max(1, len(b.nodes)/10) {
			b.kill(b.nodes[i*7%len(b.nodes)])
		}
	}},
	{"stalls", func(b *bench) {
		for i := range max(1, len(b.nodes)/10) {
			b.nodes[i*7%len(b.nodes)].stalled = true
		}
		b.at(leaseTime, b.dropStalled)
	}},
	{"corrupt", func(b *bench) {
		for i := range max(1, len(b.nodes)/10) {
			b.nodes[i*7%len(b.nodes)].lies = true
		}
	}},
	{"origin_down_30s", func(b *bench) {
		b.down = true
		b.at(30*time.Second, func() { b.down = false })
	}},
	{"partition_30s", func(b *bench) {
		b.cut = b.nodes[len(b.nodes)-1].region
		b.at(30*time.Second, func() { b.cut = "" })
	}},
}

func report(b *testing.B, s *bench, n, regions int, ok bool) {
	b.Helper()
	if !ok {
		b.Errorf("not finished: %d nodes", n)
		return
	}
	b.ReportMetric(s.took().Seconds()/s.floor(n, regions).Seconds(), "floor_ratio")
	b.ReportMetric(s.originCopies(), "origin_copies")
	b.ReportMetric(s.crossCopies(regions), "cross_region_copies")
	most := 0.0
	for _, x := range s.nodes {
		most = max(most, x.control/s.took().Seconds())
	}
	b.ReportMetric(most, "control_bytes_per_s_max")
}

// BenchmarkDistribution measures the plan against the links' limit.
func BenchmarkDistribution(b *testing.B) {
	for _, n := range []int{14, 60, 210} {
		for _, regions := range []int{1, 3, 5} {
			for _, o := range []fleet.Objective{fleet.ObjectiveTime, fleet.ObjectiveOriginBytes} {
				for _, f := range benchFaults {
					b.Run(fmt.Sprintf("n=%d/regions=%d/objective=%s/fault=%s", n, regions, o, f.name), func(b *testing.B) {
						for i := range b.N {
							s := newBench(n, regions, benchChunks, uint64(i+1), planner, o)
							s.at(50*time.Second, func() { f.do(s) })
							report(b, s, n, regions, s.run(time.Hour))
						}
					})
				}
			}
		}
	}
}

// BenchmarkBaselines measures what the plan is compared with.
func BenchmarkBaselines(b *testing.B) {
	kinds := []struct {
		name string
		make func(Settings, *Manifest, *rand.Rand, time.Time) chooser
	}{{"origin_only", newOriginOnly}, {"fixed_tree", newTree}, {"random_choice", newRandom}}
	for _, k := range kinds {
		for _, n := range []int{14, 60, 210} {
			for _, regions := range []int{1, 3} {
				b.Run(fmt.Sprintf("%s/n=%d/regions=%d", k.name, n, regions), func(b *testing.B) {
					for i := range b.N {
						s := newBench(n, regions, benchChunks, uint64(i+1), k.make, fleet.ObjectiveTime)
						report(b, s, n, regions, s.run(200*time.Hour))
					}
				})
			}
		}
	}
}

// BenchmarkPlannerStep measures the processor time of one look at the plan.
func BenchmarkPlannerStep(b *testing.B) {
	for _, n := range []int{14, 60, 210} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			s := newBench(n, 1, benchChunks, 1, planner, fleet.ObjectiveTime)
			s.run(40 * time.Second)
			p := s.nodes[0].plan
			b.ReportAllocs()
			for b.Loop() {
				for _, f := range p.Next(s.now) {
					p.Failed(f, CauseCanceled, 0, s.now)
				}
			}
		})
	}
}
