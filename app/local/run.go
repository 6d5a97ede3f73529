package local

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/core/fleet"
	"amaranthturn/standin/load"
	"amaranthturn/standin/platform"
	"amaranthturn/standin/weights"
)

// Timeouts and intervals of a run.
const (
	startTimeout    = 60 * time.Second
	convergeTimeout = 120 * time.Second
	pollInterval    = 20 * time.Millisecond
	settleTime      = time.Second // load goes on this long after the run's duration
)

// TimeoutError reports that the fleet did not reach a state in time.
type TimeoutError struct {
	What string // the state that was not reached
}

// Error implements error.
func (e *TimeoutError) Error() string { return "timed out: " + e.What }

// configDocument returns the configuration document of the local fleet with model version v.
func configDocument(o Options, v fleet.Version) []byte {
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
	for i := range workspaceCount {
		doc += fmt.Sprintf("\n[[workspaces]]\nname = %q\n", workspaceName(i))
	}
	return []byte(doc)
}

const workspaceCount = 10

func workspaceName(i int) string { return fmt.Sprintf("workshop-%d", i+1) }

// run is a run in progress.
type run struct {
	cluster         *cluster
	out             io.Writer
	load            *load.Load
	rep             *Report
	v1              weights.Version
	v2              weights.Version
	wantedVersion   atomic.Pointer[weights.Version] // version that the fleet should serve in the end
	expectedServing int                             // number of instances that should serve wantedVersion
	snapshot        platform.Snapshot               // copy of the platform's store
	mu              sync.Mutex                      // guards violations
	violations      []string                        // promises that a fault found broken
}

// Run starts a fleet, sends load, publishes a new version and returns the report. It returns
// an error only if there is no report; broken promises are listed in the report.
func Run(ctx context.Context, o Options, out io.Writer) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	c, err := newCluster(o)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	r := &run{cluster: c, out: out, expectedServing: o.Instances, rep: &Report{
		Seed: o.Seed, Instances: o.Instances, Entries: o.Entries, Regions: o.Regions, Faults: o.Faults, Objective: o.Objective,
		ModelBytes: int64(o.ModelBytes), TimeBoundMS: o.TimeBound().Milliseconds(), TimeToNMS: -1,
	}}
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	if err := r.drive(ctx); err != nil {
		return nil, err
	}
	return r.rep, nil
}

// violate records a broken promise once.
func (r *run) violate(promise string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.violations, promise) {
		r.violations = append(r.violations, promise)
	}
}

func (r *run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// startFleet starts the fleet and waits until all instances serve the first version.
func (r *run) startFleet(ctx context.Context) error {
	o := r.cluster.opt
	r.v1 = weights.New(modelName, o.Seed, o.ModelBytes, o.chunkBytes())
	r.v2 = weights.New(modelName, o.Seed+1, o.ModelBytes, o.chunkBytes())
	r.cluster.origin.Add(r.v1)
	r.cluster.origin.Add(r.v2)
	r.cluster.platform.Publish(configDocument(o, r.v1.ID))
	if err := r.cluster.start(ctx); err != nil {
		return err
	}
	r.printf("fleet started: %d entries, %d model runners, 3 order runners, 1 portal", o.Entries, o.Instances)
	took, err := Await(ctx, "first version served everywhere", startTimeout+o.transferWindow()*2, func() bool {
		_, ok := r.cluster.rec.ServingStartTime(r.v1.ID, o.Instances)
		return ok && r.entriesConfigured()
	})
	if err != nil {
		return err
	}
	r.printf("version %s is served by all %d instances after %v", r.v1.ID.Short(), o.Instances, took.Round(time.Millisecond))
	return nil
}

// entriesConfigured reports whether every live entry has a configuration in force.
func (r *run) entriesConfigured() bool {
	for _, d := range r.cluster.liveDaemons() {
		if d.entry != nil && d.entry.Position().IsZero() {
			return false
		}
	}
	return true
}

// Await polls until reached returns true and returns the time this took. After the timeout it
// returns a *TimeoutError that contains what.
func Await(ctx context.Context, what string, timeout time.Duration, reached func() bool) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < timeout {
		if reached() {
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return 0, &TimeoutError{What: what}
}

// drive runs the load, publishes the new version after half of the duration, injects the
// faults and fills in the report.
func (r *run) drive(ctx context.Context) error {
	o := r.cluster.opt
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.startLoad(loadCtx)
	r.load.SetPhase("idle")
	if !daemon.Sleep(ctx, o.Duration/2) {
		return ctx.Err()
	}
	r.load.SetPhase("distribution")
	crossBefore, originBefore := r.cluster.net.CrossRegionBytes(), r.cluster.rec.OriginBytes()
	began := time.Now()
	faults := &faultInjector{r: r}
	faults.before(ctx)
	r.wantedVersion.Store(&r.v2)
	at := r.cluster.platform.Publish(configDocument(o, r.v2.ID))
	r.printf("version %s published as revision %d", r.v2.ID.Short(), at.Revision)
	faults.start(ctx)
	if err := r.awaitConfig(ctx, began, at); err != nil {
		return err
	}
	r.awaitServing(ctx, began)
	faults.wait()
	r.load.SetPhase("after")
	r.rep.CrossRegionBytes = r.cluster.net.CrossRegionBytes() - crossBefore
	r.rep.OriginBytes = r.cluster.rec.OriginBytes() - originBefore
	if remaining := o.Duration - time.Since(began) - o.Duration/2; remaining > 0 && !daemon.Sleep(ctx, remaining) {
		return ctx.Err()
	}
	daemon.Sleep(ctx, settleTime)
	stopLoad()
	r.load.Wait()
	r.finish(ctx)
	return nil
}

func (r *run) startLoad(ctx context.Context) {
	var seeds, names []string
	for _, d := range r.cluster.liveDaemons() {
		if d.entry != nil {
			seeds = append(seeds, d.instance.CallerAddress)
		}
	}
	for i := range workspaceCount {
		names = append(names, workspaceName(i))
	}
	r.load = load.New(load.Settings{
		Seeds: seeds, ContentHashes: r.cluster.origin.ContentHashes, Model: modelName, Workspaces: names, Workers: 2,
		ThinkTime: 150 * time.Millisecond, OrderWorkers: 6, OrderThinkTime: 200 * time.Millisecond, Tokens: 16,
		Timeout: 10 * time.Second, Seed: r.cluster.opt.Seed,
	}, r.cluster.rec)
	r.load.Start(ctx)
}

// awaitConfig waits until every live daemon has the configuration of position at or a later one
// in force.
func (r *run) awaitConfig(ctx context.Context, began time.Time, at fleet.Position) error {
	timeout := convergeTimeout
	if _, err := Await(ctx, "configuration in force", timeout, func() bool {
		for _, d := range r.cluster.liveDaemons() {
			if d.position().Before(at) {
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

// awaitServing waits until the expected number of instances serves the wanted version, as
// recorded by the engines.
func (r *run) awaitServing(ctx context.Context, began time.Time) {
	timeout := convergeTimeout + 4*r.cluster.opt.transferWindow()
	_, err := Await(ctx, "new version served everywhere", timeout, func() bool {
		_, ok := r.cluster.rec.ServingStartTime(r.wantedVersion.Load().ID, r.expectedServing)
		return ok
	})
	if err != nil {
		r.printf("%v", err)
		return
	}
	at, _ := r.cluster.rec.ServingStartTime(r.wantedVersion.Load().ID, r.expectedServing)
	took := at.Sub(began)
	r.rep.TimeToNMS = took.Milliseconds()
	r.rep.TimeBoundRatio = took.Seconds() / r.cluster.opt.TimeBound().Seconds()
	r.printf("version %s is served by %d instances after %v", r.wantedVersion.Load().ID.Short(), r.expectedServing, took.Round(time.Millisecond))
}

// finish waits until an entry reports convergence and fills in the rest of the report.
func (r *run) finish(ctx context.Context) {
	_, err := Await(ctx, "converged", convergeTimeout/4, func() bool { return r.converged(ctx) })
	r.rep.Converged = err == nil && r.rep.TimeToNMS >= 0
	r.rep.OriginCopies = float64(r.rep.OriginBytes) / float64(r.rep.ModelBytes)
	r.rep.PlatformReads = r.cluster.platform.Reads()
	idle, distribution := r.load.Phase("idle"), r.load.Phase("distribution")
	r.rep.FirstTokenP95IdleMS = millis(load.P95(idle.TimeToFirstToken))
	r.rep.FirstTokenP95MS = millis(load.P95(distribution.TimeToFirstToken))
	r.rep.TokenGapP95MS = millis(load.P95(distribution.TokenGap))
	r.rep.setVerdict(r.cluster.rec.Verdict())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rep.BrokenPromises = append(r.rep.BrokenPromises, r.violations...)
}

// converged reports whether the first live entry considers the fleet converged.
func (r *run) converged(ctx context.Context) bool {
	for _, d := range r.cluster.liveDaemons() {
		if d.entry != nil {
			return d.entry.Status(ctx).Converged
		}
	}
	return false
}
