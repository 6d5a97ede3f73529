package local

import (
	"context"
	"io"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// smallFleet returns the options of a small fleet with the given faults.
func smallFleet(f ...Fault) Options {
	return Options{
		Instances: 5, Entries: 3, Regions: 2, ModelBytes: 1 << 20, Duration: 4 * time.Second,
		Faults: f, Seed: 3, Objective: "time",
	}
}

func assertPromisesKept(t *testing.T, o Options) {
	t.Helper()
	rep, err := Run(context.Background(), o, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, len(rep.BrokenPromises), 0, "%v", rep.BrokenPromises)
	assert.Assert(t, rep.Converged)
	assert.Assert(t, rep.ResponsesComplete > 0 && rep.OrdersRun > 0)
}

// TestPromisesUnderFaults injects each fault into a fleet on real sockets. The verdict is based
// on what the stand-ins ran.
func TestPromisesUnderFaults(t *testing.T) {
	for _, name := range FaultNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertPromisesKept(t, smallFleet(Fault(name)))
		})
	}
}

// TestPromisesUnderPairs injects two faults at the same time.
func TestPromisesUnderPairs(t *testing.T) {
	for _, pair := range [][]Fault{
		{"kill-runner", "platform-down"}, {"partition", "version-change"}, {"stop-entry", "kill-orders"},
		{"stall-link", "corrupt-origin"}, {"engine-crash", "stop-runner"},
	} {
		t.Run(string(pair[0]+"+"+pair[1]), func(t *testing.T) {
			t.Parallel()
			assertPromisesKept(t, smallFleet(pair...))
		})
	}
}

// TestEnginesWithOneSlot switches versions on engines that cannot hold two at a time.
func TestEnginesWithOneSlot(t *testing.T) {
	t.Parallel()
	o := smallFleet()
	o.OneSlot = true
	assertPromisesKept(t, o)
}

// TestInterruptStopsEverything cancels a run in progress and checks that no goroutine is leaked.
func TestInterruptStopsEverything(t *testing.T) {
	before := goleak.IgnoreCurrent()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := Run(ctx, smallFleet(), io.Discard)
	assert.Assert(t, err != nil)
	goleak.VerifyNone(t, before)
}

func TestOptionsCheck(t *testing.T) {
	tests := map[string]func(*Options){
		"--instances": func(o *Options) { o.Instances = 0 },
		"--regions":   func(o *Options) { o.Regions = 99 },
		"--objective": func(o *Options) { o.Objective = "cheap" },
		"--fault":     func(o *Options) { o.Faults = []Fault{"flood"} },
	}
	for want, change := range tests {
		o := smallFleet()
		change(&o)
		assert.ErrorContains(t, o.Check(), want)
	}
}
