// Package local runs a complete fleet in one process: stand-ins of the platform, the origin,
// model engines and an order service, and entries and agents that are built from the same
// modules as the daemons and communicate over real loopback sockets. A run sends requests and
// orders, publishes a new version after half of its duration, waits for convergence and
// reports whether a promise was broken.
//
// # Usage
//
//	rep, err := local.Run(ctx, local.Options{Instances: 14}, os.Stdout)
//	if len(rep.BrokenPromises) > 0 { … }
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
	// Log receives the log lines of all daemons unless Verbose is set; nil discards them.
	Log   io.Writer
	NoTLS bool // connections between daemons are not encrypted
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
	minChunkBytes     = 4 << 10
)

// Limits of a run, which has to fit on one machine.
const (
	maxInstances  = 300
	maxEntries    = 40
	maxRegions    = 8
	maxModelBytes = 256 << 20
)

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Text   string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("--%s: %s", e.Option, e.Text) }

// Check returns an *OptionError for the first invalid option.
func (o Options) Check() error {
	checkRange := func(name string, v, low, high int) error {
		if v < low || v > high {
			return &OptionError{Option: name, Text: fmt.Sprintf("%d is not between %d and %d", v, low, high)}
		}
		return nil
	}
	checks := []error{
		checkRange("instances", o.Instances, 1, maxInstances),
		checkRange("entries", o.Entries, 1, maxEntries),
		checkRange("regions", o.Regions, 1, maxRegions),
		checkRange("model-bytes", o.ModelBytes, minChunkBytes, maxModelBytes),
		checkRange("duration", int(o.Duration/time.Second), 1, 600),
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

// transferWindow is the time in which the origin link carries four copies of a version and a
// machine's link two, the ratio that the users report for their links. It grows with the size
// of the run, because one machine carries the traffic of all links.
func (o Options) transferWindow() time.Duration {
	perCore := float64(o.Instances*o.ModelBytes) / float64(runtime.NumCPU())
	return max(8*time.Second, time.Duration(perCore/bytesPerCoreSecond*float64(time.Second)))
}

// bytesPerCoreSecond is the total traffic of all links that one core can carry without
// becoming the bottleneck of the run.
const bytesPerCoreSecond = 4 << 20

func (o Options) machineRate() int { return o.rate(2) }
func (o Options) originRate() int  { return o.rate(4) }
func (o Options) regionRate() int  { return o.rate(3) }

// rate returns the bytes per second of a link that carries copies versions in the transfer window.
func (o Options) rate(copies int) int {
	return int(float64(copies*o.ModelBytes) / o.transferWindow().Seconds())
}

func (o Options) chunkBytes() int { return max(minChunkBytes, o.ModelBytes/chunksPerModel) }

// TimeBound returns the minimum time in which the links can distribute a version to all
// instances.
func (o Options) TimeBound() time.Duration {
	size, n := float64(o.ModelBytes), float64(o.Instances)
	machine, origin := float64(o.machineRate()), float64(o.originRate())
	bound := max(size/machine, n*size/(n*machine+origin), size/origin)
	if o.Regions > 1 {
		bound = max(bound, size/float64(o.regionRate()))
	}
	return time.Duration(bound * float64(time.Second))
}
