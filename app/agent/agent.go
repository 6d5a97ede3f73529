// Package agent is the daemon that runs on a target instance next to an engine or a
// plain service. It fetches and verifies weights, sends commands to the local engine,
// admits requests to the engine or the service, reports load, and drains before it stops.
//
// # Usage
//
//	app := fx.New(fx.Supply(settings, overrides), agent.Module)
//
// # Parts
//
// The entry streams connect the agent to the entries of its zone. Only the driver sends
// commands to the engine. The weight cache holds weights in memory, and one distribution
// for each version fetches its chunks. The gate counts the running requests.
//
// Each part has its own lock and calls another part only in the order view, driver,
// cache, gate. No lock is held while anything is sent.
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

// Intervals of the agent's loops.
const (
	heartbeatInterval = time.Second
	probeInterval     = 250 * time.Millisecond // heartbeat interval while weights are fetched
	driveInterval     = 50 * time.Millisecond
	stateReadInterval = 300 * time.Millisecond // interval between reads of the engine's state
	pauseThreshold    = 2 * time.Second        // a longer gap between ticks means that the process was paused
)

// Options holds the dependencies of an Agent. Engine or Service may be nil.
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
	driver      *engineDriver
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

// New returns an agent. The caller starts its loops.
func New(o Options) *Agent {
	s := o.Settings
	now := o.Clock.Now()
	a := &Agent{
		opt: o, self: s.Identity(fleet.RoleTarget, fleet.Pool(s.Pool), s.Listen.Peers),
		// The start time identifies the incarnation. The platform never runs two
		// agents of one instance at once, and a replacement starts later.
		incarnation: fleet.Incarnation(now.UnixMilli()),
		log: logs{
			config: o.Logs.Of(telemetry.SubsystemConfig), members: o.Logs.Of(telemetry.SubsystemMembers),
			weights: o.Logs.Of(telemetry.SubsystemWeights), engine: o.Logs.Of(telemetry.SubsystemEngine),
			orders: o.Logs.Of(telemetry.SubsystemOrders), process: o.Logs.Of(telemetry.SubsystemProcess),
		},
	}
	a.view = newView(configsync.NewPlanHolder(o.Ring, a.self.ID))
	a.gate = newGate()
	a.pace = newPacing(fleet.Bytes(s.Weights.LinkBytesPerSecond))
	a.cache = newWeightCache(a)
	a.driver = newEngineDriver(a, now)
	a.orders = &orders{a: a, table: ticket.NewTable(a.self.ID, a.incarnation, ticket.DefaultLimits), running: map[ticket.ID]*orderJob{}}
	a.attach = newAttachments(a)
	return a
}

func (a *Agent) now() time.Time { return a.opt.Clock.Now() }

// Ready reports whether the agent accepts work and, if not, why.
func (a *Agent) Ready() (bool, string) {
	if a.leaving.Load() {
		return false, "leaving"
	}
	if _, at := a.view.plan(); at.IsZero() {
		return false, "no configuration accepted yet"
	}
	return true, ""
}

// Position returns the position of the plan in force.
func (a *Agent) Position() fleet.Position {
	_, at := a.view.plan()
	return at
}

// Configured returns the version of a model that the plan in force assigns.
func (a *Agent) Configured(m fleet.Model) fleet.Version {
	plan, _ := a.view.plan()
	for _, p := range plan.Models {
		if p.Model == m {
			return p.Version
		}
	}
	return ""
}

// Leave makes the agent refuse new work, notifies the entries, and waits until the work
// in progress has ended or ctx is done.
func (a *Agent) Leave(ctx context.Context) {
	if a.leaving.Swap(true) {
		return
	}
	a.log.process.Info().Msg("leaving")
	a.orders.leave()
	a.attach.heartbeatNow()
	tick := time.NewTicker(driveInterval)
	defer tick.Stop()
	for !a.isIdle() {
		select {
		case <-ctx.Done():
			a.log.process.Warn().Msg("stop grace period expired with requests in progress")
			return
		case <-tick.C:
		}
	}
}

// isIdle reports whether no request and no order is in progress.
func (a *Agent) isIdle() bool { return a.gate.count() == 0 && a.orders.count() == 0 }

// report builds the next heartbeat.
func (a *Agent) report() membership.Report {
	plan, at := a.view.plan()
	r := membership.Report{
		Instance: a.self.ID, Incarnation: a.incarnation, Region: a.self.Region, Zone: a.self.Zone, Pool: a.self.Pool,
		Address: a.self.Address, Position: at, Leaving: a.leaving.Load() || a.view.isListedLeaving(a.self.ID),
		Sequence: a.sequence.Add(1), ChecksCommandSender: a.opt.Settings.Engine.ChecksSender,
	}
	if a.opt.Service != nil {
		r.Services = slices.Clone(plan.Services)
		r.Load.Capacity = serviceCapacity
		r.Load.Running = a.gate.count()
	}
	if a.opt.Engine != nil {
		a.driver.fillReport(&r)
		a.cache.fillReport(&r)
	}
	return r
}

// serviceCapacity is the assumed capacity of a plain service, in concurrent requests.
const serviceCapacity = 64

// view holds the group members, the home entries, to which the agent attaches, and the plan,
// which is the configuration resolved for this instance. All are received from the entries.
type view struct {
	mu      sync.Mutex // guards all fields below
	holder  *configsync.PlanHolder
	byEntry map[fleet.InstanceID]map[fleet.InstanceID]memberRecord
	homes   []fleet.Instance
}

// memberRecord is a member's state with the local time at which it was current.
type memberRecord struct {
	peer.MemberInfo
	lastSeen time.Time
}

func newView(h *configsync.PlanHolder) *view {
	return &view{holder: h, byEntry: map[fleet.InstanceID]map[fleet.InstanceID]memberRecord{}}
}

// applyNotice records a notice of an entry and returns the result for the plan in it.
func (v *view) applyNotice(from fleet.InstanceID, n peer.Notice, now time.Time) configsync.Result {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n.Entries != nil {
		v.homes = n.Entries
	}
	records := v.byEntry[from]
	if records == nil || n.Replace {
		records = map[fleet.InstanceID]memberRecord{}
		v.byEntry[from] = records
	}
	for _, m := range n.Members {
		records[m.Instance.ID] = memberRecord{m, now.Add(-m.Age)}
	}
	if n.Plan == nil {
		return configsync.Result{Verdict: configsync.Known}
	}
	return v.holder.Offer(*n.Plan)
}

// removeEntry deletes the member records received from an entry.
func (v *view) removeEntry(from fleet.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byEntry, from)
}

func (v *view) setHomeEntries(list []fleet.Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.homes = list
}

func (v *view) homeEntries() []fleet.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.homes)
}

// members returns the most recent record of every instance of the group, sorted by ID.
func (v *view) members() []memberRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	best := map[fleet.InstanceID]memberRecord{}
	for _, records := range v.byEntry {
		for id, r := range records {
			old, ok := best[id]
			if !ok || isFresher(r, old) {
				best[id] = r
			}
		}
	}
	out := make([]memberRecord, 0, len(best))
	for _, r := range best {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y memberRecord) int {
		if x.Instance.ID < y.Instance.ID {
			return -1
		}
		return 1
	})
	return out
}

func isFresher(a, b memberRecord) bool {
	if a.HasHeartbeat != b.HasHeartbeat {
		return a.HasHeartbeat
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.lastSeen.After(b.lastSeen)
}

func (v *view) isListedLeaving(self fleet.InstanceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, records := range v.byEntry {
		if r, ok := records[self]; ok && r.Instance.Leaving {
			return true
		}
	}
	return false
}

// plan returns the plan in force and its position, which is zero if no plan is in force
// yet.
func (v *view) plan() (config.TargetPlan, fleet.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Plan()
}
