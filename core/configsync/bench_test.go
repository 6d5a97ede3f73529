package configsync

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
)

// Message sizes in bytes, including transport framing, and delays of the simulation.
const (
	syncBytes         = 130
	noticeBytes       = 105 // a plan that is unchanged for this target
	heartbeatBytes    = 42
	updateOverhead    = 120
	hopDelay          = 2 * time.Millisecond
	exchangeInterval  = time.Second
	heartbeatInterval = time.Second
	changesPerDay     = 3100
)

// syncSimulation simulates the distribution of one revision to entries and agents.
// Entries are Nodes; agents accept every notice of their entries.
type syncSimulation struct {
	now           time.Time
	events        eventHeap
	seq           int
	entries       []*Node
	instances     []fleet.Instance
	agents        [][]int // indexes of the entries of each agent
	inForceAfter  []time.Duration
	controlBytes  []float64 // sent and received by each entry for this change
	platformReads int
	random        *rand.Rand
}

type simulationEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []simulationEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simulationEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (sim *syncSimulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, simulationEvent{sim.now.Add(d), sim.seq, run})
}

func newSyncSimulation(b *testing.B, entries, agents, zones int) *syncSimulation {
	sim := &syncSimulation{now: start, random: rand.New(rand.NewPCG(1, 2)), controlBytes: make([]float64, entries), inForceAfter: make([]time.Duration, entries+agents)}
	r := newRing(b, "k1", "k1")
	for i := range entries {
		sim.instances = append(sim.instances, entryInstance(i, zones))
	}
	index := map[fleet.InstanceID]int{}
	for i, entry := range sim.instances {
		node := NewNode(DefaultSettings(entry.ID, entry.Zone), r, rand.New(rand.NewPCG(uint64(i), 5)), start)
		node.SetEntries(sim.instances)
		node.OfferPlatformDocument(at(0, 1), largeDocument(1), start)
		sim.entries = append(sim.entries, node)
		index[entry.ID] = i
	}
	list := slices.Clone(sim.instances)
	for i := range agents {
		list = append(list, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("t%04d", i)), Role: fleet.RoleTarget,
			Zone: fleet.Zone(fmt.Sprintf("z%d", i%zones)), Pool: fleet.Pool(fmt.Sprint(i / zones % 20)),
		})
	}
	cache := map[string][]int{}
	for _, in := range list[entries:] {
		key := membership.HomeKey(in.Zone, in.Pool)
		if cache[key] == nil {
			for _, h := range membership.HomeEntries(list, in.Zone, in.Pool) {
				cache[key] = append(cache[key], index[h.ID])
			}
		}
		sim.agents = append(sim.agents, cache[key])
	}
	return sim
}

// largeDocument returns a document with 200 workspaces. Only one line depends on n.
func largeDocument(n int) []byte {
	out := document(n, true)
	for i := range 200 {
		out = fmt.Appendf(out, "[[workspaces]]\nname = \"workspace-%d\"\nweight = %d.0\n", i, 1+i%3)
	}
	return out
}

// publish makes revision 2 readable by the watchers and runs the simulation until it
// is in force on every daemon.
func (sim *syncSimulation) publish() {
	body := largeDocument(2)
	for i, node := range sim.entries {
		if !node.ShouldReadPlatform(sim.now) {
			continue
		}
		sim.platformReads++
		sim.schedule(hopDelay+time.Duration(sim.random.IntN(5))*time.Millisecond, func() {
			sim.controlBytes[i] += float64(len(body)) / 4 // compressed
			sim.handleResult(i, node.OfferPlatformDocument(at(0, 2), body, sim.now))
		})
	}
	for i := range sim.entries {
		sim.schedule(time.Duration(sim.random.Int64N(int64(exchangeInterval))), func() { sim.exchangePeriodically(i) })
	}
	isPending := func() bool {
		for _, d := range sim.inForceAfter {
			if d == 0 {
				return true
			}
		}
		return false
	}
	for len(sim.events) > 0 && isPending() {
		e := heap.Pop(&sim.events).(simulationEvent)
		sim.now = e.at
		e.run()
	}
}

func (sim *syncSimulation) handleResult(i int, r Result) {
	if !r.Changed {
		return
	}
	sim.markInForce(i)
	for _, in := range sim.entries[i].AnnouncementPeers() {
		sim.exchange(i, sim.indexOf(in.ID))
	}
	for a, homes := range sim.agents {
		for _, h := range homes {
			if h == i {
				sim.controlBytes[i] += noticeBytes
				sim.schedule(hopDelay, func() { sim.markInForce(len(sim.entries) + a) })
			}
		}
	}
}

func (sim *syncSimulation) indexOf(id fleet.InstanceID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "e%d", &i)
	return i
}

func (sim *syncSimulation) markInForce(i int) {
	if sim.inForceAfter[i] == 0 {
		sim.inForceAfter[i] = max(1, sim.now.Sub(start))
	}
}

// exchange synchronizes entries i and j: the older one pulls from the newer one.
func (sim *syncSimulation) exchange(i, j int) {
	sim.controlBytes[i] += syncBytes
	sim.controlBytes[j] += syncBytes
	sim.schedule(hopDelay, func() { sim.pull(j, i); sim.pull(i, j) })
}

func (sim *syncSimulation) pull(to, from int) {
	if h, ok := sim.entries[from].HistoryFor(sim.entries[to].HistorySum()); ok {
		size := float64(len(h.Body) + updateOverhead)
		sim.controlBytes[from] += size
		sim.controlBytes[to] += size
		sim.schedule(hopDelay, func() { sim.entries[to].OfferHistory(h) })
	}
	u, ok := sim.entries[from].UpdateFor(sim.entries[to].HeldPosition())
	if !ok {
		return
	}
	size := float64(len(u.Body) + len(u.Delta.Middle) + updateOverhead)
	sim.controlBytes[from] += size
	sim.controlBytes[to] += size
	sim.schedule(hopDelay, func() { sim.handleResult(to, sim.entries[to].OfferPeerUpdate(u, sim.now)) })
}

func (sim *syncSimulation) exchangePeriodically(i int) {
	if in, ok := sim.entries[i].ExchangePeer(); ok {
		sim.exchange(i, sim.indexOf(in.ID))
	}
	sim.schedule(exchangeInterval, func() { sim.exchangePeriodically(i) })
}

// BenchmarkSpread measures the propagation delay of a change, and the control traffic
// of 3,100 changes per day together with heartbeats and the periodic exchange.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents, zones int }{{7, 14, 3}, {20, 180, 3}, {74, 926, 5}, {360, 4500, 10}} {
		b.Run(fmt.Sprintf("daemons=%d", size.entries+size.agents), func(b *testing.B) {
			for range b.N {
				sim := newSyncSimulation(b, size.entries, size.agents, size.zones)
				sim.publish()
				maxDelay, maxBytesPerSecond, attached := time.Duration(0), 0.0, make([]int, size.entries)
				for _, d := range sim.inForceAfter {
					maxDelay = max(maxDelay, d)
				}
				for _, homes := range sim.agents {
					for _, h := range homes {
						attached[h]++
					}
				}
				for i, n := range sim.controlBytes {
					steady := float64(attached[i])*heartbeatBytes/heartbeatInterval.Seconds() + 4*syncBytes/exchangeInterval.Seconds()
					maxBytesPerSecond = max(maxBytesPerSecond, steady+n*changesPerDay/86400)
				}
				longPolls := float64(sim.platformReads)/20 + float64(size.entries)/20 // long polls of 20 s for the configuration and the list
				b.ReportMetric(float64(maxDelay.Milliseconds()), "in_force_ms_max")
				b.ReportMetric(maxBytesPerSecond, "control_bytes_per_s_max")
				b.ReportMetric(longPolls+float64(sim.platformReads)*changesPerDay/86400, "platform_reads_per_s")
			}
		})
	}
}
