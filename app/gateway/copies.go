package gateway

import (
	"context"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/mirror"
	"amaranthturn/io/peer"
)

// Exchange implements peer.MeshHandler.
func (g *Gateway) Exchange(n peer.EntryNews) peer.EntryNews {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hear(n, now)
	return g.news(now)
}

// Follow implements peer.MeshHandler.
func (g *Gateway) Follow(ctx context.Context, after mirror.Revision, beat time.Duration, send func(peer.StoreNews) error) error {
	for {
		g.mu.Lock()
		events, at, _ := g.mirror.Since(after)
		n := peer.StoreNews{Events: events, At: at, Age: g.now().Sub(g.mirror.CurrentAt()), Lost: g.storeLost}
		changed := g.changed
		g.mu.Unlock()
		if at > 0 {
			if err := send(n); err != nil {
				return err
			}
			after = at
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(max(beat, minBeat)):
		}
	}
}

// minBeat bounds how often a stream of store news says that nothing has changed.
const minBeat = 100 * time.Millisecond

// Timing of what is heard from the entry that reads the store.
const (
	// copyBeat is the longest silence of that entry.
	copyBeat = 300 * time.Millisecond
	// copySilence ends a stream that has fallen silent.
	copySilence = time.Second
	// ownReadAge is the age of the copy from which an entry reads the store itself: a
	// configuration has to be in force two seconds after its acknowledgement, whatever
	// happened to the entry that reads.
	ownReadAge = 1350 * time.Millisecond
	// turnEvery is how often an entry looks whether it is to read.
	turnEvery = 50 * time.Millisecond
)

// turn tells whether this entry reads the store now. mu is not held.
func (g *Gateway) turn() bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.knows || g.league.IsReader(now) || now.Sub(g.mirror.CurrentAt()) > ownReadAge
}

// copier follows the entry that reads the store, when this one does not.
type copier struct{ g *Gateway }

// Run implements node.Runner.
func (c *copier) Run(ctx context.Context) {
	g := c.g
	for node.Sleep(ctx, turnEvery) {
		now := g.now()
		g.mu.Lock()
		addr, ok := g.league.Reader(g.random.Float64(), now)
		reads := !g.knows || g.league.IsReader(now)
		g.mu.Unlock()
		if ok && !reads {
			c.follow(ctx, addr)
		}
	}
}

func (c *copier) follow(ctx context.Context, addr string) {
	g := c.g
	g.mu.Lock()
	at := g.mirror.Revision()
	g.mu.Unlock()
	err := g.pool.Follow(ctx, addr, at, copyBeat, copySilence, g.followed)
	g.metrics.Count("store_streams_ended", 1)
	g.log.config.Debug().Str("entry", addr).Err(err).Msg("stream of store news ended")
}

// followed takes news from the entry that reads the store, and tells whether to go on
// following it.
func (g *Gateway) followed(n peer.StoreNews) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	// Before the events: entries that lapsed while the store was away come with them.
	switch {
	case n.Lost:
		g.noteReach(errCopyLost)
	case n.Age < ownReadAge:
		g.noteReach(nil)
	}
	g.apply(n.Events, n.At, now.Add(-n.Age))
	return !n.Lost && !g.league.IsReader(now)
}
