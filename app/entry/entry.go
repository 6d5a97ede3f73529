// Package entry implements the daemon on an entry instance. Callers query it for the
// entries to use and send it requests and orders, which it routes to targets. It also
// sends agents their configuration and the state of their group.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings, overrides), entry.Module)
//
// # Tables and locks
//
// Goroutines share three tables, each with its own lock: the configuration (cfgMu), the
// members (memMu) and the requests (reqMu). A goroutine that needs two locks acquires them
// in that order. No lock is held during a send. The state of one request, its attempts and what
// is sent to its caller are used only by the goroutine that handles it, and have no lock.
package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/configsync"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/membership"
	"amaranthturn/core/picker"
	"amaranthturn/core/retry"
	"amaranthturn/core/ticket"
	"amaranthturn/core/trace"
	"amaranthturn/io/peer"
	"amaranthturn/io/platform"
)

// Timing of the daemon's loops.
const (
	tickInterval     = 100 * time.Millisecond
	syncInterval     = time.Second
	configPollWait   = 20 * time.Second
	listPollWait     = 20 * time.Second
	pauseThreshold   = 2 * time.Second // a longer gap between ticks means that the process was paused
	platformRetryMin = 250 * time.Millisecond
	platformRetryMax = 10 * time.Second
	askPeersTimeout  = time.Second
)

// Options holds the settings and dependencies of an Entry.
type Options struct {
	Settings *settings.Entry
	Clock    clock.Clock
	Logs     *telemetry.Logs
	Metrics  *telemetry.Metrics
	Platform *platform.Client
	Pool     *peer.Pool
	Ring     *keys.Ring
	Seed     uint64
	// SilenceTimeout is how long a target may be silent within a response before a replacement
	// is started; 0 means defaultSilenceTimeout.
	SilenceTimeout time.Duration
}

// configInForce is the configuration in force. It is immutable and replaced atomically.
type configInForce struct {
	doc *config.Document
	at  fleet.Position // at which the document was written
	// held is the position of the response that contained the document.
	held fleet.Position
}

// Entry is one entry daemon.
type Entry struct {
	opt     Options
	self    fleet.Instance
	issuer  *ticket.Issuer
	inForce atomic.Pointer[configInForce]

	cfgMu        sync.Mutex // guards the fields up to pulling
	node         *configsync.Node
	listPosition fleet.Position
	configEra    eraCheck
	listEra      eraCheck
	pulling      bool
	accepted     chan struct{} // signals the syncer to announce a new configuration

	memMu    sync.Mutex // guards table and sessions
	table    *membership.Table
	sessions map[*session]struct{}

	reqMu               sync.Mutex // guards the fields up to ordersInFlight
	queue               *admit.Queue
	picker              *picker.Picker
	ledger              *crashblame.Ledger
	budgets             map[fleet.Workspace]*retry.Budget
	groupBudgets        map[retryGroup]*retry.Budget
	budget              *retry.Budget
	random              *rand.Rand
	nextID              admit.RequestID
	waiters             map[admit.RequestID]waiter
	running             map[fleet.InstanceID]map[admit.RequestID]fleet.Fingerprint
	candidates          map[fleet.Model]candidateCache
	crashedIncarnations map[fleet.InstanceID]uint64
	provisionalCrashes  map[fleet.InstanceID]provisionalCrash
	ordersInFlight      int
	inFlight            sync.WaitGroup

	leaving       atomic.Bool
	stop          *daemon.RequestStop
	pauseDetector *clock.PauseDetector
	lastCleanup   time.Time // used by the ticker only
	log           logs
}

type logs struct {
	config, members, requests, orders, process zerolog.Logger
}

// New returns an entry. It is inactive until its loops run.
func New(o Options) *Entry {
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, defaultSilenceTimeout)
	s := o.Settings
	self := s.Identity(fleet.RoleEntry, "", s.Listen.Peers)
	self.CallerAddress = s.Listen.Callers
	random := rand.New(rand.NewPCG(o.Seed, 1))
	now := o.Clock.Now()
	e := &Entry{
		opt: o, self: self, issuer: ticket.NewIssuer(o.Ring), stop: daemon.NewRequestStop(o.Clock),
		node:                configsync.NewNode(configsync.DefaultSettings(self.ID, self.Zone), o.Ring, rand.New(rand.NewPCG(o.Seed, 2)), now),
		accepted:            make(chan struct{}, 1),
		table:               membership.NewTable(membership.DefaultSettings),
		sessions:            map[*session]struct{}{},
		picker:              picker.NewPicker(picker.DefaultSettings, rand.New(rand.NewPCG(o.Seed, 3))),
		ledger:              crashblame.NewLedger(crashblame.DefaultSettings),
		budget:              retry.NewBudget(config.DefaultRetryShare, retryBurst),
		random:              random,
		waiters:             map[admit.RequestID]waiter{},
		running:             map[fleet.InstanceID]map[admit.RequestID]fleet.Fingerprint{},
		candidates:          map[fleet.Model]candidateCache{},
		crashedIncarnations: map[fleet.InstanceID]uint64{},
		provisionalCrashes:  map[fleet.InstanceID]provisionalCrash{},
		pauseDetector:       clock.NewPauseDetector(pauseThreshold),
		log: logs{
			config: o.Logs.Of(telemetry.SubsystemConfig), members: o.Logs.Of(telemetry.SubsystemMembers),
			requests: o.Logs.Of(telemetry.SubsystemRequests), orders: o.Logs.Of(telemetry.SubsystemOrders),
			process: o.Logs.Of(telemetry.SubsystemProcess),
		},
	}
	limit := admit.NewLimit(admit.DefaultLimitSettings, s.Concurrency)
	e.queue = admit.NewQueue(limit, e.limitsFor)
	return e
}

func (e *Entry) now() time.Time { return e.opt.Clock.Now() }

// document returns the configuration in force, or nil before the first one was accepted.
func (e *Entry) document() (*config.Document, fleet.Position) {
	f := e.inForce.Load()
	if f == nil {
		return nil, fleet.Position{}
	}
	return f.doc, f.at
}

func (e *Entry) limitsFor(w fleet.Workspace) admit.Limits {
	doc, _ := e.document()
	if doc == nil {
		return admit.Limits{Weight: 1, MaxQueued: config.DefaultQueuePerWorkspace}
	}
	l := doc.LimitsFor(w)
	return admit.Limits{Weight: l.Weight, MaxQueued: l.MaxQueued}
}

// Ready reports whether the entry can serve: it has a configuration and is not leaving. If
// not, it also returns the reason.
func (e *Entry) Ready() (bool, string) {
	if e.leaving.Load() {
		return false, "leaving"
	}
	if doc, _ := e.document(); doc == nil {
		return false, "no configuration accepted yet"
	}
	return true, ""
}

// IsLeaving implements caller.Service.
func (e *Entry) IsLeaving() bool { return e.leaving.Load() }

// Ended implements caller.Service.
func (e *Entry) Ended() context.Context { return e.stop.Ended() }

// Position returns the position at which the configuration in force was written.
func (e *Entry) Position() fleet.Position {
	_, at := e.document()
	return at
}

// Configured returns the version of a model that the configuration in force assigns by
// default.
func (e *Entry) Configured(m fleet.Model) fleet.Version {
	doc, _ := e.document()
	if doc == nil {
		return ""
	}
	for _, d := range doc.Defaults.Models {
		if fleet.Model(d.Name) == m {
			return fleet.Version(d.Version)
		}
	}
	return ""
}

// Leave marks the entry as leaving, so that it refuses new work, and waits until the work
// in progress has finished or ctx ends. Work that does not finish by itself is ended in time to
// answer it. The stop must have begun.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.process.Info().Msg("leaving")
	w := &drainWait{entry: e, done: make(chan struct{})}
	go w.run()
	answer, cancel := e.stop.UntilAnswer(ctx)
	defer cancel()
	select {
	case <-w.done:
		return
	case <-answer.Done():
	}
	e.stop.End()
	select {
	case <-w.done:
	case <-ctx.Done():
		e.log.process.Warn().Msg("stop grace period expired with requests in progress")
	}
}

type drainWait struct {
	entry *Entry
	done  chan struct{}
}

func (w *drainWait) run() {
	w.entry.inFlight.Wait()
	close(w.done)
}

// ticker expires queued requests, detects pauses of the process and updates gauges.
type ticker struct{ e *Entry }

func (t *ticker) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.e.tick()
		}
	}
}

func (e *Entry) tick() {
	now := e.now()
	if e.pauseDetector.Observe(now) {
		e.resumed(now)
	}
	e.reqMu.Lock()
	admitted, expired := e.queue.Tick(now)
	e.notifyWaiters(admitted, expired)
	queued, inFlight := e.queue.Queued(), e.queue.InFlight()
	e.reqMu.Unlock()
	e.endListGrace(now)
	if now.Sub(e.lastCleanup) >= cleanupInterval {
		e.lastCleanup = now
		e.dropRemovedInstances(now)
	}
	e.opt.Metrics.Gauge("queued", float64(queued))
	e.opt.Metrics.Gauge("in_flight", float64(inFlight))
}

// cleanupInterval is the interval at which an entry drops the state of removed instances.
const cleanupInterval = 10 * time.Second

// dropRemovedInstances drops the load and crash records of instances that are no longer
// listed, and the connections to them.
func (e *Entry) dropRemovedInstances(now time.Time) {
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	if len(list) == 0 {
		return // the list was not received yet
	}
	addrs, ids := map[string]bool{}, map[fleet.InstanceID]bool{}
	for _, in := range list {
		addrs[in.Address], ids[in.ID] = true, true
	}
	e.reqMu.Lock()
	e.picker.Retain(func(id fleet.InstanceID) bool { return ids[id] })
	maps.DeleteFunc(e.running, func(id fleet.InstanceID, requests map[admit.RequestID]fleet.Fingerprint) bool {
		return !ids[id] && len(requests) == 0
	})
	maps.DeleteFunc(e.crashedIncarnations, func(id fleet.InstanceID, _ uint64) bool { return !ids[id] })
	e.reqMu.Unlock()
	e.opt.Pool.Retain(addrs, now)
}

// resumed invalidates the state from before a pause of this process.
func (e *Entry) resumed(now time.Time) {
	e.log.process.Warn().Msg(trace.MessageEntryPaused)
	e.opt.Metrics.Count("pauses", 1)
	e.cfgMu.Lock()
	e.node.Resumed(now)
	e.cfgMu.Unlock()
	e.memMu.Lock()
	e.table.Resumed(now)
	e.memMu.Unlock()
	e.reqMu.Lock()
	e.candidates = map[fleet.Model]candidateCache{}
	e.reqMu.Unlock()
}
