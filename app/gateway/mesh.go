package gateway

import (
	"context"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/roster"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
)

// Timing of the mesh.
const (
	// exchangeEvery is how often an entry tells one other of the entries that it knows.
	exchangeEvery = 500 * time.Millisecond
	// nearPeriod and farPeriod bound how often the load of a target is told: near targets
	// get most requests, and messages between regions are dear.
	nearPeriod = 150 * time.Millisecond
	farPeriod  = 500 * time.Millisecond
	// nearShare and farShare are the least part of those periods for each entry, so that a
	// target tells some thirty messages a second however many entries listen.
	nearShare = 40 * time.Millisecond
	farShare  = 80 * time.Millisecond
	// rewatchPause is the wait before a broken load watch is made anew.
	rewatchPause = 400 * time.Millisecond
	// catchUpTimeout bounds a look at what another entry has read.
	catchUpTimeout = 1500 * time.Millisecond
	// blamedRows is how many blamed requests one message names.
	blamedRows = 16
)

// mesher exchanges the list of entries, and what the store holds with entries that have
// read more.
type mesher struct{ g *Gateway }

// Run implements node.Runner.
func (m *mesher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.exchange(ctx)
		m.g.watchTargets(ctx)
		node.Sleep(ctx, m.g.spread(exchangeEvery))
	}
}

func (m *mesher) exchange(ctx context.Context) {
	g := m.g
	now := g.now()
	g.mu.Lock()
	addr, ok := g.league.NextPeer(g.seeds, g.random.Float64(), now)
	news := g.news(now)
	at := g.mirror.Revision()
	g.mu.Unlock()
	if !ok {
		return
	}
	got, err := g.pool.Exchange(ctx, addr, news)
	if err != nil {
		g.metrics.Count("exchange_failures", 1)
		return
	}
	g.mu.Lock()
	g.hear(got, g.now())
	entries := max(budgetEntries, len(g.league.Live(g.now()))+1)
	g.budget.SetBurst(max(1, g.set.Bounds.RetryExtra*budgetMargin/float64(entries)))
	lost := g.storeLost
	g.mu.Unlock()
	if got.At > at && lost || got.At > at+aheadSlack {
		g.catchUp(ctx, addr)
	}
}

// aheadSlack is how many revisions another entry may be ahead before its news are taken;
// the own watch brings them within moments.
const aheadSlack = 3

// catchUp takes what the entry at addr has read.
func (g *Gateway) catchUp(ctx context.Context, addr string) {
	g.mu.Lock()
	at := g.mirror.Revision()
	g.mu.Unlock()
	err := g.pool.Follow(ctx, addr, at, copyBeat, catchUpTimeout, func(n peer.StoreNews) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		if n := g.apply(n.Events, n.At, g.now().Add(-n.Age)); n > 0 {
			g.metrics.Count("store_news_from_entries", int64(n))
		}
		return false
	})
	if err != nil {
		g.metrics.Count("exchange_failures", 1)
	}
}

// news returns what to tell another entry. mu is held.
func (g *Gateway) news(now time.Time) peer.EntryNews {
	return peer.EntryNews{Rows: g.league.Records(now), Blamed: g.ledger.MostBlamed(blamedRows, now), At: g.mirror.Revision()}
}

// hear takes what another entry told. mu is held.
func (g *Gateway) hear(n peer.EntryNews, now time.Time) {
	g.league.Merge(n.Rows, now)
	g.ledger.Merge(n.Blamed, now)
}

// watchTargets keeps a load watch on the process beside each model's target.
func (g *Gateway) watchTargets(ctx context.Context) {
	doc := g.doc.Load()
	if doc == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := map[string]roster.Target{}
	for _, s := range doc.Services() {
		if s.Engine == nil {
			continue
		}
		for _, t := range g.roster.Usable(s.Name) {
			wanted[t.Address] = t
		}
	}
	for addr, w := range g.watching {
		if _, ok := wanted[addr]; !ok {
			w.cancel()
			delete(g.watching, addr)
			if t, ok := w.id(); ok {
				delete(g.loads, t.ID)
			}
		}
	}
	near, all := 1, 1
	for _, r := range g.league.Live(g.now()) {
		all++
		if r.Zone == g.set.Zone {
			near++
		}
	}
	for addr, t := range wanted {
		period := max(farPeriod, time.Duration(all)*farShare)
		if t.Zone == g.set.Zone {
			period = max(nearPeriod, time.Duration(near)*nearShare)
		}
		old, ok := g.watching[addr]
		if ok && !differs(old.period, period) {
			continue
		}
		if ok {
			old.cancel()
		}
		ctx, cancel := context.WithCancel(ctx)
		w := &loadWatch{g: g, target: addr, period: period, cancel: cancel}
		g.watching[addr] = w
		go w.run(ctx)
	}
}

// differs tells whether a watch is to be made anew for another period: the list of
// entries is short at the start and changes a little all the time.
func differs(old, period time.Duration) bool { return 2*period > 3*old || 3*period < 2*old }

// loadWatch follows the load of the target at one address.
type loadWatch struct {
	g      *Gateway
	target string
	period time.Duration
	cancel context.CancelFunc
}

// run watches anew whenever the stream ends.
func (w *loadWatch) run(ctx context.Context) {
	addr := w.g.set.AgentAddress(w.target)
	for ctx.Err() == nil {
		// The reason of the end is the connection's; requests show whether the target works.
		_ = w.g.pool.WatchLoad(ctx, addr, w.period, w.heard)
		if ctx.Err() == nil {
			w.forget() // and not for one that another watch replaces
		}
		node.Sleep(ctx, w.g.spread(rewatchPause))
	}
}

// id returns the target that is listed at the address. mu is held.
func (w *loadWatch) id() (roster.Target, bool) { return w.g.roster.At(w.target) }

func (w *loadWatch) heard(l peer.TargetLoad) {
	g := w.g
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := w.id()
	if !ok || l.Born != t.Incarnation && l.Born != 0 {
		return
	}
	old, had := g.loads[t.ID]
	l.Born = t.Incarnation
	g.loads[t.ID] = l
	if !had || old.Version != l.Version || old.Accepting != l.Accepting {
		g.log.members.Info().Str("target", string(t.ID)).Uint64("serving", l.Version).Bool("accepting", l.Accepting).Msg(trace.MessageTargetChanged)
		g.refreshBoards(now)
	}
	s := g.service(t.Service)
	s.board.RecordReport(t.ID, l.Running+l.Queued, now)
	g.wake(s.queue.Tick(now))
}

func (w *loadWatch) forget() {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	if t, ok := w.id(); ok {
		delete(w.g.loads, t.ID)
		w.g.refreshBoards(w.g.now())
	}
}

var _ peer.MeshHandler = (*Gateway)(nil)
