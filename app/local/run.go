package local

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/load"
	"amaranthturn/standin/weights"
)

// Waits of a run.
const (
	startLimit    = 60 * time.Second
	convergeLimit = 120 * time.Second
	pollEvery     = 20 * time.Millisecond
	settleTime    = time.Second
)

// TimeoutError reports that the fleet did not get somewhere in time.
type TimeoutError struct {
	What string
}

// Error implements error.
func (e *TimeoutError) Error() string { return "timed out: " + e.What }

// documentFor returns the configuration of the local fleet.
func documentFor(o Options, v fleet.Version) []byte {
	doc := fmt.Sprintf(`schema = 1

[defaults]
objective = %q
origin_region = %q
min_serving = 1
keep_old_seconds = 30

[[defaults.models]]
name = %q
pool = %q
version = %q

[[defaults.services]]
name = "orders"
pool = %q

[[defaults.services]]
name = "portal"
pool = %q
repeatable = true
`, o.Objective, regionNames[0], modelName, poolRunners, v, poolOrders, poolPortal)
	for i := range workspaces {
		doc += fmt.Sprintf("\n[[workspaces]]\nname = %q\n", workspaceName(i))
	}
	return []byte(doc)
}

const workspaces = 10

func workspaceName(i int) string { return fmt.Sprintf("workshop-%d", i+1) }

// run is one run under way.
type run struct {
	w    *world
	out  io.Writer
	load *load.Load
	rep  *Report
	v1   weights.Version
	v2   weights.Version
	want atomic.Pointer[weights.Version] // what the fleet should end at
	goal int                             // how many instances should serve it
}

// Run starts a fleet, drives it and reports. The error tells why there is no
// report; broken promises are in the report.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	r := &run{w: w, out: out, goal: o.Instances, rep: &Report{
		Seed: o.Seed, Instances: o.Instances, Entries: o.Entries, Regions: o.Regions, Faults: o.Faults, Objective: o.Objective,
		ModelBytes: int64(o.ModelBytes), TimeBoundMS: o.Bound().Milliseconds(), TimeToNMS: -1,
	}}
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	if err := r.drive(ctx); err != nil {
		return nil, err
	}
	return r.rep, nil
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// begin brings the fleet up on the first version.
func (r *run) begin(ctx context.Context) error {
	o := r.w.opt
	r.v1 = weights.New(modelName, o.Seed, o.ModelBytes, o.chunkBytes())
	r.v2 = weights.New(modelName, o.Seed+1, o.ModelBytes, o.chunkBytes())
	r.w.origin.Add(r.v1)
	r.w.origin.Add(r.v2)
	r.w.platform.Publish(documentFor(o, r.v1.ID))
	if err := r.w.build(ctx); err != nil {
		return err
	}
	r.say("fleet started: %d entries, %d model runners, 3 order runners, 1 portal", o.Entries, o.Instances)
	at, err := Await(ctx, "first version served everywhere", startLimit+o.spread()*2, func() bool {
		_, ok := r.w.rec.NthServing(r.v1.ID, o.Instances)
		return ok && r.ready()
	})
	if err != nil {
		return err
	}
	r.say("version %s serves on all %d after %v", r.v1.ID.Short(), o.Instances, at.Round(time.Millisecond))
	return nil
}

// ready tells whether some entry offers work and knows a target.
func (r *run) ready() bool {
	for _, d := range r.w.live() {
		if d.entry != nil && d.entry.Revision() == 0 {
			return false
		}
	}
	return true
}

// Await waits until ok holds and returns how long it took. A *TimeoutError names what did
// not come in time.
func Await(ctx context.Context, what string, limit time.Duration, ok func() bool) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < limit {
		if ok() {
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollEvery):
		}
	}
	return 0, &TimeoutError{What: what}
}

// drive runs the load, publishes the new version half-way and judges.
func (r *run) drive(ctx context.Context) error {
	o := r.w.opt
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.startLoad(loadCtx)
	r.load.Enter("idle")
	if !node.Sleep(ctx, o.Duration/2) {
		return ctx.Err()
	}
	r.load.Enter("distribution")
	crossBefore, originBefore := r.w.net.CrossRegionBytes(), r.w.rec.OriginBytes()
	began := time.Now()
	faults := &faultPlan{r: r}
	faults.before(ctx)
	r.want.Store(&r.v2)
	rev := r.w.platform.Publish(documentFor(o, r.v2.ID))
	r.say("version %s published as revision %d", r.v2.ID.Short(), rev)
	faults.start(ctx)
	if err := r.inForce(ctx, began, rev); err != nil {
		return err
	}
	r.distribution(ctx, began)
	faults.wait()
	r.load.Enter("after")
	r.rep.CrossBytes = r.w.net.CrossRegionBytes() - crossBefore
	r.rep.OriginBytes = r.w.rec.OriginBytes() - originBefore
	if rest := o.Duration - time.Since(began) - o.Duration/2; rest > 0 && !node.Sleep(ctx, rest) {
		return ctx.Err()
	}
	node.Sleep(ctx, settleTime)
	stopLoad()
	r.load.Wait()
	r.finish(ctx)
	return nil
}

func (r *run) startLoad(ctx context.Context) {
	var seeds, names []string
	for _, d := range r.w.live() {
		if d.entry != nil {
			seeds = append(seeds, d.in.CallerAddress)
		}
	}
	for i := range workspaces {
		names = append(names, workspaceName(i))
	}
	r.load = load.New(load.Settings{
		Seeds: seeds, Contents: r.w.origin.Contents, Model: modelName, Workspaces: names, Workers: 2,
		Think: 150 * time.Millisecond, OrderWorkers: 6, OrderThink: 200 * time.Millisecond, Tokens: 16,
		Timeout: 10 * time.Second, Seed: r.w.opt.Seed,
	}, r.w.rec)
	r.load.Start(ctx)
}

// inForce waits until every live daemon has a revision in force.
func (r *run) inForce(ctx context.Context, began time.Time, rev fleet.Revision) error {
	limit := convergeLimit
	if _, err := Await(ctx, "configuration in force", limit, func() bool {
		for _, d := range r.w.live() {
			if d.revision() < rev {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	r.rep.ConfigInForceMS = time.Since(began).Milliseconds()
	return nil
}

// distribution waits until the goal serves the wanted version by the engines' own
// record.
func (r *run) distribution(ctx context.Context, began time.Time) {
	limit := convergeLimit + 4*r.w.opt.spread()
	_, err := Await(ctx, "new version served everywhere", limit, func() bool {
		_, ok := r.w.rec.NthServing(r.want.Load().ID, r.goal)
		return ok
	})
	if err != nil {
		r.say("%v", err)
		return
	}
	at, _ := r.w.rec.NthServing(r.want.Load().ID, r.goal)
	took := at.Sub(began)
	r.rep.TimeToNMS = took.Milliseconds()
	r.rep.FloorRatio = took.Seconds() / r.w.opt.Bound().Seconds()
	r.say("version %s serves on %d after %v", r.want.Load().ID.Short(), r.goal, took.Round(time.Millisecond))
}

// finish asks an entry whether the fleet converged and takes the verdict.
func (r *run) finish(ctx context.Context) {
	_, err := Await(ctx, "converged", convergeLimit/4, func() bool { return r.converged(ctx) })
	r.rep.Converged = err == nil && r.rep.TimeToNMS >= 0
	r.rep.OriginCopies = float64(r.rep.OriginBytes) / float64(r.rep.ModelBytes)
	r.rep.PlatformReads = r.w.platform.Reads()
	idle, busy := r.load.Phase("idle"), r.load.Phase("distribution")
	r.rep.FirstTokenIdle = millis(load.P95(idle.FirstToken))
	r.rep.FirstTokenP95 = millis(load.P95(busy.FirstToken))
	r.rep.TokenGapP95 = millis(load.P95(busy.TokenGap))
	r.rep.take(r.w.rec.Verdict())
}

func (r *run) converged(ctx context.Context) bool {
	for _, d := range r.w.live() {
		if d.entry != nil {
			return d.entry.Status(ctx).Converged
		}
	}
	return false
}
