package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/rank"
	"amaranthturn/core/retention"
	"amaranthturn/core/swarm"
	"amaranthturn/io/peer"
)

// Constants of the weight cache.
const (
	heldBatch    = 150 * time.Millisecond // news of chunks are sent together
	slotWait     = 300 * time.Millisecond // an upload waits for a slot that long
	manifestWait = 40 * time.Millisecond  // before the second try to get a manifest
	manifestMax  = 600 * time.Millisecond // between later tries
)

var errIncomplete = errors.New("version is not complete")

// chunkData is one verified chunk; versions that share it share the bytes.
type chunkData struct {
	data []byte
	refs int
}

// weightCache holds weights in memory and hands them to the engine and to others.
type weightCache struct {
	a       *Agent
	slots   peer.Slots
	mu      sync.Mutex // guards all below
	ledger  *retention.Ledger
	chunks  map[fleet.Digest]*chunkData
	bodies  map[fleet.Version][]byte // manifests
	active  map[fleet.Version]*distribution
	wanted  map[fleet.Model]config.ModelPlan
	fetch   map[fleet.Version]*manifestFetch
	origin  fleet.Bytes
	peers   fleet.Bytes
	noRoom  map[fleet.Version]bool
	changed chan struct{} // closed and replaced when a chunk or version comes or goes
}

func newWeightCache(a *Agent) *weightCache {
	w := a.opt.Settings.Weights
	return &weightCache{
		a: a, slots: peer.NewSlots(w.UploadSlots),
		ledger: retention.NewLedger(fleet.Bytes(w.MemoryBytes)),
		chunks: map[fleet.Digest]*chunkData{}, bodies: map[fleet.Version][]byte{},
		active: map[fleet.Version]*distribution{}, wanted: map[fleet.Model]config.ModelPlan{},
		fetch: map[fleet.Version]*manifestFetch{}, noRoom: map[fleet.Version]bool{}, changed: make(chan struct{}),
	}
}

// want follows the plan: it begins distributions of new versions, gives up those
// that are not wanted any more, and lets old versions go.
func (d *weightCache) want(ctx context.Context, plan config.TargetPlan, serving map[fleet.Model]fleet.Version) {
	now := d.a.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	desired := map[fleet.Version]bool{}
	d.wanted = map[fleet.Model]config.ModelPlan{}
	for _, p := range plan.Models {
		desired[p.Version] = true
		d.wanted[p.Model] = p
		d.begin(ctx, p, plan.OriginRegion)
	}
	for v, x := range d.active {
		if desired[v] {
			continue
		}
		if !x.complete() {
			x.cancel()
			d.drop(v)
			continue
		}
		if d.replaced(x, serving) {
			d.ledger.Keep(v, retention.RoleKept, now.Add(x.plan.KeepOld), now)
			continue
		}
		d.ledger.Keep(v, retention.RoleFallback, now, now)
	}
	for v, f := range d.fetch {
		if !desired[v] {
			f.cancel()
			delete(d.fetch, v)
		}
	}
	for _, v := range d.ledger.Expired(now) {
		d.drop(v)
	}
}

// replaced tells whether the version that follows x is served here, so that x is
// only kept for others. mu is held.
func (d *weightCache) replaced(x *distribution, serving map[fleet.Model]fleet.Version) bool {
	p, ok := d.wanted[x.plan.Model]
	return !ok || serving[p.Model] == p.Version
}

// begin starts what a wanted version lacks. mu is held.
func (d *weightCache) begin(ctx context.Context, p config.ModelPlan, origin fleet.Region) {
	if x, ok := d.active[p.Version]; ok {
		x.setPlan(p)
		_, _ = d.ledger.Admit(p.Version, 0, d.a.now())
		return
	}
	if _, ok := d.fetch[p.Version]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &manifestFetch{d: d, plan: p, origin: origin, cancel: cancel}
	d.fetch[p.Version] = f
	go f.run(ctx)
}

// drop frees a version. mu is held.
func (d *weightCache) drop(v fleet.Version) {
	x, ok := d.active[v]
	if !ok {
		d.ledger.Drop(v)
		return
	}
	x.cancel()
	for _, c := range x.manifest.Chunks {
		d.release(c.Digest, x)
	}
	delete(d.active, v)
	delete(d.bodies, v)
	d.ledger.Drop(v)
	d.signal()
	d.a.log.weights.Info().Str("version", v.Short()).Msg("version dropped")
}

// release drops the reference of one version to a chunk. mu is held.
func (d *weightCache) release(g fleet.Digest, x *distribution) {
	if !x.refs[g] {
		return
	}
	delete(x.refs, g)
	if c, ok := d.chunks[g]; ok {
		c.refs--
		if c.refs == 0 {
			delete(d.chunks, g)
		}
	}
}

// signal wakes those that wait for a change. mu is held.
func (d *weightCache) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// opened begins the distribution of a version whose manifest was checked.
func (d *weightCache) opened(ctx context.Context, f *manifestFetch, m *swarm.Manifest, body []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fetch[m.Version] != f {
		return false
	}
	drop, ok := d.ledger.Admit(m.Version, m.Total(), d.a.now())
	d.noRoom[m.Version] = !ok
	if !ok {
		return false
	}
	delete(d.fetch, m.Version)
	for _, v := range drop {
		d.drop(v)
	}
	d.bodies[m.Version] = body
	x := newDistribution(d, f.plan, f.origin, m)
	d.active[m.Version] = x
	for i, c := range m.Chunks {
		if held, ok := d.chunks[c.Digest]; ok {
			d.reference(x, c.Digest, held)
			x.planner.AddHeld(i, d.a.now())
		}
	}
	x.start(ctx)
	return true
}

func (d *weightCache) reference(x *distribution, g fleet.Digest, c *chunkData) {
	if !x.refs[g] {
		x.refs[g] = true
		c.refs++
	}
}

// store keeps a verified chunk. It tells whether the version is still wanted.
func (d *weightCache) store(x *distribution, i int, data []byte, from swarm.SourceKind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[x.manifest.Version] != x {
		return false
	}
	g := x.manifest.Chunks[i].Digest
	c, ok := d.chunks[g]
	if !ok {
		c = &chunkData{data: data}
		d.chunks[g] = c
	}
	d.reference(x, g, c)
	if from == swarm.SourceOrigin {
		d.origin += fleet.Bytes(len(data))
	} else {
		d.peers += fleet.Bytes(len(data))
	}
	d.signal()
	return true
}

// complete tells whether the whole verified version is held.
func (d *weightCache) complete(v fleet.Version) bool {
	d.mu.Lock()
	x, ok := d.active[v]
	d.mu.Unlock()
	return ok && x.complete()
}

// moving tells whether weights are being fetched.
func (d *weightCache) moving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.active {
		if !x.complete() {
			return true
		}
	}
	return false
}

// reader returns the weights of a complete version.
func (d *weightCache) reader(v fleet.Version) (io.Reader, fleet.Bytes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.active[v]
	if !ok || !x.complete() {
		return nil, 0, errIncomplete
	}
	parts := make([]io.Reader, 0, len(x.manifest.Chunks))
	for _, c := range x.manifest.Chunks {
		held, ok := d.chunks[c.Digest]
		if !ok {
			return nil, 0, errIncomplete
		}
		parts = append(parts, bytes.NewReader(held.data))
	}
	return io.MultiReader(parts...), x.manifest.Total(), nil
}

// fill adds the progress of distributions to a heartbeat.
func (d *weightCache) fill(r *membership.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.OriginBytes, r.PeerBytes = d.origin, d.peers
	for i := range r.Models {
		m := &r.Models[i]
		x, ok := d.active[m.Desired]
		switch {
		case ok:
			m.ChunksHeld, m.ChunksTotal = x.progress()
			if why := x.trouble(); why != "" {
				m.WaitsFor = why
			}
		case d.noRoom[m.Desired]:
			m.WaitsFor = "memory"
		case d.fetch[m.Desired] != nil:
			m.WaitsFor = d.fetch[m.Desired].waits()
		}
	}
}

// resumed gives up fetches that were under way before a pause.
func (d *weightCache) resumed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.active {
		x.resumed(now)
	}
}

// Manifest implements peer.AgentHandler.
func (a *Agent) Manifest(v fleet.Version) ([]byte, bool) {
	a.cache.mu.Lock()
	defer a.cache.mu.Unlock()
	body, ok := a.cache.bodies[v]
	return body, ok
}

// Chunk implements peer.AgentHandler: it hands a verified chunk on, at the pace
// that live requests leave.
func (a *Agent) Chunk(ctx context.Context, ref peer.ChunkRef, send func([]byte) error) error {
	d := a.cache
	if err := d.slots.Take(ctx, slotWait); err != nil {
		return err
	}
	defer d.slots.Free()
	d.mu.Lock()
	c, ok := d.chunks[ref.Digest]
	d.mu.Unlock()
	if !ok {
		return peer.ErrMissing
	}
	a.opt.Metrics.Count("weight_bytes_sent", int64(len(c.data)))
	for rest := c.data; len(rest) > 0; {
		n := min(a.pace.part, len(rest))
		if err := a.pace.wait(ctx, n); err != nil {
			return err
		}
		if err := send(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// WatchChunks implements peer.AgentHandler.
func (a *Agent) WatchChunks(ctx context.Context, v fleet.Version, send func(peer.Held) error) error {
	sent, changed, ok := a.cache.heldOf(v)
	if err := send(peer.Held{Bitmap: sent}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		if !node.Sleep(ctx, heldBatch) {
			return ctx.Err()
		}
		var now swarm.Bitmap
		var still bool
		now, changed, still = a.cache.heldOf(v)
		if ok && !still {
			return send(peer.Held{Gone: true})
		}
		if added := now.AddedSince(sent); len(added) > 0 || still && !ok {
			h := peer.Held{Added: added}
			if !ok {
				h = peer.Held{Bitmap: now}
			}
			if err := send(h); err != nil {
				return err
			}
		}
		sent, ok = now, still
	}
}

// heldOf returns the chunks held of a version and a channel that is closed at the
// next change.
func (d *weightCache) heldOf(v fleet.Version) (swarm.Bitmap, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x, ok := d.active[v]
	if !ok {
		return nil, d.changed, false
	}
	return x.held(), d.changed, true
}

// manifestFetch gets the manifest of one version.
type manifestFetch struct {
	d      *weightCache
	plan   config.ModelPlan
	origin fleet.Region
	cancel context.CancelFunc
	mu     sync.Mutex // guards why
	why    string
}

// originRanks is how many members ask the origin for a manifest at once; the
// others ask them.
const originRanks = 2

// originTries is after how many rounds without success a member asks the origin
// whatever its rank.
const originTries = 10

func (f *manifestFetch) run(ctx context.Context) {
	var m *swarm.Manifest
	var body []byte
	for try := 0; ctx.Err() == nil; try++ {
		if m == nil {
			m, body = f.open(f.get(ctx, try))
		}
		if m != nil && f.d.opened(ctx, f, m, body) {
			return
		}
		node.Sleep(ctx, min(manifestWait<<min(try, 8), manifestMax))
	}
}

// open checks a manifest; a wrong one is fetched again.
func (f *manifestFetch) open(body []byte) (*swarm.Manifest, []byte) {
	if body == nil {
		return nil, nil
	}
	m, err := swarm.OpenManifest(f.plan.Version, body)
	f.note(err)
	if err != nil {
		return nil, nil
	}
	return m, body
}

func (f *manifestFetch) note(err error) {
	why := ""
	if err != nil {
		why = err.Error()
		f.d.a.opt.Metrics.Count("manifests_rejected", 1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.why = why
}

func (f *manifestFetch) waits() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.why != "" {
		return f.why
	}
	return "manifest"
}

func (f *manifestFetch) get(ctx context.Context, try int) []byte {
	a := f.d.a
	rows := a.view.members()
	ids := make([]fleet.InstanceID, 0, len(rows)+1)
	addr := map[fleet.InstanceID]string{}
	for _, r := range rows {
		ids = append(ids, r.Instance.ID)
		addr[r.Instance.ID] = r.Instance.Address
	}
	if _, ok := addr[a.self.ID]; !ok {
		ids = append(ids, a.self.ID)
	}
	order := rank.Top("manifest/"+string(f.plan.Version), ids, len(ids))
	for i, id := range order {
		if id == a.self.ID && i < originRanks || try >= originTries {
			body, err := a.opt.Origin.Manifest(ctx, f.plan.Version)
			if err == nil {
				return body
			}
			f.note(err)
		}
		if i >= originRanks+try {
			break
		}
		if id == a.self.ID || addr[id] == "" {
			continue
		}
		if body, err := a.opt.Pool.Manifest(ctx, addr[id], f.plan.Version); err == nil {
			return body
		}
	}
	return nil
}
