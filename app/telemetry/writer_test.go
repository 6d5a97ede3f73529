package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output that blocks every write until it is opened.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(p)
}

// Guards against a log output that blocks under load: Write must not wait for it, lines of
// successful requests are dropped before those of failures, and dropped lines are counted
// and reported.
func TestLinesOfDoneRequestsAreDroppedFirst(t *testing.T) {
	output := &blockedWriter{open: make(chan struct{})}
	w := NewWriter(output, "e1")
	write := func(line string) {
		_, err := w.Write([]byte(line + "\n"))
		assert.NilError(t, err)
	}
	for range 2 * maxBufferedLines {
		write(`{"request":"a","outcome":"done"}`)
	}
	for range maxBufferedLines / 8 {
		write(`{"request":"b","outcome":"not_run"}`)
	}
	close(output.open)
	w.Close()
	out := output.String()
	assert.Equal(t, strings.Count(out, `"not_run"`), maxBufferedLines/8)
	// One batch is being written while another one waits.
	assert.Assert(t, strings.Count(out, `"done"`) <= 2*(dropDoneThreshold+1))
	assert.Assert(t, strings.Contains(out, `"instance":"e1"`) && strings.Contains(out, "log lines were dropped"))
}
