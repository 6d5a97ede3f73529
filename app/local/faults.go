package local

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/engine"
	"amaranthturn/standin/load"
	"amaranthturn/standin/weights"
)

// Fault is the name of a fault that can be injected into a run.
type Fault string

// faultKind describes a fault and how it is injected.
type faultKind struct {
	name Fault
	help string
	// before runs before the new version is published, during runs after it.
	before func(*run, context.Context)
	during func(*run, context.Context)
}

// Timing of the faults.
const (
	faultDelay           = 800 * time.Millisecond // from the publication to the fault
	faultDuration        = 4 * time.Second
	instanceListDelay    = 3 * time.Second // from a crash until the platform's list omits the instance
	crashRequestAttempts = 6
	configBound          = 7 * time.Second // from a publication until it is in force everywhere
)

var faultTable = []faultKind{
	{name: "kill-runner", help: "a runner crashes during the transfer and is replaced", during: killRunner},
	{name: "kill-entry", help: "an entry crashes", during: killEntry},
	{name: "kill-orders", help: "an order runner crashes and is replaced", during: killOrders},
	{name: "stop-runner", help: "a runner is stopped as planned and replaced", during: stopRunner},
	{name: "stop-entry", help: "an entry is stopped as planned", during: stopEntry},
	{name: "stall-link", help: "a runner's link stalls without closing", during: stallLink},
	{name: "corrupt-origin", help: "the origin serves corrupt ranges", before: corruptOrigin},
	{name: "throttle-origin", help: "the origin throttles requests", before: throttleOrigin},
	{name: "origin-down", help: "the origin is temporarily down", during: originDown},
	{name: "version-change", help: "a newer version is published during the distribution", during: versionChange},
	{name: "platform-down", help: "the configuration service is temporarily down", during: platformDown},
	{name: "platform-stale", help: "the configuration service temporarily serves the previous revision", during: platformStale},
	{name: "restore-platform", help: "the configuration service is restored from a copy that lacks the latest revision", before: snapshotPlatform, during: restorePlatform},
	{name: "refused-config", help: "a configuration that daemons refuse is published before the new version", before: refusedConfig},
	{name: "partition", help: "a region is temporarily cut off", during: partition},
	{name: "crash-request", help: "a request crashes every engine that runs it and is sent repeatedly", during: crashRequest},
	{name: "engine-crash", help: "an engine crashes and restarts without weights", during: engineCrash},
	{name: "shed-engine", help: "an engine refuses requests and asks for a pause", during: shedEngine},
	{name: "slow-orders", help: "orders take longer than the callers' timeout", before: slowOrders},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	out := make([]string, len(faultTable))
	for i, k := range faultTable {
		out[i] = string(k.name)
	}
	return out
}

// FaultHelp returns one line with name and description for each fault.
func FaultHelp() string {
	s := ""
	for _, k := range faultTable {
		s += fmt.Sprintf("  %-16s %s\n", k.name, k.help)
	}
	return s
}

// faultInjector injects the selected faults into a run.
type faultInjector struct {
	r  *run
	wg sync.WaitGroup
}

// selected returns the faults that the options name.
func (p *faultInjector) selected() []faultKind {
	var out []faultKind
	for _, f := range p.r.cluster.opt.Faults {
		for _, k := range faultTable {
			if k.name == f {
				out = append(out, k)
			}
		}
	}
	return out
}

// before injects the faults that precede the publication of the new version.
func (p *faultInjector) before(ctx context.Context) {
	for _, k := range p.selected() {
		if k.before != nil {
			p.r.printf("fault: %s", k.name)
			k.before(p.r, ctx)
		}
	}
}

// injection is the injection of one fault after the publication.
type injection struct {
	injector *faultInjector
	kind     faultKind
	ctx      context.Context
}

func (i *injection) run() {
	defer i.injector.wg.Done()
	if daemon.Sleep(i.ctx, faultDelay) {
		i.injector.r.printf("fault: %s", i.kind.name)
		i.kind.during(i.injector.r, i.ctx)
	}
}

// start injects the other faults in the background.
func (p *faultInjector) start(ctx context.Context) {
	for _, k := range p.selected() {
		if k.during == nil {
			continue
		}
		p.wg.Add(1)
		i := &injection{injector: p, kind: k, ctx: ctx}
		go i.run()
	}
}

func (p *faultInjector) wait() { p.wg.Wait() }

// pick returns the n-th live daemon, modulo their number, for which match returns true.
func (r *run) pick(n int, match func(*runningDaemon) bool) *runningDaemon {
	var list []*runningDaemon
	for _, d := range r.cluster.liveDaemons() {
		if match(d) {
			list = append(list, d)
		}
	}
	return list[n%len(list)]
}

func isRunner(d *runningDaemon) bool      { return d.engine != nil }
func isEntry(d *runningDaemon) bool       { return d.entry != nil }
func isOrderRunner(d *runningDaemon) bool { return d.instance.Pool == poolOrders }

// crash ends a daemon as a failed instance does: its links fail at once, no peer is notified,
// and the platform's list omits it only after instanceListDelay.
func (r *run) crash(ctx context.Context, d *runningDaemon) {
	d.link.Kill()
	if d.backend != nil {
		_ = d.backend.HTTP.Close()
	}
	r.cluster.mu.Lock()
	d.stopped = true
	r.cluster.mu.Unlock()
	daemon.Sleep(ctx, instanceListDelay)
	r.cluster.publishInstances()
}

// addReplacement publishes and starts a replacement daemon, unless err reports that it could
// not be created.
func (r *run) addReplacement(ctx context.Context, d *runningDaemon, err error) {
	if err == nil {
		r.cluster.mu.Lock()
		r.cluster.daemons = append(r.cluster.daemons, d)
		r.cluster.mu.Unlock()
		r.cluster.publishInstances()
		err = d.app.Start(ctx)
	}
	if err != nil {
		r.printf("replacement failed: %v", err)
	}
}

func killRunner(r *run, ctx context.Context) {
	d := r.pick(1, isRunner)
	r.crash(ctx, d)
	replacement, err := r.cluster.newRunner(string(d.instance.ID)+"-b", string(d.instance.Region))
	r.addReplacement(ctx, replacement, err)
}

func killEntry(r *run, ctx context.Context) { r.crash(ctx, r.pick(1, isEntry)) }

func killOrders(r *run, ctx context.Context) {
	d := r.pick(0, isOrderRunner)
	r.crash(ctx, d)
	replacement, err := r.cluster.newServiceAgent(string(d.instance.ID)+"-b", poolOrders, string(d.instance.Region))
	r.addReplacement(ctx, replacement, err)
}

// stopPlanned stops a daemon as the platform does: the instance list changes some time after
// the process receives the stop signal.
func (r *run) stopPlanned(ctx context.Context, d *runningDaemon, names ...string) {
	for _, name := range names {
		r.cluster.rec.StopStarted(name)
	}
	stopCtx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := d.app.Stop(stopCtx); err != nil {
		r.printf("planned stop failed: %v", err)
	}
	r.cluster.mu.Lock()
	d.stopped = true
	r.cluster.mu.Unlock()
	r.cluster.publishInstances()
}

func stopRunner(r *run, ctx context.Context) {
	d := r.pick(2, isRunner)
	r.stopPlanned(ctx, d, string(d.instance.ID))
	replacement, err := r.cluster.newRunner(string(d.instance.ID)+"-b", string(d.instance.Region))
	r.addReplacement(ctx, replacement, err)
}

func stopEntry(r *run, ctx context.Context) {
	d := r.pick(2, isEntry)
	r.stopPlanned(ctx, d, string(d.instance.ID), d.instance.CallerAddress)
}

func stallLink(r *run, ctx context.Context) {
	d := r.pick(3, isRunner)
	d.link.SetStalled(true)
	daemon.Sleep(ctx, faultDuration)
	d.link.SetStalled(false)
}

func corruptOrigin(r *run, _ context.Context)  { r.cluster.origin.CorruptNext(5) }
func throttleOrigin(r *run, _ context.Context) { r.cluster.origin.ThrottleNext(10) }

func originDown(r *run, ctx context.Context) {
	r.cluster.origin.SetDown(true)
	daemon.Sleep(ctx, faultDuration)
	r.cluster.origin.SetDown(false)
}

func versionChange(r *run, ctx context.Context) {
	o := r.cluster.opt
	v3 := weights.New(modelName, o.Seed+2, o.ModelBytes, o.chunkBytes())
	r.cluster.origin.Add(v3)
	r.wantedVersion.Store(&v3)
	at := r.cluster.platform.Publish(configDocument(o, v3.ID))
	r.printf("version %s published as revision %d of era %d", v3.ID.Short(), at.Revision, at.Era)
	daemon.Sleep(ctx, faultDuration/4)
}

func platformDown(r *run, ctx context.Context) {
	r.cluster.platform.SetDown(true)
	daemon.Sleep(ctx, faultDuration)
	r.cluster.platform.SetDown(false)
}

func platformStale(r *run, ctx context.Context) {
	r.cluster.platform.SetStale(true)
	daemon.Sleep(ctx, faultDuration)
	r.cluster.platform.SetStale(false)
}

func snapshotPlatform(r *run, _ context.Context) { r.snapshot = r.cluster.platform.Snapshot() }

// restorePlatform restores the copy, starts an entry that knows only the restored store, and
// publishes another version later.
func restorePlatform(r *run, ctx context.Context) {
	guard := &configGuard{r: r, old: r.v1.ID, stop: make(chan struct{}), done: make(chan struct{})}
	go guard.run()
	r.cluster.platform.SetDown(true)
	daemon.Sleep(ctx, faultDelay)
	r.cluster.platform.Restore(r.snapshot)
	r.cluster.platform.SetDown(false)
	r.printf("platform restored from a copy with version %s", r.v1.ID.Short())
	daemon.Sleep(ctx, faultDuration/4)
	d, err := r.cluster.newEntry("entry-late", regionNames[0])
	r.addReplacement(ctx, d, err)
	daemon.Sleep(ctx, faultDuration/4)
	versionChange(r, ctx)
	r.awaitConfigured(ctx, r.wantedVersion.Load().ID)
	close(guard.stop)
	<-guard.done
}

// awaitConfigured waits until every live daemon that configures the model configures version v,
// which versionChange published.
func (r *run) awaitConfigured(ctx context.Context, v fleet.Version) {
	took, err := Await(ctx, "version configured", configBound-faultDuration/4, func() bool {
		for _, d := range r.cluster.liveDaemons() {
			if got := d.configured(modelName); got != "" && got != v {
				return false
			}
		}
		return true
	})
	if err != nil {
		r.violate("configuration_not_in_force")
		return
	}
	r.printf("version %s is configured everywhere %v later", v.Short(), took.Round(time.Millisecond))
}

// configGuard reports daemons that configure an old version again.
type configGuard struct {
	r    *run
	old  fleet.Version
	stop chan struct{}
	done chan struct{}
}

func (g *configGuard) run() {
	defer close(g.done)
	hasMoved, reported := map[fleet.InstanceID]bool{}, map[fleet.InstanceID]bool{}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
		}
		for _, d := range g.r.cluster.liveDaemons() {
			id, v := d.instance.ID, d.configured(modelName)
			hasMoved[id] = hasMoved[id] || v != "" && v != g.old
			if hasMoved[id] && v == g.old && !reported[id] {
				reported[id] = true
				g.r.printf("%s configures version %s again", id, v.Short())
				g.r.violate("older_configuration_in_force")
			}
		}
	}
}

func refusedConfig(r *run, ctx context.Context) {
	r.cluster.platform.Publish([]byte("schema = 1\n[[exceptions]]\nname = \"no reason\"\n[exceptions.scope]\nregion = \"addis\"\n"))
	daemon.Sleep(ctx, faultDuration/4)
}

func partition(r *run, ctx context.Context) {
	region := regionNames[r.cluster.opt.Regions-1]
	r.cluster.net.SetPartitioned(region, true)
	daemon.Sleep(ctx, faultDuration)
	r.cluster.net.SetPartitioned(region, false)
}

// crashRequest acts as a caller that repeatedly sends a crashing request.
func crashRequest(r *run, ctx context.Context) {
	body := load.ChatRequestBody(modelName, engine.CrashMarker, 4, true)
	for range crashRequestAttempts {
		id := uuid.NewString()
		r.cluster.rec.RequestSent()
		r.cluster.rec.AttemptOutcome(id, r.load.SendOnce(ctx, workspaceName(0), id, body))
		daemon.Sleep(ctx, faultDelay/2)
	}
}

func engineCrash(r *run, ctx context.Context) {
	r.pick(4, isRunner).engine.Crash()
	daemon.Sleep(ctx, faultDelay)
}

// maxLateRequests is how many requests may reach an engine in a pause that it has asked for.
const maxLateRequests = 2

func shedEngine(r *run, ctx context.Context) {
	d := r.pick(1, isRunner)
	d.engine.Shed(faultDuration / 2)
	daemon.Sleep(ctx, faultDuration/2)
	refused, late := d.engine.ShedRequests()
	r.printf("%s refused requests: %v, %d of them in its pause", d.instance.ID, refused, late)
	if late > maxLateRequests {
		r.violate("pause_not_respected")
	}
}

func slowOrders(r *run, _ context.Context) { r.cluster.orders.SetExtraDelay(12 * time.Second) }
