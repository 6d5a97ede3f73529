package local

import (
	"context"
	"io"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// scene returns a small fleet for a test.
func scene(f ...Fault) Options {
	return Options{
		Instances: 5, Entries: 3, Regions: 2, ModelBytes: 1 << 20, Duration: 4 * time.Second,
		Faults: f, Seed: 3, Objective: "time",
	}
}

func keepsPromises(t *testing.T, o Options) {
	t.Helper()
	rep, err := Run(context.Background(), o, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, len(rep.Broken), 0, "%v", rep.Broken)
	assert.Assert(t, rep.Converged)
	assert.Assert(t, rep.AnswersWhole > 0 && rep.OrdersRun > 0)
}

// TestPromisesUnderFaults causes each fault over real sockets. The verdict comes from
// what the stand-ins ran.
func TestPromisesUnderFaults(t *testing.T) {
	for _, name := range FaultNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			keepsPromises(t, scene(Fault(name)))
		})
	}
}

// TestPromisesUnderPairs causes faults that come together.
func TestPromisesUnderPairs(t *testing.T) {
	for _, pair := range [][]Fault{
		{"kill-runner", "platform-down"}, {"partition", "version-change"}, {"stop-entry", "kill-orders"},
		{"stall-link", "corrupt-origin"}, {"engine-crash", "stop-runner"},
	} {
		t.Run(string(pair[0]+"+"+pair[1]), func(t *testing.T) {
			t.Parallel()
			keepsPromises(t, scene(pair...))
		})
	}
}

// TestEnginesWithOneSlot switches without memory for two versions.
func TestEnginesWithOneSlot(t *testing.T) {
	t.Parallel()
	o := scene()
	o.OneSlot = true
	keepsPromises(t, o)
}

// TestInterruptStopsEverything ends a run in its middle; nothing is left running.
func TestInterruptStopsEverything(t *testing.T) {
	before := goleak.IgnoreCurrent()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := Run(ctx, scene(), io.Discard)
	assert.Assert(t, err != nil)
	goleak.VerifyNone(t, before)
}

func TestOptionsAreChecked(t *testing.T) {
	rows := map[string]func(*Options){
		"--instances": func(o *Options) { o.Instances = 0 },
		"--regions":   func(o *Options) { o.Regions = 99 },
		"--objective": func(o *Options) { o.Objective = "cheap" },
		"--fault":     func(o *Options) { o.Faults = []Fault{"flood"} },
	}
	for want, change := range rows {
		o := scene()
		change(&o)
		assert.ErrorContains(t, o.Check(), want)
	}
}
