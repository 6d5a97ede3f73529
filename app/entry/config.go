package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/daemon"
	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
	"amaranthturn/io/platform"
)

// backoff computes exponentially increasing, jittered delays between failed attempts.
type backoff struct {
	wait time.Duration
}

func (b *backoff) next(jitter float64) time.Duration {
	b.wait = min(max(platformRetryMin, 2*b.wait), platformRetryMax)
	return b.wait/2 + time.Duration(jitter*float64(b.wait))
}

func (b *backoff) reset() { b.wait = 0 }

func (e *Entry) jitter() float64 {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	return e.random.Float64()
}

// availability tracks whether the platform is available, so that only changes are logged.
type availability struct {
	unavailable bool
}

func (a *availability) record(log zerolog.Logger, source string, err error) {
	switch {
	case err != nil && !a.unavailable:
		log.Warn().Str("reading", source).Err(err).Msg(trace.MessagePlatformUnavailable)
	case err == nil && a.unavailable:
		log.Info().Str("reading", source).Msg("platform is available again")
	}
	a.unavailable = err != nil
}

// configWatcher watches the platform's configuration while this entry is one of those that
// read it.
type configWatcher struct {
	e            *Entry
	backoff      backoff
	availability availability
}

func (w *configWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.shouldRead() {
			daemon.Sleep(ctx, platformRetryMin)
			continue
		}
		err := w.e.readConfig(ctx)
		if ctx.Err() != nil {
			return
		}
		w.availability.record(w.e.log.config, "configuration", err)
		if err != nil {
			w.e.opt.Metrics.Count("platform_read_failures", 1)
			daemon.Sleep(ctx, w.backoff.next(w.e.jitter()))
			continue
		}
		w.backoff.reset()
	}
}

func (w *configWatcher) shouldRead() bool {
	w.e.cfgMu.Lock()
	defer w.e.cfgMu.Unlock()
	return w.e.node.ShouldReadPlatform(w.e.now())
}

// readConfig waits for a configuration newer than the last one received. The first read of
// a process does not wait.
func (e *Entry) readConfig(ctx context.Context) error {
	after, wait := e.seenRevision()
	e.opt.Metrics.Count("platform_reads", 1)
	got, err := e.opt.Platform.Config(ctx, after, wait)
	now := e.now()
	if errors.Is(err, platform.ErrUnchanged) {
		e.cfgMu.Lock()
		e.node.RecordPlatformContact(now)
		e.cfgMu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	e.cfgMu.Lock()
	res := e.node.OfferPlatformDocument(got.Revision, got.Body, now)
	e.cfgMu.Unlock()
	e.handleOffer(res, got.Revision, "platform")
	if res.Verdict == configsync.Older || res.Verdict == configsync.RevisionConflict {
		// The platform returned a stale response without waiting. An immediate retry
		// would cause a busy loop.
		daemon.Sleep(ctx, platformRetryMin)
	}
	return nil
}

// seenRevision returns the newest revision that was accepted or refused and how long the
// next read may wait for a newer one.
func (e *Entry) seenRevision() (fleet.Revision, time.Duration) {
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	_, rev := e.node.Document()
	if r, ok := e.node.Refusal(); ok {
		rev = max(rev, r.Revision)
	}
	if rev == 0 {
		return 0, 0
	}
	return rev, configPollWait
}

// handleOffer handles the result of offering a document to the configuration node.
func (e *Entry) handleOffer(res configsync.Result, rev fleet.Revision, from string) {
	switch res.Verdict {
	case configsync.Accepted:
		e.putInForce(from)
	case configsync.Refused:
		e.opt.Metrics.Count("config_refused", 1)
		e.log.config.Warn().Uint64("revision", uint64(rev)).Err(res.Problem).Msg("configuration refused")
	case configsync.Forged, configsync.RevisionConflict:
		e.opt.Metrics.Count("config_forged", 1)
		e.log.config.Error().Uint64("revision", uint64(rev)).Str("from", from).
			Str("verdict", res.Verdict.String()).Msg("configuration rejected")
	}
}

func (e *Entry) putInForce(from string) {
	e.cfgMu.Lock()
	doc, rev := e.node.Document()
	if old := e.inForce.Load(); old == nil || old.rev < rev {
		e.inForce.Store(&configInForce{doc: doc, rev: rev})
	}
	e.cfgMu.Unlock()
	e.opt.Metrics.Gauge("config_revision", float64(rev))
	e.log.config.Info().Uint64("revision", uint64(rev)).Str("from", from).Msg(trace.MessageConfiguration)
	e.reqMu.Lock()
	e.ledger.SetMaxCrashedTargets(doc.Defaults.Limits.CrashTargets)
	e.budget.SetShare(doc.Defaults.Limits.RetryShare)
	for _, b := range e.budgets {
		b.SetShare(doc.Defaults.Limits.RetryShare)
	}
	e.reqMu.Unlock()
	e.notifySessions()
	select {
	case e.accepted <- struct{}{}:
	default:
	}
}

// listWatcher follows the platform's instance list.
type listWatcher struct {
	e            *Entry
	backoff      backoff
	availability availability
}

func (w *listWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.e.readList(ctx)
		if ctx.Err() != nil {
			return
		}
		w.availability.record(w.e.log.members, "instance list", err)
		if err != nil {
			daemon.Sleep(ctx, w.backoff.next(w.e.jitter()))
			continue
		}
		w.backoff.reset()
	}
}

func (e *Entry) readList(ctx context.Context) error {
	e.cfgMu.Lock()
	after := e.listRevision
	e.cfgMu.Unlock()
	wait := listPollWait
	if after == 0 {
		wait = 0
	}
	e.opt.Metrics.Count("platform_reads", 1)
	list, err := e.opt.Platform.Instances(ctx, after, wait)
	if errors.Is(err, platform.ErrUnchanged) {
		return nil
	}
	if err != nil {
		return err
	}
	e.cfgMu.Lock()
	e.listRevision = list.Revision
	e.node.SetEntries(list.Instances)
	e.cfgMu.Unlock()
	e.memMu.Lock()
	e.table.SetList(list.Instances, e.now())
	e.memMu.Unlock()
	e.notifySessions()
	return nil
}

// syncer exchanges revisions with other entries: immediately after a change, and
// periodically with a random entry.
type syncer struct{ e *Entry }

func (s *syncer) Run(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.e.accepted:
			s.announce(ctx)
		case <-tick.C:
			s.exchange(ctx)
		}
	}
}

func (s *syncer) announce(ctx context.Context) {
	s.e.cfgMu.Lock()
	to := s.e.node.AnnouncementPeers()
	s.e.cfgMu.Unlock()
	for _, in := range to {
		a := &announcement{e: s.e, to: in}
		go a.run(ctx)
	}
}

type announcement struct {
	e  *Entry
	to fleet.Instance
}

func (a *announcement) run(ctx context.Context) { a.e.syncWith(ctx, a.to) }

func (s *syncer) exchange(ctx context.Context) {
	s.e.cfgMu.Lock()
	in, ok := s.e.node.ExchangePeer()
	s.e.cfgMu.Unlock()
	if ok {
		s.e.syncWith(ctx, in)
	}
}

// maxBlamedRequests limits the blamed requests in one message.
const maxBlamedRequests = 16

func (e *Entry) syncMessage() peer.SyncMessage {
	now := e.now()
	e.reqMu.Lock()
	blamed := e.ledger.MostBlamed(maxBlamedRequests, now)
	e.reqMu.Unlock()
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	_, rev := e.node.Document()
	return peer.SyncMessage{
		Instance: e.self.ID, Revision: rev, Digest: e.node.Digest(), PlatformAge: e.node.PlatformAge(now), Blamed: blamed,
	}
}

func (e *Entry) syncWith(ctx context.Context, in fleet.Instance) {
	reply, err := e.opt.Pool.Sync(ctx, in.Address, e.syncMessage())
	if err != nil {
		e.opt.Metrics.Count("sync_failures", 1)
		return
	}
	e.recordPeer(in.ID, reply)
	if reply.Update == nil {
		return
	}
	if e.offer(*reply.Update, in.ID) == configsync.DeltaMismatch {
		e.fetchFull(ctx, in)
	}
}

func (e *Entry) offer(u configsync.Update, from fleet.InstanceID) configsync.Verdict {
	e.cfgMu.Lock()
	res := e.node.OfferPeerUpdate(u, e.now())
	e.cfgMu.Unlock()
	e.handleOffer(res, u.Revision, string(from))
	return res.Verdict
}

func (e *Entry) fetchFull(ctx context.Context, in fleet.Instance) {
	u, err := e.opt.Pool.Document(ctx, in.Address, 0, true)
	if err == nil {
		e.offer(u, in.ID)
	}
}

func (e *Entry) recordPeer(from fleet.InstanceID, m peer.SyncMessage) {
	now := e.now()
	e.cfgMu.Lock()
	e.node.RecordPeerPlatformAge(from, m.PlatformAge, now)
	e.cfgMu.Unlock()
	e.reqMu.Lock()
	e.ledger.Merge(m.Blamed, now)
	e.reqMu.Unlock()
}

// Sync implements peer.EntryHandler. If the requesting entry has a newer revision, its
// configuration is requested in return.
func (e *Entry) Sync(m peer.SyncMessage) peer.SyncMessage {
	e.recordPeer(m.Instance, m)
	out := e.syncMessage()
	e.cfgMu.Lock()
	if u, ok := e.node.UpdateFor(m.Revision); ok {
		out.Update = &u
	}
	isBehind := out.Revision < m.Revision && !e.pulling
	if isBehind {
		e.pulling = true
	}
	e.cfgMu.Unlock()
	if isBehind {
		p := &pull{e: e, from: m.Instance}
		go p.run()
	}
	return out
}

// pull fetches the configuration from an entry that reported a newer revision.
type pull struct {
	e    *Entry
	from fleet.InstanceID
}

// pullTimeout is the maximum duration of a pull.
const pullTimeout = 5 * time.Second

func (p *pull) run() {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	p.e.memMu.Lock()
	in, ok := p.e.table.Instance(p.from)
	p.e.memMu.Unlock()
	if ok {
		p.e.syncWith(ctx, in)
	}
	p.e.cfgMu.Lock()
	p.e.pulling = false
	p.e.cfgMu.Unlock()
}

// Document implements peer.EntryHandler.
func (e *Entry) Document(have fleet.Revision, full bool) (configsync.Update, bool) {
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	if full {
		return e.node.FullUpdate()
	}
	return e.node.UpdateFor(have)
}
