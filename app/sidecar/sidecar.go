// Package sidecar is the agent daemon on a platform whose engines speak HTTP: the one
// process beside a model's target. It fetches the named weights from other agents and the
// origin, verifies and stages them, orders the engine to load them, and tells the entries
// how loaded the engine is. Requests do not pass through it.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings), sidecar.Module)
//
// # Locks
//
// mu guards the view and the weights at hand. It is not held while anything is sent.
package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Sidecar is one agent daemon.
type Sidecar struct {
	set     *platform.Settings
	clock   clock.Clock
	metrics *telemetry.Metrics
	pool    *peer.Pool
	engine  *platform.Engine
	origin  *platform.Origin
	store   *platform.Store
	log     logs

	mu      sync.Mutex // guards all below
	seeds   []string
	random  *rand.Rand
	mirror  *mirror.Mirror
	roster  *roster.Roster
	league  *gossip.List
	doc     *routeconfig.Document
	named   map[fleet.Model]*upgrade.Declarations
	report  platform.Report
	up      bool                // the engine answered the last question
	load    chan struct{}       // closed and replaced when the report changes
	weights map[uint64]*weights // by version
	uploads peer.Slots
}

type logs struct {
	config, members, weights, engine, process zerolog.Logger
}

// uploadSlots bounds the chunks that are sent at once, so that the events of live streams
// on the same link wait for few of them.
const uploadSlots = 1

// New returns a daemon that does nothing until its loops run.
func New(set *platform.Settings, c clock.Clock, l *telemetry.Logs, m *telemetry.Metrics, pool *peer.Pool, e *platform.Engine, o *platform.Origin, st *platform.Store, seed uint64) *Sidecar {
	return &Sidecar{
		set: set, clock: c, metrics: m, pool: pool, engine: e, origin: o, store: st,
		log: logs{
			config: l.Of(telemetry.SubsystemConfig), members: l.Of(telemetry.SubsystemMembers), weights: l.Of(telemetry.SubsystemWeights),
			engine: l.Of(telemetry.SubsystemEngine), process: l.Of(telemetry.SubsystemProcess),
		},
		seeds: set.Seeds, random: rand.New(rand.NewPCG(seed, uint64(c.Now().UnixNano()))), mirror: mirror.New(), roster: roster.New(roster.DefaultSettings),
		// The list holds entries; this process is none and tells nobody of itself.
		league: gossip.New(gossip.DefaultSettings, gossip.Record{Region: set.Region}), named: map[fleet.Model]*upgrade.Declarations{},
		load: make(chan struct{}), weights: map[uint64]*weights{}, uploads: peer.NewSlots(uploadSlots),
	}
}

// Reload takes the settings that may change while the daemon runs: the seeds. Others need
// a restart.
func (s *Sidecar) Reload(set *platform.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = set.Seeds
	s.log.process.Info().Strs("seeds", set.Seeds).Msg("settings are read again")
}

func (s *Sidecar) now() time.Time { return s.clock.Now() }

// Timing of what is heard from entries.
const (
	exchangeEvery = 2 * time.Second
	// followSilence ends a stream of store news that should beat every second.
	followSilence = 2500 * time.Millisecond
	followBeat    = time.Second
	followPause   = 200 * time.Millisecond
)

// entryWatch learns the entries.
type entryWatch struct{ s *Sidecar }

// Run implements node.Runner.
func (w *entryWatch) Run(ctx context.Context) {
	s := w.s
	for ctx.Err() == nil {
		s.mu.Lock()
		addr, ok := s.league.NextPeer(s.seeds, s.random.Float64(), s.now())
		known := len(s.league.Live(s.now()))
		s.mu.Unlock()
		if ok {
			news, err := s.pool.Exchange(ctx, addr, peer.EntryNews{})
			if err != nil {
				s.metrics.Count("exchange_failures", 1)
			}
			s.mu.Lock()
			s.league.Merge(news.Rows, s.now())
			s.mu.Unlock()
		}
		pause := exchangeEvery
		if known == 0 {
			pause = followPause
		}
		node.Sleep(ctx, pause)
	}
}

// firstRead reads the store once at the start, when the entries may just be starting too;
// from then on the entries tell what changes.
type firstRead struct{ s *Sidecar }

// firstReadTimeout bounds the read; without it the entries' copy serves as well.
const firstReadTimeout = time.Second

// Run implements node.Runner.
func (r *firstRead) Run(ctx context.Context) {
	s := r.s
	ctx, cancel := context.WithTimeout(ctx, firstReadTimeout)
	defer cancel()
	var news peer.StoreNews
	for i, prefix := range platform.KeyPrefixes {
		s.metrics.Count("store_calls", 1)
		items, at, err := s.store.Range(ctx, prefix)
		if err != nil {
			s.log.config.Info().Err(err).Msg("store is not read at the start: waiting for an entry")
			return
		}
		news.Events = append(news.Events, items...)
		if i == 0 {
			news.At = at
		}
	}
	s.take(news)
}

// follower follows one entry's copy of the store.
type follower struct{ s *Sidecar }

// Run implements node.Runner.
func (f *follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr, ok := f.s.nextEntry(); ok {
			f.follow(ctx, addr)
		}
		node.Sleep(ctx, followPause)
	}
}

// nextEntry draws an entry, one of the own zone when there is any.
func (s *Sidecar) nextEntry() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.league.Live(s.now())
	var near []gossip.Record
	for _, r := range rows {
		if r.Zone == s.set.Zone {
			near = append(near, r)
		}
	}
	// One draw in four goes to any entry: the near ones may all be cut off from the store.
	if len(near) > 0 && s.random.IntN(4) > 0 {
		rows = near
	}
	if len(rows) == 0 {
		return "", false
	}
	return rows[s.random.IntN(len(rows))].Address, true
}

func (f *follower) follow(ctx context.Context, addr string) {
	s := f.s
	s.mu.Lock()
	at := s.mirror.Revision()
	s.mu.Unlock()
	err := s.pool.Follow(ctx, addr, at, followBeat, followSilence, func(n peer.StoreNews) bool {
		s.take(n)
		return !n.Lost && n.Age <= staleAfter // else another entry may reach the store
	})
	if err != nil && ctx.Err() == nil {
		s.log.members.Info().Str("entry", addr).Err(err).Msg("stream of store news ended")
	}
}

// staleAfter is the age of an entry's copy from which another entry is followed.
const staleAfter = 7 * time.Second

func (s *Sidecar) take(n peer.StoreNews) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.mirror.Revision() == 0
	for _, e := range s.mirror.Apply(n.Events, n.At, now.Add(-n.Age)) {
		c, err := platform.Decode(e)
		if err != nil {
			s.metrics.Count("unusable_entries", 1) // the entries log them
		}
		switch {
		case c.Document != nil && (s.doc == nil || c.Document.Version > s.doc.Version):
			s.doc = c.Document
			s.log.config.Info().Uint64("version", c.Document.Version).Msg("configuration known")
		case c.Declared != nil:
			since := now
			if first {
				since = time.Time{}
			}
			if s.namings(c.Declared.Model).Add(c.Declared.Version, since) {
				s.log.weights.Info().Str("model", string(c.Declared.Model)).Uint64("version", c.Declared.Version).Msg("weights are named")
			}
		case c.Target != nil:
			s.roster.Update(*c.Target)
		case c.RemovedTarget != "":
			s.roster.Remove(c.RemovedTarget, now)
		}
	}
}

// model returns the model that the engine beside this process serves, with its service.
// mu is held.
func (s *Sidecar) model() (routeconfig.EngineModel, *routeconfig.Engine, bool) {
	if s.doc == nil {
		return routeconfig.EngineModel{}, nil, false
	}
	svc, ok := s.doc.Service(s.set.TargetService)
	if !ok || svc.Engine == nil || len(svc.Engine.Models) == 0 {
		return routeconfig.EngineModel{}, nil, false
	}
	return svc.Engine.Models[0], svc.Engine, true
}

// firstVersion is the version that is wanted before any is named.
const firstVersion = 1

// namings returns the versions of a model. mu is held.
func (s *Sidecar) namings(m fleet.Model) *upgrade.Declarations {
	n, ok := s.named[m]
	if !ok {
		n = &upgrade.Declarations{}
		s.named[m] = n
	}
	return n
}

// kept returns the versions that are kept at hand for others, oldest first. mu is held.
func (s *Sidecar) kept(m fleet.Model) []uint64 {
	n := s.namings(m)
	if n.Newest() == 0 {
		return []uint64{firstVersion}
	}
	return n.VersionsToFetch(0)
}

// fetches tells whether a kept version is fetched when it is not at hand. An engine that
// serves nothing takes the newest at once. mu is held.
func (s *Sidecar) fetches(m fleet.Model, version, serving uint64) bool {
	newest := max(firstVersion, s.namings(m).Newest())
	return version == newest || serving > 0 && version > serving
}

// serving returns the version that the engine serves, 0 for none. mu is held.
func (s *Sidecar) serving(m fleet.Model, e *routeconfig.Engine) uint64 {
	for _, h := range s.report.Held {
		if h.Model == m && (h.Layers == 0 || e.Layers == 0 || h.Layers >= e.Layers) {
			return h.Version
		}
	}
	return 0
}

// group returns the targets of this agent's service. mu is held.
func (s *Sidecar) group() []roster.Target { return s.roster.Usable(s.set.TargetService) }

// mates returns the agents of the group by the address of the target beside them. The
// address stays when a target starts again under another id, so that agents that know of
// the start and others agree on who brings in what.
func mates(group []roster.Target) map[fleet.InstanceID]roster.Target {
	out := make(map[fleet.InstanceID]roster.Target, len(group))
	for _, t := range group {
		out[fleet.InstanceID(t.Address)] = t
	}
	return out
}
