package local

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthturn/core/trace"
)

// logCollector collects the log lines of all daemons of a run.
type logCollector struct {
	mu    sync.Mutex // guards log
	log   trace.Log
	lines int
}

// Write implements io.Writer. The logger writes one line per call.
func (b *logCollector) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := trace.Parse(bytes.Clone(p)); ok {
		b.log.Add(l)
		b.lines++
	}
	return len(p), nil
}

// TestTraceFindsInjectedFault traces the failed requests of a run by its logs alone. Each must
// have a decisive line, and the crashing request must be distinguishable from the others.
func TestTraceFindsInjectedFault(t *testing.T) {
	t.Parallel()
	logs := &logCollector{}
	o := smallFleet("crash-request")
	o.Log = logs
	_, err := Run(context.Background(), o, io.Discard)
	assert.NilError(t, err)
	crashes := 0
	for _, id := range logs.log.Failed() {
		rt := logs.log.Trace(id)
		assert.Assert(t, rt.Decisive >= 0, "%s: %s", id, rt.Cause)
		if rt.Lines[rt.Decisive].Message == trace.MessageEngineCrashed {
			crashes++
		}
	}
	assert.Assert(t, crashes > 0, "no engine crash among the causes; %d failed requests, %d log lines", len(logs.log.Failed()), logs.lines)
	for _, id := range logs.log.Retried("engine_died") {
		rt := logs.log.Trace(id)
		assert.Equal(t, rt.Lines[rt.Decisive].Message, trace.MessageEngineCrashed, "%s: %s", id, rt.Cause)
	}
}
