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

// logBuffer collects the log lines of all daemons of a run.
type logBuffer struct {
	mu  sync.Mutex // guards log
	log trace.Log
	n   int
}

// Write implements io.Writer; the logger writes one line a call.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := trace.Parse(bytes.Clone(p)); ok {
		b.log.Add(l)
		b.n++
	}
	return len(p), nil
}

// TestTraceNamesTheInjectedFault takes the requests of a run that were not answered and
// asks the logs alone why: the request that crashes each engine is told from all others.
func TestTraceNamesTheInjectedFault(t *testing.T) {
	t.Parallel()
	logs := &logBuffer{}
	o := scene("crash-request")
	o.Log = logs
	_, err := Run(context.Background(), o, io.Discard)
	assert.NilError(t, err)
	crashes := 0
	for _, id := range logs.log.Failed() {
		s := logs.log.Trace(id)
		assert.Assert(t, s.Decisive >= 0, "%s: %s", id, s.Cause)
		if s.Lines[s.Decisive].Message == trace.MessageEngineCrashed {
			crashes++
		}
	}
	assert.Assert(t, crashes > 0, "%d failed, of %d lines", len(logs.log.Failed()), logs.n)
	for _, id := range logs.log.Retried("engine_died") {
		s := logs.log.Trace(id)
		assert.Equal(t, s.Lines[s.Decisive].Message, trace.MessageEngineCrashed, "%s: %s", id, s.Cause)
	}
}
