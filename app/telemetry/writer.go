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

// maxBufferedLines is the maximum number of log lines that wait to be written.
const maxBufferedLines = 2048

// dropDoneThreshold is the number of waiting lines above which lines of successful requests
// are dropped, so that the buffer has space for failures and refusals.
const dropDoneThreshold = maxBufferedLines * 3 / 4

// doneMarker is contained in the line of a successful request.
var doneMarker = []byte(`"outcome":"done"`)

// Writer writes log lines without blocking the daemon. If the reader of the output is slow,
// lines are dropped and counted.
type Writer struct {
	out      io.Writer
	instance string // for the line that reports dropped lines
	lines    chan []byte
	dropped  atomic.Int64
	done     chan struct{}
	once     sync.Once
}

// NewWriter returns a Writer to out for the log lines of an instance. The caller must call
// Close.
func NewWriter(out io.Writer, instance string) *Writer {
	w := &Writer{out: out, instance: instance, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line; it never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	if len(w.lines) > dropDoneThreshold && bytes.Contains(p, doneMarker) {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// run writes the waiting lines, all that are available with one call.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		for range len(w.lines) {
			line = append(line, <-w.lines...)
		}
		if n := w.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, "{\"level\":\"warn\",\"instance\":%q,\"subsystem\":\"process\",\"lines\":%d,\"time\":%q,\"message\":%q}\n",
				w.instance, n, time.Now().Format(zerolog.TimeFieldFormat), trace.MessageLinesDropped)
		}
		_, _ = w.out.Write(line) // an error of the log output cannot be reported anywhere else
	}
}

// Close writes the waiting lines. Write must not be called afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}
