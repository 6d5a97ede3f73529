package gateway

import (
	"context"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/mirror"
	"amaranthturn/core/notice"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
)

// Timing of the exchange with other entries and of the load watches.
const (
	// exchangeInterval is how often an entry exchanges its list of entries with one other.
	exchangeInterval = 500 * time.Millisecond
	// minExchangeInterval is the minimum time between two exchanges that an entry begins.
	minExchangeInterval = 100 * time.Millisecond
	// sameZoneLoadPeriod and otherZoneLoadPeriod are the minimum intervals between load
	// reports of a target. Targets in the same zone receive most requests, and messages
	// between regions are expensive.
	sameZoneLoadPeriod  = 150 * time.Millisecond
	otherZoneLoadPeriod = 500 * time.Millisecond
	// sameZonePeriodPerEntry and otherZonePeriodPerEntry are the minimum period for each
	// entry, so that a target sends about thirty messages a second regardless of the number
	// of entries that listen.
	sameZonePeriodPerEntry  = 40 * time.Millisecond
	otherZonePeriodPerEntry = 80 * time.Millisecond
	// loadWatchRetryDelay is the delay before a failed load watch is restarted.
	loadWatchRetryDelay = 400 * time.Millisecond
	// loadWatchTimeoutSlack is how much longer than its period a report may take. A sound agent may
	// be silent for a second or so.
	loadWatchTimeoutSlack = 3 * time.Second
	// catchUpTimeout limits a read of another entry's copy of the store.
	catchUpTimeout = 1500 * time.Millisecond
)

// entryExchanger exchanges the list of entries with other entries, and reads the store's
// content from entries whose copy is newer.
type entryExchanger struct {
	g       *Gateway
	offered map[fleet.InstanceID]bool // entries that callers were told of at the last exchange
}

// Run implements daemon.Runner.
func (e *entryExchanger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchange(ctx)
		e.g.refreshForEntries()
		e.logEntries()
		e.g.watchTargets(ctx)
		e.wait(ctx)
	}
}

// requestExchange lets the next exchange begin before its interval has passed.
func (g *Gateway) requestExchange() {
	select {
	case g.exchangeNow <- struct{}{}:
	default: // one is requested already
	}
}

// wait returns when the next exchange is due, or sooner if the entry has news of crashes.
func (e *entryExchanger) wait(ctx context.Context) {
	daemon.Sleep(ctx, minExchangeInterval)
	t := time.NewTimer(e.g.jitter(exchangeInterval - minExchangeInterval))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-e.g.exchangeNow:
	}
}

// logEntries logs the entries that callers are told of since the last exchange, or no longer.
func (e *entryExchanger) logEntries() {
	g := e.g
	g.mu.Lock()
	offered := g.entryList.Offered(g.now())
	g.mu.Unlock()
	before := e.offered
	e.offered = make(map[fleet.InstanceID]bool, len(offered))
	for _, r := range offered {
		e.offered[r.Instance] = true
		if !before[r.Instance] {
			g.log.members.Info().Str("entry", string(r.Instance)).Msg("entry is offered to callers")
		}
	}
	for id := range before {
		if !e.offered[id] {
			g.log.members.Info().Str("entry", string(id)).Msg("entry is no longer offered to callers")
		}
	}
}

func (e *entryExchanger) exchange(ctx context.Context) {
	g := e.g
	now := g.now()
	g.mu.Lock()
	addr, ok := g.entryList.NextPeer(g.seeds, g.random.Float64(), now)
	update := g.entryUpdate(now)
	at := g.mirror.Position()
	g.mu.Unlock()
	if !ok {
		return
	}
	received, err := g.pool.Exchange(ctx, addr, update)
	if err != nil {
		g.metrics.Count("exchange_failures", 1)
		g.recordExchangeFailure(ctx, addr, now)
		return
	}
	g.mu.Lock()
	g.mergeEntryUpdate(received, now, g.now())
	storeUnavailable := g.storeUnavailable
	g.mu.Unlock()
	if isBehind(at, received.StorePosition, storeUnavailable) {
		g.catchUp(ctx, addr)
	}
	g.handOn(ctx, addr, received)
}

// recordExchangeFailure records that an entry did not answer an exchange that began at startedAt, unless
// this process was paused or stops.
func (g *Gateway) recordExchangeFailure(ctx context.Context, addr string, startedAt time.Time) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() == nil && !g.pauseDetector.PausedSince(startedAt, now) {
		g.entryList.RecordFailure(addr, now)
	}
}

// divideBudgets divides the allowance of retries by the number of entries. The number doesn't
// decrease, because entries that are out of reach may still retry; one that restarts in a partition
// learns it from daemons that did not. mu must be held.
func (g *Gateway) divideBudgets(now time.Time) {
	g.maxEntries = max(g.maxEntries, len(g.entryList.Live(now))+1)
	g.budgets.SetParts(max(minBudgetEntries, g.maxEntries), now)
}

// isBehind reports whether another entry's copy is read because it is ahead of this one's.
func isBehind(own, other mirror.Position, storeUnavailable bool) bool {
	if storeUnavailable || own.Era != other.Era {
		return own.Before(other)
	}
	return other.Revision > own.Revision+maxRevisionLag
}

// handOn sends the states from before a restoration of the store to an entry that has an
// older configuration because it started since then.
func (g *Gateway) handOn(ctx context.Context, addr string, received peer.ExchangeMessage) {
	g.mu.Lock()
	retained := g.retainedFor(received)
	if len(retained) == 0 {
		g.mu.Unlock()
		return
	}
	update := g.entryUpdate(g.now())
	update.Retained = retained
	g.mu.Unlock()
	if _, err := g.pool.Exchange(ctx, addr, update); err != nil {
		g.metrics.Count("exchange_failures", 1)
	}
}

// retainedFor returns the retained states if the sender of a message has an older
// configuration, or may lack states of targets because it has started since the restoration. mu
// must be held.
func (g *Gateway) retainedFor(received peer.ExchangeMessage) []mirror.Event {
	if received.StorePosition.Era == 0 || received.StorePosition.Era != g.mirror.Position().Era {
		return nil
	}
	if received.ConfigVersion < g.configVersion() || g.mirror.HasTimedRetentions() {
		return g.mirror.Retained()
	}
	return nil
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (g *Gateway) configVersion() uint64 {
	if d := g.doc.Load(); d != nil {
		return d.Version
	}
	return 0
}

// maxRevisionLag is how many revisions another entry may be ahead before its copy is read.
// This entry's own watch usually returns the same changes shortly afterwards.
const maxRevisionLag = 3

// catchUp applies the changes that the entry at addr has read.
func (g *Gateway) catchUp(ctx context.Context, addr string) {
	g.mu.Lock()
	at := g.mirror.Position()
	g.mu.Unlock()
	startedAt := g.now()
	err := g.pool.FollowWithReads(ctx, addr, at, followHeartbeatInterval, catchUpTimeout, func(update peer.StoreChanges) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		asOf := g.currentAsOf(startedAt, update.Age)
		if !asOf.IsZero() {
			g.mergeReads(update.Reads, g.now())
		}
		if n := g.applyUpdate(update.Update, receipt{asOf: asOf, wasMissed: true}); n > 0 {
			g.metrics.Count("store_news_from_entries", int64(n))
		}
		if update.At.Era == g.mirror.Position().Era {
			g.recall(update.Retained)
		}
		return false
	})
	if err != nil {
		g.metrics.Count("exchange_failures", 1)
	}
}

// entryUpdate returns the message to another entry. mu must be held.
func (g *Gateway) entryUpdate(now time.Time) peer.ExchangeMessage {
	declared := map[fleet.Model][]upgrade.Age{}
	for m, d := range g.declared {
		declared[m] = d.Ages(upgrade.MaxAge, now)
	}
	crashes, proven := g.parts.Exchange(now)
	return peer.ExchangeMessage{
		Records: g.entryList.Records(now), Blamed: g.ledger.Exchange(now), StorePosition: g.mirror.Position(),
		ConfigVersion: g.configVersion(), MaxEntries: g.maxEntries, Declared: declared, Leaving: g.notices.Leaving(),
		Crashes: crashes, ProvenParts: proven, Reads: g.roster.Reads().Reports(now), Limits: g.limits.Limits(),
	}
}

// mergeEntryUpdate merges a message that another entry sent at sentAt or later. mu must be held.
func (g *Gateway) mergeEntryUpdate(update peer.ExchangeMessage, sentAt, now time.Time) {
	if update.StorePosition.Era == g.mirror.Position().Era {
		g.recall(update.Retained)
	}
	g.mergeLeaving(update.Leaving, now)
	g.mergeReads(update.Reads, now)
	g.entryList.Merge(update.Records, sentAt)
	g.maxEntries = max(g.maxEntries, update.MaxEntries)
	g.divideBudgets(now)
	g.mergeLimits(update.Limits, now)
	g.mergeCrashes(update.Blamed, update.Crashes, update.ProvenParts, now)
	for m, ages := range update.Declared {
		if g.declarationsOf(m).Merge(ages, now) {
			g.log.config.Info().Str("model", string(m)).Uint64("version", g.declared[m].Newest()).Msg("weights version declared, known from an entry")
		}
	}
}

// watchTargets maintains a load watch on the agent of each model's target in this entry's zone, and
// on those in zones from which no entry reports.
func (g *Gateway) watchTargets(ctx context.Context) {
	doc := g.doc.Load()
	if doc == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	zones := map[fleet.Zone]bool{}
	targets := g.modelTargets(doc)
	for _, t := range targets {
		if t.Zone != g.settings.Zone {
			zones[t.Zone] = true
		}
	}
	live := g.entryList.Live(now)
	g.watchZones(ctx, zones, live, now)
	toWatch := map[string]roster.Target{}
	for _, t := range targets {
		if z, ok := g.zones[t.Zone]; !ok || !z.isRelayed(now) {
			toWatch[t.Address] = t
		}
	}
	for addr, w := range g.loadWatches {
		if _, ok := toWatch[addr]; !ok {
			g.endLoadWatch(addr, w)
		}
	}
	sameZone, all := 1, 1
	for _, r := range live {
		all++
		if r.Zone == g.settings.Zone {
			sameZone++
		}
	}
	for addr, t := range toWatch {
		period := max(otherZoneLoadPeriod, time.Duration(all)*otherZonePeriodPerEntry)
		if t.Zone == g.settings.Zone {
			period = max(sameZoneLoadPeriod, time.Duration(sameZone)*sameZonePeriodPerEntry)
		}
		g.watchLoad(ctx, addr, period)
	}
}

// modelTargets returns the usable targets of the services that have engines. mu must be held.
func (g *Gateway) modelTargets(doc *routeconfig.Document) []roster.Target {
	var out []roster.Target
	for _, s := range doc.Services() {
		if s.Engine != nil {
			out = append(out, g.roster.Usable(s.Name)...)
		}
	}
	return out
}

// endLoadWatch ends the load watch of an agent. mu must be held.
func (g *Gateway) endLoadWatch(addr string, w *loadWatch) {
	w.cancel()
	delete(g.loadWatches, addr)
	g.pool.Release(g.settings.AgentAddress(addr))
	t, ok := w.listedTarget()
	if z, relayed := g.zones[t.Zone]; ok && (!relayed || !z.isRelayed(g.now())) {
		delete(g.loads, t.ID)
	}
}

// watchLoad starts a load watch of the target at an address, unless one with about the same
// period runs. mu must be held.
func (g *Gateway) watchLoad(ctx context.Context, addr string, period time.Duration) {
	old, ok := g.loadWatches[addr]
	if ok && !needsNewPeriod(old.period, period) {
		return
	}
	if ok {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &loadWatch{g: g, targetAddress: addr, period: period, cancel: cancel}
	g.loadWatches[addr] = w
	if ok {
		w.hasReported, w.reportedAt, w.peak = old.hasReported, old.reportedAt, old.peak
		if t, listed := w.listedTarget(); listed {
			g.refreshEngine(t, g.now()) // the interval between reports has changed
		}
	}
	go w.run(ctx)
}

// needsNewPeriod reports whether a watch has to be restarted with another period, which is
// the case if the periods differ by more than half of the shorter one. The list of entries is
// short at the start and changes slightly all the time.
func needsNewPeriod(old, period time.Duration) bool { return 2*period > 3*old || 3*period < 2*old }

// loadWatch follows the load of the target at one address.
type loadWatch struct {
	g             *Gateway
	targetAddress string
	period        time.Duration
	cancel        context.CancelFunc
	hasReported   bool      // guarded by the gateway's mu
	reportedAt    time.Time // guarded by the gateway's mu
	peak          loadbalance.Peak
}

// run restarts the watch whenever the stream ends.
func (w *loadWatch) run(ctx context.Context) {
	addr := w.g.settings.AgentAddress(w.targetAddress)
	for ctx.Err() == nil {
		// The error only concerns the connection. Requests show whether the target works.
		_ = w.g.pool.WatchLoad(ctx, addr, w.period, w.period+loadWatchTimeoutSlack, w.handleLoad)
		if ctx.Err() == nil {
			w.clearLoad() // not if another watch has replaced this one
		}
		daemon.Sleep(ctx, w.g.jitter(loadWatchRetryDelay))
	}
}

// listedTarget returns the target listed at the watch's address. mu must be held.
func (w *loadWatch) listedTarget() (roster.Target, bool) { return w.g.roster.At(w.targetAddress) }

func (w *loadWatch) handleLoad(l peer.TargetLoad) {
	g := w.g
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w.hasReported, w.reportedAt = true, now
	t, ok := w.listedTarget()
	if !ok || !g.recordLoad(t, l, now) {
		return
	}
	w.peak.Record(l.Running+l.Queued, now)
	g.service(t.Service).balancer.RecordReport(t.ID, l.Running+l.Queued, 0, now)
	g.notifyWaiters(g.service(t.Service).queue.Tick(now))
}

// recordLoad applies what a report says of a target's state, and returns whether it is of the listed
// incarnation or a later one. The caller records the number of requests and ticks the queue of the
// target's service. mu must be held.
func (g *Gateway) recordLoad(t roster.Target, l peer.TargetLoad, now time.Time) bool {
	if l.Incarnation < t.Incarnation && l.Incarnation != 0 {
		return false
	}
	if l.Leaving && l.Incarnation != 0 {
		g.mergeLeaving([]notice.Target{{ID: t.ID, Incarnation: l.Incarnation}}, now)
	}
	old, known := g.loads[t.ID]
	l.Incarnation = max(l.Incarnation, t.Incarnation)
	g.loads[t.ID] = l
	if !known || old.Version != l.Version || old.Accepting != l.Accepting || old.Loadable != l.Loadable || old.Incarnation != l.Incarnation {
		g.log.members.Info().Str("target", string(t.ID)).Uint64("serving", l.Version).Uint64("loadable", l.Loadable).Bool("accepting", l.Accepting).Msg(trace.MessageTargetChanged)
		g.service(t.Service).balancer.SetEngine(t.ID, g.engineState(t, now))
		if t.Zone == g.settings.Zone {
			g.notifyZoneWatches()
		}
	}
	return true
}

// forgetLoad drops the last report on the target at an address. mu must be held.
func (g *Gateway) forgetLoad(addr string, now time.Time) {
	t, ok := g.roster.At(addr)
	if _, known := g.loads[t.ID]; !ok || !known {
		return
	}
	delete(g.loads, t.ID)
	g.refreshEngine(t, now)
	if t.Zone == g.settings.Zone {
		g.notifyZoneWatches()
	}
}

func (w *loadWatch) clearLoad() {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	w.g.forgetLoad(w.targetAddress, w.g.now())
}

var _ peer.MeshHandler = (*Gateway)(nil)
