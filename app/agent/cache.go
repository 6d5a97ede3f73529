package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/rank"
	"amaranthturn/core/retention"
	"amaranthturn/core/swarm"
	"amaranthturn/io/peer"
)

// Timing of the weight cache.
const (
	chunkUpdateDelay      = 150 * time.Millisecond // time over which chunk updates are batched
	uploadSlotTimeout     = 300 * time.Millisecond // maximum wait of an upload for a slot
	manifestRetryDelay    = 40 * time.Millisecond  // delay before the second attempt to fetch a manifest
	manifestRetryMaxDelay = 600 * time.Millisecond // maximum delay between attempts
)

var errIncomplete = errors.New("version is not complete")

// chunkData is one verified chunk. Versions that contain the same chunk share its bytes.
type chunkData struct {
	data []byte
	refs int
}

// weightCache holds weights in memory and serves them to the engine and to peers.
type weightCache struct {
	a               *Agent
	slots           peer.Slots
	mu              sync.Mutex // guards all fields below
	ledger          *retention.Ledger
	chunks          map[fleet.Digest]*chunkData
	manifests       map[fleet.Version][]byte
	distributions   map[fleet.Version]*distribution
	plans           map[fleet.Model]config.ModelPlan
	manifestFetches map[fleet.Version]*manifestFetch
	originBytes     fleet.Bytes
	peerBytes       fleet.Bytes
	exceedsMemory   map[fleet.Version]bool
	changed         chan struct{} // closed and replaced when a chunk or version is added or removed
}

func newWeightCache(a *Agent) *weightCache {
	w := a.opt.Settings.Weights
	return &weightCache{
		a: a, slots: peer.NewSlots(w.UploadSlots),
		ledger: retention.NewLedger(fleet.Bytes(w.MemoryBytes)),
		chunks: map[fleet.Digest]*chunkData{}, manifests: map[fleet.Version][]byte{},
		distributions: map[fleet.Version]*distribution{}, plans: map[fleet.Model]config.ModelPlan{},
		manifestFetches: map[fleet.Version]*manifestFetch{}, exceedsMemory: map[fleet.Version]bool{}, changed: make(chan struct{}),
	}
}

// applyPlan follows the plan: it starts distributions of new versions, cancels those that
// are no longer desired, and releases old versions.
func (w *weightCache) applyPlan(ctx context.Context, plan config.TargetPlan, serving map[fleet.Model]fleet.Version) {
	now := w.a.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	desired := map[fleet.Version]bool{}
	w.plans = map[fleet.Model]config.ModelPlan{}
	for _, p := range plan.Models {
		desired[p.Version] = true
		w.plans[p.Model] = p
		w.ensureStarted(ctx, p, plan.OriginRegion)
	}
	for v, x := range w.distributions {
		if desired[v] {
			continue
		}
		if !x.isComplete() {
			x.cancel()
			w.drop(v)
			continue
		}
		if w.isReplaced(x, serving) {
			w.ledger.SetRole(v, retention.RoleKept, now.Add(x.plan.KeepOld), now)
			continue
		}
		w.ledger.SetRole(v, retention.RoleFallback, now, now)
	}
	for v, f := range w.manifestFetches {
		if !desired[v] {
			f.cancel()
			delete(w.manifestFetches, v)
		}
	}
	for _, v := range w.ledger.Expired(now) {
		w.drop(v)
	}
}

// isReplaced reports whether the engine serves the version that replaces x, so that x is
// kept only for peers. mu must be held.
func (w *weightCache) isReplaced(x *distribution, serving map[fleet.Model]fleet.Version) bool {
	p, ok := w.plans[x.plan.Model]
	return !ok || serving[p.Model] == p.Version
}

// ensureStarted starts the manifest fetch of a desired version, unless the version is
// already held or its fetch is running. mu must be held.
func (w *weightCache) ensureStarted(ctx context.Context, p config.ModelPlan, originRegion fleet.Region) {
	if x, ok := w.distributions[p.Version]; ok {
		x.setPlan(p)
		_, _ = w.ledger.Admit(p.Version, 0, w.a.now())
		return
	}
	if _, ok := w.manifestFetches[p.Version]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &manifestFetch{cache: w, plan: p, originRegion: originRegion, cancel: cancel}
	w.manifestFetches[p.Version] = f
	go f.run(ctx)
}

// drop removes a version and frees its memory. mu must be held.
func (w *weightCache) drop(v fleet.Version) {
	x, ok := w.distributions[v]
	if !ok {
		w.ledger.Drop(v)
		return
	}
	x.cancel()
	for _, c := range x.manifest.Chunks {
		w.releaseChunk(c.Digest, x)
	}
	delete(w.distributions, v)
	delete(w.manifests, v)
	w.ledger.Drop(v)
	w.notifyChange()
	w.a.log.weights.Info().Str("version", v.Short()).Msg("version dropped")
}

// releaseChunk removes a version's reference to a chunk. mu must be held.
func (w *weightCache) releaseChunk(g fleet.Digest, x *distribution) {
	if !x.refs[g] {
		return
	}
	delete(x.refs, g)
	if c, ok := w.chunks[g]; ok {
		c.refs--
		if c.refs == 0 {
			delete(w.chunks, g)
		}
	}
}

// notifyChange wakes the goroutines that wait for a change. mu must be held.
func (w *weightCache) notifyChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// startDistribution starts the distribution of a version whose manifest is verified. It
// returns false if the version is no longer desired or doesn't fit in memory.
func (w *weightCache) startDistribution(ctx context.Context, f *manifestFetch, m *swarm.Manifest, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.manifestFetches[m.Version] != f {
		return false
	}
	evicted, ok := w.ledger.Admit(m.Version, m.Total(), w.a.now())
	w.exceedsMemory[m.Version] = !ok
	if !ok {
		return false
	}
	delete(w.manifestFetches, m.Version)
	for _, v := range evicted {
		w.drop(v)
	}
	w.manifests[m.Version] = body
	x := newDistribution(w, f.plan, f.originRegion, m)
	w.distributions[m.Version] = x
	for i, c := range m.Chunks {
		if held, ok := w.chunks[c.Digest]; ok {
			w.addReference(x, c.Digest, held)
			x.planner.AddHeld(i, w.a.now())
		}
	}
	x.start(ctx)
	return true
}

// addReference adds a version's reference to a chunk. mu must be held.
func (w *weightCache) addReference(x *distribution, g fleet.Digest, c *chunkData) {
	if !x.refs[g] {
		x.refs[g] = true
		c.refs++
	}
}

// storeChunk stores a verified chunk. It reports whether the version is still desired.
func (w *weightCache) storeChunk(x *distribution, i int, data []byte, from swarm.SourceKind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.distributions[x.manifest.Version] != x {
		return false
	}
	g := x.manifest.Chunks[i].Digest
	c, ok := w.chunks[g]
	if !ok {
		c = &chunkData{data: data}
		w.chunks[g] = c
	}
	w.addReference(x, g, c)
	if from == swarm.SourceOrigin {
		w.originBytes += fleet.Bytes(len(data))
	} else {
		w.peerBytes += fleet.Bytes(len(data))
	}
	w.notifyChange()
	return true
}

// isComplete reports whether all chunks of a version are held and verified.
func (w *weightCache) isComplete(v fleet.Version) bool {
	w.mu.Lock()
	x, ok := w.distributions[v]
	w.mu.Unlock()
	return ok && x.isComplete()
}

// isFetching reports whether weights are being fetched.
func (w *weightCache) isFetching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.distributions {
		if !x.isComplete() {
			return true
		}
	}
	return false
}

// weightsReader returns the weights of a complete version and their size.
func (w *weightCache) weightsReader(v fleet.Version) (io.Reader, fleet.Bytes, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.distributions[v]
	if !ok || !x.isComplete() {
		return nil, 0, errIncomplete
	}
	parts := make([]io.Reader, 0, len(x.manifest.Chunks))
	for _, c := range x.manifest.Chunks {
		held, ok := w.chunks[c.Digest]
		if !ok {
			return nil, 0, errIncomplete
		}
		parts = append(parts, bytes.NewReader(held.data))
	}
	return io.MultiReader(parts...), x.manifest.Total(), nil
}

// fillReport adds the progress of distributions to a heartbeat.
func (w *weightCache) fillReport(r *membership.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.OriginBytes, r.PeerBytes = w.originBytes, w.peerBytes
	for i := range r.Models {
		m := &r.Models[i]
		x, ok := w.distributions[m.Desired]
		switch {
		case ok:
			m.ChunksHeld, m.ChunksTotal = x.progress()
			if problem := x.problem(); problem != "" {
				m.WaitsFor = problem
			}
		case w.exceedsMemory[m.Desired]:
			m.WaitsFor = "memory"
		case w.manifestFetches[m.Desired] != nil:
			m.WaitsFor = w.manifestFetches[m.Desired].waitReason()
		}
	}
}

// resumed fails the fetches that were in progress before a pause.
func (w *weightCache) resumed(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.distributions {
		x.resumed(now)
	}
}

// Manifest implements peer.AgentHandler.
func (a *Agent) Manifest(v fleet.Version) ([]byte, bool) {
	a.cache.mu.Lock()
	defer a.cache.mu.Unlock()
	body, ok := a.cache.manifests[v]
	return body, ok
}

// Chunk implements peer.AgentHandler. It uploads a verified chunk at the rate that live
// requests leave available.
func (a *Agent) Chunk(ctx context.Context, ref peer.ChunkRef, send func([]byte) error) error {
	w := a.cache
	if err := w.slots.Acquire(ctx, uploadSlotTimeout); err != nil {
		return err
	}
	defer w.slots.Release()
	w.mu.Lock()
	c, ok := w.chunks[ref.Digest]
	w.mu.Unlock()
	if !ok {
		return peer.ErrMissing
	}
	a.opt.Metrics.Count("weight_bytes_sent", int64(len(c.data)))
	for remaining := c.data; len(remaining) > 0; {
		n := min(a.pace.partBytes, len(remaining))
		if err := a.pace.wait(ctx, n); err != nil {
			return err
		}
		if err := send(remaining[:n]); err != nil {
			return err
		}
		remaining = remaining[n:]
	}
	return nil
}

// WatchChunks implements peer.AgentHandler.
func (a *Agent) WatchChunks(ctx context.Context, v fleet.Version, send func(peer.ChunksHeld) error) error {
	sentChunks, changed, isHeld := a.cache.heldChunks(v)
	if err := send(peer.ChunksHeld{Bitmap: sentChunks}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		if !daemon.Sleep(ctx, chunkUpdateDelay) {
			return ctx.Err()
		}
		var chunks swarm.Bitmap
		var stillHeld bool
		chunks, changed, stillHeld = a.cache.heldChunks(v)
		if isHeld && !stillHeld {
			return send(peer.ChunksHeld{Removed: true})
		}
		if added := chunks.AddedSince(sentChunks); len(added) > 0 || stillHeld && !isHeld {
			h := peer.ChunksHeld{Added: added}
			if !isHeld {
				h = peer.ChunksHeld{Bitmap: chunks}
			}
			if err := send(h); err != nil {
				return err
			}
		}
		sentChunks, isHeld = chunks, stillHeld
	}
}

// heldChunks returns the chunks of a version that are held and a channel that is closed
// at the next change.
func (w *weightCache) heldChunks(v fleet.Version) (swarm.Bitmap, <-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.distributions[v]
	if !ok {
		return nil, w.changed, false
	}
	return x.held(), w.changed, true
}

// manifestFetch fetches the manifest of one version.
type manifestFetch struct {
	cache        *weightCache
	plan         config.ModelPlan
	originRegion fleet.Region
	cancel       context.CancelFunc
	mu           sync.Mutex // guards lastError
	lastError    string
}

// manifestOriginAgents is how many agents of the group request a manifest from the origin at
// first. The others request it from these agents.
const manifestOriginAgents = 2

// originFallbackAttempts is the number of failed attempts after which a member requests
// the manifest from the origin regardless of its rank.
const originFallbackAttempts = 10

func (f *manifestFetch) run(ctx context.Context) {
	var m *swarm.Manifest
	var body []byte
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if m == nil {
			m, body = f.verify(f.fetch(ctx, attempt))
		}
		if m != nil && f.cache.startDistribution(ctx, f, m, body) {
			return
		}
		daemon.Sleep(ctx, min(manifestRetryDelay<<min(attempt, 8), manifestRetryMaxDelay))
	}
}

// verify checks a manifest. It returns nil if the manifest has to be fetched again.
func (f *manifestFetch) verify(body []byte) (*swarm.Manifest, []byte) {
	if body == nil {
		return nil, nil
	}
	m, err := swarm.OpenManifest(f.plan.Version, body)
	f.recordError(err)
	if err != nil {
		return nil, nil
	}
	return m, body
}

func (f *manifestFetch) recordError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
		f.cache.a.opt.Metrics.Count("manifests_rejected", 1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastError = text
}

func (f *manifestFetch) waitReason() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastError != "" {
		return f.lastError
	}
	return "manifest"
}

func (f *manifestFetch) fetch(ctx context.Context, attempt int) []byte {
	a := f.cache.a
	members := a.view.members()
	ids := make([]fleet.InstanceID, 0, len(members)+1)
	addresses := map[fleet.InstanceID]string{}
	for _, r := range members {
		ids = append(ids, r.Instance.ID)
		addresses[r.Instance.ID] = r.Instance.Address
	}
	if _, ok := addresses[a.self.ID]; !ok {
		ids = append(ids, a.self.ID)
	}
	ranked := rank.Top("manifest/"+string(f.plan.Version), ids, len(ids))
	for i, id := range ranked {
		if id == a.self.ID && i < manifestOriginAgents || attempt >= originFallbackAttempts {
			body, err := a.opt.Origin.Manifest(ctx, f.plan.Version)
			if err == nil {
				return body
			}
			f.recordError(err)
		}
		if i >= manifestOriginAgents+attempt {
			break
		}
		if id == a.self.ID || addresses[id] == "" {
			continue
		}
		if body, err := a.opt.Pool.Manifest(ctx, addresses[id], f.plan.Version); err == nil {
			return body
		}
	}
	return nil
}
