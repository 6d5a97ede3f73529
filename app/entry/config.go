package entry

import (
	"context"
	"errors"
	"sync"
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

// eraCheck logs when the platform stops to state its era.
type eraCheck struct {
	isReported bool
}

func (c *eraCheck) record(log zerolog.Logger, problem error) {
	if problem != nil && !c.isReported {
		log.Warn().Err(problem).Msg("platform does not state its era: the known one is assumed")
	}
	c.isReported = problem != nil
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
	after, wait := e.readPosition()
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
	e.configEra.record(e.log.config, got.EraProblem)
	era := e.node.Era()
	e.cfgMu.Unlock()
	if era < got.Position.Era {
		e.askPeers(ctx)
	}
	e.cfgMu.Lock()
	era = e.node.Era()
	res := e.node.OfferPlatformDocument(got.Position, got.Body, now)
	isNewEra := era < e.node.Era()
	e.cfgMu.Unlock()
	e.handleOffer(res, got.Position, "platform")
	if isNewEra {
		e.log.config.Warn().Uint64("era", uint64(got.Position.Era)).Uint64("revision", uint64(got.Position.Revision)).
			Str("verdict", res.Verdict.String()).Msg("the platform's store was restored from a copy")
		e.requestAnnouncement()
	}
	switch res.Verdict {
	case configsync.Older, configsync.RevisionConflict, configsync.StaleEra:
		// The platform returned a stale response without waiting. An immediate retry
		// would cause a busy loop.
		daemon.Sleep(ctx, platformRetryMin)
	}
	return nil
}

// askPeers fetches the configuration and the history of other entries before the first
// document of an era is judged: an entry that has just started, or was cut off or frozen, cannot
// tell whether it is older than what the others have in force.
func (e *Entry) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askPeersTimeout)
	defer cancel()
	e.cfgMu.Lock()
	hasList := !e.listPosition.IsZero()
	e.cfgMu.Unlock()
	if !hasList {
		_ = e.readList(ctx) // the list's watcher reports errors
	}
	e.cfgMu.Lock()
	to := e.node.AnnouncementPeers()
	e.cfgMu.Unlock()
	var wg sync.WaitGroup
	for _, in := range to {
		wg.Add(1)
		q := &inquiry{e: e, to: in, done: &wg}
		go q.run(ctx)
	}
	wg.Wait()
}

// inquiry asks one entry for its configuration.
type inquiry struct {
	e    *Entry
	to   fleet.Instance
	done *sync.WaitGroup
}

func (q *inquiry) run(ctx context.Context) {
	defer q.done.Done()
	q.e.syncWith(ctx, q.to)
}

// readPosition returns the position of the newest document received and how long the next
// read may wait for a newer one.
func (e *Entry) readPosition() (fleet.Position, time.Duration) {
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	p := e.node.ReadPosition()
	if p.IsZero() {
		return p, 0
	}
	return p, configPollWait
}

// handleOffer handles the result of offering a document to the configuration node.
func (e *Entry) handleOffer(res configsync.Result, at fleet.Position, from string) {
	if res.Changed {
		e.putInForce(from)
	}
	switch res.Verdict {
	case configsync.Refused:
		e.opt.Metrics.Count("config_refused", 1)
		e.log.config.Warn().Uint64("revision", uint64(at.Revision)).Uint64("era", uint64(at.Era)).Err(res.Problem).Msg("configuration refused")
	case configsync.Forged, configsync.RevisionConflict:
		e.opt.Metrics.Count("config_forged", 1)
		e.log.config.Error().Uint64("revision", uint64(at.Revision)).Uint64("era", uint64(at.Era)).Str("from", from).
			Str("verdict", res.Verdict.String()).Msg("configuration rejected")
	}
}

func (e *Entry) putInForce(from string) {
	e.cfgMu.Lock()
	doc, at := e.node.Document()
	if doc != nil {
		e.inForce.Store(&configInForce{doc: doc, at: at, held: e.node.HeldPosition()})
	}
	e.cfgMu.Unlock()
	if doc == nil {
		return
	}
	e.opt.Metrics.Gauge("config_revision", float64(at.Revision))
	e.opt.Metrics.Gauge("config_era", float64(at.Era))
	e.log.config.Info().Uint64("revision", uint64(at.Revision)).Uint64("era", uint64(at.Era)).Str("from", from).Msg(trace.MessageConfiguration)
	e.applyLimits(doc)
	e.notifySessions()
	e.requestAnnouncement()
}

func (e *Entry) requestAnnouncement() {
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
	after := e.listPosition
	e.cfgMu.Unlock()
	wait := listPollWait
	if after.IsZero() {
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
	if !e.setList(list) {
		daemon.Sleep(ctx, platformRetryMin)
	}
	return nil
}

// setList puts a received instance list in force, unless it is older than the last one.
func (e *Entry) setList(list platform.List) bool {
	e.cfgMu.Lock()
	e.listEra.record(e.log.members, list.EraProblem)
	before := e.listPosition
	if !before.Before(list.Position) {
		e.cfgMu.Unlock()
		return false
	}
	e.listPosition = list.Position
	now := e.now()
	e.memMu.Lock()
	if before.Era < list.Position.Era && !before.IsZero() {
		e.table.SetRestoredList(list.Instances, now)
	} else {
		e.table.SetList(list.Instances, now)
	}
	e.node.SetEntries(e.table.List())
	e.memMu.Unlock()
	e.cfgMu.Unlock()
	e.notifySessions()
	return true
}

// endListGrace drops the instances that a restored list lacks and that were kept.
func (e *Entry) endListGrace(now time.Time) {
	e.cfgMu.Lock()
	e.memMu.Lock()
	changed := e.table.EndGrace(now)
	if changed {
		e.node.SetEntries(e.table.List())
	}
	e.memMu.Unlock()
	e.cfgMu.Unlock()
	if changed {
		e.notifySessions()
	}
}

// syncer exchanges positions with other entries: immediately after a change, and
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

func (e *Entry) syncMessage() peer.SyncMessage {
	now := e.now()
	e.reqMu.Lock()
	blamed := e.ledger.Exchange(now)
	e.reqMu.Unlock()
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	return peer.SyncMessage{
		Instance: e.self.ID, Position: e.node.HeldPosition(), HistorySum: e.node.HistorySum(),
		PlatformAge: e.node.PlatformAge(now), Blamed: blamed,
	}
}

func (e *Entry) syncWith(ctx context.Context, in fleet.Instance) {
	reply, err := e.opt.Pool.Sync(ctx, in.Address, e.syncMessage())
	if err != nil {
		e.opt.Metrics.Count("sync_failures", 1)
		return
	}
	e.recordPeer(in.ID, reply)
	if reply.History != nil {
		e.offerHistory(*reply.History, in.ID)
	}
	if reply.Update == nil {
		return
	}
	if e.offer(*reply.Update, in.ID) == configsync.DeltaMismatch {
		e.fetchFull(ctx, in)
	}
}

// offerHistory merges the history of another entry, which can put a configuration in force
// that was received earlier.
func (e *Entry) offerHistory(s configsync.SignedHistory, from fleet.InstanceID) {
	e.cfgMu.Lock()
	res := e.node.OfferHistory(s)
	at := e.node.HeldPosition()
	e.cfgMu.Unlock()
	e.handleOffer(res, at, string(from))
}

// recordAgentPosition learns from the position of an agent's plan.
func (e *Entry) recordAgentPosition(p fleet.Position, from fleet.InstanceID) {
	if p.Era == 0 {
		return
	}
	e.cfgMu.Lock()
	res := e.node.RecordPlanPosition(p)
	at := e.node.HeldPosition()
	e.cfgMu.Unlock()
	e.handleOffer(res, at, string(from))
}

func (e *Entry) offer(u configsync.Update, from fleet.InstanceID) configsync.Verdict {
	e.cfgMu.Lock()
	res := e.node.OfferPeerUpdate(u, e.now())
	e.cfgMu.Unlock()
	e.handleOffer(res, u.Position, string(from))
	return res.Verdict
}

func (e *Entry) fetchFull(ctx context.Context, in fleet.Instance) {
	u, err := e.opt.Pool.Document(ctx, in.Address, fleet.Position{}, true)
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
	changed := e.ledger.Merge(m.Blamed, now)
	e.reqMu.Unlock()
	if changed {
		e.requestAnnouncement()
	}
}

// Sync implements peer.EntryHandler. If the requesting entry has a newer configuration or
// another history, these are requested in return.
func (e *Entry) Sync(m peer.SyncMessage) peer.SyncMessage {
	e.recordPeer(m.Instance, m)
	out := e.syncMessage()
	e.cfgMu.Lock()
	if u, ok := e.node.UpdateFor(m.Position); ok {
		out.Update = &u
	}
	if s, ok := e.node.HistoryFor(m.HistorySum); ok {
		out.History = &s
	}
	isBehind := e.node.IsBehind(m.Position, m.HistorySum) && !e.pulling
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

// pull fetches the configuration and the history from an entry that reported newer ones.
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
func (e *Entry) Document(have fleet.Position, full bool) (configsync.Update, bool) {
	e.cfgMu.Lock()
	defer e.cfgMu.Unlock()
	if full {
		return e.node.FullUpdate()
	}
	return e.node.UpdateFor(have)
}
