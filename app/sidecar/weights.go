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

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/core/roster"
	"amaranthturn/core/swarm"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Timing of the fetch loop.
const (
	planInterval = 25 * time.Millisecond
	// versionCheckInterval is the maximum time after which an agent checks which versions to keep.
	versionCheckInterval = time.Second
	// originDelay is how long an agent waits before it requests a chunk from the origin. It is
	// short, because all agents know the group when a version is declared.
	originDelay        = 20 * time.Millisecond
	manifestRetryDelay = 200 * time.Millisecond // between two attempts to fetch a manifest
	chunkUpdateDelay   = 30 * time.Millisecond  // added chunks are announced in batches
	uploadSlotTimeout  = 300 * time.Millisecond // maximum wait of an upload for a slot
	// chunkTimeout limits the fetch of one chunk. It is thirty times the transfer time of a
	// chunk on the machine's own link.
	chunkTimeout = 3 * time.Second
)

// maxLinkQueue is how long the chunks in flight may occupy the machine's link at its full rate. The requests
// to its engine wait behind them.
const maxLinkQueue = 150 * time.Millisecond

// linkFetches returns how many chunks may be in flight over a link, or 0 if its rate is not known.
func linkFetches(bytesPerSecond float64, m *swarm.Manifest) int {
	if bytesPerSecond <= 0 || len(m.Chunks) == 0 {
		return 0
	}
	return max(1, int(bytesPerSecond*maxLinkQueue.Seconds()/float64(m.Chunks[0].Size)))
}

// planSettings returns settings of the planner for chunks that take tens of milliseconds to
// transfer on a link of a few Mbit/s.
func planSettings(self fleet.InstanceID, region, origin fleet.Region, linkFetches int) swarm.Settings {
	settings := swarm.DefaultSettings(self, region)
	settings.LinkFetches = linkFetches
	settings.OriginRegion = origin
	settings.PeerFetches, settings.RemoteFetches, settings.OriginFetches, settings.FetchesPerPeer = 2, 2, 2, 1
	settings.OriginDelay = originDelay
	settings.OriginBackoff, settings.OriginBackoffDoublings = 150*time.Millisecond, 1
	settings.InitialTimeout, settings.MinStallWait = 1500*time.Millisecond, 700*time.Millisecond
	return settings
}

// versionWeights is one version of a model's weights, which may be incomplete.
type versionWeights struct {
	s             *Sidecar
	model         fleet.Model
	version       uint64
	name          fleet.Version
	manifest      *swarm.Manifest
	originAddress string
	cancel        context.CancelFunc
	wakeup        chan struct{}
	// stagedReadsFailed is used by run only.
	stagedReadsFailed int

	mu            sync.Mutex // guards all fields below; locked after Sidecar.mu
	chunks        [][]byte
	digests       *swarm.Digests
	disputed      map[int][]byte // content of chunks that has none of the stated digests
	recheck       manifestRecheck
	planner       *swarm.Planner
	peerAddresses map[fleet.InstanceID]string
	fetchCancels  map[swarm.Fetch]context.CancelFunc
	chunkWatches  map[fleet.InstanceID]context.CancelFunc
	changed       chan struct{} // closed and replaced when a chunk is added
	staged        bool          // chunks of this version are staged on the engine
	progress      upgrade.Progress
}

// versionName returns the name of a version in messages between agents.
func versionName(m fleet.Model, v uint64) fleet.Version {
	return fleet.Version(fmt.Sprintf("%s@%d", m, v))
}

// versionManager maintains the versions to keep.
type versionManager struct{ s *Sidecar }

// Run implements daemon.Runner.
func (m *versionManager) Run(ctx context.Context) {
	check := time.NewTicker(versionCheckInterval)
	defer check.Stop()
	for ctx.Err() == nil {
		m.update(ctx)
		select {
		case <-ctx.Done():
		case <-m.s.versionsChanged:
		case <-check.C:
		}
	}
}

// checkVersions lets the version manager check at once which versions to keep.
func (s *Sidecar) checkVersions() {
	select {
	case s.versionsChanged <- struct{}{}:
	default: // it will check already
	}
}

// update starts fetching missing versions and removes versions that are no longer kept.
func (m *versionManager) update(ctx context.Context) {
	s := m.s
	s.mu.Lock()
	model, e, ok := s.model()
	if !ok {
		s.mu.Unlock()
		return
	}
	o, ok := s.doc.Origin()
	if !ok {
		s.mu.Unlock()
		return
	}
	toKeep, serving := s.versionsToKeep(model.Name), s.servingVersion(model.Name, e)
	var missing []uint64
	for _, v := range toKeep {
		if s.weights[v] == nil && s.shouldFetch(model.Name, v, serving) {
			missing = append(missing, v)
		}
	}
	for v, w := range s.weights {
		if !slices.Contains(toKeep, v) {
			w.cancel()
			delete(s.weights, v)
		}
	}
	s.mu.Unlock()
	for _, v := range missing {
		manifest, err := s.fetchManifest(ctx, o.Origin, model.Name, v, e)
		if err != nil {
			s.log.weights.Warn().Uint64("version", v).Err(err).Msg("manifest cannot be fetched")
			daemon.Sleep(ctx, manifestRetryDelay)
			continue
		}
		m.startVersion(ctx, model.Name, v, manifest, o.Origin, s.settings.Regions[o.Zone])
	}
}

func (m *versionManager) startVersion(ctx context.Context, model fleet.Model, version uint64, manifest *swarm.Manifest, originAddr string, originRegion fleet.Region) {
	s := m.s
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	self := fleet.InstanceID(s.settings.TargetAddress)
	random := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	w := &versionWeights{
		s: s, model: model, version: version, name: manifest.Version, manifest: manifest, originAddress: originAddr, cancel: cancel,
		wakeup: make(chan struct{}, 1), chunks: make([][]byte, len(manifest.Chunks)), digests: swarm.NewDigests(manifest), disputed: map[int][]byte{},
		planner:       swarm.NewPlanner(planSettings(self, s.settings.Region, originRegion, linkFetches(s.settings.LinkBytesPerSecond, manifest)), manifest, random, s.now()),
		peerAddresses: map[fleet.InstanceID]string{}, fetchCancels: map[swarm.Fetch]context.CancelFunc{},
		chunkWatches: map[fleet.InstanceID]context.CancelFunc{}, changed: make(chan struct{}),
	}
	s.weights[version] = w
	s.mu.Unlock()
	s.log.weights.Info().Uint64("version", version).Int("pieces", len(manifest.Chunks)).Msg("fetching weights")
	go w.run(ctx)
}

// initialEngineWait is how long an agent that starts together with the entire system waits
// for its engine before it fetches from other agents. In that case the engine has the first
// version staged.
const initialEngineWait = 3 * time.Second

// awaitEngine waits until the engine responds, at most for initialEngineWait.
func (w *versionWeights) awaitEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialEngineWait)
	defer cancel()
	for {
		w.s.mu.Lock()
		up := w.s.isEngineUp
		w.s.mu.Unlock()
		if up || !daemon.Sleep(ctx, planInterval) {
			return
		}
	}
}

// run obtains the chunks, from those that are already staged and from other agents or the
// origin.
func (w *versionWeights) run(ctx context.Context) {
	startedAt := w.s.now()
	if w.s.settings.FirstStart {
		w.awaitEngine(ctx)
	}
	stagedRead := w.readStaged(ctx)
	w.awaitSchedule(ctx)
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	w.updateMembers()
	for !w.isComplete() && ctx.Err() == nil {
		if !stagedRead {
			stagedRead = w.readStaged(ctx)
		}
		w.plan(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
			w.updateMembers()
		case <-w.wakeup:
		}
	}
	w.cancelAll()
	if ctx.Err() == nil {
		w.s.metrics.Duration("distribution", w.s.now().Sub(startedAt))
		w.s.log.weights.Info().Uint64("version", w.version).Dur("took", w.s.now().Sub(startedAt)).Msg("weights complete")
	}
}

// cancelAll cancels all watches and fetches.
func (w *versionWeights) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, cancel := range w.chunkWatches {
		cancel()
		delete(w.chunkWatches, id)
	}
	for f, cancel := range w.fetchCancels {
		cancel()
		delete(w.fetchCancels, f)
	}
}

// awaitSchedule waits until the scheduled time of this agent's fetch. The fetch for an engine
// that serves nothing is due at once.
func (w *versionWeights) awaitSchedule(ctx context.Context) {
	for !w.isDue() && daemon.Sleep(ctx, planInterval) {
	}
}

// isDue reports whether the scheduled time of this agent's fetch has come.
func (w *versionWeights) isDue() bool {
	s := w.s
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.dueAgents(s.group())(s.settings.TargetAddress)
}

// olderVersionWait is how long a version waits for the previous one, which was declared
// shortly before and may be nearly complete.
const olderVersionWait = 3 * time.Second

// dueAgents returns a function that reports whether the fetch of an agent of the group is
// due, by the address of the agent's engine. It sorts the group only once. Sidecar.mu must
// be held.
func (w *versionWeights) dueAgents(group []roster.Target) func(addr string) bool {
	s := w.s
	all, none := func(string) bool { return true }, func(string) bool { return false }
	m, e, ok := s.model()
	if !ok || m.Name != w.model {
		return all
	}
	now := s.now()
	for v, o := range s.weights {
		if v < w.version && !o.isComplete() && now.Sub(s.declarationsOf(w.model).NewerDeclaredAt(w.version-1)) < olderVersionWait {
			return none
		}
	}
	serving := s.servingVersion(m.Name, e)
	declaredAt := s.declarationsOf(w.model).NewerDeclaredAt(serving)
	if serving == 0 || declaredAt.IsZero() {
		return all
	}
	schedule, positions := s.schedule(e), s.positions(group, w.version)
	return func(addr string) bool { return now.Sub(declaredAt) >= schedule.FetchAfter(positions[addr]) }
}

// readStaged adds the chunks of this version that are staged on the engine. It reports
// whether it is done with them, which it is not while the engine is down or does not answer.
func (w *versionWeights) readStaged(ctx context.Context) bool {
	w.s.mu.Lock()
	up := w.s.isEngineUp
	w.s.mu.Unlock()
	if !up {
		return false
	}
	for i := range w.manifest.Chunks {
		if w.chunk(i) != nil {
			continue
		}
		data, err := w.s.engine.StagedChunk(ctx, w.model, i, w.manifest.Chunks[i].Size)
		isOther := err == nil && !w.verify(i, data) || errors.Is(err, platform.ErrNotStaged)
		switch {
		case isOther && i == 0:
			return true // nothing or another version is staged
		case isOther:
		case err != nil:
			w.s.log.weights.Warn().Int("piece", i).Err(err).Msg("staged chunk cannot be read")
			w.stagedReadsFailed++
			return w.stagedReadsFailed >= maxStagedReads
		default:
			w.setStaged(true)
			w.addChunk(i, data)
		}
	}
	return true
}

// maxStagedReads limits how often the staged chunks are read from an engine that does not answer. The
// chunks can be fetched from other sources instead.
const maxStagedReads = 2

func (w *versionWeights) addChunk(i int, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holdChunk(i, data)
}

// holdChunk is addChunk with mu held.
func (w *versionWeights) holdChunk(i int, data []byte) {
	delete(w.disputed, i)
	w.chunks[i] = data
	w.planner.AddHeld(i, w.s.now())
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *versionWeights) recordProgress(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.Record(now)
}

// completeAt returns when all chunks will be held, if that can be estimated.
func (w *versionWeights) completeAt(now time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress.CompleteAt(w.planner.Missing(), now)
}

func (w *versionWeights) isComplete() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.planner.Missing() == 0
}

func (w *versionWeights) chunk(i int) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks[i]
}

func (w *versionWeights) isStaged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.staged
}

func (w *versionWeights) setStaged(staged bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged = staged
}

// wake triggers the next planning step without waiting for the tick.
func (w *versionWeights) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// updateMembers updates the planner with changes of the group. It is separate from plan,
// because sorting a large group takes longer than planning, and chunks are announced far more
// often than the group changes.
func (w *versionWeights) updateMembers() {
	w.s.mu.Lock()
	group := w.s.group()
	due := w.dueAgents(group)
	addrs := map[fleet.InstanceID]string{}
	var members []swarm.Member
	for id, t := range membersByAddress(group) {
		if !due(t.Address) {
			continue // it has no chunks yet, so nothing may wait for it
		}
		addrs[id] = w.s.settings.AgentAddress(t.Address)
		members = append(members, swarm.Member{ID: id, Region: w.s.settings.Regions[t.Zone]})
	}
	w.s.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !maps.Equal(addrs, w.peerAddresses) {
		w.peerAddresses = addrs
		w.planner.SetMembers(members, w.s.now())
	}
}

// plan starts the watches and fetches that the planner selects.
func (w *versionWeights) plan(ctx context.Context) {
	now := w.s.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateWatches(ctx, now)
	for _, f := range w.planner.Overdue(now) {
		w.cancelFetch(f)
		w.planner.Failed(f, swarm.CauseStalled, 0, now)
		w.s.metrics.Count("fetches_stalled", 1)
	}
	for _, f := range w.planner.Next(now) {
		fctx, cancel := context.WithTimeout(ctx, chunkTimeout)
		w.fetchCancels[f] = cancel
		cf := &chunkFetch{w: w, fetch: f, addr: w.peerAddresses[f.Source.Peer], startedAt: now}
		go cf.run(fctx)
	}
}

// cancelFetch cancels and removes a fetch. mu must be held.
func (w *versionWeights) cancelFetch(f swarm.Fetch) {
	if cancel, ok := w.fetchCancels[f]; ok {
		cancel()
		delete(w.fetchCancels, f)
	}
}

// updateWatches watches the agents that the planner selects and stops all other watches. mu
// must be held.
func (w *versionWeights) updateWatches(ctx context.Context, now time.Time) {
	toWatch := map[fleet.InstanceID]bool{}
	for _, id := range w.planner.PeersToWatch(now) {
		toWatch[id] = true
		if _, ok := w.chunkWatches[id]; ok || w.peerAddresses[id] == "" {
			continue
		}
		wctx, cancel := context.WithCancel(ctx)
		w.chunkWatches[id] = cancel
		watch := &chunkWatch{w: w, id: id, addr: w.peerAddresses[id]}
		go watch.run(wctx)
	}
	for id, cancel := range w.chunkWatches {
		if !toWatch[id] {
			cancel()
			delete(w.chunkWatches, id)
		}
	}
}

// chunkWatch follows the chunks that one agent holds.
type chunkWatch struct {
	w    *versionWeights
	id   fleet.InstanceID
	addr string
}

func (c *chunkWatch) run(ctx context.Context) {
	w := c.w
	err := w.s.pool.WatchChunks(ctx, c.addr, w.name, c.handleHeld)
	if ctx.Err() != nil {
		return
	}
	w.s.log.weights.Debug().Str("agent", string(c.id)).Err(err).Msg("watch of chunks ended")
	w.mu.Lock()
	if cancel, ok := w.chunkWatches[c.id]; ok {
		cancel()
	}
	delete(w.chunkWatches, c.id)
	w.planner.PeerDisconnected(c.id, w.s.now())
	w.mu.Unlock()
	w.wake()
}

func (c *chunkWatch) handleHeld(h peer.ChunksHeld) {
	now := c.w.s.now()
	c.w.mu.Lock()
	if h.Added == nil || h.Bitmap != nil {
		c.w.planner.SetPeerChunks(c.id, h.Bitmap, now)
	}
	for _, index := range h.Added {
		c.w.planner.AddPeerChunk(c.id, index, now)
	}
	c.w.mu.Unlock()
	c.w.wake()
}

// chunkFetch fetches one chunk from one source.
type chunkFetch struct {
	w     *versionWeights
	fetch swarm.Fetch
	addr  string
	// startedAt is when the planner requested the chunk.
	startedAt time.Time
}

func (c *chunkFetch) run(ctx context.Context) {
	w := c.w
	data, err := c.download(ctx)
	now := w.s.now()
	if err == nil && !w.verify(c.fetch.Chunk, data) {
		agreed := w.dispute(ctx, c.fetch.Chunk, data)
		w.s.metrics.Count("pieces_corrupt", 1)
		w.s.log.weights.Warn().Int("piece", c.fetch.Chunk).Str("source", c.fetch.Source.Kind.String()).Str("agent", string(c.fetch.Source.Peer)).
			Bool("digest_agreed", agreed).Msg("corrupt chunk")
		cause := swarm.CauseCorrupt
		if !agreed && c.fetch.Source.Kind != swarm.SourceOrigin {
			cause = swarm.CauseBusy // the digest may be wrong instead
		}
		c.recordFailure(ctx, cause, now)
		return
	}
	switch {
	case errors.Is(err, peer.ErrBusy):
		c.recordFailure(ctx, swarm.CauseBusy, now)
		return
	case errors.Is(err, peer.ErrMissing):
		c.recordFailure(ctx, swarm.CauseMissing, now)
		return
	case err != nil:
		c.recordFailure(ctx, swarm.CauseUnavailable, now)
		return
	}
	if c.fetch.Source.Kind == swarm.SourceOrigin {
		w.s.metrics.Count("origin_bytes", int64(len(data)))
	}
	w.s.log.weights.Debug().Uint64("version", w.version).Int("piece", c.fetch.Chunk).Str("source", c.fetch.Source.Kind.String()).
		Str("agent", string(c.fetch.Source.Peer)).Dur("took", now.Sub(c.startedAt)).Msg("chunk fetched")
	w.mu.Lock()
	w.cancelFetch(c.fetch)
	for _, extra := range w.planner.Done(c.fetch, now) {
		w.cancelFetch(extra)
		w.planner.Failed(extra, swarm.CauseCanceled, 0, now)
	}
	w.mu.Unlock()
	w.addChunk(c.fetch.Chunk, data)
	w.recordProgress(now)
	w.wake()
}

func (c *chunkFetch) download(ctx context.Context) ([]byte, error) {
	w := c.w
	if c.fetch.Source.Kind == swarm.SourceOrigin {
		return w.s.origin.Chunk(ctx, w.originAddress, w.model, w.version, c.fetch.Chunk, w.manifest.Chunks[c.fetch.Chunk].Size)
	}
	chunk := w.manifest.Chunks[c.fetch.Chunk]
	return w.s.pool.Chunk(ctx, c.addr, peer.ChunkRef{Version: w.name, Index: c.fetch.Chunk, Digest: w.digest(c.fetch.Chunk), Size: chunk.Size}, func(int) {})
}

func (c *chunkFetch) recordFailure(ctx context.Context, cause swarm.Cause, now time.Time) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // canceled before
	}
	w := c.w
	w.mu.Lock()
	w.cancelFetch(c.fetch)
	w.planner.Failed(c.fetch, cause, 0, now)
	w.mu.Unlock()
	w.wake()
}
