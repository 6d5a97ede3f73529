package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/io/caller"
)

func newTestEntry(t *testing.T) *Entry {
	m := telemetry.NewMetrics("entry")
	t.Cleanup(func() { _ = m.Close() })
	return New(Options{Settings: &settings.Entry{Concurrency: 8}, Clock: clock.System{}, Logs: telemetry.NewLogs(io.Discard, settings.Log{}, "e1"), Metrics: m, Seed: 1})
}

func (e *Entry) use(models ...string) {
	doc := &config.Document{}
	doc.Defaults.Limits.QueueMillis = 3000
	for _, name := range models {
		doc.Defaults.Models = append(doc.Defaults.Models, config.ModelConfig{Name: name, Version: "v1"})
	}
	e.inForce.Store(&configInForce{doc: doc})
}

// A request that looks for a target of a model that the configuration drops must be refused at
// once, not at its deadline.
func TestRequestOfRemovedModelIsRefusedAtOnce(t *testing.T) {
	const deadline, change, promptly = 3 * time.Second, 200 * time.Millisecond, 1500 * time.Millisecond
	e := newTestEntry(t)
	e.use("m")
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	time.AfterFunc(change, func() { e.use() })
	refusal := e.Generate(ctx, caller.GenerateRequest{RequestID: "r1", Model: "m", Deadline: start.Add(deadline)}, func(caller.Token) error { return nil })
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Outcome, fleet.OutcomeNotRun)
	assert.Equal(t, refusal.Reason, fleet.ReasonUnknownModel)
	assert.Assert(t, time.Since(start) < promptly, "%v", time.Since(start))
}
