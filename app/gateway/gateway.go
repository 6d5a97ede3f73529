// Package gateway is the entry daemon on a platform whose callers and targets speak HTTP:
// callers send their requests to it, and it passes each on to a target of the service
// that the operator's configuration names.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings), gateway.Module)
//
// # Parts
//
// The store reader keeps the copy of the platform's metadata, from the store itself or
// from other entries while the store does not answer. The mesh loop exchanges the list of
// entries. A load watcher for each process beside a target follows the target's load. The
// request path decides by the boards and queues of each service.
//
// # Locks
//
// mu guards everything that decisions read: mirror, roster, league, services. It is never
// held while anything is sent or waited for. The configuration in force is read without
// a lock.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/clock"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/gossip"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/mirror"
	"amaranthturn/core/retry"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/trace"
	"amaranthturn/core/upgrade"
	"amaranthturn/io/peer"
	"amaranthturn/platform"
)

// pauseLimit is the gap between two ticks from which the process counts as paused.
const pauseLimit = time.Second

// Gateway is one entry daemon.
type Gateway struct {
	set     *platform.Settings
	clock   clock.Clock
	metrics *telemetry.Metrics
	pool    *peer.Pool
	store   *platform.Store
	targets *platform.TargetClient
	log     logs

	doc     atomic.Pointer[routeconfig.Document]
	leaving atomic.Bool

	mu        sync.Mutex // guards all below
	seeds     []string
	random    *rand.Rand
	mirror    *mirror.Mirror
	changed   chan struct{} // closed and replaced when the mirror changes
	storeLost bool
	knows     bool // everything was read once
	roster    *roster.Roster
	league    *gossip.List
	named     map[fleet.Model]*naming
	loads     map[fleet.InstanceID]peer.TargetLoad // the last word of the process beside each target
	watching  map[string]*loadWatch                // by address of the process beside a target
	services  map[fleet.Service]*service
	waiters   map[admit.RequestID]chan admit.Verdict
	nextID    admit.RequestID
	budget    *retry.Budget
	ledger    *crashblame.Ledger
	pause     *clock.PauseDetector
}

// naming is the versions of a model's weights that the operator wants.
type naming struct {
	upgrade.Declarations
	// floor is the oldest version that the boards were last made for.
	floor uint64
}

type logs struct {
	config, members, requests, process zerolog.Logger
}

// service is what the request path keeps for one service.
type service struct {
	board *loadbalance.Balancer
	queue *admit.Queue
}

// now returns the time by the daemon's clock.
func (g *Gateway) now() time.Time { return g.clock.Now() }

// New returns a daemon that does nothing until its loops run.
func New(set *platform.Settings, c clock.Clock, l *telemetry.Logs, m *telemetry.Metrics, pool *peer.Pool, store *platform.Store, t *platform.TargetClient, seed uint64) *Gateway {
	now := c.Now()
	g := &Gateway{
		set: set, clock: c, metrics: m, pool: pool, store: store, targets: t,
		log: logs{
			config: l.Of(telemetry.SubsystemConfig), members: l.Of(telemetry.SubsystemMembers),
			requests: l.Of(telemetry.SubsystemRequests), process: l.Of(telemetry.SubsystemProcess),
		},
		random: rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))),
		seeds:  set.Seeds, mirror: mirror.New(), changed: make(chan struct{}), roster: roster.New(roster.DefaultSettings),
		league: gossip.New(gossip.DefaultSettings, gossip.Record{
			Instance: set.Instance, Incarnation: fleet.Incarnation(now.UnixNano()), Region: set.Region, Zone: set.Zone,
			Address: set.PeersAddress, CallerAddress: set.CallersAddress,
		}),
		named: map[fleet.Model]*naming{},
		loads: map[fleet.InstanceID]peer.TargetLoad{}, watching: map[string]*loadWatch{},
		services: map[fleet.Service]*service{}, waiters: map[admit.RequestID]chan admit.Verdict{},
		ledger: crashblame.NewLedger(crashSettings), pause: clock.NewPauseDetector(pauseLimit),
	}
	g.budget = retry.NewBudget(set.Bounds.RetryShare*budgetMargin, set.Bounds.RetryExtra*budgetMargin/budgetEntries)
	return g
}

// The retry budget is the whole system's, and entries do not ask each other before a
// retry: each takes the share of its own requests and its part of the fixed allowance.
const (
	// budgetMargin keeps from the bound what windows that slide can add up to.
	budgetMargin = 0.5
	// budgetEntries is the least number of entries that the fixed allowance is divided by:
	// an entry that has just started does not know of the others yet.
	budgetEntries = 8
)

// crashSettings stop a request that has crashed three targets, the number that the platform
// allows, for some seconds. A lost answer looks like a crash from here, and many callers
// may ask for the same thing, so that blame has to pass soon and nothing runs alone.
var crashSettings = crashblame.Settings{MaxCrashedTargets: 3, ExclusiveThreshold: 3, HalfLife: 20 * time.Second, Capacity: 4096}

// IsLeaving implements platform.Gateway.
func (g *Gateway) IsLeaving() bool { return g.leaving.Load() }

// Reload takes the settings that may change while the daemon runs: the seeds. Others need
// a restart.
func (g *Gateway) Reload(set *platform.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = set.Seeds
	g.log.process.Info().Strs("seeds", set.Seeds).Msg("settings are read again")
}

// Limits implements platform.Gateway.
func (g *Gateway) Limits() routeconfig.Limits {
	if d := g.doc.Load(); d != nil {
		return d.Limits
	}
	return routeconfig.Limits{}
}

// Ready implements platform.Directory: a configuration is known and the daemon stays.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.doc.Load() != nil }

// directoryKeep is how long callers keep an answer. Some keep it three times as long, and
// a stopping entry has to be out of use within its grace.
const directoryKeep = time.Second

// maxOffered bounds the entries of one answer.
const maxOffered = 64

// Entries implements platform.Directory: the entries of the caller's zone, or all when
// there are fewer than two.
func (g *Gateway) Entries(zone fleet.Zone, _ string) ([]string, time.Duration) {
	now := g.now()
	g.mu.Lock()
	rows := g.league.Live(now)
	g.mu.Unlock()
	if !g.leaving.Load() {
		rows = append(rows, gossip.Record{Instance: g.set.Instance, Zone: g.set.Zone, CallerAddress: g.set.CallersAddress})
	}
	var near, all []string
	for _, r := range rows {
		all = append(all, r.CallerAddress)
		if r.Zone == zone {
			near = append(near, r.CallerAddress)
		}
	}
	if len(near) >= minNear {
		all = near
	}
	return all[:min(len(all), maxOffered)], directoryKeep
}

// minNear is the number of near entries from which callers are offered only these.
const minNear = 2

// service returns the state of a service. mu is held.
func (g *Gateway) service(name fleet.Service) *service {
	s, ok := g.services[name]
	if !ok {
		b := loadbalance.NewBalancer(loadbalance.DefaultSettings, g.random)
		s = &service{board: b, queue: admit.NewQueue(loadbalance.AdmissionLimit{Balancer: b, Now: g.now}, func(fleet.Workspace) admit.Limits {
			return admit.Limits{Weight: 1, MaxQueued: workspaceQueue}
		})}
		g.services[name] = s
	}
	return s
}

// workspaceQueue bounds the waiting requests of one workspace at one entry; the wait is
// bounded by time before that.
const workspaceQueue = 64

// wake tells waiting requests their turn. mu is held.
func (g *Gateway) wake(admitted, refused []admit.Request) {
	for _, r := range admitted {
		g.tell(r.ID, admit.Admitted)
	}
	for _, r := range refused {
		g.tell(r.ID, admit.Refused)
	}
}

func (g *Gateway) tell(id admit.RequestID, v admit.Verdict) {
	if turn, ok := g.waiters[id]; ok {
		turn <- v
		delete(g.waiters, id)
	}
}

// ticker does what is due without an event.
type ticker struct{ g *Gateway }

// tickEvery bounds how late a waiting request learns that it is refused.
const tickEvery = 20 * time.Millisecond

// Run implements node.Runner.
func (t *ticker) Run(ctx context.Context) {
	for node.Sleep(ctx, tickEvery) {
		t.g.tick()
	}
}

func (g *Gateway) tick() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause.Observe(now) {
		g.log.process.Warn().Msg(trace.MessageGatewayPaused)
		g.metrics.Count("pauses", 1)
		g.league.Resumed(now)
		g.loads = map[fleet.InstanceID]peer.TargetLoad{}
	}
	if gone := g.roster.Expire(now); len(gone) > 0 {
		g.log.members.Info().Int("targets", len(gone)).Msg(trace.MessageTargetsExpired)
		g.refreshBoards(now)
	}
	for _, n := range g.named {
		// From here on engines with older weights are closed, without any news of them.
		if f := n.MinVersion(g.oldWeightsTime(), now); f > n.floor {
			n.floor = f
			g.log.members.Info().Uint64("version", f).Msg(trace.MessageWeightsTooOld)
			g.refreshBoards(now)
		}
	}
	for _, s := range g.services {
		g.wake(s.queue.Tick(now))
	}
}
