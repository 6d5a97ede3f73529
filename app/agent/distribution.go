package agent

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/swarm"
	"amaranthturn/io/origin"
	"amaranthturn/io/peer"
)

// planEvery is how often a plan is looked at without an event.
const planEvery = 50 * time.Millisecond

// distribution brings the chunks of one version in.
type distribution struct {
	d        *weightCache
	manifest *swarm.Manifest
	offsets  []fleet.Bytes
	region   fleet.Region
	refs     map[fleet.Digest]bool // guarded by the cache's lock
	kicked   chan struct{}
	done     chan struct{}

	mu       sync.Mutex // guards all below
	plan     config.ModelPlan
	planner  *swarm.Planner
	members  map[fleet.InstanceID]string // addresses
	cancels  map[swarm.Fetch]context.CancelFunc
	watching map[fleet.InstanceID]context.CancelFunc
	stop     context.CancelFunc
	whole    bool
}

func newDistribution(d *weightCache, p config.ModelPlan, originRegion fleet.Region, m *swarm.Manifest) *distribution {
	set := swarm.DefaultSettings(d.a.self.ID, d.a.self.Region)
	if originRegion != "" {
		set.OriginRegion = originRegion
	}
	set.Objective, _ = fleet.ParseObjective(p.Objective)
	set.MaxOriginCopies = p.MaxOriginCopies
	random := rand.New(rand.NewPCG(d.a.opt.Seed, uint64(d.a.incarnation)))
	x := &distribution{
		d: d, manifest: m, region: d.a.self.Region, plan: p, refs: map[fleet.Digest]bool{},
		kicked: make(chan struct{}, 1), done: make(chan struct{}),
		planner: swarm.NewPlanner(set, m, random, d.a.now()),
		members: map[fleet.InstanceID]string{}, cancels: map[swarm.Fetch]context.CancelFunc{},
		watching: map[fleet.InstanceID]context.CancelFunc{},
	}
	var at fleet.Bytes
	for _, c := range m.Chunks {
		x.offsets = append(x.offsets, at)
		at += c.Size
	}
	return x
}

func (x *distribution) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	x.stop = cancel
	go x.run(ctx)
}

func (x *distribution) cancel() {
	if x.stop != nil {
		x.stop()
	}
}

func (x *distribution) setPlan(p config.ModelPlan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.plan = p
}

// run plans until the version is whole or given up.
func (x *distribution) run(ctx context.Context) {
	defer close(x.done)
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	began := x.d.a.now()
	for !x.finished() {
		x.step(ctx)
		select {
		case <-ctx.Done():
			x.unwatch()
			return
		case <-tick.C:
		case <-x.kicked:
		}
	}
	x.unwatch()
	x.d.a.opt.Metrics.Duration("distribution", x.d.a.now().Sub(began))
	x.d.a.log.weights.Info().Str("version", x.manifest.Version.Short()).Int("chunks", len(x.manifest.Chunks)).Msg("version is whole")
	x.d.a.driver.wake()
}

// finished records that every chunk is held and verified.
func (x *distribution) finished() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.whole = x.planner.Missing() == 0
	return x.whole
}

func (x *distribution) step(ctx context.Context) {
	now := x.d.a.now()
	rows := x.d.a.view.members()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.follow(rows, now)
	x.watch(ctx, now)
	for _, f := range x.planner.Overdue(now) {
		x.giveUp(f)
		x.planner.Failed(f, swarm.CauseStalled, 0, now)
		x.d.a.opt.Metrics.Count("fetches_stalled", 1)
	}
	for _, f := range x.planner.Next(now) {
		fetchCtx, cancel := context.WithCancel(ctx)
		x.cancels[f] = cancel
		t := &chunkFetch{x: x, f: f, addr: x.members[f.Source.Peer]}
		go t.run(fetchCtx)
	}
}

// follow takes the members that should get this version. mu is held.
func (x *distribution) follow(rows []seen, now time.Time) {
	var list []swarm.Member
	addr := map[fleet.InstanceID]string{}
	for _, r := range rows {
		if r.Lost || r.Instance.Leaving || !x.shares(r) {
			continue
		}
		list = append(list, swarm.Member{ID: r.Instance.ID, Region: r.Instance.Region})
		addr[r.Instance.ID] = r.Instance.Address
	}
	if !maps.Equal(addr, x.members) {
		x.members = addr
		x.planner.SetMembers(list, now)
	}
}

// shares tells whether an instance wants or holds this version.
func (x *distribution) shares(r seen) bool {
	for _, m := range r.Models {
		if m.Model == x.plan.Model {
			return m.Desired == x.manifest.Version || m.Serving == x.manifest.Version
		}
	}
	return !r.Heard
}

// watch keeps a watch on each peer that the planner wants. mu is held.
func (x *distribution) watch(ctx context.Context, now time.Time) {
	want := map[fleet.InstanceID]bool{}
	for _, id := range x.planner.PeersToWatch(now) {
		want[id] = true
		if _, ok := x.watching[id]; ok || x.members[id] == "" {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		x.watching[id] = cancel
		w := &chunkWatch{x: x, id: id, addr: x.members[id], cancel: cancel}
		go w.run(watchCtx)
	}
	for id, cancel := range x.watching {
		if !want[id] {
			cancel()
			delete(x.watching, id)
		}
	}
}

func (x *distribution) unwatch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, cancel := range x.watching {
		cancel()
		delete(x.watching, id)
	}
	for f := range x.cancels {
		x.giveUp(f)
	}
}

// giveUp cancels a fetch. mu is held.
func (x *distribution) giveUp(f swarm.Fetch) {
	if cancel, ok := x.cancels[f]; ok {
		cancel()
		delete(x.cancels, f)
	}
}

func (x *distribution) kick() {
	select {
	case x.kicked <- struct{}{}:
	default:
	}
}

func (x *distribution) complete() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.whole
}

func (x *distribution) progress() (held, total int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	total = len(x.manifest.Chunks)
	return total - x.planner.Missing(), total
}

func (x *distribution) held() swarm.Bitmap {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.planner.Held()
}

// trouble names what an operator should look at, empty when nothing.
func (x *distribution) trouble() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c, ok := x.planner.CorruptOriginChunk(); ok {
		return "origin_sends_corrupt_chunk " + string(x.manifest.Chunks[c].Digest)
	}
	return ""
}

func (x *distribution) resumed(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range x.planner.Resumed(now) {
		x.giveUp(f)
		x.planner.Failed(f, swarm.CauseCanceled, 0, now)
	}
}

// chunkWatch follows what one peer holds.
type chunkWatch struct {
	x      *distribution
	id     fleet.InstanceID
	addr   string
	cancel context.CancelFunc
}

func (w *chunkWatch) run(ctx context.Context) {
	defer w.cancel()
	_ = w.x.d.a.opt.Pool.WatchChunks(ctx, w.addr, w.x.manifest.Version, w.heard)
	if ctx.Err() != nil {
		return
	}
	w.x.mu.Lock()
	delete(w.x.watching, w.id)
	w.x.planner.PeerDisconnected(w.id, w.x.d.a.now())
	w.x.mu.Unlock()
	w.x.kick()
}

func (w *chunkWatch) heard(h peer.Held) {
	now := w.x.d.a.now()
	w.x.mu.Lock()
	if h.Added == nil || h.Bitmap != nil {
		w.x.planner.SetPeerChunks(w.id, h.Bitmap, now)
	}
	for _, c := range h.Added {
		w.x.planner.AddPeerChunk(w.id, c, now)
	}
	w.x.mu.Unlock()
	w.x.kick()
}

// chunkFetch gets one chunk from one source.
type chunkFetch struct {
	x    *distribution
	f    swarm.Fetch
	addr string
}

func (t *chunkFetch) run(ctx context.Context) {
	data, err := t.get(ctx)
	x := t.x
	now := x.d.a.now()
	if err == nil && !x.manifest.Verify(t.f.Chunk, data) {
		x.d.a.opt.Metrics.Count("chunks_corrupt", 1)
		x.d.a.log.weights.Warn().Str("version", x.manifest.Version.Short()).Int("chunk", t.f.Chunk).
			Str("source", t.f.Source.Kind.String()).Str("peer", string(t.f.Source.Peer)).Msg("corrupt chunk")
		t.failed(ctx, swarm.CauseCorrupt, 0, now)
		return
	}
	if err != nil {
		cause, wait := causeOf(err)
		t.failed(ctx, cause, wait, now)
		return
	}
	if !x.d.store(x, t.f.Chunk, data, t.f.Source.Kind) {
		return
	}
	x.mu.Lock()
	x.giveUp(t.f)
	for _, extra := range x.planner.Done(t.f, now) {
		x.giveUp(extra)
		x.planner.Failed(extra, swarm.CauseCanceled, 0, now)
	}
	x.mu.Unlock()
	x.kick()
}

func (t *chunkFetch) get(ctx context.Context) ([]byte, error) {
	x := t.x
	c := x.manifest.Chunks[t.f.Chunk]
	if t.f.Source.Kind == swarm.SourceOrigin {
		return x.d.a.opt.Origin.Range(ctx, x.manifest.Version, x.offsets[t.f.Chunk], c.Size)
	}
	ref := peer.ChunkRef{Version: x.manifest.Version, Index: t.f.Chunk, Digest: c.Digest, By: x.d.a.self.ID}
	return x.d.a.opt.Pool.Chunk(ctx, t.addr, ref, func(int) {})
}

// failed tells the planner, unless the fetch was given up before.
func (t *chunkFetch) failed(ctx context.Context, why swarm.Cause, wait time.Duration, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	x := t.x
	x.mu.Lock()
	x.giveUp(t.f)
	x.planner.Failed(t.f, why, wait, now)
	x.mu.Unlock()
	x.kick()
}

// causeOf translates an error of a source.
func causeOf(err error) (swarm.Cause, time.Duration) {
	var throttled *origin.ThrottledError
	switch {
	case errors.As(err, &throttled):
		return swarm.CauseThrottled, throttled.RetryAfter
	case errors.Is(err, peer.ErrBusy):
		return swarm.CauseBusy, 0
	case errors.Is(err, peer.ErrMissing):
		return swarm.CauseMissing, 0
	}
	return swarm.CauseUnavailable, 0
}
