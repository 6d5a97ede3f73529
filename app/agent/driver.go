package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/switchover"
	"amaranthturn/core/trace"
	"amaranthturn/io/engine"
)

// loadTimeout bounds a load; weights are large and engines slow to take them.
const loadTimeout = 15 * time.Minute

// freshLook is how long after a decision an order may still be sent. A longer gap
// means that the process was paused in between.
const freshLook = time.Second

// driver gives orders to the engine; nothing else does.
type driver struct {
	a        *Agent
	kicked   chan struct{}
	mu       sync.Mutex // guards all below
	jump     *clock.PauseDetector
	state    engine.State
	up       bool
	readAt   time.Time
	reads    uint64 // reads of the state that began
	applied  uint64 // the last of them that was taken
	fence    *switchover.Fence
	takeover *switchover.Takeover
	machines map[fleet.Model]*switchover.Machine
	events   uint64 // sequence of the last cache event
	cached   []uint64
	busy     bool // an order is under way
	dead     bool // a request found the engine gone
}

func newDriver(a *Agent, now time.Time) *driver {
	e := a.opt.Settings.Engine
	return &driver{
		a: a, kicked: make(chan struct{}, 1), jump: clock.NewPauseDetector(pauseLimit),
		takeover: switchover.NewTakeover(e.OrderLife(), e.RefusesOldOrders),
		machines: map[fleet.Model]*switchover.Machine{},
	}
}

// wake makes the driver look now.
func (d *driver) wake() {
	select {
	case d.kicked <- struct{}{}:
	default:
	}
}

// suspectDeath makes the driver read the engine's state now.
func (d *driver) suspectDeath() {
	d.mu.Lock()
	d.dead = true
	boot := d.state.Boot
	d.mu.Unlock()
	if d.a.gate.engineDied(boot, d.a.now()) {
		d.a.log.engine.Error().Msg(trace.MessageEngineCrashed)
		d.a.attach.kick()
	}
	d.wake()
}

// Run drives the engine until ctx ends.
func (d *driver) Run(ctx context.Context) {
	if d.a.opt.Engine == nil {
		return
	}
	tick := time.NewTicker(driveEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.kicked:
		}
		d.step(ctx)
	}
}

func (d *driver) step(ctx context.Context) {
	now := d.a.now()
	d.mu.Lock()
	jumped := d.jump.Observe(now)
	stale := jumped || d.dead || now.Sub(d.readAt) >= stateEvery
	d.mu.Unlock()
	if jumped {
		d.resumed(now)
	}
	if stale {
		d.read(ctx)
	}
	plan, rev := d.a.view.plan()
	if rev == 0 {
		return
	}
	d.a.cache.want(ctx, plan, d.servingAll())
	for _, p := range plan.Models {
		d.drive(ctx, p)
	}
}

// resumed voids what was believed before a pause.
func (d *driver) resumed(now time.Time) {
	d.a.log.process.Warn().Msg(trace.MessageAgentPaused)
	d.a.opt.Metrics.Count("pauses", 1)
	d.mu.Lock()
	d.takeover.Reset(d.a.opt.Settings.Engine.RefusesOldOrders)
	for _, m := range d.machines {
		m.Resumed()
	}
	d.mu.Unlock()
	d.a.cache.resumed(now)
}

// stateTimeout bounds a read of the engine's state.
const stateTimeout = time.Second

func (d *driver) read(ctx context.Context) {
	d.mu.Lock()
	d.reads++
	turn := d.reads
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	st, err := d.a.opt.Engine.State(ctx)
	now := d.a.now()
	d.mu.Lock()
	if turn < d.applied {
		// A read that began later has been taken: this one is older than it.
		d.mu.Unlock()
		return
	}
	d.applied = turn
	wasUp, old := d.up, d.state
	d.readAt = now
	d.dead = false
	d.up = err == nil
	if err == nil {
		d.state = st
		if d.fence == nil {
			d.fence = switchover.NewFence(st.Fence, now)
		}
	}
	d.mu.Unlock()
	restarted := err == nil && old.Boot != 0 && old.Boot != st.Boot
	if wasUp && err != nil || restarted {
		if d.a.gate.engineDied(old.Boot, now) {
			d.a.log.engine.Error().Msg(trace.MessageEngineCrashed)
		}
		d.a.attach.kick()
	}
	if err == nil && !wasUp {
		d.a.log.engine.Info().Uint64("boot", st.Boot).Msg("engine is up")
	}
	d.readEvents(ctx)
}

// maxCached bounds the prefixes in one heartbeat.
const maxCached = 16

// readEvents follows the engine's cache; what is lost shows as a worse hit rate
// only.
func (d *driver) readEvents(ctx context.Context) {
	d.mu.Lock()
	after := d.events
	d.mu.Unlock()
	list, err := d.a.opt.Engine.Events(ctx, after)
	if err != nil || len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ev := range list {
		d.events = max(d.events, ev.Sequence)
		if ev.Stored {
			d.cached = append(d.cached, ev.Prefix)
		}
	}
	d.cached = d.cached[max(0, len(d.cached)-maxCached):]
}

// drive decides about one model and sends what was decided.
func (d *driver) drive(ctx context.Context, p config.ModelPlan) {
	now := d.a.now()
	in := d.input(p, now)
	d.mu.Lock()
	m := d.machine(p.Model)
	before := m.Phase()
	if d.busy {
		in.CommandsOutstanding = true
	}
	act := m.Step(in, now)
	d.a.gate.setOpen(p.Model, m.AdmitsRequests())
	if act.Kind != switchover.ActionNone {
		d.busy = true
		x := &engineOrder{d: d, m: m, model: p.Model, act: act, decided: now, fence: d.fence.Next()}
		go x.run(ctx)
	}
	after := m.Phase()
	d.mu.Unlock()
	if before != after {
		d.a.log.engine.Info().Str("model", string(p.Model)).Str("version", p.Version.Short()).
			Str("phase", after.String()).Str("was", before.String()).Msg("phase")
		d.a.attach.kick()
	}
}

// machine returns the machine of a model. mu is held.
func (d *driver) machine(m fleet.Model) *switchover.Machine {
	x, ok := d.machines[m]
	if !ok {
		x = switchover.New(switchover.DefaultSettings(d.a.self.ID, d.a.self.Zone), d.a.incarnation)
		d.machines[m] = x
	}
	return x
}

// input gathers what the decision about a model depends on.
func (d *driver) input(p config.ModelPlan, now time.Time) switchover.Input {
	rows := d.a.view.members()
	in := switchover.Input{
		Desired: p.Version, MinServing: p.MinServing, Leaving: d.a.leaving.Load(), CrashedWithRequests: d.a.gate.diedBusy(),
		Complete: d.a.cache.complete, InFlight: d.a.gate.inFlight(p.Model), View: d.groupView(rows, p.Model),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	in.Engine = d.engineOf(p.Model)
	in.CommandsOutstanding = d.fence == nil || !d.takeover.Observe(in.Engine, now)
	return in
}

// engineOf returns the state of one model in the engine. mu is held.
func (d *driver) engineOf(m fleet.Model) switchover.Engine {
	e := switchover.Engine{Up: d.up, TwoSlots: d.state.TwoSlots}
	for _, x := range d.state.Models {
		if x.Name != string(m) {
			continue
		}
		e.Serving = fleet.Version(x.Serving)
		for _, v := range x.Loaded {
			e.Loaded = append(e.Loaded, fleet.Version(v))
		}
	}
	return e
}

func (d *driver) groupView(rows []seen, m fleet.Model) switchover.View {
	v := switchover.View{FailedOn: map[fleet.Version]int{}}
	self := d.a.self
	for _, r := range rows {
		if r.Instance.Zone == self.Zone {
			v.ZoneSize++
		}
		if r.Instance.ID == self.ID || !r.Heard {
			continue
		}
		i := slices.IndexFunc(r.Models, func(s membership.ModelState) bool { return s.Model == m })
		if i < 0 {
			continue
		}
		st := r.Models[i]
		if st.Failures > 0 {
			v.FailedOn[st.Desired]++
		}
		v.Members = append(v.Members, switchover.Member{
			ID: r.Instance.ID, Zone: r.Instance.Zone, Serving: st.Serving, Staged: st.Staged, Phase: st.Phase,
			Intent: st.Intent, Promises: st.Promises, Leaving: r.Instance.Leaving, LastSeen: r.heardAt,
		})
	}
	return v
}

// versionFor returns the version that a request runs on: the pinned one while
// the engine holds it, or else what is served.
func (d *driver) versionFor(m fleet.Model, pinned fleet.Version) (fleet.Version, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.engineOf(m)
	if !e.Up || e.Serving == "" {
		return "", false
	}
	if pinned == "" {
		return e.Serving, true
	}
	return pinned, slices.Contains(e.Loaded, pinned)
}

func (d *driver) canResume() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.CanResume
}

// fill adds the engine's part of a heartbeat.
func (d *driver) fill(r *membership.Report) {
	plan, _ := d.a.view.plan()
	r.Crashed, r.CrashBoot = d.a.gate.lastCrash(d.a.now())
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Load = membership.Load{
		Running: d.state.Running, Queued: d.state.Queued, Capacity: d.state.Capacity, CacheUsed: d.state.CacheUsed,
	}
	r.Cached = slices.Clone(d.cached)
	for _, p := range plan.Models {
		r.Models = append(r.Models, d.modelState(p))
	}
}

// modelState describes one model for the entries. mu is held.
func (d *driver) modelState(p config.ModelPlan) membership.ModelState {
	m := d.machine(p.Model)
	e := d.engineOf(p.Model)
	st := membership.ModelState{
		Model: p.Model, Desired: p.Version, Loaded: e.Loaded, Phase: m.Phase(), TwoSlots: e.TwoSlots,
		Failures: m.Failures(p.Version), Intent: m.Intent(), Promises: m.Promises(),
	}
	if e.Up {
		st.Serving = e.Serving
	}
	if w := m.Waiting(); w != switchover.WaitNothing {
		st.WaitsFor = w.String()
	}
	if st.Serving != p.Version && d.a.cache.complete(p.Version) {
		st.Staged = p.Version
	}
	return st
}

// engineOrder is one order to the engine under way.
type engineOrder struct {
	d       *driver
	m       *switchover.Machine
	model   fleet.Model
	act     switchover.Action
	decided time.Time
	fence   uint64
}

var errPaused = errors.New("process was paused between decision and order")

func (x *engineOrder) run(ctx context.Context) {
	err := x.send(ctx)
	d := x.d
	// The machine must not compare what it now expects with a state from before.
	d.read(ctx)
	now := d.a.now()
	var stale *engine.StaleOrderError
	d.mu.Lock()
	switch {
	case errors.As(err, &stale):
		d.fence.Raise(stale.Seen)
		x.m.Refused(x.act, now)
	case errors.Is(err, errPaused):
		x.m.Refused(x.act, now)
	default:
		x.m.Finished(x.act, err, now)
	}
	d.busy = false
	d.mu.Unlock()
	if err != nil {
		d.a.opt.Metrics.Count("engine_orders_failed", 1)
		d.a.log.engine.Warn().Str("order", x.act.Kind.String()).Str("version", x.act.Version.Short()).Err(err).Msg("order failed")
	}
	d.wake()
}

func (x *engineOrder) send(ctx context.Context) error {
	now := x.d.a.now()
	if now.Sub(x.decided) > freshLook {
		return errPaused
	}
	life := x.d.a.opt.Settings.Engine.OrderLife()
	o := engine.Order{Fence: x.fence, Expires: now.Add(life)}
	c := x.d.a.opt.Engine
	switch x.act.Kind {
	case switchover.ActionLoad:
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		weights, size, err := x.d.a.cache.reader(x.act.Version)
		if err != nil {
			return err
		}
		return c.Load(ctx, o, x.model, x.act.Version, size, weights)
	case switchover.ActionActivate:
		ctx, cancel := context.WithTimeout(ctx, life)
		defer cancel()
		return c.Activate(ctx, o, x.model, x.act.Version)
	case switchover.ActionUnload:
		ctx, cancel := context.WithTimeout(ctx, life)
		defer cancel()
		return c.Unload(ctx, o, x.model, x.act.Version)
	}
	return nil
}

// servingAll returns the version that the engine serves of each model.
func (d *driver) servingAll() map[fleet.Model]fleet.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[fleet.Model]fleet.Version{}
	for _, x := range d.state.Models {
		if d.up {
			out[fleet.Model(x.Name)] = fleet.Version(x.Serving)
		}
	}
	return out
}
