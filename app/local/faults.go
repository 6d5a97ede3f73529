package local

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"amaranthturn/app/node"
	"amaranthturn/standin/engine"
	"amaranthturn/standin/load"
	"amaranthturn/standin/weights"
)

// Fault names something that goes wrong during a run.
type Fault string

// faultKind is one row of the table of faults.
type faultKind struct {
	name Fault
	help string
	// before runs before the new version is published, during after it.
	before func(*run, context.Context)
	during func(*run, context.Context)
}

// How long faults last and lag.
const (
	faultDelay  = 800 * time.Millisecond // after the publication
	faultLasts  = 4 * time.Second
	listLag     = 3 * time.Second // the list notices a death that late
	poisonTries = 6
)

var faultTable = []faultKind{
	{name: "kill-runner", help: "a runner dies in mid-transfer and is replaced", during: killRunner},
	{name: "kill-entry", help: "an entry dies", during: killEntry},
	{name: "kill-orders", help: "an order runner dies and is replaced", during: killOrders},
	{name: "stop-runner", help: "a planned stop of a runner", during: stopRunner},
	{name: "stop-entry", help: "a planned stop of an entry", during: stopEntry},
	{name: "stall-link", help: "a runner's link stalls without closing", during: stallLink},
	{name: "corrupt-origin", help: "the origin sends corrupt ranges", before: corruptOrigin},
	{name: "throttle-origin", help: "the origin asks to wait", before: throttleOrigin},
	{name: "origin-down", help: "the origin is down for a while", during: originDown},
	{name: "version-change", help: "a newer version is published in flight", during: versionChange},
	{name: "platform-down", help: "the configuration service is down for a while", during: platformDown},
	{name: "platform-stale", help: "the configuration service answers the revision before", during: platformStale},
	{name: "refused-config", help: "a configuration that is refused is published in between", before: refusedConfig},
	{name: "partition", help: "a region is cut off for a while", during: partition},
	{name: "crash-request", help: "a request crashes each engine that runs it and is sent again", during: crashRequest},
	{name: "engine-crash", help: "an engine dies and comes back empty", during: engineCrash},
	{name: "slow-orders", help: "orders take longer than callers wait", before: slowOrders},
}

// FaultNames lists the faults.
func FaultNames() []string {
	out := make([]string, len(faultTable))
	for i, k := range faultTable {
		out[i] = string(k.name)
	}
	return out
}

// FaultHelp lists the faults with what they do, a line each.
func FaultHelp() string {
	s := ""
	for _, k := range faultTable {
		s += fmt.Sprintf("  %-16s %s\n", k.name, k.help)
	}
	return s
}

// faultPlan causes the faults of a run.
type faultPlan struct {
	r  *run
	wg sync.WaitGroup
}

func (p *faultPlan) chosen() []faultKind {
	var out []faultKind
	for _, f := range p.r.w.opt.Faults {
		for _, k := range faultTable {
			if k.name == f {
				out = append(out, k)
			}
		}
	}
	return out
}

func (p *faultPlan) before(ctx context.Context) {
	for _, k := range p.chosen() {
		if k.before != nil {
			p.r.say("fault: %s", k.name)
			k.before(p.r, ctx)
		}
	}
}

// causing is one fault under way.
type causing struct {
	p   *faultPlan
	k   faultKind
	ctx context.Context
}

func (c *causing) run() {
	defer c.p.wg.Done()
	if node.Sleep(c.ctx, faultDelay) {
		c.p.r.say("fault: %s", c.k.name)
		c.k.during(c.p.r, c.ctx)
	}
}

func (p *faultPlan) start(ctx context.Context) {
	for _, k := range p.chosen() {
		if k.during == nil {
			continue
		}
		p.wg.Add(1)
		c := &causing{p: p, k: k, ctx: ctx}
		go c.run()
	}
}

func (p *faultPlan) wait() { p.wg.Wait() }

// pick returns the n-th live daemon that ok accepts.
func (r *run) pick(n int, ok func(*daemon) bool) *daemon {
	var list []*daemon
	for _, d := range r.w.live() {
		if ok(d) {
			list = append(list, d)
		}
	}
	return list[n%len(list)]
}

func isRunner(d *daemon) bool { return d.engine != nil }
func isEntry(d *daemon) bool  { return d.entry != nil }
func isOrders(d *daemon) bool { return d.in.Pool == poolOrders }

// die ends a daemon as a lost instance does: its links are gone at once, and
// nothing is said to anybody.
func (r *run) die(ctx context.Context, d *daemon) {
	d.link.Kill()
	if d.local != nil {
		_ = d.local.HTTP.Close()
	}
	r.w.mu.Lock()
	d.gone = true
	r.w.mu.Unlock()
	node.Sleep(ctx, listLag)
	r.w.publishList()
}

func (r *run) replace(ctx context.Context, d *daemon, err error) {
	if err == nil {
		r.w.mu.Lock()
		r.w.daemons = append(r.w.daemons, d)
		r.w.mu.Unlock()
		r.w.publishList()
		err = d.app.Start(ctx)
	}
	if err != nil {
		r.say("replacement failed: %v", err)
	}
}

func killRunner(r *run, ctx context.Context) {
	d := r.pick(1, isRunner)
	r.die(ctx, d)
	fresh, err := r.w.newRunner(string(d.in.ID)+"-b", string(d.in.Region))
	r.replace(ctx, fresh, err)
}

func killEntry(r *run, ctx context.Context) { r.die(ctx, r.pick(1, isEntry)) }

func killOrders(r *run, ctx context.Context) {
	d := r.pick(0, isOrders)
	r.die(ctx, d)
	fresh, err := r.w.newServiceAgent(string(d.in.ID)+"-b", poolOrders, string(d.in.Region))
	r.replace(ctx, fresh, err)
}

// stopPlanned stops a daemon as the platform does: the list says leaving a while
// after the process was told.
func (r *run) stopPlanned(ctx context.Context, d *daemon, names ...string) {
	for _, n := range names {
		r.w.rec.Stopping(n)
	}
	stop, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := d.app.Stop(stop); err != nil {
		r.say("planned stop: %v", err)
	}
	r.w.mu.Lock()
	d.gone = true
	r.w.mu.Unlock()
	r.w.publishList()
}

func stopRunner(r *run, ctx context.Context) {
	d := r.pick(2, isRunner)
	r.stopPlanned(ctx, d, string(d.in.ID))
	fresh, err := r.w.newRunner(string(d.in.ID)+"-b", string(d.in.Region))
	r.replace(ctx, fresh, err)
}

func stopEntry(r *run, ctx context.Context) {
	d := r.pick(2, isEntry)
	r.stopPlanned(ctx, d, string(d.in.ID), d.in.CallerAddress)
}

func stallLink(r *run, ctx context.Context) {
	d := r.pick(3, isRunner)
	d.link.Stall(true)
	node.Sleep(ctx, faultLasts)
	d.link.Stall(false)
}

func corruptOrigin(r *run, _ context.Context)  { r.w.origin.Corrupt(5) }
func throttleOrigin(r *run, _ context.Context) { r.w.origin.Throttle(10) }

func originDown(r *run, ctx context.Context) {
	r.w.origin.SetDown(true)
	node.Sleep(ctx, faultLasts)
	r.w.origin.SetDown(false)
}

func versionChange(r *run, ctx context.Context) {
	o := r.w.opt
	v3 := weights.New(modelName, o.Seed+2, o.ModelBytes, o.chunkBytes())
	r.w.origin.Add(v3)
	r.want.Store(&v3)
	rev := r.w.platform.Publish(documentFor(o, v3.ID))
	r.say("version %s published as revision %d", v3.ID.Short(), rev)
	node.Sleep(ctx, faultLasts/4)
}

func platformDown(r *run, ctx context.Context) {
	r.w.platform.SetDown(true)
	node.Sleep(ctx, faultLasts)
	r.w.platform.SetDown(false)
}

func platformStale(r *run, ctx context.Context) {
	r.w.platform.SetStale(true)
	node.Sleep(ctx, faultLasts)
	r.w.platform.SetStale(false)
}

func refusedConfig(r *run, ctx context.Context) {
	r.w.platform.Publish([]byte("schema = 1\n[[exceptions]]\nname = \"no reason\"\n[exceptions.scope]\nregion = \"addis\"\n"))
	node.Sleep(ctx, faultLasts/4)
}

func partition(r *run, ctx context.Context) {
	region := regionNames[r.w.opt.Regions-1]
	r.w.net.CutRegions(region, true)
	node.Sleep(ctx, faultLasts)
	r.w.net.CutRegions(region, false)
}

// crashRequest plays a caller that sends a deadly request again and again.
func crashRequest(r *run, ctx context.Context) {
	body := load.Body(modelName, engine.CrashMarker, 4, true)
	for range poisonTries {
		id := uuid.NewString()
		r.w.rec.Sent()
		r.w.rec.Told(id, r.load.SendOnce(ctx, workspaceName(0), id, body))
		node.Sleep(ctx, faultDelay/2)
	}
}

func engineCrash(r *run, ctx context.Context) {
	r.pick(4, isRunner).engine.Crash()
	node.Sleep(ctx, faultDelay)
}

func slowOrders(r *run, _ context.Context) { r.w.orders.Slow(12 * time.Second) }
