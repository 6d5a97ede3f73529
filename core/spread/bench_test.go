package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/member"
)

// Sizes of messages on the wire, with the framing of the transport, in bytes.
const (
	syncBytes      = 190
	noticeBytes    = 105 // a plan that did not change for this target
	heartbeatBytes = 42
	updateOverhead = 120
	hop            = 2 * time.Millisecond
	exchangeEvery  = time.Second
	heartbeatEvery = time.Second
	changesADay    = 3100
)

// fleetBench is entries and agents that spread one revision. Entries are Nodes;
// agents take what their entries tell them.
type fleetBench struct {
	now     time.Time
	events  spreadHeap
	seq     int
	entries []*Node
	rows    []fleet.Instance
	agents  [][]int // entries of each agent
	force   []time.Duration
	bytes   []float64 // control bytes of each entry for this change
	reads   int
	random  *rand.Rand
}

type spreadEvent struct {
	at  time.Time
	seq int
	do  func()
}

type spreadHeap []spreadEvent

func (h spreadHeap) Len() int { return len(h) }
func (h spreadHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h spreadHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *spreadHeap) Push(x any)   { *h = append(*h, x.(spreadEvent)) }
func (h *spreadHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (f *fleetBench) at(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, spreadEvent{f.now.Add(d), f.seq, do})
}

func newFleet(b *testing.B, entries, agents, zones int) *fleetBench {
	f := &fleetBench{now: start, random: rand.New(rand.NewPCG(1, 2)), bytes: make([]float64, entries), force: make([]time.Duration, entries+agents)}
	r := ring(b, "k1", "k1")
	for i := range entries {
		f.rows = append(f.rows, entryRow(i, zones))
	}
	index := map[fleet.InstanceID]int{}
	for i, row := range f.rows {
		x := NewNode(DefaultSettings(row.ID, row.Zone), r, rand.New(rand.NewPCG(uint64(i), 5)), start)
		x.SetEntries(f.rows)
		x.FromPlatform(1, bigDocument(1), start)
		f.entries = append(f.entries, x)
		index[row.ID] = i
	}
	list := slices.Clone(f.rows)
	for i := range agents {
		list = append(list, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("t%04d", i)), Role: fleet.RoleTarget,
			Zone: fleet.Zone(fmt.Sprintf("z%d", i%zones)), Pool: fleet.Pool(fmt.Sprint(i / zones % 20)),
		})
	}
	cache := map[string][]int{}
	for _, in := range list[entries:] {
		key := member.HomeKey(in.Zone, in.Pool)
		if cache[key] == nil {
			for _, h := range member.Homes(list, in.Zone, in.Pool) {
				cache[key] = append(cache[key], index[h.ID])
			}
		}
		f.agents = append(f.agents, cache[key])
	}
	return f
}

// bigDocument is a document of a few hundred exceptions, of which one changes.
func bigDocument(n int) []byte {
	out := document(n, true)
	for i := range 200 {
		out = fmt.Appendf(out, "[[workspaces]]\nname = \"workspace-%d\"\nweight = %d.0\n", i, 1+i%3)
	}
	return out
}

// publish lets the watchers read revision 2 and runs until it is in force.
func (f *fleetBench) publish() {
	body := bigDocument(2)
	for i, x := range f.entries {
		if !x.Watches(f.now) {
			continue
		}
		f.reads++
		f.at(hop+time.Duration(f.random.IntN(5))*time.Millisecond, func() {
			f.bytes[i] += float64(len(body)) / 4 // compressed
			f.took(i, x.FromPlatform(2, body, f.now))
		})
	}
	for i := range f.entries {
		f.at(time.Duration(f.random.Int64N(int64(exchangeEvery))), func() { f.periodic(i) })
	}
	left := func() bool {
		for _, d := range f.force {
			if d == 0 {
				return true
			}
		}
		return false
	}
	for len(f.events) > 0 && left() {
		e := heap.Pop(&f.events).(spreadEvent)
		f.now = e.at
		e.do()
	}
}

func (f *fleetBench) took(i int, r Result) {
	if !r.Changed {
		return
	}
	f.mark(i)
	for _, in := range f.entries[i].Announce() {
		f.ask(i, f.indexOf(in.ID))
	}
	for a, homes := range f.agents {
		for _, h := range homes {
			if h == i {
				f.bytes[i] += noticeBytes
				f.at(hop, func() { f.mark(len(f.entries) + a) })
			}
		}
	}
}

func (f *fleetBench) indexOf(id fleet.InstanceID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "e%d", &i)
	return i
}

func (f *fleetBench) mark(i int) {
	if f.force[i] == 0 {
		f.force[i] = max(1, f.now.Sub(start))
	}
}

// ask makes entry j learn from entry i, or the other way round.
func (f *fleetBench) ask(i, j int) {
	f.bytes[i] += syncBytes
	f.bytes[j] += syncBytes
	f.at(hop, func() { f.pull(j, i); f.pull(i, j) })
}

func (f *fleetBench) pull(to, from int) {
	_, have := f.entries[to].Document()
	u, ok := f.entries[from].UpdateFor(have)
	if !ok {
		return
	}
	size := float64(len(u.Body) + len(u.Delta.Middle) + updateOverhead)
	f.bytes[from] += size
	f.bytes[to] += size
	f.at(hop, func() { f.took(to, f.entries[to].FromPeer(u, f.now)) })
}

func (f *fleetBench) periodic(i int) {
	if in, ok := f.entries[i].Partner(); ok {
		f.ask(i, f.indexOf(in.ID))
	}
	f.at(exchangeEvery, func() { f.periodic(i) })
}

// BenchmarkSpread measures how a change comes into force, and its cost when 3,100
// changes come a day beside the heartbeats and the periodic exchange.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents, zones int }{{7, 14, 3}, {20, 180, 3}, {74, 926, 5}, {360, 4500, 10}} {
		b.Run(fmt.Sprintf("daemons=%d", size.entries+size.agents), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, size.entries, size.agents, size.zones)
				f.publish()
				worst, most, attached := time.Duration(0), 0.0, make([]int, size.entries)
				for _, d := range f.force {
					worst = max(worst, d)
				}
				for _, homes := range f.agents {
					for _, h := range homes {
						attached[h]++
					}
				}
				for i, n := range f.bytes {
					steady := float64(attached[i])*heartbeatBytes/heartbeatEvery.Seconds() + 4*syncBytes/exchangeEvery.Seconds()
					most = max(most, steady+n*changesADay/86400)
				}
				watches := float64(f.reads)/20 + float64(size.entries)/20 // waits of 20 s: configuration and list
				b.ReportMetric(float64(worst.Milliseconds()), "in_force_ms_max")
				b.ReportMetric(most, "control_bytes_per_s_max")
				b.ReportMetric(watches+float64(f.reads)*changesADay/86400, "platform_reads_per_s")
			}
		})
	}
}
