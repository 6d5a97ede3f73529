package sidecar

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
	"amaranthturn/core/rank"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Timing of the engine's loop.
const (
	// reportEvery is how often the engine is asked; the answer is fresh and free here.
	reportEvery = 100 * time.Millisecond
	// callTimeout bounds a call to the engine on the same machine.
	callTimeout = time.Second
	// pauseLimit is the gap between two looks from which the process counts as paused.
	pauseLimit = 2 * time.Second
)

// driver asks the engine, tells the entries, and orders loads.
type driver struct {
	s     *Sidecar
	pause *clock.PauseDetector
}

// Run implements node.Runner.
func (d *driver) Run(ctx context.Context) {
	for node.Sleep(ctx, reportEvery) {
		if d.pause.Observe(d.s.now()) {
			d.s.log.process.Warn().Msg(trace.MessageAgentPaused)
		}
		d.ask(ctx)
		d.drive(ctx)
	}
}

func (d *driver) ask(ctx context.Context) {
	s := d.s
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := s.engine.Report(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	up := err == nil
	if up != s.up {
		s.log.engine.Info().Bool("up", up).AnErr("error", err).Msg(trace.MessageEngine)
	}
	if up && s.report.Born != r.Born {
		s.log.engine.Info().Uint64("born", uint64(r.Born)).Uint64("before", uint64(s.report.Born)).Msg("engine started")
	}
	if up != s.up || !sameReport(s.report, r) {
		close(s.load)
		s.load = make(chan struct{})
	}
	s.up, s.report = up, r
}

func sameReport(a, b platform.Report) bool {
	return a.Running == b.Running && a.Queued == b.Queued && a.Busy == b.Busy && a.Born == b.Born && slices.Equal(a.Held, b.Held)
}

// drive orders a load when it is this engine's turn.
func (d *driver) drive(ctx context.Context) {
	s := d.s
	now := s.now()
	s.mu.Lock()
	m, e, ok := s.model()
	if !ok || !s.up {
		s.mu.Unlock()
		return
	}
	serving := s.serving(m.Name, e)
	held := s.newestWhole()
	in := upgrade.Input{Serving: serving, Busy: s.report.Busy, Staged: held != nil, DeclaredAt: s.namings(m.Name).NewerDeclaredAt(serving), Schedule: s.schedule(e)}
	if held != nil && held.version > serving {
		in.Wanted, in.Position = held.version, s.places(s.group(), held.version)[s.set.TargetAddress]
	}
	orders := s.report.CommandSequence
	s.mu.Unlock()
	if upgrade.Decide(in, now) != upgrade.ActionLoad {
		return
	}
	if !d.verifyStaged(ctx, m.Name, held) {
		return
	}
	d.order(ctx, m.Name, held.version, orders)
}

func (d *driver) order(ctx context.Context, m fleet.Model, version, orders uint64) {
	s := d.s
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.engine.Load(ctx, m, version, orders)
	s.metrics.Count("engine_orders", 1)
	ev := s.log.engine.Info()
	if err != nil {
		ev = s.log.engine.Warn().Err(err)
	}
	ev.Str("model", string(m)).Uint64("version", version).Uint64("after_orders", orders).Msg("load ordered")
	if errors.Is(err, platform.ErrConflict) {
		node.Sleep(ctx, reportEvery) // the next look shows the state that it did not fit
	}
}

// verifyStaged reads every staged piece again right before the order, since pieces may
// turn bad where they lie, and stages those anew that did.
func (d *driver) verifyStaged(ctx context.Context, m fleet.Model, w *weights) bool {
	ok, replaced := true, 0
	for i := range w.manifest.Chunks {
		data, err := d.s.engine.StagedChunk(ctx, m, i)
		if err == nil && w.manifest.Verify(i, data) {
			continue
		}
		replaced++
		if err := d.s.engine.StageChunk(ctx, m, i, w.piece(i)); err != nil {
			d.s.log.weights.Warn().Int("piece", i).Err(err).Msg("piece cannot be staged")
			ok = false
		}
	}
	d.s.log.weights.Info().Uint64("version", w.version).Int("replaced", replaced).Bool("whole", ok).Msg("staged pieces are verified")
	return ok
}

// newestWhole returns the newest version that is whole, nil when none is. mu is held.
func (s *Sidecar) newestWhole() *weights {
	var best *weights
	for _, w := range s.weights {
		if w.whole() && (best == nil || w.version > best.version) {
			best = w
		}
	}
	return best
}

// schedule returns how a change of version is spread. mu is held.
func (s *Sidecar) schedule(e *routeconfig.Engine) upgrade.Schedule {
	bytes := float64(e.Chunks) * float64(e.ChunkBytes)
	return upgrade.Schedule{
		Limit: s.set.Bounds.VersionChangeLimit, FetchTime: time.Duration(fetchSlack * bytes / s.set.LinkBytesPerSecond * float64(time.Second)),
	}
}

// fetchSlack is the time of a fetch in multiples of what the bare link needs; live
// streams have the rest of the link.
const fetchSlack = 1.2

// groupOrder returns a group in the order in which it changes to a version: by regions in
// turn, so that each region has one that begins. mu is held.
func (s *Sidecar) groupOrder(group []roster.Target, version uint64) []roster.Target {
	type ranked struct {
		roster.Target
		score uint64
	}
	byRegion := map[fleet.Region][]ranked{}
	key := strconv.FormatUint(version, 10)
	for _, t := range group {
		r := s.set.Regions[t.Zone]
		byRegion[r] = append(byRegion[r], ranked{t, rank.Score(key, t.Address)})
	}
	regions := slices.Sorted(maps.Keys(byRegion))
	for _, r := range regions {
		slices.SortFunc(byRegion[r], func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	}
	origin := s.originRegion()
	var out []roster.Target
	for {
		n := len(out)
		for _, r := range regions {
			take := 1
			if r == origin {
				take = originTurns
			}
			take = min(take, len(byRegion[r]))
			for _, t := range byRegion[r][:take] {
				out = append(out, t.Target)
			}
			byRegion[r] = byRegion[r][take:]
		}
		if len(out) == n {
			return out
		}
	}
}

// originTurns is how many agents of the origin's region come in each turn. They bring the
// pieces in, and one alone cannot use the origin's link up.
const originTurns = 2

// originRegion returns the region of the origin, empty when none is known. mu is held.
func (s *Sidecar) originRegion() fleet.Region {
	if s.doc == nil {
		return ""
	}
	o, ok := s.doc.Origin()
	if !ok {
		return ""
	}
	return s.set.Regions[o.Zone]
}

// places returns the position of each engine in the group's order, by its address. mu is
// held.
func (s *Sidecar) places(group []roster.Target, version uint64) map[string]upgrade.Position {
	order := s.groupOrder(group, version)
	out := make(map[string]upgrade.Position, len(order))
	for i, t := range order {
		out[t.Address] = upgrade.Position{Index: i, Count: len(order)}
	}
	return out
}

// WatchLoad implements peer.BesideHandler.
func (s *Sidecar) WatchLoad(ctx context.Context, period time.Duration, send func(peer.TargetLoad) error) error {
	var sent peer.TargetLoad
	var at time.Time
	for {
		now := s.now()
		s.mu.Lock()
		l := s.loadNow()
		changed := s.load
		s.mu.Unlock()
		if isDue(sent, l, now.Sub(at), period) {
			if err := send(l); err != nil {
				return err
			}
			sent, at = l, now
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(loadBeat):
		}
	}
}

// loadBeat is the longest time after which a load stream looks whether a message is due.
const loadBeat = time.Second

// isDue tells whether a listener that was told of a load some time ago is to be told of
// another: at once when the target serves other weights or stops taking requests, else
// after the period that the listener asked for.
func isDue(sent, l peer.TargetLoad, age, period time.Duration) bool {
	return age >= period || sent.Born != l.Born || sent.Accepting != l.Accepting || sent.Model != l.Model || sent.Version != l.Version
}

// loadNow returns the load for the entries. mu is held.
func (s *Sidecar) loadNow() peer.TargetLoad {
	r := s.report
	l := peer.TargetLoad{
		Born: r.Born, Running: r.Running, Queued: r.Queued, CacheUsed: r.CacheUsed, CacheTotal: r.CacheTotal, Pace: r.Pace,
	}
	if m, e, ok := s.model(); ok {
		l.Model, l.Version = m.Name, s.serving(m.Name, e)
	}
	l.Accepting = s.up && !r.Busy && l.Version != 0
	return l
}
