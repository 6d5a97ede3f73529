// Package sidecar is the agent daemon on a platform whose engines speak HTTP. One agent is
// co-located with each model's target. It fetches the declared weights from other agents and
// the origin, verifies them and stages them on the engine, sends load commands to the engine,
// and reports the engine's load to the entries. It does not forward requests.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings, logs, metrics), sidecar.Module)
//
// # Locks
//
// mu guards the agent's view of the system and the cached weights. It is not held during I/O.
package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/mirror"
	"amaranthturn/core/notice"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// Sidecar is one agent daemon.
type Sidecar struct {
	settings *platform.Settings
	clock    clock.Clock
	metrics  *telemetry.Metrics
	pool     *peer.Pool
	engine   *platform.Engine
	origin   *platform.Origin
	store    *platform.Store
	log      logs

	mu              sync.Mutex // guards all fields below
	seeds           []string
	random          *rand.Rand
	decoder         *platform.Decoder
	mirror          *mirror.Mirror
	roster          *roster.Roster
	entryList       *gossip.List
	maxEntries      int // most entries that were live at once, kept for entries that restart
	doc             *routeconfig.Document
	declared        map[fleet.Model]*upgrade.Declarations
	crashes         *crashblame.Ledger // kept for entries that restart, as parts
	parts           *crashblame.PartLedger
	notices         *notice.Ledger // kept for entries that restart
	pausedEngine    notice.Target  // that asked for a pause last
	report          platform.Report
	reportStartedAt time.Time // when the request for the report was sent
	isEngineUp      bool      // the last poll of the engine succeeded
	commandAt       time.Time // when the last load command was answered or given up
	proof           upgrade.Proof
	loadable        uint64 // newest version that can be loaded in time, as of the last poll
	listeners       map[*loadListener]struct{}
	versionsChanged chan struct{}              // the versions to keep may have changed
	weights         map[uint64]*versionWeights // by version
	uploads         peer.Slots
}

type logs struct {
	config, members, weights, engine, process zerolog.Logger
}

// maxUploads limits concurrent chunk uploads, so that the events of live streams on the
// same link are queued behind few chunks.
const maxUploads = 1

// New returns a daemon that is idle until its loops run.
func New(settings *platform.Settings, c clock.Clock, l *telemetry.Logs, m *telemetry.Metrics, pool *peer.Pool, e *platform.Engine, o *platform.Origin, st *platform.Store, seed uint64) *Sidecar {
	decoder := &platform.Decoder{}
	s := &Sidecar{
		settings: settings, clock: c, metrics: m, pool: pool, engine: e, origin: o, store: st,
		log: logs{
			config: l.Of(telemetry.SubsystemConfig), members: l.Of(telemetry.SubsystemMembers), weights: l.Of(telemetry.SubsystemWeights),
			engine: l.Of(telemetry.SubsystemEngine), process: l.Of(telemetry.SubsystemProcess),
		},
		seeds: settings.Seeds, random: rand.New(rand.NewPCG(seed, uint64(c.Now().UnixNano()))), decoder: decoder, mirror: daemon.NewMirror(settings, decoder), roster: roster.New(roster.DefaultSettings),
		// The list holds entries. This process is not an entry and does not announce itself.
		entryList: gossip.New(gossip.DefaultSettings, gossip.Record{Region: settings.Region}), declared: map[fleet.Model]*upgrade.Declarations{},
		crashes:   crashblame.NewLedger(crashblame.DefaultSettings),
		parts:     crashblame.NewPartLedger(),
		notices:   notice.NewLedger(),
		listeners: map[*loadListener]struct{}{}, versionsChanged: make(chan struct{}, 1), weights: map[uint64]*versionWeights{}, uploads: peer.NewSlots(maxUploads),
	}
	e.SetGate(s)
	return s
}

// Reload applies the settings that may change while the daemon runs, which are the seeds.
// Other settings require a restart.
func (s *Sidecar) Reload(settings *platform.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = settings.Seeds
	s.log.process.Info().Strs("seeds", settings.Seeds).Msg("settings reloaded")
}

func (s *Sidecar) now() time.Time { return s.clock.Now() }

// Timing of updates from entries.
const (
	exchangeInterval = 2 * time.Second
	// followTimeout ends a stream of store updates, which should send a heartbeat every second.
	followTimeout           = 2500 * time.Millisecond
	followHeartbeatInterval = time.Second
	followRetryDelay        = 200 * time.Millisecond
)

// entryExchanger retrieves the list of entries, and hands on to each what this agent knows of
// crashes, declarations and a restored store, so that this outlives a restart of all entries.
type entryExchanger struct{ s *Sidecar }

// Run implements daemon.Runner.
func (e *entryExchanger) Run(ctx context.Context) {
	s := e.s
	for ctx.Err() == nil {
		s.mu.Lock()
		addr, ok := s.entryList.NextPeer(s.seeds, s.random.Float64(), s.now())
		known := len(s.entryList.Live(s.now()))
		message := s.exchangeMessage()
		s.mu.Unlock()
		if ok {
			e.exchange(ctx, addr, message)
		}
		delay := exchangeInterval
		if known == 0 {
			delay = followRetryDelay
		}
		daemon.Sleep(ctx, delay)
	}
}

// exchange sends a message to an entry. If the entry has started since the store was restored
// and has an older configuration, it is sent the states from before.
func (e *entryExchanger) exchange(ctx context.Context, addr string, message peer.ExchangeMessage) {
	s := e.s
	sentAt := s.now()
	update, err := s.pool.Exchange(ctx, addr, message)
	if err != nil {
		s.metrics.Count("exchange_failures", 1)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entryList.RecordFailure(addr, s.now())
		return
	}
	s.mu.Lock()
	s.mergeExchange(update, sentAt)
	if at := s.mirror.Position(); at.Era > 0 && update.StorePosition.Era == at.Era && update.ConfigVersion < message.ConfigVersion {
		message.Retained = s.mirror.Retained()
	}
	s.mu.Unlock()
	if len(message.Retained) == 0 {
		return
	}
	if _, err := s.pool.Exchange(ctx, addr, message); err != nil {
		s.metrics.Count("exchange_failures", 1)
	}
}

// exchangeMessage returns the message to an entry. mu must be held.
func (s *Sidecar) exchangeMessage() peer.ExchangeMessage {
	now := s.now()
	m := peer.ExchangeMessage{StorePosition: s.mirror.Position(), MaxEntries: s.maxEntries, Declared: map[fleet.Model][]upgrade.Age{}}
	for model, d := range s.declared {
		m.Declared[model] = d.Ages(upgrade.MaxAge, now)
	}
	if s.doc != nil {
		m.ConfigVersion = s.doc.Version
	}
	m.Blamed = s.crashes.Exchange(now)
	m.Crashes, m.ProvenParts = s.parts.Exchange(now)
	m.Leaving = s.notices.Leaving()
	return m
}

// mergeExchange merges a message that an entry sent at sentAt or later. mu must be held.
func (s *Sidecar) mergeExchange(m peer.ExchangeMessage, sentAt time.Time) {
	now := s.now()
	if m.StorePosition.Era == s.mirror.Position().Era {
		s.handleChanges(s.mirror.Recall(m.Retained, now), false)
	}
	s.notices.Merge(m.Leaving, now)
	s.notices.Forget(s.isListed, now)
	s.entryList.Merge(m.Records, sentAt)
	s.maxEntries = max(s.maxEntries, m.MaxEntries)
	for model, ages := range m.Declared {
		if s.declarationsOf(model).Merge(ages, now) {
			s.checkVersions()
		}
	}
	s.crashes.Merge(m.Blamed, now)
	s.parts.Merge(m.Crashes, m.ProvenParts, now)
}

// isListed reports whether an incarnation of a target is listed. mu must be held.
func (s *Sidecar) isListed(t notice.Target) bool {
	listed, ok := s.roster.Get(t.ID)
	return ok && listed.Incarnation == t.Incarnation
}

// initialStoreReader reads the store once at the start, when the entries may be starting
// too. Later changes are received from the entries.
type initialStoreReader struct{ s *Sidecar }

// initialReadTimeout limits the read. If it fails, an entry's copy is used instead.
const initialReadTimeout = time.Second

// Run implements daemon.Runner.
func (r *initialStoreReader) Run(ctx context.Context) {
	s := r.s
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	s.metrics.Count("store_calls", platform.CallsToReadAll)
	snapshots, err := s.store.ReadAll(ctx, 0)
	if err != nil {
		s.log.config.Info().Err(err).Msg("initial read of the store failed: waiting for an entry")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isFirst := s.mirror.Position().Revision == 0
	for _, snapshot := range snapshots {
		s.handleChanges(s.mirror.Load(snapshot, s.now(), s.now()), isFirst)
	}
}

// follower follows the copy of the store at one entry.
type follower struct{ s *Sidecar }

// Run implements daemon.Runner.
func (f *follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr, ok := f.s.pickEntry(); ok {
			f.follow(ctx, addr)
		}
		daemon.Sleep(ctx, followRetryDelay)
	}
}

// pickEntry selects a random entry, preferably one of the same zone.
func (s *Sidecar) pickEntry() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.entryList.Live(s.now())
	var sameZone []gossip.Record
	for _, r := range records {
		if r.Zone == s.settings.Zone {
			sameZone = append(sameZone, r)
		}
	}
	// One selection in four is among all entries, because the store may be unavailable to all
	// entries of the same zone.
	if len(sameZone) > 0 && s.random.IntN(4) > 0 {
		records = sameZone
	}
	if len(records) == 0 {
		return "", false
	}
	return records[s.random.IntN(len(records))].Address, true
}

func (f *follower) follow(ctx context.Context, addr string) {
	s := f.s
	s.mu.Lock()
	at := s.mirror.Position()
	s.mu.Unlock()
	err := s.pool.Follow(ctx, addr, at, followHeartbeatInterval, followTimeout, func(update peer.StoreChanges) bool {
		isCurrent := s.applyUpdate(update)
		return isCurrent && !update.StoreUnavailable && update.Age <= maxCopyAge // otherwise the store may be available to another entry
	})
	if err != nil && ctx.Err() == nil {
		s.log.members.Info().Str("entry", addr).Err(err).Msg("stream of store updates ended")
	}
}

// maxCopyAge is the age of an entry's copy above which another entry is followed.
const maxCopyAge = 7 * time.Second

// applyUpdate applies an update from an entry, and reports whether it is of the latest known
// era.
func (s *Sidecar) applyUpdate(update peer.StoreChanges) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.mirror.Position()
	if update.At.Era < before.Era {
		return false
	}
	isFirst := before.Revision == 0
	s.handleChanges(s.mirror.Merge(update.Update, now.Add(-update.Age), now), isFirst)
	s.handleChanges(s.mirror.Recall(update.Retained, now), isFirst)
	s.handleChanges(s.mirror.Tick(now), false)
	if at := s.mirror.Position(); at.Era != before.Era && !isFirst {
		s.log.config.Warn().Uint64("era_before", uint64(before.Era)).Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).
			Int("retained", len(s.mirror.Retained())).Msg(trace.MessageStoreRestored)
	}
	return true
}

// copyUsage returns what the copy of the store holds.
func (s *Sidecar) copyUsage() mirror.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Usage()
}

// handleChanges processes changes of the mirror. isFirst reports that the mirror was empty
// before. mu must be held.
func (s *Sidecar) handleChanges(events []mirror.Event, isFirst bool) {
	now := s.now()
	for _, e := range events {
		if s.mirror.IsSuperseded(e) {
			continue
		}
		c, err := s.decoder.Decode(e)
		if err != nil {
			s.metrics.Count("unusable_entries", 1) // the entries log them
		}
		switch {
		case c.Document != nil && (s.doc == nil || c.Document.Version > s.doc.Version):
			s.doc = c.Document
			s.roster.SetServices(s.doc.ServiceNames())
			s.checkVersions()
			s.log.config.Info().Uint64("version", c.Document.Version).Msg("configuration known")
		case c.Declared != nil:
			since := now
			if isFirst {
				since = time.Time{}
			}
			if s.declarationsOf(c.Declared.Model).Add(c.Declared.Version, since, now) {
				s.log.weights.Info().Str("model", string(c.Declared.Model)).Uint64("version", c.Declared.Version).Msg("weights version declared")
				s.checkVersions()
			}
		case c.Target != nil:
			s.roster.Update(*c.Target)
		case c.UnusableTarget != "":
			s.roster.Drop(c.UnusableTarget)
		case c.RemovedTarget != "":
			s.roster.Remove(c.RemovedTarget, now)
		}
	}
}

// model returns the model that the co-located engine serves, and the engine configuration of
// its service. mu must be held.
func (s *Sidecar) model() (routeconfig.EngineModel, *routeconfig.Engine, bool) {
	if s.doc == nil {
		return routeconfig.EngineModel{}, nil, false
	}
	svc, ok := s.doc.Service(s.settings.TargetService)
	if !ok || svc.Engine == nil || len(svc.Engine.Models) == 0 {
		return routeconfig.EngineModel{}, nil, false
	}
	return svc.Engine.Models[0], svc.Engine, true
}

// initialVersion is the version that is fetched before any is declared.
const initialVersion = 1

// declarationsOf returns the declared versions of a model. mu must be held.
func (s *Sidecar) declarationsOf(m fleet.Model) *upgrade.Declarations {
	d, ok := s.declared[m]
	if !ok {
		d = &upgrade.Declarations{}
		s.declared[m] = d
	}
	return d
}

// versionsToKeep returns the versions to keep available for other agents, oldest first. mu
// must be held.
func (s *Sidecar) versionsToKeep(m fleet.Model) []uint64 {
	d := s.declarationsOf(m)
	if d.Newest() == 0 {
		return []uint64{initialVersion}
	}
	return d.VersionsToFetch(0)
}

// shouldFetch reports whether a version of versionsToKeep that this agent does not hold is
// fetched. An engine that serves nothing loads the newest version at once. mu must be held.
func (s *Sidecar) shouldFetch(m fleet.Model, version, serving uint64) bool {
	newest := max(initialVersion, s.declarationsOf(m).Newest())
	return version == newest || serving > 0 && version > serving
}

// servingVersion returns the version that the engine serves, or 0 if it serves none. mu must
// be held.
func (s *Sidecar) servingVersion(m fleet.Model, e *routeconfig.Engine) uint64 {
	for _, loaded := range s.report.Loaded {
		if loaded.Model == m && (loaded.Layers == 0 || e.Layers == 0 || loaded.Layers >= e.Layers) {
			return loaded.Version
		}
	}
	return 0
}

// group returns the targets of this agent's service. mu must be held.
func (s *Sidecar) group() []roster.Target { return s.roster.Usable(s.settings.TargetService) }

// membersByAddress returns the members of the group by the address of their target. The
// address stays the same when a target restarts with another ID, so all agents agree on which
// agent fetches which chunk, whether or not they know of the restart yet.
func membersByAddress(group []roster.Target) map[fleet.InstanceID]roster.Target {
	out := make(map[fleet.InstanceID]roster.Target, len(group))
	for _, t := range group {
		out[fleet.InstanceID(t.Address)] = t
	}
	return out
}
