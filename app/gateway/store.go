package gateway

import (
	"context"
	"errors"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/fleet"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/core/trace"
	"amaranthturn/platform"
)

// Timing of reads of the store.
const (
	// watchWait is how long a watch waits for a change. Each watch costs a call; but a watch
	// may fall silent without an end, and a configuration has to be in force two seconds
	// after its acknowledgement.
	watchWait = time.Second
	// lookWait is the wait of an entry that another one reads for.
	lookWait = 100 * time.Millisecond
	// watchSlack is what a watch may take beyond its wait.
	watchSlack = 400 * time.Millisecond
	// rangeTimeout bounds the first read.
	rangeTimeout = 2 * time.Second
	// batchPause gathers changes that come shortly after one another into one call.
	batchPause = 150 * time.Millisecond
	// storeRetry and storeRetryMax bound the wait between failed reads.
	storeRetry    = 100 * time.Millisecond
	storeRetryMax = 800 * time.Millisecond
)

// storeReader follows the platform's store.
type storeReader struct {
	g       *Gateway
	wait    time.Duration
	changed bool // the last call brought changes
}

// Run implements node.Runner.
func (s *storeReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.g.turn() {
			node.Sleep(ctx, turnEvery)
			continue
		}
		err := s.read(ctx)
		if ctx.Err() != nil {
			return
		}
		s.g.reached(err)
		if err == nil {
			s.wait = 0
			if s.changed {
				node.Sleep(ctx, batchPause)
			}
			continue
		}
		s.wait = min(max(storeRetry, 2*s.wait), storeRetryMax)
		node.Sleep(ctx, s.g.spread(s.wait))
	}
}

// read makes one call and takes what it brought.
func (s *storeReader) read(ctx context.Context) error {
	g := s.g
	g.mu.Lock()
	at := g.mirror.Revision()
	g.mu.Unlock()
	if at == 0 {
		return s.readAll(ctx)
	}
	wait := s.patience()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	g.metrics.Count("store_calls", 1)
	events, now, err := g.store.Watch(ctx, at, wait)
	var se *platform.StoreError
	if errors.As(err, &se) && se.Compacted() {
		g.log.config.Warn().Uint64("revision", uint64(at)).Msg("store forgot its history: reading everything anew")
		return s.readAll(ctx)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.changed = g.apply(events, now, g.now()) > 0
	if !s.changed {
		g.tellFollowers() // that the copy is current
	}
	return nil
}

// patience returns how long the next watch waits. An entry that does not read for others
// only looks whether it has missed anything, over a connection that is new: its last one
// may have gone silent in the meantime.
func (s *storeReader) patience() time.Duration {
	g := s.g
	g.mu.Lock()
	reads := g.league.IsReader(g.now())
	g.mu.Unlock()
	if reads {
		return watchWait
	}
	g.store.Reconnect()
	return lookWait
}

func (s *storeReader) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	g := s.g
	g.mu.Lock()
	current := g.mirror.CurrentAt()
	g.mu.Unlock()
	var first mirror.Revision
	for _, prefix := range platform.KeyPrefixes {
		g.metrics.Count("store_calls", 1)
		items, at, err := g.store.Range(ctx, prefix)
		if err != nil {
			return err
		}
		// The watch goes on from the earliest read, so that no change between two reads
		// is missed.
		if first == 0 || at < first {
			first = at
		}
		g.mu.Lock()
		g.take(g.mirror.Load(prefix, items, first, g.now()), current)
		g.mu.Unlock()
	}
	g.mu.Lock()
	g.knows = true
	g.mu.Unlock()
	return nil
}

// reached notes whether the store answers.
func (g *Gateway) reached(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteReach(err)
}

// errCopyLost stands for the store being out of reach of the entry that reads it.
var errCopyLost = errors.New("the entry that reads the store does not reach it")

// noteReach notes whether the store answers this entry or the one that reads for it. mu is
// held.
func (g *Gateway) noteReach(err error) {
	now := g.now()
	switch {
	case err != nil && !g.storeLost:
		g.log.config.Warn().Err(err).Msg(trace.MessageStoreUnavailable)
		g.roster.StoreUnavailable()
	case err == nil && g.storeLost:
		g.log.config.Info().Uint64("revision", uint64(g.mirror.Revision())).Msg("store answers again")
		g.roster.StoreRecovered(now)
	}
	g.storeLost = err != nil
	if err != nil {
		g.metrics.Count("store_failures", 1)
	}
}

// spread returns a wait drawn around d.
func (g *Gateway) spread(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d/2 + time.Duration(g.random.Float64()*float64(d))
}

// apply takes news of the store up to a revision, current at seen, and returns how many
// changes they held. mu is held.
func (g *Gateway) apply(events []mirror.Event, at mirror.Revision, seen time.Time) int {
	current := g.mirror.CurrentAt()
	changes := g.mirror.Apply(events, at, seen)
	g.take(changes, current)
	return len(changes)
}

// take acts on changes of a mirror that was current before them at a time. mu is held.
func (g *Gateway) take(events []mirror.Event, current time.Time) {
	now := g.now()
	targets := false
	for _, e := range events {
		c, err := platform.Decode(e)
		if err != nil {
			g.log.members.Warn().Err(err).Uint64("revision", uint64(e.Revision)).Msg("entry of the store is not usable")
		}
		switch {
		case c.Document != nil:
			old := g.doc.Load()
			if old != nil && old.Version >= c.Document.Version {
				continue
			}
			g.doc.Store(c.Document)
			g.metrics.Gauge("config_version", float64(c.Document.Version))
			g.log.config.Info().Uint64("version", c.Document.Version).Uint64("revision", uint64(e.Revision)).
				Int("routes", c.Document.Routes()).Msg(trace.MessageConfiguration)
			targets = true
		case c.Declared != nil:
			n, ok := g.named[c.Declared.Model]
			if !ok {
				n = &naming{}
				g.named[c.Declared.Model] = n
			}
			if n.Add(c.Declared.Version, g.namedSince(current, now)) {
				g.log.config.Info().Str("model", string(c.Declared.Model)).Uint64("version", c.Declared.Version).Msg("weights are named")
			}
			targets = true
		case c.Target != nil:
			g.heard(*c.Target)
			targets = true
		case c.RemovedTarget != "":
			g.log.members.Info().Str("target", string(c.RemovedTarget)).Bool("at_once", g.roster.Remove(c.RemovedTarget, now)).Msg(trace.MessageTargetRemoved)
			targets = true
		}
	}
	if targets {
		g.refreshBoards(now)
	}
	if len(events) > 0 {
		g.tellFollowers()
	}
}

// tellFollowers wakes the streams of store news. mu is held.
func (g *Gateway) tellFollowers() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// namedSince returns from when on the time of a version counts that is heard of now by a
// copy that was last current before. One that was named before this process started may be
// old: older weights are used only while a process that has just started is not held to
// the limit. News may be late after a watch or a stream that fell silent; how late at most
// is bounded, as an entry then reads the store itself.
func (g *Gateway) namedSince(current, now time.Time) time.Time {
	switch {
	case !g.knows:
		return now.Add(g.set.Bounds.StablePeriod - g.set.Bounds.VersionChangeLimit)
	case now.Sub(current) <= watchWait:
		return now
	}
	return later(current, now.Add(-ownReadAge))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (g *Gateway) heard(t roster.Target) {
	old, ok := g.roster.Get(t.ID)
	if !ok || old.State != t.State || old.Incarnation != t.Incarnation {
		g.log.members.Info().Str("target", string(t.ID)).Str("service", string(t.Service)).Str("address", t.Address).
			Str("state", t.State.String()).Uint64("born", uint64(t.Incarnation)).Msg(trace.MessageTarget)
	}
	g.roster.Update(t)
}

// refreshBoards tells the boards which targets there are. mu is held.
func (g *Gateway) refreshBoards(now time.Time) {
	doc := g.doc.Load()
	if doc == nil {
		return
	}
	bySvc := map[fleet.Service][]loadbalance.Target{}
	place, entries := g.league.Position(now)
	for _, svc := range doc.Services() {
		usable := g.roster.Usable(svc.Name)
		near, at := 0, 0
		for _, t := range usable {
			if t.Zone == g.set.Zone {
				near++
			}
		}
		for _, t := range usable {
			row := loadbalance.Target{ID: t.ID, Born: t.Incarnation, Slots: max(1, t.Slots), SameZone: t.Zone == g.set.Zone}
			if svc.Engine != nil {
				row.Closed = !g.serves(t, now)
				row.Home = row.SameZone && loadbalance.IsHome(place, entries, at, near)
			}
			if row.SameZone {
				at++
			}
			bySvc[t.Service] = append(bySvc[t.Service], row)
		}
	}
	for name, s := range g.services {
		if _, ok := bySvc[name]; !ok {
			s.board.SetTargets(nil)
		}
	}
	for name, rows := range bySvc {
		s := g.service(name)
		s.board.SetTargets(rows)
		g.wake(s.queue.Tick(now))
	}
}

// versionMargin is kept from the time in which a new version has to be in use, for the
// way of the news and of the request.
const versionMargin = 500 * time.Millisecond

// oldWeightsTime is how long after a naming older weights may answer.
func (g *Gateway) oldWeightsTime() time.Duration {
	return g.set.Bounds.VersionChangeLimit - versionMargin
}

// beginMargin is kept from the time at which older weights may not begin an answer, for
// the way of the end of a request.
const beginMargin = 250 * time.Millisecond

// oldSoon returns after which time a target's weights are too old to begin an answer.
func (g *Gateway) oldSoon(t roster.Target) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.holds(t) {
		if n, ok := g.named[h.Model]; ok {
			if at, ok := n.ServeDeadline(h.Version, g.set.Bounds.VersionChangeLimit-beginMargin); ok {
				return at.Sub(g.now()), true
			}
		}
	}
	return 0, false
}

// holds returns what a target serves, by its process's word or else its entry. mu is held.
func (g *Gateway) holds(t roster.Target) []roster.LoadedVersion {
	if r, ok := g.loads[t.ID]; ok && r.Born == t.Incarnation {
		return []roster.LoadedVersion{{Model: r.Model, Version: r.Version}}
	}
	return t.Loaded
}

// serves tells whether a model's target may get requests: it has loaded weights, and not
// older ones than the time for a change allows. mu is held.
func (g *Gateway) serves(t roster.Target, now time.Time) bool {
	if r, ok := g.loads[t.ID]; ok && r.Born == t.Incarnation && !r.Accepting {
		return false
	}
	for _, h := range g.holds(t) {
		if h.Version == 0 {
			continue
		}
		n, ok := g.named[h.Model]
		if !ok || h.Version >= n.MinVersion(g.oldWeightsTime(), now) {
			return true
		}
	}
	return false
}
