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

// planInterval is the time between planning steps when no event triggers one.
const planInterval = 50 * time.Millisecond

// distribution fetches the chunks of one version.
type distribution struct {
	cache    *weightCache
	manifest *swarm.Manifest
	offsets  []fleet.Bytes
	region   fleet.Region
	refs     map[fleet.Digest]bool // guarded by cache.mu
	wakeup   chan struct{}
	done     chan struct{}

	mu            sync.Mutex // guards all fields below
	plan          config.ModelPlan
	planner       *swarm.Planner
	peerAddresses map[fleet.InstanceID]string // of the members
	fetchCancels  map[swarm.Fetch]context.CancelFunc
	chunkWatches  map[fleet.InstanceID]context.CancelFunc
	stop          context.CancelFunc
	completed     bool
}

func newDistribution(cache *weightCache, p config.ModelPlan, originRegion fleet.Region, m *swarm.Manifest) *distribution {
	settings := swarm.DefaultSettings(cache.a.self.ID, cache.a.self.Region)
	if originRegion != "" {
		settings.OriginRegion = originRegion
	}
	settings.Objective, _ = fleet.ParseObjective(p.Objective)
	settings.MaxOriginCopies = p.MaxOriginCopies
	random := rand.New(rand.NewPCG(cache.a.opt.Seed, uint64(cache.a.incarnation)))
	x := &distribution{
		cache: cache, manifest: m, region: cache.a.self.Region, plan: p, refs: map[fleet.Digest]bool{},
		wakeup: make(chan struct{}, 1), done: make(chan struct{}),
		planner:       swarm.NewPlanner(settings, m, random, cache.a.now()),
		peerAddresses: map[fleet.InstanceID]string{}, fetchCancels: map[swarm.Fetch]context.CancelFunc{},
		chunkWatches: map[fleet.InstanceID]context.CancelFunc{},
	}
	var offset fleet.Bytes
	for _, c := range m.Chunks {
		x.offsets = append(x.offsets, offset)
		offset += c.Size
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

// run plans fetches until the version is complete or ctx is done.
func (x *distribution) run(ctx context.Context) {
	defer close(x.done)
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	startedAt := x.cache.a.now()
	for !x.checkCompleted() {
		x.step(ctx)
		select {
		case <-ctx.Done():
			x.cancelAll()
			return
		case <-tick.C:
		case <-x.wakeup:
		}
	}
	x.cancelAll()
	x.cache.a.opt.Metrics.Duration("distribution", x.cache.a.now().Sub(startedAt))
	x.cache.a.log.weights.Info().Str("version", x.manifest.Version.Short()).Int("chunks", len(x.manifest.Chunks)).Msg("version complete")
	x.cache.a.driver.wake()
}

// checkCompleted records and reports whether every chunk is held and verified.
func (x *distribution) checkCompleted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.completed = x.planner.Missing() == 0
	return x.completed
}

func (x *distribution) step(ctx context.Context) {
	now := x.cache.a.now()
	members := x.cache.a.view.members()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateMembers(members, now)
	x.updateWatches(ctx, now)
	for _, f := range x.planner.Overdue(now) {
		x.cancelFetch(f)
		x.planner.Failed(f, swarm.CauseStalled, 0, now)
		x.cache.a.opt.Metrics.Count("fetches_stalled", 1)
	}
	for _, f := range x.planner.Next(now) {
		fetchCtx, cancel := context.WithCancel(ctx)
		x.fetchCancels[f] = cancel
		task := &chunkFetch{dist: x, fetch: f, addr: x.peerAddresses[f.Source.Peer]}
		go task.run(fetchCtx)
	}
}

// updateMembers passes the members that share this version to the planner. mu must be
// held.
func (x *distribution) updateMembers(records []memberRecord, now time.Time) {
	var members []swarm.Member
	addresses := map[fleet.InstanceID]string{}
	for _, r := range records {
		if r.LeaseExpired || r.Instance.Leaving || !x.isMember(r) {
			continue
		}
		members = append(members, swarm.Member{ID: r.Instance.ID, Region: r.Instance.Region})
		addresses[r.Instance.ID] = r.Instance.Address
	}
	if !maps.Equal(addresses, x.peerAddresses) {
		x.peerAddresses = addresses
		x.planner.SetMembers(members, now)
	}
}

// isMember reports whether an instance needs or holds this version. An instance that has
// sent no heartbeat yet counts as a member.
func (x *distribution) isMember(r memberRecord) bool {
	for _, m := range r.Models {
		if m.Model == x.plan.Model {
			return m.Desired == x.manifest.Version || m.Serving == x.manifest.Version
		}
	}
	return !r.HasHeartbeat
}

// updateWatches watches the peers that the planner selects and stops all other watches.
// mu must be held.
func (x *distribution) updateWatches(ctx context.Context, now time.Time) {
	toWatch := map[fleet.InstanceID]bool{}
	for _, id := range x.planner.PeersToWatch(now) {
		toWatch[id] = true
		if _, ok := x.chunkWatches[id]; ok || x.peerAddresses[id] == "" {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		x.chunkWatches[id] = cancel
		w := &chunkWatch{dist: x, id: id, addr: x.peerAddresses[id], cancel: cancel}
		go w.run(watchCtx)
	}
	for id, cancel := range x.chunkWatches {
		if !toWatch[id] {
			cancel()
			delete(x.chunkWatches, id)
		}
	}
}

// cancelAll cancels all watches and fetches.
func (x *distribution) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, cancel := range x.chunkWatches {
		cancel()
		delete(x.chunkWatches, id)
	}
	for f := range x.fetchCancels {
		x.cancelFetch(f)
	}
}

// cancelFetch cancels and removes a fetch. mu must be held.
func (x *distribution) cancelFetch(f swarm.Fetch) {
	if cancel, ok := x.fetchCancels[f]; ok {
		cancel()
		delete(x.fetchCancels, f)
	}
}

// wake triggers the next planning step without waiting for the tick.
func (x *distribution) wake() {
	select {
	case x.wakeup <- struct{}{}:
	default:
	}
}

func (x *distribution) isComplete() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.completed
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

// problem returns a problem that needs an operator, or an empty string.
func (x *distribution) problem() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c, ok := x.planner.CorruptOriginChunk(); ok {
		return "origin_sends_corrupt_chunk " + string(x.manifest.Chunks[c].Digest)
	}
	return ""
}

// resumed fails the fetches that were in progress before a pause.
func (x *distribution) resumed(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, f := range x.planner.Resumed(now) {
		x.cancelFetch(f)
		x.planner.Failed(f, swarm.CauseCanceled, 0, now)
	}
}

// chunkWatch follows which chunks one peer holds.
type chunkWatch struct {
	dist   *distribution
	id     fleet.InstanceID
	addr   string
	cancel context.CancelFunc
}

func (w *chunkWatch) run(ctx context.Context) {
	defer w.cancel()
	_ = w.dist.cache.a.opt.Pool.WatchChunks(ctx, w.addr, w.dist.manifest.Version, w.handleHeld)
	if ctx.Err() != nil {
		return
	}
	w.dist.mu.Lock()
	delete(w.dist.chunkWatches, w.id)
	w.dist.planner.PeerDisconnected(w.id, w.dist.cache.a.now())
	w.dist.mu.Unlock()
	w.dist.wake()
}

func (w *chunkWatch) handleHeld(h peer.ChunksHeld) {
	now := w.dist.cache.a.now()
	w.dist.mu.Lock()
	if h.Added == nil || h.Bitmap != nil {
		w.dist.planner.SetPeerChunks(w.id, h.Bitmap, now)
	}
	for _, c := range h.Added {
		w.dist.planner.AddPeerChunk(w.id, c, now)
	}
	w.dist.mu.Unlock()
	w.dist.wake()
}

// chunkFetch fetches one chunk from one source.
type chunkFetch struct {
	dist  *distribution
	fetch swarm.Fetch
	addr  string
}

func (t *chunkFetch) run(ctx context.Context) {
	data, err := t.download(ctx)
	x := t.dist
	now := x.cache.a.now()
	if err == nil && !x.manifest.Verify(t.fetch.Chunk, data) {
		x.cache.a.opt.Metrics.Count("chunks_corrupt", 1)
		x.cache.a.log.weights.Warn().Str("version", x.manifest.Version.Short()).Int("chunk", t.fetch.Chunk).
			Str("source", t.fetch.Source.Kind.String()).Str("peer", string(t.fetch.Source.Peer)).Msg("corrupt chunk")
		t.recordFailure(ctx, swarm.CauseCorrupt, 0, now)
		return
	}
	if err != nil {
		cause, wait := failureCause(err)
		t.recordFailure(ctx, cause, wait, now)
		return
	}
	if !x.cache.storeChunk(x, t.fetch.Chunk, data, t.fetch.Source.Kind) {
		return
	}
	x.mu.Lock()
	x.cancelFetch(t.fetch)
	for _, extra := range x.planner.Done(t.fetch, now) {
		x.cancelFetch(extra)
		x.planner.Failed(extra, swarm.CauseCanceled, 0, now)
	}
	x.mu.Unlock()
	x.wake()
}

func (t *chunkFetch) download(ctx context.Context) ([]byte, error) {
	x := t.dist
	c := x.manifest.Chunks[t.fetch.Chunk]
	if t.fetch.Source.Kind == swarm.SourceOrigin {
		return x.cache.a.opt.Origin.Range(ctx, x.manifest.Version, x.offsets[t.fetch.Chunk], c.Size)
	}
	ref := peer.ChunkRef{Version: x.manifest.Version, Index: t.fetch.Chunk, Digest: c.Digest, Requester: x.cache.a.self.ID, Size: c.Size}
	return x.cache.a.opt.Pool.Chunk(ctx, t.addr, ref, func(int) {})
}

// recordFailure reports a failure to the planner, unless the fetch was canceled.
func (t *chunkFetch) recordFailure(ctx context.Context, cause swarm.Cause, wait time.Duration, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	x := t.dist
	x.mu.Lock()
	x.cancelFetch(t.fetch)
	x.planner.Failed(t.fetch, cause, wait, now)
	x.mu.Unlock()
	x.wake()
}

// failureCause maps an error of a source to a cause and a time to wait.
func failureCause(err error) (swarm.Cause, time.Duration) {
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
