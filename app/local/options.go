// Package local is the embedded default: one process that starts stand-ins of the
// platform, the origin, model engines and a plain order service, and the entries
// and agents over real loopback sockets, built from the same modules as the
// daemons. It drives requests and orders, publishes a new version half-way, waits
// for convergence and says whether a promise was broken.
//
// # Usage
//
//	rep, err := local.Run(ctx, local.Options{Instances: 14}, os.Stdout)
//	if len(rep.Broken) > 0 { … }
//
// It is a development mode with small fakes, not a cluster simulator.
package local

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"
)

// Options describe one run.
type Options struct {
	Instances  int
	Entries    int
	Regions    int
	ModelBytes int
	Duration   time.Duration
	Faults     []Fault
	Seed       uint64
	Objective  string
	OneSlot    bool // engines hold one version at a time
	Verbose    bool // daemons log to standard error
	// Log gets the log lines of all daemons when they are not verbose; nil drops them.
	Log   io.Writer
	NoTLS bool
	Flat  bool // links are not rate-limited
}

// Defaults of a run.
const (
	DefaultInstances  = 14
	DefaultEntries    = 7
	DefaultRegions    = 3
	DefaultModelBytes = 8 << 20
	DefaultDuration   = 20 * time.Second
	chunksPerModel    = 128
	minChunk          = 4 << 10
)

// Bounds of a run on one machine.
const (
	maxInstances  = 300
	maxEntries    = 40
	maxRegions    = 8
	maxModelBytes = 256 << 20
)

// OptionError reports an option that cannot be used.
type OptionError struct {
	Option string
	Text   string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("--%s: %s", e.Option, e.Text) }

// Check returns the first option that cannot be used.
func (o Options) Check() error {
	within := func(name string, v, low, high int) error {
		if v < low || v > high {
			return &OptionError{Option: name, Text: fmt.Sprintf("%d is not between %d and %d", v, low, high)}
		}
		return nil
	}
	checks := []error{
		within("instances", o.Instances, 1, maxInstances),
		within("entries", o.Entries, 1, maxEntries),
		within("regions", o.Regions, 1, maxRegions),
		within("model-bytes", o.ModelBytes, minChunk, maxModelBytes),
		within("duration", int(o.Duration/time.Second), 1, 600),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	if o.Objective != "time" && o.Objective != "origin_bytes" {
		return &OptionError{Option: "objective", Text: fmt.Sprintf("%q is not time or origin_bytes", o.Objective)}
	}
	for _, f := range o.Faults {
		if !slices.Contains(FaultNames(), string(f)) {
			return &OptionError{Option: "fault", Text: fmt.Sprintf("%q is not one of %v", f, FaultNames())}
		}
	}
	return nil
}

// spread is the time in which an origin link carries four copies and a machine's
// link two, as the users describe their links. It follows the size of the run,
// because one machine plays all links.
func (o Options) spread() time.Duration {
	perCore := float64(o.Instances*o.ModelBytes) / float64(runtime.NumCPU())
	return max(8*time.Second, time.Duration(perCore/bytesPerCoreSecond*float64(time.Second)))
}

// bytesPerCoreSecond is what one core can be asked to carry of all links together
// without becoming the bottleneck of the run itself.
const bytesPerCoreSecond = 4 << 20

func (o Options) machineRate() int { return o.rate(2) }
func (o Options) originRate() int  { return o.rate(4) }
func (o Options) regionRate() int  { return o.rate(3) }

func (o Options) rate(copies int) int {
	return int(float64(copies*o.ModelBytes) / o.spread().Seconds())
}

func (o Options) chunkBytes() int { return max(minChunk, o.ModelBytes/chunksPerModel) }

// Bound returns the least time in which the links could bring a version to every
// instance.
func (o Options) Bound() time.Duration {
	f, n := float64(o.ModelBytes), float64(o.Instances)
	machine, origin := float64(o.machineRate()), float64(o.originRate())
	bound := max(f/machine, n*f/(n*machine+origin), f/origin)
	if o.Regions > 1 {
		bound = max(bound, f/float64(o.regionRate()))
	}
	return time.Duration(bound * float64(time.Second))
}
