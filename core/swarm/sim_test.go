package swarm

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthturn/core/fleet"
)

// bench is a swarm over links that are a rate and a queue each. It has its own
// clock and moves whole chunks; nothing in it knows how planners decide.
type bench struct {
	now      time.Time
	events   eventHeap
	serial   int
	nodes    []*benchNode
	byID     map[fleet.InstanceID]*benchNode
	manifest *Manifest
	origin   link
	regions  map[string]*link
	random   *rand.Rand
	size     float64 // bytes of a chunk
	copies   float64 // chunks that left the origin
	cross    float64 // chunks that went between regions
	down     bool    // the origin answers nothing
	cut      fleet.Region
	make     func(Settings, *Manifest, *rand.Rand, time.Time) chooser
}

// link is a rate and the time at which its queue is empty.
type link struct {
	rate float64 // bytes a second
	free time.Time
	used float64
}

// send returns when a piece that is ready at t has passed the link.
func (l *link) send(t time.Time, bytes float64) time.Time {
	if t.Before(l.free) {
		t = l.free
	}
	l.free = t.Add(time.Duration(bytes / l.rate * float64(time.Second)))
	l.used += bytes
	return l.free
}

// chooser is what is measured: a Planner, or a baseline.
type chooser interface {
	SetMembers(list []Member, now time.Time)
	Wanted(now time.Time) []fleet.InstanceID
	PeerHas(id fleet.InstanceID, has Bitmap, now time.Time)
	PeerAdded(id fleet.InstanceID, chunk int, now time.Time)
	PeerGone(id fleet.InstanceID, now time.Time)
	Next(now time.Time) []Fetch
	Overdue(now time.Time) []Fetch
	Done(f Fetch, now time.Time) []Fetch
	Failed(f Fetch, why Cause, retryAfter time.Duration, now time.Time)
	Held() Bitmap
	Has(c int) bool
	Missing() int
}

type benchNode struct {
	id       fleet.InstanceID
	region   fleet.Region
	plan     chooser
	up, down link
	watching map[fleet.InstanceID]bool
	watchers map[fleet.InstanceID]bool
	pending  bool // a step is scheduled
	dead     bool
	stalled  bool
	lies     bool // sends corrupt chunks
	doneAt   time.Time
	fresh    []int
	live     map[Fetch]int // serial of the fetch in flight
	control  float64       // bytes of control traffic sent
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Scale of the bench: a version of 512 MB within links that carry, in five minutes,
// four copies from the origin and two through a machine, and 20 Mbit/s a region.
const (
	benchChunks  = 512
	benchChunk   = 1 << 20
	benchT       = 300.0
	benchRegion  = 20e6 / 8
	localLatency = time.Millisecond
	haveDelay    = 300 * time.Millisecond
	stepDelay    = 20 * time.Millisecond
	busyQueue    = 8 // chunks that an uploader queues before it says busy
)

var benchStart = time.Unix(1_700_000_000, 0)

func benchManifest(n int) *Manifest {
	m := &Manifest{Model: "m"}
	for i := range n {
		m.Chunks = append(m.Chunks, Chunk{Digest: fleet.DigestOf([]byte(fmt.Sprint(i))), Size: benchChunk})
	}
	m.Version = fleet.VersionOf([]byte("bench"))
	return m
}

func newBench(n, regions, chunks int, seed uint64, make func(Settings, *Manifest, *rand.Rand, time.Time) chooser, objective fleet.Objective) *bench {
	b := &bench{
		now: benchStart, manifest: benchManifest(chunks), regions: map[string]*link{}, size: benchChunk,
		random: rand.New(rand.NewPCG(seed, 7)), byID: map[fleet.InstanceID]*benchNode{}, make: make,
	}
	f := float64(chunks) * benchChunk
	b.origin = link{rate: 4 * f / benchT}
	var members []Member
	for i := range n {
		node := &benchNode{
			id: fleet.InstanceID(fmt.Sprintf("n%03d", i)), region: fleet.Region(fmt.Sprintf("r%d", i%regions)),
			up: link{rate: 2 * f / benchT}, down: link{rate: 2 * f / benchT},
			watching: map[fleet.InstanceID]bool{}, watchers: map[fleet.InstanceID]bool{}, live: map[Fetch]int{},
		}
		b.nodes = append(b.nodes, node)
		b.byID[node.id] = node
		members = append(members, Member{node.id, node.region})
	}
	for i, node := range b.nodes {
		set := DefaultSettings(node.id, node.region)
		set.OriginRegion = "r0"
		set.Objective = objective
		set.MaxOriginCopies = 1.05
		if objective == fleet.ObjectiveTime {
			set.MaxOriginCopies = 2
		}
		node.plan = make(set, b.manifest, rand.New(rand.NewPCG(seed, uint64(i))), b.now)
		node.plan.SetMembers(members, b.now)
	}
	return b
}

func (b *bench) at(d time.Duration, do func()) { b.when(b.now.Add(d), do) }

func (b *bench) when(t time.Time, do func()) {
	b.serial++
	heap.Push(&b.events, event{t, b.serial, do})
}

// run ends when every live node holds everything, or at the limit. It tells whether
// all got there.
func (b *bench) run(limit time.Duration) bool {
	end := b.now.Add(limit)
	for _, n := range b.nodes {
		b.poll(n)
	}
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(event)
		if e.at.After(end) {
			return false
		}
		b.now = e.at
		e.do()
		if b.finished() {
			return true
		}
	}
	return b.finished()
}

func (b *bench) finished() bool {
	for _, n := range b.nodes {
		if !n.dead && n.plan.Missing() > 0 {
			return false
		}
	}
	return true
}

// poll steps a node now and then, as a daemon's ticker does.
func (b *bench) poll(n *benchNode) {
	if n.dead {
		return
	}
	if n.plan.Missing() > 0 {
		b.watch(n)
	}
	b.step(n)
	b.at(500*time.Millisecond, func() { b.poll(n) })
}

func (b *bench) wake(n *benchNode) {
	if n.pending || n.dead {
		return
	}
	n.pending = true
	b.at(stepDelay, func() { n.pending = false; b.step(n) })
}

func (b *bench) step(n *benchNode) {
	if n.dead || n.plan.Missing() == 0 {
		return
	}
	for _, f := range n.plan.Overdue(b.now) {
		delete(n.live, f)
		n.plan.Failed(f, CauseStalled, 0, b.now)
	}
	for _, f := range n.plan.Next(b.now) {
		b.begin(n, f)
	}
}

func (b *bench) watch(n *benchNode) {
	want := map[fleet.InstanceID]bool{}
	for _, id := range n.plan.Wanted(b.now) {
		want[id] = true
		peer := b.byID[id]
		if n.watching[id] || peer == nil {
			continue
		}
		if peer.dead || b.parted(n, peer) {
			n.plan.PeerGone(id, b.now)
			continue
		}
		n.watching[id] = true
		peer.watchers[n.id] = true
		n.plan.PeerHas(id, peer.plan.Held(), b.now)
		peer.control += float64(len(peer.plan.Held())) + 60
	}
	for id := range n.watching {
		if !want[id] {
			delete(n.watching, id)
			delete(b.byID[id].watchers, n.id)
		}
	}
}

func (b *bench) parted(x, y *benchNode) bool {
	return b.cut != "" && x.region != y.region && (x.region == b.cut || y.region == b.cut)
}

func (b *bench) begin(n *benchNode, f Fetch) {
	b.serial++
	n.live[f] = b.serial
	if f.Source.Kind == SourceOrigin {
		b.fromOrigin(n, f)
		return
	}
	src := b.byID[f.Source.Peer]
	switch {
	case src.dead || b.parted(n, src):
		b.at(localLatency, func() { b.fail(n, f, CauseGone) })
	case src.stalled:
		// Nothing comes; the progress deadline has to notice.
	case !src.plan.Has(f.Chunk):
		b.at(localLatency, func() { b.fail(n, f, CauseMissing) })
	case src.up.free.Sub(b.now).Seconds() > busyQueue*b.size/src.up.rate:
		b.at(localLatency, func() { b.fail(n, f, CauseBusy) })
	default:
		b.transfer(src, n, f)
	}
}

func (b *bench) fromOrigin(n *benchNode, f Fetch) {
	if b.down || b.cut != "" && n.region == b.cut {
		b.at(localLatency, func() { b.fail(n, f, CauseGone) })
		return
	}
	b.copies++
	serial := n.live[f]
	path := append([]*link{&b.origin}, b.between("r0", n.region)...)
	b.pass(append(path, &n.down), func() { b.arrive(n, f, serial, nil) })
}

// pass sends a chunk over links one after the other; it queues at each when it gets
// there, so that nothing waits behind what has not arrived.
func (b *bench) pass(path []*link, then func()) {
	if len(path) == 0 {
		then()
		return
	}
	b.when(path[0].send(b.now, b.size), func() { b.pass(path[1:], then) })
}

// between returns the links of two regions that a chunk passes.
func (b *bench) between(from, to fleet.Region) []*link {
	if from == to {
		return nil
	}
	b.cross++
	return []*link{b.region("out/" + string(from)), b.region("in/" + string(to))}
}

func (b *bench) region(key string) *link {
	l, ok := b.regions[key]
	if !ok {
		l = &link{rate: benchRegion}
		b.regions[key] = l
	}
	return l
}

func (b *bench) transfer(src, dst *benchNode, f Fetch) {
	serial := dst.live[f]
	path := append([]*link{&src.up}, b.between(src.region, dst.region)...)
	b.pass(append(path, &dst.down), func() { b.arrive(dst, f, serial, src) })
}

func (b *bench) arrive(n *benchNode, f Fetch, serial int, src *benchNode) {
	b.at(localLatency, func() {
		switch {
		case n.dead || n.live[f] != serial:
		case src != nil && src.dead:
			b.fail(n, f, CauseGone)
		case src != nil && src.lies:
			b.fail(n, f, CauseCorrupt)
		default:
			b.done(n, f)
		}
	})
}

func (b *bench) fail(n *benchNode, f Fetch, why Cause) {
	if _, ok := n.live[f]; n.dead || !ok {
		return
	}
	delete(n.live, f)
	n.plan.Failed(f, why, 0, b.now)
	if why == CauseGone && f.Source.Kind != SourceOrigin {
		n.plan.PeerGone(f.Source.Peer, b.now)
		delete(n.watching, f.Source.Peer)
	}
	b.wake(n)
}

func (b *bench) done(n *benchNode, f Fetch) {
	delete(n.live, f)
	for _, extra := range n.plan.Done(f, b.now) {
		delete(n.live, extra)
		n.plan.Failed(extra, CauseCanceled, 0, b.now)
	}
	if n.plan.Missing() == 0 && n.doneAt.IsZero() {
		n.doneAt = b.now
	}
	b.announce(n, f.Chunk)
	b.wake(n)
}

// announce tells the watchers of new chunks, several at a time.
func (b *bench) announce(n *benchNode, c int) {
	n.fresh = append(n.fresh, c)
	if len(n.fresh) > 1 {
		return
	}
	b.at(haveDelay, func() {
		list := n.fresh
		n.fresh = nil
		for range n.watchers {
			n.control += float64(20 + 3*len(list))
		}
		for _, w := range b.nodes {
			if n.dead || w.dead || !n.watchers[w.id] {
				continue
			}
			if b.parted(n, w) {
				// A watch that cannot deliver breaks; it does not lose news.
				delete(n.watchers, w.id)
				delete(w.watching, n.id)
				w.plan.PeerGone(n.id, b.now)
				continue
			}
			for _, c := range list {
				w.plan.PeerAdded(n.id, c, b.now)
			}
			b.wake(w)
		}
	})
}

func (b *bench) kill(n *benchNode) {
	n.dead = true
	for id := range n.watchers {
		w := b.byID[id]
		delete(w.watching, n.id)
		w.plan.PeerGone(n.id, b.now)
	}
}

// took returns the time until all live nodes held everything.
func (b *bench) took() time.Duration {
	var last time.Time
	for _, n := range b.nodes {
		if !n.dead && n.doneAt.After(last) {
			last = n.doneAt
		}
	}
	return last.Sub(benchStart)
}

// floor returns the least time that the links allow.
func (b *bench) floor(n, regions int) time.Duration {
	f := float64(len(b.manifest.Chunks)) * b.size
	machine := 2 * f / benchT
	t := max(f/machine, float64(n)*f/(float64(n)*machine+b.origin.rate), f/b.origin.rate)
	if regions > 1 {
		t = max(t, f/benchRegion)
	}
	return time.Duration(t * float64(time.Second))
}

// crossCopies returns the copies that came into each region but the origin's.
func (b *bench) crossCopies(regions int) float64 {
	if regions < 2 {
		return 0
	}
	return b.cross / float64(len(b.manifest.Chunks)) / float64(regions-1)
}

func (b *bench) originCopies() float64 { return b.copies / float64(len(b.manifest.Chunks)) }

func planner(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	return NewPlanner(s, m, r, now)
}
