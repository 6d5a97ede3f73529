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

// loadTimeout limits a load command. Weights are large and engines load them slowly.
const loadTimeout = 15 * time.Minute

// maxDecisionAge is the maximum time between a decision and its command. A longer gap
// means that the process was paused in between.
const maxDecisionAge = time.Second

// engineDriver sends commands to the engine. No other part does.
type engineDriver struct {
	a                  *Agent
	wakeup             chan struct{}
	mu                 sync.Mutex // guards all fields below
	pauseDetector      *clock.PauseDetector
	state              engine.State
	isEngineUp         bool
	stateReadAt        time.Time
	readsStarted       uint64 // number of state reads started
	lastAppliedRead    uint64 // number of the last state read that was applied
	fence              *switchover.Fence
	takeover           *switchover.Takeover
	machines           map[fleet.Model]*switchover.Machine
	lastEvent          uint64 // sequence number of the last cache event
	cachedPrefixes     []uint64
	commandOutstanding bool // an engine command is in progress
	crashSuspected     bool // a request failed in a way that suggests an engine crash
}

func newEngineDriver(a *Agent, now time.Time) *engineDriver {
	e := a.opt.Settings.Engine
	return &engineDriver{
		a: a, wakeup: make(chan struct{}, 1), pauseDetector: clock.NewPauseDetector(pauseThreshold),
		takeover: switchover.NewTakeover(e.CommandTTL(), e.RefusesStaleCommands),
		machines: map[fleet.Model]*switchover.Machine{},
	}
}

// wake triggers the next step without waiting for the tick.
func (d *engineDriver) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// suspectCrash records a crash of the engine and triggers a read of its state.
func (d *engineDriver) suspectCrash() {
	d.mu.Lock()
	d.crashSuspected = true
	boot := d.state.Boot
	d.mu.Unlock()
	if d.a.gate.recordCrash(boot, d.a.now()) {
		d.a.log.engine.Error().Msg(trace.MessageEngineCrashed)
		d.a.attach.heartbeatNow()
	}
	d.wake()
}

// Run drives the engine until ctx is done.
func (d *engineDriver) Run(ctx context.Context) {
	if d.a.opt.Engine == nil {
		return
	}
	tick := time.NewTicker(driveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.wakeup:
		}
		d.step(ctx)
	}
}

func (d *engineDriver) step(ctx context.Context) {
	now := d.a.now()
	d.mu.Lock()
	paused := d.pauseDetector.Observe(now)
	readDue := paused || d.crashSuspected || now.Sub(d.stateReadAt) >= stateReadInterval
	d.mu.Unlock()
	if paused {
		d.resumed(now)
	}
	if readDue {
		d.readState(ctx)
	}
	plan, at := d.a.view.plan()
	if at.IsZero() {
		return
	}
	d.a.cache.applyPlan(ctx, plan, d.servingVersions())
	for _, p := range plan.Models {
		d.driveModel(ctx, p)
	}
}

// resumed invalidates the state from before a pause.
func (d *engineDriver) resumed(now time.Time) {
	d.a.log.process.Warn().Msg(trace.MessageAgentPaused)
	d.a.opt.Metrics.Count("pauses", 1)
	d.mu.Lock()
	d.takeover.Reset(d.a.opt.Settings.Engine.RefusesStaleCommands)
	for _, m := range d.machines {
		m.Resumed()
	}
	d.mu.Unlock()
	d.a.cache.resumed(now)
}

// stateTimeout limits a read of the engine's state.
const stateTimeout = time.Second

func (d *engineDriver) readState(ctx context.Context) {
	d.mu.Lock()
	d.readsStarted++
	read := d.readsStarted
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := d.a.opt.Engine.State(ctx)
	now := d.a.now()
	d.mu.Lock()
	if read < d.lastAppliedRead {
		// A read that started later has already been applied.
		d.mu.Unlock()
		return
	}
	d.lastAppliedRead = read
	wasUp, oldState := d.isEngineUp, d.state
	d.stateReadAt = now
	d.crashSuspected = false
	d.isEngineUp = err == nil
	if err == nil {
		d.state = state
		if d.fence == nil {
			d.fence = switchover.NewFence(state.Fence, now)
		}
	}
	d.mu.Unlock()
	restarted := err == nil && oldState.Boot != 0 && oldState.Boot != state.Boot
	if wasUp && err != nil || restarted {
		if d.a.gate.recordCrash(oldState.Boot, now) {
			d.a.log.engine.Error().Msg(trace.MessageEngineCrashed)
		}
		d.a.attach.heartbeatNow()
	}
	if err == nil && !wasUp {
		d.a.log.engine.Info().Uint64("boot", state.Boot).Msg("engine is up")
	}
	d.readEvents(ctx)
}

// maxCachedPrefixes limits the number of prefixes in one heartbeat.
const maxCachedPrefixes = 16

// readEvents follows the engine's cache events. A lost event only lowers the cache hit
// rate.
func (d *engineDriver) readEvents(ctx context.Context) {
	d.mu.Lock()
	after := d.lastEvent
	d.mu.Unlock()
	list, err := d.a.opt.Engine.Events(ctx, after)
	if err != nil || len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ev := range list {
		d.lastEvent = max(d.lastEvent, ev.Sequence)
		if ev.Stored {
			d.cachedPrefixes = append(d.cachedPrefixes, ev.Prefix)
		}
	}
	d.cachedPrefixes = d.cachedPrefixes[max(0, len(d.cachedPrefixes)-maxCachedPrefixes):]
}

// driveModel runs one step of a model's switchover and sends the resulting command.
func (d *engineDriver) driveModel(ctx context.Context, p config.ModelPlan) {
	now := d.a.now()
	in := d.input(p, now)
	d.mu.Lock()
	m := d.machine(p.Model)
	before := m.Phase()
	if d.commandOutstanding {
		in.CommandsOutstanding = true
	}
	action := m.Step(in, now)
	d.a.gate.setOpen(p.Model, m.AdmitsRequests())
	if action.Kind != switchover.ActionNone {
		d.commandOutstanding = true
		cmd := &engineCommand{driver: d, machine: m, model: p.Model, action: action, decidedAt: now, fence: d.fence.Next()}
		go cmd.run(ctx)
	}
	after := m.Phase()
	d.mu.Unlock()
	if before != after {
		d.a.log.engine.Info().Str("model", string(p.Model)).Str("version", p.Version.Short()).
			Str("phase", after.String()).Str("was", before.String()).Msg("phase")
		d.a.attach.heartbeatNow()
	}
}

// machine returns the switchover machine of a model, creating it if needed. mu must be
// held.
func (d *engineDriver) machine(m fleet.Model) *switchover.Machine {
	x, ok := d.machines[m]
	if !ok {
		x = switchover.New(switchover.DefaultSettings(d.a.self.ID, d.a.self.Zone), d.a.incarnation)
		d.machines[m] = x
	}
	return x
}

// input collects the inputs of the decision for a model.
func (d *engineDriver) input(p config.ModelPlan, now time.Time) switchover.Input {
	members := d.a.view.members()
	in := switchover.Input{
		Desired: p.Version, MinServing: p.MinServing, Leaving: d.a.leaving.Load(), CrashedWithRequests: d.a.gate.crashedWithRequests(),
		Complete: d.a.cache.isComplete, InFlight: d.a.gate.inFlight(p.Model), View: d.groupView(members, p.Model),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	in.Engine = d.engineState(p.Model)
	in.CommandsOutstanding = d.fence == nil || !d.takeover.Observe(in.Engine, now)
	return in
}

// engineState returns the state of one model in the engine. mu must be held.
func (d *engineDriver) engineState(m fleet.Model) switchover.Engine {
	e := switchover.Engine{Up: d.isEngineUp, TwoSlots: d.state.TwoSlots}
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

func (d *engineDriver) groupView(members []memberRecord, m fleet.Model) switchover.View {
	v := switchover.View{FailedOn: map[fleet.Version]int{}}
	self := d.a.self
	for _, r := range members {
		if r.Instance.Zone == self.Zone {
			v.ZoneSize++
		}
		if r.Instance.ID == self.ID || !r.HasHeartbeat {
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
			Intent: st.Intent, Promises: st.Promises, Leaving: r.Instance.Leaving, LastSeen: r.lastSeen,
		})
	}
	return v
}

// versionFor returns the version that a request runs on: the pinned version while it is
// loaded, otherwise the serving version.
func (d *engineDriver) versionFor(m fleet.Model, pinned fleet.Version) (fleet.Version, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.engineState(m)
	if !e.Up || e.Serving == "" {
		return "", false
	}
	if pinned == "" {
		return e.Serving, true
	}
	return pinned, slices.Contains(e.Loaded, pinned)
}

func (d *engineDriver) canResume() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.CanResume
}

// fillReport adds the state of the engine to a heartbeat.
func (d *engineDriver) fillReport(r *membership.Report) {
	plan, _ := d.a.view.plan()
	r.Crashed, r.CrashedIncarnation = d.a.gate.lastCrash(d.a.now())
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Load = membership.Load{
		Running: d.state.Running, Queued: d.state.Queued, Capacity: d.state.Capacity, CacheUsed: d.state.CacheUsed,
	}
	r.Cached = slices.Clone(d.cachedPrefixes)
	for _, p := range plan.Models {
		r.Models = append(r.Models, d.modelState(p))
	}
}

// modelState returns the state of one model for the heartbeat. mu must be held.
func (d *engineDriver) modelState(p config.ModelPlan) membership.ModelState {
	m := d.machine(p.Model)
	e := d.engineState(p.Model)
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
	if st.Serving != p.Version && d.a.cache.isComplete(p.Version) {
		st.Staged = p.Version
	}
	return st
}

// engineCommand is one command to the engine in progress.
type engineCommand struct {
	driver    *engineDriver
	machine   *switchover.Machine
	model     fleet.Model
	action    switchover.Action
	decidedAt time.Time
	fence     uint64
}

var errPaused = errors.New("process was paused between decision and command")

func (x *engineCommand) run(ctx context.Context) {
	err := x.send(ctx)
	d := x.driver
	// The machine must not compare its new expectation with a state read before the
	// command.
	d.readState(ctx)
	now := d.a.now()
	var staleErr *engine.StaleCommandError
	d.mu.Lock()
	switch {
	case errors.As(err, &staleErr):
		d.fence.Raise(staleErr.Seen)
		x.machine.RecordRefused(x.action, now)
	case errors.Is(err, errPaused):
		x.machine.RecordRefused(x.action, now)
	default:
		x.machine.RecordResponse(x.action, err, now)
	}
	d.commandOutstanding = false
	d.mu.Unlock()
	if err != nil {
		d.a.opt.Metrics.Count("engine_orders_failed", 1)
		d.a.log.engine.Warn().Str("order", x.action.Kind.String()).Str("version", x.action.Version.Short()).Err(err).Msg("engine command failed")
	}
	d.wake()
}

func (x *engineCommand) send(ctx context.Context) error {
	now := x.driver.a.now()
	if now.Sub(x.decidedAt) > maxDecisionAge {
		return errPaused
	}
	ttl := x.driver.a.opt.Settings.Engine.CommandTTL()
	cmd := engine.Command{Fence: x.fence, Expires: now.Add(ttl)}
	client := x.driver.a.opt.Engine
	switch x.action.Kind {
	case switchover.ActionLoad:
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		weights, size, err := x.driver.a.cache.weightsReader(x.action.Version)
		if err != nil {
			return err
		}
		return client.Load(ctx, cmd, x.model, x.action.Version, size, weights)
	case switchover.ActionActivate:
		ctx, cancel := context.WithTimeout(ctx, ttl)
		defer cancel()
		return client.Activate(ctx, cmd, x.model, x.action.Version)
	case switchover.ActionUnload:
		ctx, cancel := context.WithTimeout(ctx, ttl)
		defer cancel()
		return client.Unload(ctx, cmd, x.model, x.action.Version)
	}
	return nil
}

// servingVersions returns the version of each model that the engine serves.
func (d *engineDriver) servingVersions() map[fleet.Model]fleet.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[fleet.Model]fleet.Version{}
	for _, x := range d.state.Models {
		if d.isEngineUp {
			out[fleet.Model(x.Name)] = fleet.Version(x.Serving)
		}
	}
	return out
}
