// Package gateway is the entry daemon on a platform whose callers and targets speak HTTP:
// callers send their requests to it, and it forwards each to a target of the service that
// the operator's configuration selects.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings, logs, metrics), gateway.Module)
//
// # Parts
//
// The store reader maintains the mirror, a copy of the platform's metadata, which it reads
// from the store itself, or from other entries while the store is unavailable. The entry
// exchanger synchronizes the list of entries. One load watch for each agent of the entry's zone, and
// one stream from an entry of each other zone, follow the load of the targets. The request path
// uses the balancer and the queue of each service.
//
// # Locks
//
// mu guards the state that decisions are based on: mirror, roster of targets, entry list,
// services. It is never held during I/O or while waiting. The configuration in force is read
// without a lock. Each request has a mutex of its own, acquired before mu and never held during
// I/O, which decides which of its attempts in progress continues the response.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/clock"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/mirror"
	"amaranthturn/core/notice"
	"amaranthturn/core/ratelimit"
	"amaranthturn/core/retry"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

const (
	// pauseThreshold is the gap between two ticks above which the process counts as paused.
	pauseThreshold = time.Second
	// copyPauseThreshold is the gap between two ticks above which what was received meanwhile
	// does not show that the copy of the store is current. It is at most the propagation delay that the
	// timeline of a version change allows for.
	copyPauseThreshold = 250 * time.Millisecond
)

// Gateway is one entry daemon.
type Gateway struct {
	settings *platform.Settings
	clock    clock.Clock
	metrics  *telemetry.Metrics
	pool     *peer.Pool
	store    *platform.Store
	targets  *platform.TargetClient
	log      logs

	doc     atomic.Pointer[routeconfig.Document]
	leaving atomic.Bool
	stop    *daemon.RequestStop
	stall   stallTimes
	// hasLimits reports whether limits of targets are in force. Answers without a limit matter only then.
	hasLimits atomic.Bool

	mu               sync.Mutex // guards all fields below
	seeds            []string
	random           *rand.Rand
	decoder          *platform.Decoder
	mirror           *mirror.Mirror
	changed          chan struct{} // closed and replaced when the mirror changes
	storeUnavailable bool
	recalls          int // how often states were recalled from other daemons
	// missedUntil is the position up to which changes may have been written while this entry was not waiting
	// for them.
	missedUntil     mirror.Position
	initialReadDone bool // the complete store was read once
	// readDirectlyUntil is until when this entry watches the store itself because the copy that it
	// followed was outdated.
	readDirectlyUntil  time.Time
	roster             *roster.Roster
	entryList          *gossip.List
	declared           map[fleet.Model]*declaredVersions
	loads              map[fleet.InstanceID]peer.TargetLoad // last report of each target's agent
	loadWatches        map[string]*loadWatch                // by address of the target
	zones              map[fleet.Zone]*zoneState            // other zones that have targets
	zoneChanged        chan struct{}                        // closed and replaced when a target of this zone changes
	services           map[fleet.Service]*service
	startTime          upgrade.StartTime // of streams
	appliedShare       entryShare        // that the balancers were last updated for
	waiters            map[admit.RequestID]chan admit.Verdict
	unstarted          map[*targetAttempt]struct{} // sent to a target, no response yet
	inProgress         map[*requestHandler]struct{}
	nextID             admit.RequestID
	patience           admit.Patience
	budgets            *retry.Budgets[fleet.Service]
	startedAt          time.Time
	maxEntries         int // most entries that were known at once, this one included
	ledger             *crashblame.Ledger
	parts              *crashblame.PartLedger
	notices            *notice.Ledger
	limits             *ratelimit.Ledger
	noticesForgottenAt time.Time
	exchangeNow        chan struct{} // requests an exchange before its interval has passed
	pauseDetector      *clock.PauseDetector
	copyPauses         *clock.PauseDetector // pauses after which received data may be outdated
}

// declaredVersions holds the versions of a model's weights that the operator has declared.
type declaredVersions struct {
	upgrade.Declarations
	// appliedMinVersion and appliedSafeVersion are the minimum versions in service, and in service or
	// loadable, that the balancers were last updated for.
	appliedMinVersion, appliedSafeVersion uint64
}

type logs struct {
	config, members, requests, process zerolog.Logger
}

// service is the request path's state for one service.
type service struct {
	balancer *loadbalance.Balancer
	queue    *admit.Queue
	// lastRequestAt is when a caller's request for the service arrived last.
	lastRequestAt time.Time
}

// now returns the time by the daemon's clock.
func (g *Gateway) now() time.Time { return g.clock.Now() }

// New returns a daemon that is idle until its loops run.
func New(settings *platform.Settings, c clock.Clock, l *telemetry.Logs, m *telemetry.Metrics, pool *peer.Pool, store *platform.Store, t *platform.TargetClient, seed uint64) *Gateway {
	now, decoder := c.Now(), &platform.Decoder{}
	g := &Gateway{
		settings: settings, clock: c, metrics: m, pool: pool, store: store, targets: t, stop: daemon.NewRequestStop(c), stall: defaultStallTimes,
		log: logs{
			config: l.Of(telemetry.SubsystemConfig), members: l.Of(telemetry.SubsystemMembers),
			requests: l.Of(telemetry.SubsystemRequests), process: l.Of(telemetry.SubsystemProcess),
		},
		startedAt: now,
		random:    rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))),
		seeds:     settings.Seeds, decoder: decoder, mirror: daemon.NewMirror(settings, decoder), changed: make(chan struct{}), roster: roster.New(roster.Settings{ExpiryGrace: roster.DefaultSettings.ExpiryGrace, Renewal: settings.RecordRenewal}),
		entryList: gossip.New(gossip.DefaultSettings, gossip.Record{
			Instance: settings.Instance, Incarnation: fleet.Incarnation(now.UnixNano()), Region: settings.Region, Zone: settings.Zone,
			Address: settings.PeersAddress, CallerAddress: settings.CallersAddress,
		}),
		declared: map[fleet.Model]*declaredVersions{},
		loads:    map[fleet.InstanceID]peer.TargetLoad{}, loadWatches: map[string]*loadWatch{}, zones: map[fleet.Zone]*zoneState{}, zoneChanged: make(chan struct{}),
		services: map[fleet.Service]*service{}, waiters: map[admit.RequestID]chan admit.Verdict{}, unstarted: map[*targetAttempt]struct{}{}, inProgress: map[*requestHandler]struct{}{},
		ledger: crashblame.NewLedger(crashSettings), parts: crashblame.NewPartLedger(), notices: notice.NewLedger(), limits: ratelimit.NewLedger(), exchangeNow: make(chan struct{}, 1),
		pauseDetector: clock.NewPauseDetector(pauseThreshold),
		copyPauses:    clock.NewPauseDetector(copyPauseThreshold),
	}
	g.budgets = retry.NewBudgets[fleet.Service](retry.BudgetsSettings{
		Share: settings.Bounds.RetryShare * budgetSafetyFactor, Allowance: settings.Bounds.RetryExtra * budgetSafetyFactor, Window: settings.Bounds.RetryWindow,
	}, startBudgetEntries, now)
	return g
}

// The limit on retries applies to each service in the entire system, and entries don't
// coordinate retries: each entry uses the retry share of its own requests for the service and
// its part of the fixed allowance.
const (
	// budgetSafetyFactor reduces the budget because in a sliding window the saved part of the
	// allowance and the part that is gained meanwhile add up.
	budgetSafetyFactor = 0.5
	// minBudgetEntries is the minimum number of entries that the fixed allowance is divided
	// by, because the list of entries may be incomplete.
	minBudgetEntries = 8
	// startBudgetEntries is the number of entries that is assumed until the first exchange. If
	// other entries are named but out of reach, they may retry as well.
	startBudgetEntries = 64
)

// crashSettings refuse a request after it has crashed three targets, the number that the platform
// allows. Targets run requests of other entries too, so none can be run alone.
var crashSettings = crashblame.Settings{MaxCrashedTargets: 3, TrialDelay: 15 * time.Second, Capacity: 4096}

// IsLeaving implements platform.Gateway.
func (g *Gateway) IsLeaving() bool { return g.leaving.Load() }

// Ended implements platform.Gateway.
func (g *Gateway) Ended() context.Context { return g.stop.Ended() }

// Reload applies the settings that may change while the daemon runs, which are the seeds.
// Other settings require a restart.
func (g *Gateway) Reload(settings *platform.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = settings.Seeds
	g.log.process.Info().Strs("seeds", settings.Seeds).Msg("settings reloaded")
}

// Limits implements platform.Gateway.
func (g *Gateway) Limits() routeconfig.Limits {
	if d := g.doc.Load(); d != nil {
		return d.Limits
	}
	return routeconfig.Limits{}
}

// RouteTimeout implements platform.Gateway.
func (g *Gateway) RouteTimeout(host, path string) time.Duration {
	if d := g.doc.Load(); d != nil {
		if r, ok := d.Match(host, path); ok {
			return r.Timeout
		}
	}
	return 0
}

// Ready implements platform.Directory. It reports whether a configuration is known and the
// daemon is not leaving.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.doc.Load() != nil }

// directoryTTL is how long callers cache a directory response. Some cache it three times as
// long, and callers have to stop using a stopping entry within its grace period.
const directoryTTL = time.Second

// maxDirectoryEntries limits the entries in one directory response.
const maxDirectoryEntries = 64

// Entries implements platform.Directory. It returns the entries of the caller's zone, or all
// entries if that zone has fewer than two.
func (g *Gateway) Entries(zone fleet.Zone, _ string) ([]string, time.Duration) {
	now := g.now()
	g.mu.Lock()
	records := g.entryList.Offered(now)
	g.mu.Unlock()
	if !g.leaving.Load() {
		records = append(records, gossip.Record{Instance: g.settings.Instance, Zone: g.settings.Zone, CallerAddress: g.settings.CallersAddress})
	}
	var sameZone, all []string
	for _, r := range records {
		all = append(all, r.CallerAddress)
		if r.Zone == zone {
			sameZone = append(sameZone, r.CallerAddress)
		}
	}
	if len(sameZone) >= minSameZoneEntries {
		all = sameZone
	}
	return all[:min(len(all), maxDirectoryEntries)], directoryTTL
}

// minSameZoneEntries is the number of entries in the caller's zone from which only these are
// returned.
const minSameZoneEntries = 2

// service returns the state of a service. mu must be held.
func (g *Gateway) service(name fleet.Service) *service {
	s, ok := g.services[name]
	if !ok {
		b := loadbalance.NewBalancer(loadbalance.DefaultSettings, g.random)
		b.SetRateLimits(g.limits)
		s = &service{balancer: b, queue: admit.NewQueue(loadbalance.AdmissionLimit{Balancer: b, Now: g.now}, func(fleet.Workspace) admit.Limits {
			return admit.Limits{Weight: 1, MaxQueued: maxQueuedPerWorkspace}
		})}
		g.services[name] = s
	}
	return s
}

// isConfigured reports whether the configuration in force has a service.
func (g *Gateway) isConfigured(name fleet.Service) bool {
	doc := g.doc.Load()
	if doc == nil {
		return false
	}
	_, ok := doc.Service(name)
	return ok
}

// maxQueuedPerWorkspace limits the queued requests of one workspace at one entry. The limit
// on the waiting time normally takes effect first.
const maxQueuedPerWorkspace = 64

// notifyWaiters sends waiting requests their verdict. mu must be held.
func (g *Gateway) notifyWaiters(admitted, refused []admit.Request) {
	for _, r := range admitted {
		g.sendVerdict(r.ID, admit.Admitted)
	}
	for _, r := range refused {
		g.sendVerdict(r.ID, admit.Refused)
	}
}

func (g *Gateway) sendVerdict(id admit.RequestID, v admit.Verdict) {
	if ch, ok := g.waiters[id]; ok {
		ch <- v
		delete(g.waiters, id)
	}
}

// ticker runs the periodic work of the daemon.
type ticker struct{ g *Gateway }

// tickInterval limits how late a waiting request is refused.
const tickInterval = 20 * time.Millisecond

// Run implements daemon.Runner.
func (t *ticker) Run(ctx context.Context) {
	for daemon.Sleep(ctx, tickInterval) {
		t.g.tick()
	}
}

// observePause drops what may be outdated if this process was paused. mu must be held.
func (g *Gateway) observePause(now time.Time) {
	if !g.pauseDetector.Observe(now) {
		return
	}
	g.log.process.Warn().Msg(trace.MessageGatewayPaused)
	g.metrics.Count("pauses", 1)
	g.entryList.Resumed(g.pauseDetector.PausedAt(), now)
	g.roster.Reads().Clear()
	g.loads = map[fleet.InstanceID]peer.TargetLoad{}
	g.pauseZones(now)
	g.refreshBalancers(now)
}

// closeOldVersions updates the balancers when engines with older weights become ineligible by time alone,
// without an update. mu must be held.
func (g *Gateway) closeOldVersions(now time.Time) {
	timeline, startTime := g.versionTimeline(), g.startTime.Average()
	for _, d := range g.declared {
		// The versions fall when responses begin faster than before. A refresh may then open engines again.
		safe, oldest := d.MinVersion(timeline.LastSafeSend(startTime), now), d.MinVersion(timeline.LastSend(startTime), now)
		hasRisen := false
		if safe > d.appliedSafeVersion {
			hasRisen = true
			g.log.members.Info().Uint64("version", safe).Msg(trace.MessageNoNewerWeights)
		}
		if oldest > d.appliedMinVersion {
			hasRisen = true
			g.log.members.Info().Uint64("version", oldest).Msg(trace.MessageWeightsTooOld)
		}
		d.appliedSafeVersion, d.appliedMinVersion = safe, oldest
		if hasRisen {
			g.refreshBalancers(now)
		}
	}
}

func (g *Gateway) tick() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.maxEntries == 0 && now.Sub(g.startedAt) > gossip.DefaultSettings.Lease {
		if _, isNamed := g.entryList.NextPeer(g.seeds, 0, now); !isNamed {
			g.divideBudgets(now) // there is no other entry
		}
	}
	g.copyPauses.Observe(now)
	g.observePause(now)
	// The records whose retention ends were deleted at an unknown time.
	g.handleChanges(g.mirror.Tick(now), receipt{asOf: now})
	g.removeMissing(now)
	if now.Sub(g.noticesForgottenAt) > noticeForgetInterval {
		g.noticesForgottenAt = now
		g.forgetNotices(now)
	}
	g.closeOldVersions(now)
	g.cancelOutdatedAttempts(now)
	for _, s := range g.services {
		g.notifyWaiters(s.queue.Tick(now))
	}
}
