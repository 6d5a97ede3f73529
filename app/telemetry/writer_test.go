package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// Replays an output that stands still under load: no line waits for it, lines of answered
// requests give way to those of failures, and what was dropped is counted and told.
func TestFailuresAreKeptBeforeAnswers(t *testing.T) {
	to := &gate{open: make(chan struct{})}
	w := NewWriter(to, "e1")
	write := func(line string) {
		_, err := w.Write([]byte(line + "\n"))
		assert.NilError(t, err)
	}
	for range 2 * bufferedLines {
		write(`{"request":"a","outcome":"done"}`)
	}
	for range bufferedLines / 8 {
		write(`{"request":"b","outcome":"not_run"}`)
	}
	close(to.open)
	w.Close()
	out := to.String()
	assert.Equal(t, strings.Count(out, `"not_run"`), bufferedLines/8)
	// One batch is being written, another waits.
	assert.Assert(t, strings.Count(out, `"done"`) <= 2*(reservedFrom+1))
	assert.Assert(t, strings.Contains(out, `"instance":"e1"`) && strings.Contains(out, "log lines were dropped"))
}
