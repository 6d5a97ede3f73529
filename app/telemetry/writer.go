package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/core/trace"
)

// bufferedLines bounds the log lines that wait to be written.
const bufferedLines = 2048

// reservedFrom is the number of waiting lines from which those of answered requests are
// dropped, so that failures and refusals still find room.
const reservedFrom = bufferedLines * 3 / 4

// answeredMark is part of the line of an answered request.
var answeredMark = []byte(`"outcome":"done"`)

// Writer writes log lines without making the daemon wait: when the reader of the output is
// slow, lines are dropped and counted.
type Writer struct {
	to      io.Writer
	name    string // of the instance, for the line that tells of dropped ones
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to w for the lines of an instance; Close must be called.
func NewWriter(w io.Writer, instance string) *Writer {
	x := &Writer{to: w, name: instance, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go x.run()
	return x
}

// Write implements io.Writer for one line; it never blocks.
func (x *Writer) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	if len(x.lines) > reservedFrom && bytes.Contains(p, answeredMark) {
		x.dropped.Add(1)
		return len(p), nil
	}
	select {
	case x.lines <- line:
	default:
		x.dropped.Add(1)
	}
	return len(p), nil
}

// run writes what waits, many lines with one call.
func (x *Writer) run() {
	defer close(x.done)
	for line := range x.lines {
		for range len(x.lines) {
			line = append(line, <-x.lines...)
		}
		if n := x.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "{\"level\":\"warn\",\"instance\":%q,\"subsystem\":\"process\",\"lines\":%d,\"time\":%q,\"message\":%q}\n",
				x.name, n, time.Now().Format(zerolog.TimeFieldFormat), trace.MessageLinesDropped)
		}
		_, _ = x.to.Write(line) // there is nowhere else to report a broken output
	}
}

// Close writes what waits. No Write may follow.
func (x *Writer) Close() {
	x.once.Do(func() { close(x.lines) })
	<-x.done
}
