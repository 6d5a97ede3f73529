package sidecar

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/swarm"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Timing of the weights' loop.
const (
	planEvery = 25 * time.Millisecond
	// originDelay is how long an agent waits before it asks the origin for a piece: all know
	// the group when a version is named.
	originDelay  = 20 * time.Millisecond
	manifestWait = 200 * time.Millisecond // between two tries to get a manifest
	heldBatch    = 30 * time.Millisecond  // news of pieces are sent together
	slotWait     = 300 * time.Millisecond // an upload waits for a slot that long
	// pieceTimeout bounds one piece: thirty times what it takes on the machine's own link.
	pieceTimeout = 3 * time.Second
)

// planSettings adapt the planner to pieces that take tens of milliseconds on a link of a
// few Mbit/s.
func planSettings(self fleet.InstanceID, region, origin fleet.Region) swarm.Settings {
	set := swarm.DefaultSettings(self, region)
	set.OriginRegion = origin
	set.PeerFetches, set.RemoteFetches, set.OriginFetches, set.FetchesPerPeer = 2, 2, 2, 1
	set.OriginDelay = originDelay
	set.OriginBackoff, set.OriginBackoffDoublings = 150*time.Millisecond, 1
	set.InitialTimeout, set.MinStallWait = 1500*time.Millisecond, 700*time.Millisecond
	return set
}

// weights is one version, whole or on its way.
type weights struct {
	s        *Sidecar
	model    fleet.Model
	version  uint64
	name     fleet.Version
	manifest *swarm.Manifest
	origin   string
	cancel   context.CancelFunc
	kicked   chan struct{}

	mu       sync.Mutex // guards all below; taken after Sidecar.mu
	data     [][]byte
	planner  *swarm.Planner
	addrs    map[fleet.InstanceID]string
	cancels  map[swarm.Fetch]context.CancelFunc
	watching map[fleet.InstanceID]context.CancelFunc
	changed  chan struct{} // closed and replaced when a piece comes
}

// versionName is how agents name a version to each other.
func versionName(m fleet.Model, v uint64) fleet.Version {
	return fleet.Version(fmt.Sprintf("%s@%d", m, v))
}

// keeper holds the wanted versions.
type keeper struct{ s *Sidecar }

// Run implements node.Runner.
func (k *keeper) Run(ctx context.Context) {
	for node.Sleep(ctx, planEvery) {
		k.look(ctx)
	}
}

// look begins the versions that are missing and drops those that are not wanted.
func (k *keeper) look(ctx context.Context) {
	s := k.s
	s.mu.Lock()
	m, e, ok := s.model()
	if !ok {
		s.mu.Unlock()
		return
	}
	o, ok := s.doc.Origin()
	if !ok {
		s.mu.Unlock()
		return
	}
	wanted, serving := s.kept(m.Name), s.serving(m.Name, e)
	var lacking []uint64
	for _, v := range wanted {
		if s.weights[v] == nil && s.fetches(m.Name, v, serving) {
			lacking = append(lacking, v)
		}
	}
	for v, w := range s.weights {
		if !slices.Contains(wanted, v) {
			w.cancel()
			delete(s.weights, v)
		}
	}
	s.mu.Unlock()
	for _, v := range lacking {
		man, err := s.fetchManifest(ctx, o.Origin, m.Name, v, e)
		if err != nil {
			s.log.weights.Warn().Uint64("version", v).Err(err).Msg("no manifest")
			node.Sleep(ctx, manifestWait)
			continue
		}
		k.begin(ctx, m.Name, v, man, o.Origin, s.set.Regions[o.Zone])
	}
}

func (k *keeper) begin(ctx context.Context, m fleet.Model, version uint64, man *swarm.Manifest, originAddr string, originRegion fleet.Region) {
	s := k.s
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	self := fleet.InstanceID(s.set.TargetAddress)
	random := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	w := &weights{
		s: s, model: m, version: version, name: man.Version, manifest: man, origin: originAddr, cancel: cancel,
		kicked: make(chan struct{}, 1), data: make([][]byte, len(man.Chunks)),
		planner: swarm.NewPlanner(planSettings(self, s.set.Region, originRegion), man, random, s.now()),
		addrs:   map[fleet.InstanceID]string{}, cancels: map[swarm.Fetch]context.CancelFunc{},
		watching: map[fleet.InstanceID]context.CancelFunc{}, changed: make(chan struct{}),
	}
	s.weights[version] = w
	s.mu.Unlock()
	s.log.weights.Info().Uint64("version", version).Int("pieces", len(man.Chunks)).Msg("fetching weights")
	go w.run(ctx)
}

// engineWait is how long an agent that starts with the whole system waits for its engine,
// which then has the first version staged, before it fetches from others.
const engineWait = 3 * time.Second

// awaitEngine waits until the engine answers, or ctx ends.
func (w *weights) awaitEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineWait)
	defer cancel()
	for {
		w.s.mu.Lock()
		up := w.s.up
		w.s.mu.Unlock()
		if up || !node.Sleep(ctx, planEvery) {
			return
		}
	}
}

// run brings the pieces in: what is staged already, and from others.
func (w *weights) run(ctx context.Context) {
	began := w.s.now()
	if w.s.set.FirstStart {
		w.awaitEngine(ctx)
	}
	read := w.readStaged(ctx)
	w.awaitTurn(ctx)
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	w.follow()
	for !w.whole() && ctx.Err() == nil {
		if !read {
			read = w.readStaged(ctx)
		}
		w.plan(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
			w.follow()
		case <-w.kicked:
		}
	}
	w.stop()
	if ctx.Err() == nil {
		w.s.metrics.Duration("distribution", w.s.now().Sub(began))
		w.s.log.weights.Info().Uint64("version", w.version).Dur("took", w.s.now().Sub(began)).Msg("weights are whole")
	}
}

// stop ends every watch and fetch.
func (w *weights) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, cancel := range w.watching {
		cancel()
		delete(w.watching, id)
	}
	for f, cancel := range w.cancels {
		cancel()
		delete(w.cancels, f)
	}
}

// awaitTurn waits until this agent's fetch is due. An engine that serves nothing is
// fetched for at once.
func (w *weights) awaitTurn(ctx context.Context) {
	for !w.isDue() && node.Sleep(ctx, planEvery) {
	}
}

// isDue tells whether this agent fetches by now.
func (w *weights) isDue() bool {
	s := w.s
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.due(s.group())(s.set.TargetAddress)
}

// olderWait is how long a version waits for the one before it, which was named just
// before and may be nearly here.
const olderWait = 3 * time.Second

// due returns which agents of a group fetch by now, by the address of the engine beside
// them. It orders the group once for all of them. Sidecar.mu is held.
func (w *weights) due(group []roster.Target) func(addr string) bool {
	s := w.s
	all, none := func(string) bool { return true }, func(string) bool { return false }
	m, e, ok := s.model()
	if !ok || m.Name != w.model {
		return all
	}
	now := s.now()
	for v, o := range s.weights {
		if v < w.version && !o.whole() && now.Sub(s.namings(w.model).NewerDeclaredAt(w.version-1)) < olderWait {
			return none
		}
	}
	serving := s.serving(m.Name, e)
	named := s.namings(w.model).NewerDeclaredAt(serving)
	if serving == 0 || named.IsZero() {
		return all
	}
	schedule, places := s.schedule(e), s.places(group, w.version)
	return func(addr string) bool { return now.Sub(named) >= schedule.FetchAfter(places[addr]) }
}

// readStaged takes the pieces that lie at the engine and are those of this version. It
// tells whether the engine answered.
func (w *weights) readStaged(ctx context.Context) bool {
	w.s.mu.Lock()
	up := w.s.up
	w.s.mu.Unlock()
	if !up {
		return false
	}
	for i := range w.manifest.Chunks {
		data, err := w.s.engine.StagedChunk(ctx, w.model, i)
		if errors.Is(err, platform.ErrNotStaged) && i == 0 {
			return true // a new engine has nothing
		}
		if err != nil || !w.manifest.Verify(i, data) {
			if i == 0 {
				return true // another version lies there
			}
			continue
		}
		w.hold(i, data)
	}
	return true
}

func (w *weights) hold(i int, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.data[i] = data
	w.planner.AddHeld(i, w.s.now())
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *weights) whole() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.planner.Missing() == 0
}

func (w *weights) piece(i int) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data[i]
}

func (w *weights) kick() {
	select {
	case w.kicked <- struct{}{}:
	default:
	}
}

// follow tells the planner of changes of the group. Putting a large group in order takes
// longer than a plan, and news of pieces come far more often than it changes.
func (w *weights) follow() {
	w.s.mu.Lock()
	group := w.s.group()
	due := w.due(group)
	addrs := map[fleet.InstanceID]string{}
	var members []swarm.Member
	for id, t := range mates(group) {
		if !due(t.Address) {
			continue // it holds nothing yet and must not be waited for
		}
		addrs[id] = w.s.set.AgentAddress(t.Address)
		members = append(members, swarm.Member{ID: id, Region: w.s.set.Regions[t.Zone]})
	}
	w.s.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !maps.Equal(addrs, w.addrs) {
		w.addrs = addrs
		w.planner.SetMembers(members, w.s.now())
	}
}

// plan begins the watches and fetches that the planner wants.
func (w *weights) plan(ctx context.Context) {
	now := w.s.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch(ctx, now)
	for _, f := range w.planner.Overdue(now) {
		w.end(f)
		w.planner.Failed(f, swarm.CauseStalled, 0, now)
		w.s.metrics.Count("fetches_stalled", 1)
	}
	for _, f := range w.planner.Next(now) {
		fctx, cancel := context.WithTimeout(ctx, pieceTimeout)
		w.cancels[f] = cancel
		t := &pieceFetch{w: w, f: f, addr: w.addrs[f.Source.Peer], begun: now}
		go t.run(fctx)
	}
}

// end forgets a fetch. mu is held.
func (w *weights) end(f swarm.Fetch) {
	if cancel, ok := w.cancels[f]; ok {
		cancel()
		delete(w.cancels, f)
	}
}

// watch keeps a watch on each agent that the planner wants. mu is held.
func (w *weights) watch(ctx context.Context, now time.Time) {
	want := map[fleet.InstanceID]bool{}
	for _, id := range w.planner.PeersToWatch(now) {
		want[id] = true
		if _, ok := w.watching[id]; ok || w.addrs[id] == "" {
			continue
		}
		wctx, cancel := context.WithCancel(ctx)
		w.watching[id] = cancel
		x := &pieceWatch{w: w, id: id, addr: w.addrs[id]}
		go x.run(wctx)
	}
	for id, cancel := range w.watching {
		if !want[id] {
			cancel()
			delete(w.watching, id)
		}
	}
}

// pieceWatch follows what one agent holds.
type pieceWatch struct {
	w    *weights
	id   fleet.InstanceID
	addr string
}

func (x *pieceWatch) run(ctx context.Context) {
	w := x.w
	err := w.s.pool.WatchChunks(ctx, x.addr, w.name, x.heard)
	if ctx.Err() != nil {
		return
	}
	w.s.log.weights.Debug().Str("agent", string(x.id)).Err(err).Msg("watch of pieces ended")
	w.mu.Lock()
	if cancel, ok := w.watching[x.id]; ok {
		cancel()
	}
	delete(w.watching, x.id)
	w.planner.PeerDisconnected(x.id, w.s.now())
	w.mu.Unlock()
	w.kick()
}

func (x *pieceWatch) heard(h peer.Held) {
	now := x.w.s.now()
	x.w.mu.Lock()
	if h.Added == nil || h.Bitmap != nil {
		x.w.planner.SetPeerChunks(x.id, h.Bitmap, now)
	}
	for _, c := range h.Added {
		x.w.planner.AddPeerChunk(x.id, c, now)
	}
	x.w.mu.Unlock()
	x.w.kick()
}

// pieceFetch gets one piece from one source.
type pieceFetch struct {
	w    *weights
	f    swarm.Fetch
	addr string
	// begun is when the planner asked for the piece.
	begun time.Time
}

func (t *pieceFetch) run(ctx context.Context) {
	w := t.w
	data, err := t.get(ctx)
	now := w.s.now()
	if err == nil && !w.manifest.Verify(t.f.Chunk, data) {
		w.s.metrics.Count("pieces_corrupt", 1)
		w.s.log.weights.Warn().Int("piece", t.f.Chunk).Str("source", t.f.Source.Kind.String()).Str("agent", string(t.f.Source.Peer)).Msg("corrupt piece")
		t.failed(ctx, swarm.CauseCorrupt, now)
		return
	}
	switch {
	case errors.Is(err, peer.ErrBusy):
		t.failed(ctx, swarm.CauseBusy, now)
		return
	case errors.Is(err, peer.ErrMissing):
		t.failed(ctx, swarm.CauseMissing, now)
		return
	case err != nil:
		t.failed(ctx, swarm.CauseUnavailable, now)
		return
	}
	if t.f.Source.Kind == swarm.SourceOrigin {
		w.s.metrics.Count("origin_bytes", int64(len(data)))
	}
	w.s.log.weights.Debug().Uint64("version", w.version).Int("piece", t.f.Chunk).Str("source", t.f.Source.Kind.String()).
		Str("agent", string(t.f.Source.Peer)).Dur("took", now.Sub(t.begun)).Msg("piece")
	w.mu.Lock()
	w.end(t.f)
	for _, extra := range w.planner.Done(t.f, now) {
		w.end(extra)
		w.planner.Failed(extra, swarm.CauseCanceled, 0, now)
	}
	w.mu.Unlock()
	w.hold(t.f.Chunk, data)
	w.kick()
}

func (t *pieceFetch) get(ctx context.Context) ([]byte, error) {
	w := t.w
	if t.f.Source.Kind == swarm.SourceOrigin {
		return w.s.origin.Chunk(ctx, w.origin, w.model, w.version, t.f.Chunk)
	}
	return w.s.pool.Chunk(ctx, t.addr, peer.ChunkRef{Version: w.name, Index: t.f.Chunk, Digest: w.manifest.Chunks[t.f.Chunk].Digest}, func(int) {})
}

func (t *pieceFetch) failed(ctx context.Context, why swarm.Cause, now time.Time) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // given up before
	}
	w := t.w
	w.mu.Lock()
	w.end(t.f)
	w.planner.Failed(t.f, why, 0, now)
	w.mu.Unlock()
	w.kick()
}
