package gateway

import (
	"context"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/mirror"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Exchange implements peer.MeshHandler.
func (g *Gateway) Exchange(update peer.ExchangeMessage) peer.ExchangeMessage {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observePause(now) // the message may have waited since before it
	g.mergeEntryUpdate(update, now, now)
	reply := g.entryUpdate(now)
	reply.Retained = g.retainedFor(update)
	return reply
}

// Follow implements peer.MeshHandler.
func (g *Gateway) Follow(ctx context.Context, after mirror.Position, heartbeat time.Duration, send func(peer.StoreChanges) error) error {
	isFirst := true
	recalls := 0
	for {
		g.mu.Lock()
		update := peer.StoreChanges{Update: g.mirror.ChangesSince(after), Age: g.now().Sub(g.mirror.CurrentAt()), StoreUnavailable: g.storeUnavailable, Reads: g.roster.Reads().Reports(g.now()), WasMissed: after.Before(g.missedUntil)}
		if isFirst || update.Full || recalls != g.recalls {
			update.Retained, recalls = g.mirror.Retained(), g.recalls
		}
		changed := g.changed
		g.mu.Unlock()
		if update.At.Revision > 0 {
			after, isFirst = update.At, false
			if err := send(update); err != nil { // update is not used below: a follower that does not read holds no states
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(max(heartbeat, minHeartbeatInterval)):
		}
	}
}

// minHeartbeatInterval limits how often a stream of store updates reports that nothing has
// changed.
const minHeartbeatInterval = 100 * time.Millisecond

// Timing of updates from the entry that reads the store.
const (
	// followHeartbeatInterval is the maximum time between two messages of that entry.
	followHeartbeatInterval = 300 * time.Millisecond
	// followTimeout ends a stream that is stalled.
	followTimeout = time.Second
	// directReadAge is the age of the copy above which an entry reads the store itself. A
	// configuration has to be in force two seconds after its acknowledgement, even if the
	// entry that reads has failed.
	directReadAge = 1350 * time.Millisecond
	// readCheckInterval is how often an entry checks whether it has to read the store.
	readCheckInterval = 50 * time.Millisecond
)

// shouldReadStore reports whether this entry reads the store now. mu must not be held.
func (g *Gateway) shouldReadStore() bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.initialReadDone || g.entryList.IsReader(now) || now.Sub(g.mirror.CurrentAt()) > directReadAge || now.Before(g.readDirectlyUntil)
}

// nextWatchWait returns how long the next watch waits. An entry that does not read for
// others first checks whether it has missed changes. It uses a new connection, because the
// previous one may have stalled in the meantime. Then it watches until a copy is current again.
func (s *storeReader) nextWatchWait() time.Duration {
	g := s.g
	g.mu.Lock()
	now := g.now()
	watches := g.entryList.IsReader(now) || now.Before(g.readDirectlyUntil)
	g.mu.Unlock()
	if watches {
		return watchWait
	}
	g.store.Reconnect()
	return catchUpWatchWait
}

// readOn lets an entry that had to read the store itself watch it until a copy is current again. A
// read now and then would show neither changes in time nor that the store was there in between. mu
// must be held.
func (g *Gateway) readOn() {
	if now := g.now(); !g.entryList.IsReader(now) {
		g.readDirectlyUntil = now.Add(directReadAge)
	}
}

// follower follows the copy of the entry that reads the store, if this entry does not read.
type follower struct{ g *Gateway }

// Run implements daemon.Runner.
func (f *follower) Run(ctx context.Context) {
	g := f.g
	for daemon.Sleep(ctx, readCheckInterval) {
		now := g.now()
		g.mu.Lock()
		addr, ok := g.entryList.Reader(g.random.Float64(), now)
		isReader := !g.initialReadDone || g.entryList.IsReader(now)
		g.mu.Unlock()
		if ok && !isReader {
			f.follow(ctx, addr)
		}
	}
}

func (f *follower) follow(ctx context.Context, addr string) {
	g := f.g
	g.mu.Lock()
	at := g.mirror.Position()
	g.mu.Unlock()
	awaitedSince, isFirst := g.now(), true
	err := g.pool.FollowWithReads(ctx, addr, at, followHeartbeatInterval, followTimeout, func(update peer.StoreChanges) bool {
		ok := g.handleStoreUpdate(update, awaitedSince, isFirst)
		awaitedSince, isFirst = g.now(), false
		return ok
	})
	g.metrics.Count("store_streams_ended", 1)
	g.log.config.Debug().Str("entry", addr).Err(err).Msg("stream of store updates ended")
}

// handleStoreUpdate applies an update from the entry that reads the store, and reports
// whether to continue following it. After a pause the messages in the stream's buffer are of
// unknown age, so a new stream is needed. The first message of a stream has what was written since
// this entry's copy was current.
func (g *Gateway) handleStoreUpdate(update peer.StoreChanges, awaitedSince time.Time, isFirst bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if update.At.Era < g.mirror.Position().Era {
		g.metrics.Count("store_updates_of_earlier_era", 1)
		return false
	}
	// Recorded before the events, which include the items that expired while the store was
	// unavailable.
	switch {
	case update.StoreUnavailable && now.Before(g.readDirectlyUntil): // this entry reaches it
	case update.StoreUnavailable:
		g.recordStoreResultLocked(errReaderLostStore)
	case update.Age < directReadAge:
		g.recordStoreResultLocked(nil)
		g.readDirectlyUntil = time.Time{}
	}
	asOf := g.currentAsOf(awaitedSince, update.Age)
	if !asOf.IsZero() {
		g.mergeReads(update.Reads, now)
	}
	g.applyUpdate(update.Update, receipt{asOf: asOf, wasMissed: isFirst || update.WasMissed})
	g.recall(update.Retained)
	return !update.StoreUnavailable && !asOf.IsZero() && !g.entryList.IsReader(now)
}

// recall applies states that another daemon retains from before a restoration of the store.
// mu must be held.
func (g *Gateway) recall(events []mirror.Event) {
	now := g.now()
	recalled := g.mirror.Recall(events, now)
	if len(recalled) == 0 {
		return
	}
	g.recalls++
	g.log.config.Info().Int("items", len(recalled)).Msg("states from before the store's restoration are known from another daemon")
	for _, e := range recalled {
		if id, ok := platform.RemovedTarget(e); ok {
			g.roster.Drop(id) // it has left, its record has not expired
		}
	}
	g.handleChanges(recalled, receipt{previous: g.mirror.CurrentAt(), asOf: now})
	g.refreshBalancers(now)
	g.notifyFollowers()
}
