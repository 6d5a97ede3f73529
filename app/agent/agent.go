// Package agent is the one small process in a target instance's slot. It fetches
// and verifies weights, gives the local engine its orders, lets requests through
// to the engine or the plain service, reports load, and drains.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings, overrides), agent.Module)
//
// # Parts
//
// The attachers keep streams to the entries of the zone. The driver alone gives
// orders to the engine. The weight cache holds weights, and a distribution for each
// version brings its chunks in. The gate counts the requests that run.
//
// Each part has its lock and calls another part only in the order view, driver,
// cache, gate; no lock is held while anything is sent.
package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/configsync"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/membership"
	"amaranthturn/core/ticket"
	"amaranthturn/io/engine"
	"amaranthturn/io/origin"
	"amaranthturn/io/peer"
	"amaranthturn/io/platform"
	"amaranthturn/io/service"
)

// Timing of the agent's loops.
const (
	heartbeatEvery = time.Second
	probeEvery     = 250 * time.Millisecond // heartbeats while weights move
	driveEvery     = 50 * time.Millisecond
	stateEvery     = 300 * time.Millisecond // reads of the engine's state
	pauseLimit     = 2 * time.Second
)

// Options are what an Agent is made of. Engine or Service may be nil.
type Options struct {
	Settings *settings.Agent
	Clock    clock.Clock
	Logs     *telemetry.Logs
	Metrics  *telemetry.Metrics
	Platform *platform.Client
	Origin   *origin.Client
	Engine   *engine.Client
	Service  *service.Client
	Pool     *peer.Pool
	Ring     *keys.Ring
	Seed     uint64
}

// Agent is one agent daemon.
type Agent struct {
	opt         Options
	self        fleet.Instance
	incarnation fleet.Incarnation
	view        *view
	gate        *gate
	cache       *weightCache
	driver      *driver
	orders      *orders
	attach      *attachments
	pace        *pacing
	leaving     atomic.Bool
	sequence    atomic.Uint64
	log         logs
}

type logs struct {
	config, members, weights, engine, orders, process zerolog.Logger
}

// New returns an agent that does nothing until its loops run.
func New(o Options) *Agent {
	s := o.Settings
	now := o.Clock.Now()
	a := &Agent{
		opt: o, self: s.Identity(fleet.RoleTarget, fleet.Pool(s.Pool), s.Listen.Peers),
		// Runs of one instance are told apart by their start; the platform
		// never runs two at once, and a replacement starts later.
		incarnation: fleet.Incarnation(now.UnixMilli()),
		log: logs{
			config: o.Logs.Of(telemetry.SubsystemConfig), members: o.Logs.Of(telemetry.SubsystemMembers),
			weights: o.Logs.Of(telemetry.SubsystemWeights), engine: o.Logs.Of(telemetry.SubsystemEngine),
			orders: o.Logs.Of(telemetry.SubsystemOrders), process: o.Logs.Of(telemetry.SubsystemProcess),
		},
	}
	a.view = newView(configsync.NewPlanHolder(o.Ring, a.self.ID))
	a.gate = newGate()
	a.pace = newPacing(fleet.Bytes(s.Weights.LinkBytes))
	a.cache = newWeightCache(a)
	a.driver = newDriver(a, now)
	a.orders = &orders{a: a, table: ticket.NewTable(a.self.ID, a.incarnation, ticket.DefaultLimits), waits: map[ticket.ID]chan struct{}{}}
	a.attach = newAttachments(a)
	return a
}

func (a *Agent) now() time.Time { return a.opt.Clock.Now() }

// Ready tells whether the agent can be sent work.
func (a *Agent) Ready() (bool, string) {
	if a.leaving.Load() {
		return false, "leaving"
	}
	if _, rev := a.view.plan(); rev == 0 {
		return false, "no configuration accepted yet"
	}
	return true, ""
}

// Revision returns the revision in force.
func (a *Agent) Revision() fleet.Revision {
	_, rev := a.view.plan()
	return rev
}

// Leave makes the agent refuse new work, tells the entries, and waits until the
// work in progress has ended or ctx ends.
func (a *Agent) Leave(ctx context.Context) {
	if a.leaving.Swap(true) {
		return
	}
	a.log.process.Info().Msg("leaving")
	a.orders.leave()
	a.attach.kick()
	tick := time.NewTicker(driveEvery)
	defer tick.Stop()
	for !a.idle() {
		select {
		case <-ctx.Done():
			a.log.process.Warn().Msg("stop grace passed with requests in progress")
			return
		case <-tick.C:
		}
	}
}

// idle tells whether no request and no order is in progress.
func (a *Agent) idle() bool { return a.gate.count() == 0 && a.orders.running() == 0 }

// report returns the next heartbeat.
func (a *Agent) report() membership.Report {
	plan, rev := a.view.plan()
	r := membership.Report{
		Instance: a.self.ID, Incarnation: a.incarnation, Region: a.self.Region, Zone: a.self.Zone, Pool: a.self.Pool,
		Address: a.self.Address, Revision: rev, Leaving: a.leaving.Load() || a.view.leavingByList(a.self.ID),
		Sequence: a.sequence.Add(1), ChecksOrder: a.opt.Settings.Engine.ChecksSender,
	}
	if a.opt.Service != nil {
		r.Services = slices.Clone(plan.Services)
		r.Load.Capacity = serviceCapacity
		r.Load.Running = a.gate.count()
	}
	if a.opt.Engine != nil {
		a.driver.fill(&r)
		a.cache.fill(&r)
	}
	return r
}

// serviceCapacity is the assumed capacity of a plain service, in requests.
const serviceCapacity = 64

// view is what the agent was told by entries.
type view struct {
	mu      sync.Mutex // guards all below
	holder  *configsync.PlanHolder
	byEntry map[fleet.InstanceID]map[fleet.InstanceID]seen
	homes   []fleet.Instance
}

// seen is a row with the local time at which it was true.
type seen struct {
	peer.MemberInfo
	heardAt time.Time
}

func newView(h *configsync.PlanHolder) *view {
	return &view{holder: h, byEntry: map[fleet.InstanceID]map[fleet.InstanceID]seen{}}
}

// take records a notice and tells whether the plan changed.
func (v *view) take(from fleet.InstanceID, n peer.Notice, now time.Time) configsync.Result {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n.Entries != nil {
		v.homes = n.Entries
	}
	rows := v.byEntry[from]
	if rows == nil || n.Replace {
		rows = map[fleet.InstanceID]seen{}
		v.byEntry[from] = rows
	}
	for _, m := range n.Members {
		rows[m.Instance.ID] = seen{m, now.Add(-m.Age)}
	}
	if n.Plan == nil {
		return configsync.Result{Verdict: configsync.Known}
	}
	return v.holder.Offer(*n.Plan)
}

// forget drops what an entry told.
func (v *view) forget(from fleet.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byEntry, from)
}

func (v *view) setHomes(list []fleet.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.homes = list
}

func (v *view) homeEntries() []fleet.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.homes)
}

// members returns the freshest row of every instance of the group, sorted by id.
func (v *view) members() []seen {
	v.mu.Lock()
	defer v.mu.Unlock()
	best := map[fleet.InstanceID]seen{}
	for _, rows := range v.byEntry {
		for id, r := range rows {
			old, ok := best[id]
			if !ok || fresher(r, old) {
				best[id] = r
			}
		}
	}
	out := make([]seen, 0, len(best))
	for _, r := range best {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y seen) int {
		if x.Instance.ID < y.Instance.ID {
			return -1
		}
		return 1
	})
	return out
}

func fresher(a, b seen) bool {
	if a.Heard != b.Heard {
		return a.Heard
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.heardAt.After(b.heardAt)
}

func (v *view) leavingByList(self fleet.InstanceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, rows := range v.byEntry {
		if r, ok := rows[self]; ok && r.Instance.Leaving {
			return true
		}
	}
	return false
}

// plan returns the plan in force and its revision, 0 before the first.
func (v *view) plan() (config.TargetPlan, fleet.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Plan()
}
