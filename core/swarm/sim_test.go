package swarm

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthturn/core/fleet"
)

// simulation is a discrete-event simulation of a swarm. Each link is a rate and a queue, and
// transfers are full chunks. It does not depend on how planners decide.
type simulation struct {
	now               time.Time
	events            eventHeap
	lastID            int
	nodes             []*simNode
	byID              map[fleet.InstanceID]*simNode
	manifest          *Manifest
	origin            link
	regions           map[string]*link
	random            *rand.Rand
	chunkBytes        float64
	originChunks      float64 // chunks sent by the origin
	crossRegionChunks float64 // chunks sent between regions
	originDown        bool
	partitionedRegion fleet.Region
	newChooser        func(Settings, *Manifest, *rand.Rand, time.Time) chooser
}

// link is a rate and the time at which its queue becomes empty.
type link struct {
	rate      float64 // bytes a second
	freeAt    time.Time
	sentBytes float64
}

// send returns when data that is queued at t has been sent over the link.
func (l *link) send(t time.Time, bytes float64) time.Time {
	if t.Before(l.freeAt) {
		t = l.freeAt
	}
	l.freeAt = t.Add(time.Duration(bytes / l.rate * float64(time.Second)))
	l.sentBytes += bytes
	return l.freeAt
}

// chooser is the measured strategy: a Planner or a baseline.
type chooser interface {
	SetMembers(list []Member, now time.Time)
	PeersToWatch(now time.Time) []fleet.InstanceID
	SetPeerChunks(id fleet.InstanceID, has Bitmap, now time.Time)
	AddPeerChunk(id fleet.InstanceID, chunk int, now time.Time)
	PeerDisconnected(id fleet.InstanceID, now time.Time)
	Next(now time.Time) []Fetch
	Overdue(now time.Time) []Fetch
	Done(f Fetch, now time.Time) []Fetch
	Failed(f Fetch, cause Cause, retryAfter time.Duration, now time.Time)
	Held() Bitmap
	Has(c int) bool
	Missing() int
}

type simNode struct {
	id           fleet.InstanceID
	region       fleet.Region
	chooser      chooser
	up, down     link
	watching     map[fleet.InstanceID]bool
	watchers     map[fleet.InstanceID]bool
	stepPending  bool
	crashed      bool
	stalled      bool
	sendsCorrupt bool
	doneAt       time.Time
	unannounced  []int
	fetchIDs     map[Fetch]int // id of each fetch in flight
	controlBytes float64       // bytes of control traffic sent
}

type event struct {
	at  time.Time
	seq int
	run func()
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

// Scale of the simulation: a version of 512 MB. In five minutes the link of the origin carries
// four copies and the link of a machine two. A region has 20 Mbit/s.
const (
	simChunks      = 512
	simChunkBytes  = 1 << 20
	simSeconds     = 300.0
	regionLinkRate = 20e6 / 8
	localLatency   = time.Millisecond
	announceDelay  = 300 * time.Millisecond
	stepDelay      = 20 * time.Millisecond
	maxUploadQueue = 8 // chunks that an uploader queues before it reports busy
)

var simStart = time.Unix(1_700_000_000, 0)

func newManifest(n int) *Manifest {
	m := &Manifest{Model: "m"}
	for i := range n {
		m.Chunks = append(m.Chunks, Chunk{Digest: fleet.DigestOf([]byte(fmt.Sprint(i))), Size: simChunkBytes})
	}
	m.Version = fleet.VersionOf([]byte("bench"))
	return m
}

func newSimulation(n, regions, chunks int, seed uint64, newChooser func(Settings, *Manifest, *rand.Rand, time.Time) chooser, objective fleet.Objective) *simulation {
	s := &simulation{
		now: simStart, manifest: newManifest(chunks), regions: map[string]*link{}, chunkBytes: simChunkBytes,
		random: rand.New(rand.NewPCG(seed, 7)), byID: map[fleet.InstanceID]*simNode{}, newChooser: newChooser,
	}
	versionBytes := float64(chunks) * simChunkBytes
	s.origin = link{rate: 4 * versionBytes / simSeconds}
	var members []Member
	for i := range n {
		node := &simNode{
			id: fleet.InstanceID(fmt.Sprintf("n%03d", i)), region: fleet.Region(fmt.Sprintf("r%d", i%regions)),
			up: link{rate: 2 * versionBytes / simSeconds}, down: link{rate: 2 * versionBytes / simSeconds},
			watching: map[fleet.InstanceID]bool{}, watchers: map[fleet.InstanceID]bool{}, fetchIDs: map[Fetch]int{},
		}
		s.nodes = append(s.nodes, node)
		s.byID[node.id] = node
		members = append(members, Member{node.id, node.region})
	}
	for i, node := range s.nodes {
		settings := DefaultSettings(node.id, node.region)
		settings.OriginRegion = "r0"
		settings.Objective = objective
		settings.MaxOriginCopies = 1.05
		if objective == fleet.ObjectiveTime {
			settings.MaxOriginCopies = 2
		}
		node.chooser = newChooser(settings, s.manifest, rand.New(rand.NewPCG(seed, uint64(i))), s.now)
		node.chooser.SetMembers(members, s.now)
	}
	return s
}

func (s *simulation) after(d time.Duration, fn func()) { s.schedule(s.now.Add(d), fn) }

func (s *simulation) schedule(t time.Time, fn func()) {
	s.lastID++
	heap.Push(&s.events, event{t, s.lastID, fn})
}

// run simulates until every live node holds all chunks or the limit is reached. It reports
// whether all live nodes hold all chunks.
func (s *simulation) run(limit time.Duration) bool {
	end := s.now.Add(limit)
	for _, n := range s.nodes {
		s.poll(n)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(end) {
			return false
		}
		s.now = e.at
		e.run()
		if s.isFinished() {
			return true
		}
	}
	return s.isFinished()
}

func (s *simulation) isFinished() bool {
	for _, n := range s.nodes {
		if !n.crashed && n.chooser.Missing() > 0 {
			return false
		}
	}
	return true
}

// poll steps a node at regular intervals, like the ticker of a daemon.
func (s *simulation) poll(n *simNode) {
	if n.crashed {
		return
	}
	if n.chooser.Missing() > 0 {
		s.updateWatches(n)
	}
	s.step(n)
	s.after(500*time.Millisecond, func() { s.poll(n) })
}

func (s *simulation) scheduleStep(n *simNode) {
	if n.stepPending || n.crashed {
		return
	}
	n.stepPending = true
	s.after(stepDelay, func() { n.stepPending = false; s.step(n) })
}

func (s *simulation) step(n *simNode) {
	if n.crashed || n.chooser.Missing() == 0 {
		return
	}
	for _, f := range n.chooser.Overdue(s.now) {
		delete(n.fetchIDs, f)
		n.chooser.Failed(f, CauseStalled, 0, s.now)
	}
	for _, f := range n.chooser.Next(s.now) {
		s.startFetch(n, f)
	}
}

func (s *simulation) updateWatches(n *simNode) {
	watched := map[fleet.InstanceID]bool{}
	for _, id := range n.chooser.PeersToWatch(s.now) {
		watched[id] = true
		peer := s.byID[id]
		if n.watching[id] || peer == nil {
			continue
		}
		if peer.crashed || s.isPartitioned(n, peer) {
			n.chooser.PeerDisconnected(id, s.now)
			continue
		}
		n.watching[id] = true
		peer.watchers[n.id] = true
		n.chooser.SetPeerChunks(id, peer.chooser.Held(), s.now)
		peer.controlBytes += float64(len(peer.chooser.Held())) + 60
	}
	for id := range n.watching {
		if !watched[id] {
			delete(n.watching, id)
			delete(s.byID[id].watchers, n.id)
		}
	}
}

func (s *simulation) isPartitioned(x, y *simNode) bool {
	return s.partitionedRegion != "" && x.region != y.region && (x.region == s.partitionedRegion || y.region == s.partitionedRegion)
}

func (s *simulation) startFetch(n *simNode, f Fetch) {
	s.lastID++
	n.fetchIDs[f] = s.lastID
	if f.Source.Kind == SourceOrigin {
		s.fetchFromOrigin(n, f)
		return
	}
	src := s.byID[f.Source.Peer]
	switch {
	case src.crashed || s.isPartitioned(n, src):
		s.after(localLatency, func() { s.fail(n, f, CauseUnavailable) })
	case src.stalled:
		// No data is sent; the fetch ends by its deadline.
	case !src.chooser.Has(f.Chunk):
		s.after(localLatency, func() { s.fail(n, f, CauseMissing) })
	case src.up.freeAt.Sub(s.now).Seconds() > maxUploadQueue*s.chunkBytes/src.up.rate:
		s.after(localLatency, func() { s.fail(n, f, CauseBusy) })
	default:
		s.transfer(src, n, f)
	}
}

func (s *simulation) fetchFromOrigin(n *simNode, f Fetch) {
	if s.originDown || s.partitionedRegion != "" && n.region == s.partitionedRegion {
		s.after(localLatency, func() { s.fail(n, f, CauseUnavailable) })
		return
	}
	s.originChunks++
	fetchID := n.fetchIDs[f]
	path := append([]*link{&s.origin}, s.regionLinks("r0", n.region)...)
	s.sendOver(append(path, &n.down), func() { s.arrive(n, f, fetchID, nil) })
}

// sendOver sends a chunk over several links in turn. The chunk enters the queue of a link
// only when it has passed the previous one, so that no other chunk waits for it before.
func (s *simulation) sendOver(path []*link, onSent func()) {
	if len(path) == 0 {
		onSent()
		return
	}
	s.schedule(path[0].send(s.now, s.chunkBytes), func() { s.sendOver(path[1:], onSent) })
}

// regionLinks returns the links that a chunk uses between two regions.
func (s *simulation) regionLinks(from, to fleet.Region) []*link {
	if from == to {
		return nil
	}
	s.crossRegionChunks++
	return []*link{s.regionLink("out/" + string(from)), s.regionLink("in/" + string(to))}
}

func (s *simulation) regionLink(key string) *link {
	l, ok := s.regions[key]
	if !ok {
		l = &link{rate: regionLinkRate}
		s.regions[key] = l
	}
	return l
}

func (s *simulation) transfer(src, dst *simNode, f Fetch) {
	fetchID := dst.fetchIDs[f]
	path := append([]*link{&src.up}, s.regionLinks(src.region, dst.region)...)
	s.sendOver(append(path, &dst.down), func() { s.arrive(dst, f, fetchID, src) })
}

func (s *simulation) arrive(n *simNode, f Fetch, fetchID int, src *simNode) {
	s.after(localLatency, func() {
		switch {
		case n.crashed || n.fetchIDs[f] != fetchID:
		case src != nil && src.crashed:
			s.fail(n, f, CauseUnavailable)
		case src != nil && src.sendsCorrupt:
			s.fail(n, f, CauseCorrupt)
		default:
			s.done(n, f)
		}
	})
}

func (s *simulation) fail(n *simNode, f Fetch, cause Cause) {
	if _, ok := n.fetchIDs[f]; n.crashed || !ok {
		return
	}
	delete(n.fetchIDs, f)
	n.chooser.Failed(f, cause, 0, s.now)
	if cause == CauseUnavailable && f.Source.Kind != SourceOrigin {
		n.chooser.PeerDisconnected(f.Source.Peer, s.now)
		delete(n.watching, f.Source.Peer)
	}
	s.scheduleStep(n)
}

func (s *simulation) done(n *simNode, f Fetch) {
	delete(n.fetchIDs, f)
	for _, extra := range n.chooser.Done(f, s.now) {
		delete(n.fetchIDs, extra)
		n.chooser.Failed(extra, CauseCanceled, 0, s.now)
	}
	if n.chooser.Missing() == 0 && n.doneAt.IsZero() {
		n.doneAt = s.now
	}
	s.announce(n, f.Chunk)
	s.scheduleStep(n)
}

// announce sends new chunks to the watchers, several per message.
func (s *simulation) announce(n *simNode, c int) {
	n.unannounced = append(n.unannounced, c)
	if len(n.unannounced) > 1 {
		return
	}
	s.after(announceDelay, func() {
		list := n.unannounced
		n.unannounced = nil
		for range n.watchers {
			n.controlBytes += float64(20 + 3*len(list))
		}
		for _, w := range s.nodes {
			if n.crashed || w.crashed || !n.watchers[w.id] {
				continue
			}
			if s.isPartitioned(n, w) {
				// A watch that cannot deliver is closed; it does not lose updates.
				delete(n.watchers, w.id)
				delete(w.watching, n.id)
				w.chooser.PeerDisconnected(n.id, s.now)
				continue
			}
			for _, c := range list {
				w.chooser.AddPeerChunk(n.id, c, s.now)
			}
			s.scheduleStep(w)
		}
	})
}

func (s *simulation) crash(n *simNode) {
	n.crashed = true
	for id := range n.watchers {
		w := s.byID[id]
		delete(w.watching, n.id)
		w.chooser.PeerDisconnected(n.id, s.now)
	}
}

// elapsed returns the time until all live nodes held all chunks.
func (s *simulation) elapsed() time.Duration {
	var last time.Time
	for _, n := range s.nodes {
		if !n.crashed && n.doneAt.After(last) {
			last = n.doneAt
		}
	}
	return last.Sub(simStart)
}

// minTime returns the minimum distribution time that the links allow.
func (s *simulation) minTime(n, regions int) time.Duration {
	versionBytes := float64(len(s.manifest.Chunks)) * s.chunkBytes
	machine := 2 * versionBytes / simSeconds
	t := max(versionBytes/machine, float64(n)*versionBytes/(float64(n)*machine+s.origin.rate), versionBytes/s.origin.rate)
	if regions > 1 {
		t = max(t, versionBytes/regionLinkRate)
	}
	return time.Duration(t * float64(time.Second))
}

// crossCopies returns the copies received by each region other than the origin's.
func (s *simulation) crossCopies(regions int) float64 {
	if regions < 2 {
		return 0
	}
	return s.crossRegionChunks / float64(len(s.manifest.Chunks)) / float64(regions-1)
}

func (s *simulation) originCopies() float64 { return s.originChunks / float64(len(s.manifest.Chunks)) }

func newPlannerChooser(s Settings, m *Manifest, r *rand.Rand, now time.Time) chooser {
	return NewPlanner(s, m, r, now)
}
