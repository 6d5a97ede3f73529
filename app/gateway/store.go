package gateway

import (
	"context"
	"errors"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/platform"
)

// Timing of reads of the store.
const (
	// watchWait is how long a watch waits for a change. A longer wait needs fewer calls, but
	// a watch may stall without an error, and a configuration has to be in force two seconds
	// after its acknowledgement.
	watchWait = time.Second
	// catchUpWatchWait is the wait of an entry that follows another entry's copy.
	catchUpWatchWait = 100 * time.Millisecond
	// watchTimeoutSlack is how much longer than its wait a watch may take.
	watchTimeoutSlack = 400 * time.Millisecond
	// fullReadTimeout limits a read of the complete store.
	fullReadTimeout = 2 * time.Second
	// batchDelay is the delay after a change, so that one call returns the changes that follow
	// shortly after it.
	batchDelay = 150 * time.Millisecond
	// promptAnswer is the time up to which a watch may have returned changes that were written before it
	// began.
	promptAnswer = 100 * time.Millisecond
	// slowAnswer is the same for a watch after failed reads, when the store or the link to it may be slow.
	slowAnswer = watchTimeoutSlack
	// minStoreBackoff and maxStoreBackoff limit the delay after a failed read.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
)

// storeReader follows the platform's store.
type storeReader struct {
	g          *Gateway
	backoff    time.Duration
	hasChanges bool // the last call found changes
}

// Run implements daemon.Runner.
func (s *storeReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.g.shouldReadStore() {
			daemon.Sleep(ctx, readCheckInterval)
			continue
		}
		startedAt := s.g.now()
		err := s.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && s.g.pausedSince(startedAt) {
			continue // the pause explains the timeout
		}
		s.g.recordStoreResult(err)
		if err == nil {
			s.backoff = 0
			if s.hasChanges {
				daemon.Sleep(ctx, batchDelay)
			}
			continue
		}
		s.backoff = min(max(minStoreBackoff, 2*s.backoff), maxStoreBackoff)
		daemon.Sleep(ctx, s.g.jitter(s.backoff))
	}
}

// read makes one watch call and applies the changes it returns.
func (s *storeReader) read(ctx context.Context) error {
	g := s.g
	g.mu.Lock()
	at := g.mirror.Position()
	g.mu.Unlock()
	if at.Revision == 0 {
		return s.readAll(ctx)
	}
	wait := s.nextWatchWait()
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchTimeoutSlack)
	defer cancel()
	g.metrics.Count("store_calls", 1)
	startedAt := g.now()
	events, now, err := g.store.Watch(watchCtx, at, wait)
	if reason := reasonToReadAll(err); reason != "" {
		g.log.config.Warn().Err(err).Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).Msg(reason)
		s.hasChanges = true // delays the next watch, which may fail again
		return s.readAll(ctx)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRead(startedAt)
	g.readOn()
	update := mirror.Update{Events: events, At: now, EraBase: now.Revision}
	s.hasChanges = now != at // also if all are of items that others use
	if g.applyUpdate(update, receipt{asOf: g.currentAsOf(startedAt, 0), wasMissed: g.mayHaveMissed(startedAt)}) == 0 {
		g.notifyFollowers() // the copy is known to be current
	}
	return nil
}

// mayHaveMissed reports whether changes that a watch returns now may have been written before it began.
// mu must be held.
func (g *Gateway) mayHaveMissed(startedAt time.Time) bool {
	answer := promptAnswer
	if startedAt.Sub(g.mirror.CurrentAt()) > 2*batchDelay {
		answer = slowAnswer
	}
	return g.now().Sub(startedAt) <= answer
}

// reasonToReadAll returns the log message for an error of a watch after which the complete
// store has to be read, or "".
func reasonToReadAll(err error) string {
	var era *platform.EraError
	var failed *platform.StoreError
	switch {
	case errors.As(err, &era) && era.IsLater():
		return "store was restored from a copy: reading the full store again"
	case errors.As(err, &failed) && failed.IsCompacted():
		return "store does not have the history: reading the full store again"
	}
	return ""
}

func (s *storeReader) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fullReadTimeout)
	defer cancel()
	g := s.g
	g.mu.Lock()
	before, previous := g.mirror.Position(), g.mirror.CurrentAt()
	g.mu.Unlock()
	g.metrics.Count("store_calls", platform.CallsToReadAll)
	startedAt := g.now()
	snapshots, err := g.store.ReadAll(ctx, before.Era)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	asOf := g.currentAsOf(startedAt, 0)
	g.recordRead(startedAt)
	for _, snapshot := range snapshots {
		g.handleChanges(g.mirror.Load(snapshot, asOf, g.now()), receipt{previous: previous, asOf: asOf, wasMissed: true})
	}
	g.missedUntil = g.mirror.Position()
	g.recordEra(before)
	g.initialReadDone = true
	return nil
}

// recordEra handles that the copy may have entered a later era than that of the given position.
// mu must be held.
func (g *Gateway) recordEra(before mirror.Position) {
	at := g.mirror.Position()
	if at.Era == before.Era {
		return
	}
	g.roster.Reads().Enter(at.Era)
	g.notifyFollowers()
	g.metrics.Gauge("store_era", float64(at.Era))
	if before.Revision == 0 {
		return // the first read
	}
	g.log.config.Warn().Uint64("era_before", uint64(before.Era)).Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).
		Int("retained", len(g.mirror.Retained())).Msg(trace.MessageStoreRestored)
}

// copyUsage returns what the copy of the store holds.
func (g *Gateway) copyUsage() mirror.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mirror.Usage()
}

// pausedSince reports whether the process was paused after the given time.
func (g *Gateway) pausedSince(t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.copyPauses.PausedSince(t, g.now())
}

// currentAsOf returns the time at which a copy was current that is received now, was awaited
// since the given time and had the given age when it was sent. It is zero if the process was paused
// meanwhile, since the data may then have waited in a buffer. mu must be held.
func (g *Gateway) currentAsOf(awaitedSince time.Time, age time.Duration) time.Time {
	now := g.now()
	if g.copyPauses.PausedSince(awaitedSince, now) {
		return time.Time{}
	}
	return now.Add(-age)
}

// recordStoreResult records whether a read of the store succeeded.
func (g *Gateway) recordStoreResult(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordStoreResultLocked(err)
}

// errReaderLostStore reports that the entry whose copy is followed cannot reach the store.
var errReaderLostStore = errors.New("the entry that reads the store cannot reach it")

// recordStoreResultLocked records whether the store is available to this entry or to the one
// that reads for it. mu must be held.
func (g *Gateway) recordStoreResultLocked(err error) {
	now := g.now()
	switch {
	case err != nil && !g.storeUnavailable:
		g.log.config.Warn().Err(err).Msg(trace.MessageStoreUnavailable)
		g.roster.StoreUnavailable()
	case err == nil && g.storeUnavailable:
		g.log.config.Info().Uint64("revision", uint64(g.mirror.Position().Revision)).Msg("store recovered")
		g.roster.StoreRecovered(now)
	}
	g.storeUnavailable = err != nil
	if err != nil {
		g.metrics.Count("store_failures", 1)
	}
}

// jitter returns a random duration between half of d and one and a half times d.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.random.Float64()*float64(d))
}

// receipt is what is known of the time at which changes were written that are received now.
type receipt struct {
	previous time.Time // when the copy was last current before
	asOf     time.Time // when it was current with the changes, or zero if unknown
	// wasMissed reports that neither this entry nor the one that it follows may have been waiting for the
	// changes when they were written.
	wasMissed bool
}

// applyUpdate applies an update and returns the number of changes. mu must be held.
func (g *Gateway) applyUpdate(u mirror.Update, r receipt) int {
	before := g.mirror.Position()
	r.previous = g.mirror.CurrentAt()
	changes := g.mirror.Merge(u, r.asOf, g.now())
	if r.wasMissed && len(changes) > 0 {
		g.missedUntil = g.mirror.Position()
	}
	g.handleChanges(changes, r)
	g.recordEra(before)
	return len(changes)
}

// handleChanges processes changes of the mirror. mu must be held.
func (g *Gateway) handleChanges(events []mirror.Event, r receipt) {
	now := g.now()
	needsRefresh := false
	for _, e := range events {
		if g.mirror.IsSuperseded(e) {
			continue
		}
		c, err := g.decoder.Decode(e)
		if err != nil {
			g.metrics.Count("unusable_entries", 1)
			g.log.members.Warn().Err(err).Uint64("revision", uint64(e.Revision)).Msg("store item is invalid")
		}
		switch {
		case c.Document != nil:
			old := g.doc.Load()
			if old != nil && old.Version >= c.Document.Version {
				continue
			}
			g.putInForce(c.Document)
			g.metrics.Gauge("config_version", float64(c.Document.Version))
			g.log.config.Info().Uint64("version", c.Document.Version).Uint64("revision", uint64(e.Revision)).
				Int("routes", c.Document.Routes()).Msg(trace.MessageConfiguration)
			needsRefresh = true
		case c.Declared != nil:
			since, known := g.declarationTimes(r, now)
			if g.declarationsOf(c.Declared.Model).Add(c.Declared.Version, since, known) {
				g.log.config.Info().Str("model", string(c.Declared.Model)).Uint64("version", c.Declared.Version).Uint64("revision", uint64(e.Revision)).
					Dur("copy_age", now.Sub(r.previous)).Dur("declared_ago", now.Sub(since)).Msg("weights version declared")
			}
			needsRefresh = true
		case c.Target != nil:
			g.updateTarget(*c.Target)
			needsRefresh = true
		case c.UnusableTarget != "":
			if g.roster.Drop(c.UnusableTarget) {
				g.log.members.Info().Str("target", string(c.UnusableTarget)).Bool("at_once", true).Msg(trace.MessageTargetRemoved)
				needsRefresh = true
			}
		case c.RemovedTarget != "":
			g.removeTarget(c.RemovedTarget, roster.Deletion{After: r.previous, By: now}, now)
			needsRefresh = true
		}
	}
	if needsRefresh {
		g.refreshBalancers(now)
	}
	if len(events) > 0 {
		g.notifyFollowers()
	}
}

// notifyFollowers wakes the streams of store updates. mu must be held.
func (g *Gateway) notifyFollowers() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gateway) updateTarget(t roster.Target) {
	old, ok := g.roster.Get(t.ID)
	if !ok || old.State != t.State || old.Incarnation != t.Incarnation {
		g.log.members.Info().Str("target", string(t.ID)).Str("service", string(t.Service)).Str("address", t.Address).
			Str("state", t.State.String()).Uint64("born", uint64(t.Incarnation)).Msg(trace.MessageTarget)
	}
	if ok && old.Incarnation != t.Incarnation {
		g.ledger.EndIncarnation(crashOf(old))
	}
	g.roster.Update(t)
}

// refreshBalancers updates the balancers with the current targets. mu must be held.
func (g *Gateway) refreshBalancers(now time.Time) {
	doc := g.doc.Load()
	if doc == nil {
		return
	}
	g.metrics.Count("balancer_refreshes", 1)
	g.appliedShare = g.share(now)
	for name, s := range g.services {
		if _, ok := doc.Service(name); !ok {
			s.balancer.SetTargets(nil)
			g.notifyWaiters(nil, s.queue.CancelAll())
		}
	}
	for _, svc := range doc.Services() {
		targets := g.roster.Usable(svc.Name)
		if _, ok := g.services[svc.Name]; !ok && len(targets) == 0 {
			continue
		}
		s := g.service(svc.Name)
		candidates, unreported := g.candidates(svc, targets, now)
		s.balancer.SetEntries(g.appliedShare.entries)
		s.balancer.SetUnreported(unreported)
		s.balancer.SetTargets(candidates)
		g.notifyWaiters(s.queue.Tick(now))
	}
}

// candidates returns the targets of a service that do not leave, and whether nobody reports the load
// of any of them although all state their slots. mu must be held.
func (g *Gateway) candidates(svc *routeconfig.Service, targets []roster.Target, now time.Time) (out []loadbalance.Target, unreported bool) {
	unreported = svc.Engine == nil
	var sameZone []int // indexes in out
	for _, t := range targets {
		notice := noticeTarget(t)
		if g.notices.IsLeaving(notice) {
			continue
		}
		if t.Slots <= 0 {
			unreported = false
		}
		c := loadbalance.Target{ID: t.ID, Incarnation: t.Incarnation, Slots: max(1, t.Slots), SameZone: t.Zone == g.settings.Zone, NotBefore: g.notices.PausedUntil(notice)}
		if svc.Engine != nil {
			c.Engine = g.engineState(t, now)
		}
		if c.SameZone {
			sameZone = append(sameZone, len(out))
		}
		out = append(out, c)
	}
	if svc.Engine != nil {
		for i, index := range sameZone {
			out[index].Home = loadbalance.IsHome(g.appliedShare.position, g.appliedShare.zoneEntries, i, len(sameZone))
		}
	}
	return out, unreported
}

// entryShare is what decides about this entry's share of the targets.
type entryShare struct {
	position, zoneEntries int // among the live entries of the zone
	entries               int // that may use the targets
}

// share returns this entry's share of the targets. mu must be held.
func (g *Gateway) share(now time.Time) entryShare {
	s := entryShare{entries: g.entryCount(now)}
	s.position, s.zoneEntries = g.entryList.Position(now)
	return s
}

// refreshForEntries updates the balancers if the entries that share the targets have changed. mu
// must not be held.
func (g *Gateway) refreshForEntries() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.share(now) != g.appliedShare {
		g.refreshBalancers(now)
	}
	g.divideLimits(now)
}

// entryCount returns how many entries may use the targets: those that are live, and at least as
// many as there are seeds, since an entry that has just started does not know the others. mu must
// be held.
func (g *Gateway) entryCount(now time.Time) int {
	return max(len(g.entryList.Live(now))+1, len(g.seeds))
}

// engineState returns what the balancer knows of a model's target from its agent. A target that
// was added may have no agent. mu must be held.
func (g *Gateway) engineState(t roster.Target, now time.Time) loadbalance.Engine {
	e := loadbalance.Engine{Closed: !g.canServe(t, now)}
	if w, ok := g.loadWatches[t.Address]; ok {
		e.ReportsLoad, e.ReportInterval = w.hasReported, w.period
	}
	if z, ok := g.zones[t.Zone]; ok && !e.ReportsLoad {
		e.ReportInterval, e.ReportsLoad = z.reported[t.Address]
	}
	return e
}

// refreshEngine updates the balancer with what has changed at one model's target. Unlike
// refreshBalancers its cost does not grow with the number of targets. mu must be held.
func (g *Gateway) refreshEngine(t roster.Target, now time.Time) {
	if s, ok := g.services[t.Service]; ok {
		s.balancer.SetEngine(t.ID, g.engineState(t, now))
		g.notifyWaiters(s.queue.Tick(now))
	}
}
