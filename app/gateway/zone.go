package gateway

import (
	"context"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/rank"
	"amaranthturn/core/roster"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
)

// An entry watches the agents of its own zone and learns the load of the targets in another zone
// from one entry there, its relay. So the connections and messages of an agent follow from the
// entries of its zone, and those of an entry from the targets of its zone and the number of zones.

// Timing of what entries tell each other about the targets of their zones.
const (
	// minZonePeriod and zonePeriodPerEntry are the minimum interval between two messages about a
	// zone, and its part for each entry of the system: messages between regions are expensive.
	minZonePeriod      = 500 * time.Millisecond
	zonePeriodPerEntry = 20 * time.Millisecond
	// zoneTimeoutSlack is how much longer than its interval a message may take.
	zoneTimeoutSlack = time.Second
	// zoneBatchDelay is the delay after a change, so that one message has all that follow shortly
	// after it.
	zoneBatchDelay = 20 * time.Millisecond
	// relayRetryDelay is how long a relay that failed is not used.
	relayRetryDelay = 5 * time.Second
	// directDelay is how long an entry waits for a relay before it watches the agents of another
	// zone itself. An entry that starts learns of the others shortly afterwards.
	directDelay = 1500 * time.Millisecond
	// zoneLoadHold is how long the last loads from a relay are used after it has failed.
	zoneLoadHold = 1500 * time.Millisecond
)

// WatchZone implements peer.MeshHandler.
func (g *Gateway) WatchZone(ctx context.Context, period time.Duration, send func([]peer.ZoneLoad) error) error {
	sent := map[string]time.Time{}
	for {
		g.mu.Lock()
		changed := g.zoneChanged
		loads := g.loadsSince(sent)
		g.mu.Unlock()
		if err := send(loads); err != nil {
			return err
		}
		t := time.NewTimer(max(period, minZonePeriod))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-changed:
			daemon.Sleep(ctx, zoneBatchDelay)
		}
		t.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// loadsSince returns the loads of the targets in this entry's zone that were reported since the
// times in sent, and updates these. mu must be held.
func (g *Gateway) loadsSince(sent map[string]time.Time) []peer.ZoneLoad {
	now := g.now()
	out := []peer.ZoneLoad{}
	known := make(map[string]bool, len(g.loadWatches))
	for addr, w := range g.loadWatches {
		t, ok := w.listedTarget()
		if !ok || t.Zone != g.settings.Zone {
			continue
		}
		l, ok := g.loads[t.ID]
		if !ok {
			continue
		}
		known[addr] = true
		if w.reportedAt.After(sent[addr]) {
			sent[addr] = w.reportedAt
			out = append(out, peer.ZoneLoad{Address: addr, Load: l, Age: now.Sub(w.reportedAt), Peak: w.peak.Value()})
		}
	}
	for addr := range sent {
		if !known[addr] {
			delete(sent, addr)
			out = append(out, peer.ZoneLoad{Address: addr, Unknown: true})
		}
	}
	return out
}

// notifyZoneWatches wakes the streams about this entry's zone. mu must be held.
func (g *Gateway) notifyZoneWatches() {
	close(g.zoneChanged)
	g.zoneChanged = make(chan struct{})
}

// zoneState is what this entry knows about another zone from its relay there.
type zoneState struct {
	zone     fleet.Zone
	roster   *roster.Roster
	watch    *zoneWatch
	loads    map[string]peer.TargetLoad // last reported, by address of the target
	reported map[string]time.Duration   // interval of the reports, by address of the target
	failedAt map[fleet.InstanceID]time.Time
	// lostAt is since when no relay reports, zero while one does.
	lostAt time.Time
}

// isRelayed reports whether the agents of the zone are not watched directly.
func (z *zoneState) isRelayed(now time.Time) bool {
	return z.watch != nil && z.watch.hasReported || now.Sub(z.lostAt) < directDelay
}

// watchZones maintains a stream from one of the live entries of each other zone that has targets. mu
// must be held.
func (g *Gateway) watchZones(ctx context.Context, zones map[fleet.Zone]bool, live []gossip.Record, now time.Time) {
	for zone, z := range g.zones {
		if !zones[zone] {
			z.stop()
			delete(g.zones, zone)
		}
	}
	period := max(minZonePeriod, time.Duration(len(live)+1)*zonePeriodPerEntry)
	for zone := range zones {
		z, ok := g.zones[zone]
		if !ok {
			z = &zoneState{zone: zone, roster: g.roster, loads: map[string]peer.TargetLoad{}, reported: map[string]time.Duration{}, failedAt: map[fleet.InstanceID]time.Time{}, lostAt: now}
			g.zones[zone] = z
		}
		relay, ok := z.chooseRelay(g.settings.Instance, live, now)
		switch {
		case !ok:
			z.stop()
		case z.watch == nil || z.watch.relay.Instance != relay.Instance || z.watch.relay.Incarnation != relay.Incarnation || needsNewPeriod(z.watch.period, period):
			z.stop()
			wctx, cancel := context.WithCancel(ctx)
			z.watch = &zoneWatch{g: g, zone: zone, relay: relay, period: period, cancel: cancel}
			go z.watch.run(wctx)
		}
		g.checkRelay(z, now)
	}
}

// checkRelay forgets the loads from a relay that has failed if none has replaced it. mu must be
// held.
func (g *Gateway) checkRelay(z *zoneState, now time.Time) {
	if z.watch != nil && z.watch.hasReported {
		return
	}
	if z.lostAt.IsZero() {
		z.lostAt = now
	}
	if now.Sub(z.lostAt) >= zoneLoadHold {
		for addr := range z.loads {
			if w, ok := g.loadWatches[addr]; !ok || !w.hasReported {
				g.forgetLoad(addr, now)
			}
		}
		clear(z.loads)
	}
}

// pauseZones drops what the relays have reported, after a pause of this process. mu must be held.
func (g *Gateway) pauseZones(now time.Time) {
	for _, z := range g.zones {
		z.stop()
		clear(z.loads)
		z.lostAt = now
	}
}

// chooseRelay returns the entry that reports the loads of a zone: the one in use as long as it
// lives, and else one that the entries of the system choose evenly.
func (z *zoneState) chooseRelay(self fleet.InstanceID, live []gossip.Record, now time.Time) (gossip.Record, bool) {
	candidates := map[fleet.InstanceID]gossip.Record{}
	var ids []fleet.InstanceID
	for _, r := range live {
		failedAt, failed := z.failedAt[r.Instance]
		if r.Zone != z.zone || failed && now.Sub(failedAt) < relayRetryDelay {
			continue
		}
		candidates[r.Instance] = r
		ids = append(ids, r.Instance)
	}
	if z.watch != nil {
		if r, ok := candidates[z.watch.relay.Instance]; ok {
			return r, true
		}
	}
	if len(ids) == 0 {
		return gossip.Record{}, false
	}
	return candidates[rank.Top(string(self), ids, 1)[0]], true
}

// stop ends the stream if there is one.
func (z *zoneState) stop() {
	if z.watch != nil {
		z.watch.cancel()
		z.watch = nil
	}
}

// zoneWatch follows the loads of the targets in a zone at one entry there.
type zoneWatch struct {
	g           *Gateway
	zone        fleet.Zone
	relay       gossip.Record
	period      time.Duration
	cancel      context.CancelFunc
	hasReported bool // guarded by the gateway's mu
}

// run follows the relay until the stream ends.
func (w *zoneWatch) run(ctx context.Context) {
	g := w.g
	err := g.pool.WatchZone(ctx, w.relay.Address, w.period, w.period+zoneTimeoutSlack, w.handleLoads)
	if ctx.Err() != nil {
		return // stopped by this entry
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	z, ok := g.zones[w.zone]
	if !ok || z.watch != w {
		return // replaced
	}
	w.cancel()
	z.watch = nil
	z.failedAt[w.relay.Instance] = g.now()
	if w.hasReported {
		z.lostAt = g.now()
	}
	g.metrics.Count("relays_lost", 1)
	g.log.members.Info().Str("zone", string(w.zone)).Str("entry", string(w.relay.Instance)).Err(err).Msg(trace.MessageRelayLost)
	g.requestExchange()
}

// handleLoads applies a message from the relay.
func (w *zoneWatch) handleLoads(loads []peer.ZoneLoad) {
	g := w.g
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	z, ok := g.zones[w.zone]
	if !ok || z.watch != w {
		return // replaced
	}
	if !w.hasReported { // the first message is complete
		w.hasReported, z.lostAt = true, time.Time{}
		g.log.members.Info().Str("zone", string(w.zone)).Str("entry", string(w.relay.Instance)).Int("targets", len(loads)).Dur("period", w.period).
			Msg(trace.MessageRelayReports)
		loads = append(loads, z.missingFrom(loads)...)
	}
	services := map[fleet.Service]bool{}
	for _, l := range loads {
		if l.Unknown {
			delete(z.loads, l.Address)
			g.forgetLoad(l.Address, now)
			continue
		}
		z.loads[l.Address], z.reported[l.Address] = l.Load, w.period
		if t, ok := z.listedTarget(l.Address); ok && g.recordLoad(t, l.Load, now) {
			g.service(t.Service).balancer.RecordReport(t.ID, l.Peak, l.Age, now)
			services[t.Service] = true
		}
	}
	g.applyLateLoads(z, now)
	for name := range services {
		g.notifyWaiters(g.service(name).queue.Tick(now))
	}
}

// applyLateLoads applies the loads of targets that this entry has learned of after their report. mu
// must be held.
func (g *Gateway) applyLateLoads(z *zoneState, now time.Time) {
	for addr, l := range z.loads {
		t, ok := z.listedTarget(addr)
		if old, known := g.loads[t.ID]; ok && (!known || old.Incarnation < t.Incarnation) {
			g.recordLoad(t, l, now)
		}
	}
}

// listedTarget returns the target that is listed at an address of the zone.
func (z *zoneState) listedTarget(addr string) (roster.Target, bool) {
	t, ok := z.roster.At(addr)
	return t, ok && t.Zone == z.zone
}

// missingFrom returns the targets that the previous relay has reported and that the first message
// of another one lacks.
func (z *zoneState) missingFrom(loads []peer.ZoneLoad) []peer.ZoneLoad {
	listed := map[string]bool{}
	for _, l := range loads {
		listed[l.Address] = true
	}
	var out []peer.ZoneLoad
	for addr := range z.loads {
		if !listed[addr] {
			out = append(out, peer.ZoneLoad{Address: addr, Unknown: true})
		}
	}
	return out
}
