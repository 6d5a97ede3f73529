// Package entry is the daemon on an entry instance: callers ask it which entry to
// use and send it requests and orders; it routes them to targets. It also tells
// agents their configuration and what their group does.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings), entry.Module)
//
// # Tables and locks
//
// Workers share three tables, each with its lock: the configuration (cfgMu), the
// members (memMu) and the requests (reqMu). A worker that needs two takes them
// in that order. No lock is held while anything is sent.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

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
	tickEvery     = 100 * time.Millisecond
	syncEvery     = time.Second
	watchWait     = 20 * time.Second
	listWait      = 20 * time.Second
	pauseLimit    = 2 * time.Second // a gap between ticks that means a pause
	platformRetry = 250 * time.Millisecond
	platformMax   = 10 * time.Second
)

// retryBurst is how many retries a budget saves up.
const retryBurst = 20

// Options are what an Entry is made of.
type Options struct {
	Settings *settings.Entry
	Clock    clock.Clock
	Logs     *telemetry.Logs
	Metrics  *telemetry.Metrics
	Platform *platform.Client
	Pool     *peer.Pool
	Ring     *keys.Ring
	Seed     uint64
}

// inForce is the configuration in force; it is replaced as a whole.
type inForce struct {
	doc *config.Document
	rev fleet.Revision
}

// Entry is one entry daemon.
type Entry struct {
	opt    Options
	self   fleet.Instance
	issuer *ticket.Issuer
	force  atomic.Pointer[inForce]

	cfgMu    sync.Mutex // guards node and listRev
	node     *configsync.Node
	listRev  fleet.Revision
	pulling  bool
	accepted chan struct{} // signals the announcer

	memMu    sync.Mutex // guards table and sessions
	table    *membership.Table
	sessions map[*session]struct{}

	reqMu       sync.Mutex // guards all below
	queue       *admit.Queue
	picker      *picker.Picker
	ledger      *crashblame.Ledger
	budgets     map[fleet.Workspace]*retry.Budget
	budget      *retry.Budget
	random      *rand.Rand
	nextID      admit.RequestID
	waiters     map[admit.RequestID]chan admit.Verdict
	running     map[fleet.InstanceID]map[admit.RequestID]fleet.Fingerprint
	offers      map[fleet.Model]offerCache
	boots       map[fleet.InstanceID]uint64
	provisional map[fleet.InstanceID]provisionalBlame
	orders      int
	inFlight    sync.WaitGroup

	leaving  atomic.Bool
	jump     *clock.PauseDetector
	forgotAt time.Time // used by the ticker only
	log      logs
}

type logs struct {
	config, members, requests, orders, process zerolog.Logger
}

// New returns an entry that does nothing until its loops run.
func New(o Options) *Entry {
	s := o.Settings
	self := s.Identity(fleet.RoleEntry, "", s.Listen.Peers)
	self.CallerAddress = s.Listen.Callers
	random := rand.New(rand.NewPCG(o.Seed, 1))
	now := o.Clock.Now()
	e := &Entry{
		opt: o, self: self, issuer: ticket.NewIssuer(o.Ring),
		node:        configsync.NewNode(configsync.DefaultSettings(self.ID, self.Zone), o.Ring, rand.New(rand.NewPCG(o.Seed, 2)), now),
		accepted:    make(chan struct{}, 1),
		table:       membership.NewTable(membership.DefaultSettings),
		sessions:    map[*session]struct{}{},
		picker:      picker.NewPicker(picker.DefaultSettings, rand.New(rand.NewPCG(o.Seed, 3))),
		ledger:      crashblame.NewLedger(crashblame.DefaultSettings),
		budgets:     map[fleet.Workspace]*retry.Budget{},
		budget:      retry.NewBudget(config.DefaultRetryShare, retryBurst),
		random:      random,
		waiters:     map[admit.RequestID]chan admit.Verdict{},
		running:     map[fleet.InstanceID]map[admit.RequestID]fleet.Fingerprint{},
		offers:      map[fleet.Model]offerCache{},
		boots:       map[fleet.InstanceID]uint64{},
		provisional: map[fleet.InstanceID]provisionalBlame{},
		jump:        clock.NewPauseDetector(pauseLimit),
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

// document returns the configuration in force, nil before the first.
func (e *Entry) document() (*config.Document, fleet.Revision) {
	f := e.force.Load()
	if f == nil {
		return nil, 0
	}
	return f.doc, f.rev
}

func (e *Entry) limitsFor(w fleet.Workspace) admit.Limits {
	doc, _ := e.document()
	if doc == nil {
		return admit.Limits{Weight: 1, MaxQueued: config.DefaultQueuePerWorkspace}
	}
	l := doc.LimitsFor(w)
	return admit.Limits{Weight: l.Weight, MaxQueued: l.Queue}
}

// Ready tells whether the entry can serve: it has a configuration and stays.
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

// Revision returns the revision in force.
func (e *Entry) Revision() fleet.Revision {
	_, rev := e.document()
	return rev
}

// Leave makes the entry refuse new work and waits until the work in progress has
// ended or ctx ends.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	e.log.process.Info().Msg("leaving")
	w := &drainWait{entry: e, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
	case <-ctx.Done():
		e.log.process.Warn().Msg("stop grace passed with requests in progress")
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

// ticker expires queued requests, finds pauses and updates gauges.
type ticker struct{ e *Entry }

func (t *ticker) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
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
	if e.jump.Observe(now) {
		e.resumed(now)
	}
	e.reqMu.Lock()
	admitted, expired := e.queue.Tick(now)
	e.wake(admitted, expired)
	queued, flying := e.queue.Queued(), e.queue.InFlight()
	e.reqMu.Unlock()
	if now.Sub(e.forgotAt) >= forgetEvery {
		e.forgotAt = now
		e.forgetGone(now)
	}
	e.opt.Metrics.Gauge("queued", float64(queued))
	e.opt.Metrics.Gauge("in_flight", float64(flying))
}

// forgetEvery is how often an entry drops what it knows of instances that are gone.
const forgetEvery = 10 * time.Second

// forgetGone drops the loads of replaced targets and the connections to them.
func (e *Entry) forgetGone(now time.Time) {
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	if len(list) == 0 {
		return // the list is not known
	}
	addrs, ids := map[string]bool{}, map[fleet.InstanceID]bool{}
	for _, in := range list {
		addrs[in.Address], ids[in.ID] = true, true
	}
	e.reqMu.Lock()
	e.picker.Retain(func(id fleet.InstanceID) bool { return ids[id] })
	maps.DeleteFunc(e.running, func(id fleet.InstanceID, r map[admit.RequestID]fleet.Fingerprint) bool {
		return !ids[id] && len(r) == 0
	})
	maps.DeleteFunc(e.boots, func(id fleet.InstanceID, _ uint64) bool { return !ids[id] })
	e.reqMu.Unlock()
	e.opt.Pool.Keep(addrs, now)
}

// resumed voids what was believed before a pause of this process.
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
	e.offers = map[fleet.Model]offerCache{}
	e.reqMu.Unlock()
}
