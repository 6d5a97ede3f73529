package cmds

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"amaranthturn/core/trace"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// readLogs reads log lines from files, or from standard input if there are none.
func readLogs(files []string) (*trace.Log, error) {
	log := &trace.Log{}
	if len(files) == 0 {
		return log, readLog(log, os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = readLog(log, f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return log, nil
}

func readLog(log *trace.Log, r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		if l, ok := trace.Parse(sc.Bytes()); ok {
			log.Add(l)
		}
	}
	return sc.Err()
}

type traceCommand struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"output format"`
}

func (c *traceCommand) run(p *program, args []string) int {
	if len(args) == 0 {
		return p.usageError("trace ID [FILE...]")
	}
	log, err := readLogs(args[1:])
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	rt := log.Trace(args[0])
	if c.Format == "json" {
		printJSON(p.out, rt)
	} else {
		printTrace(p.out, rt)
	}
	if rt.Decisive < 0 {
		return ExitFailure
	}
	return ExitOK
}

// printTrace writes the decisive line, what is missing, and then all lines in time order.
func printTrace(w io.Writer, rt trace.RequestTrace) {
	_, _ = fmt.Fprintf(w, "request %s: %s\n", rt.ID, rt.Cause)
	if rt.Decisive >= 0 {
		l := rt.Lines[rt.Decisive]
		_, _ = fmt.Fprintf(w, "decided by %s %s: %s\n", l.Time.Format(trace.ClockFormat), l.Instance, l)
	}
	for _, m := range rt.Missing {
		_, _ = fmt.Fprintf(w, "missing: %s\n", m)
	}
	t := newTable(w, "TIME", "INSTANCE", "SUBSYSTEM", "LINE")
	for i, l := range rt.Lines {
		mark := " "
		if i == rt.Decisive {
			mark = ">"
		}
		t.addRow(mark+l.Time.Format(trace.ClockFormat), l.Instance, l.Subsystem, l)
	}
	t.flush()
}

type logsCommand struct {
	Step   time.Duration `long:"step" default:"1s" description:"time covered by each row of the summary"`
	Format string        `long:"format" choice:"table" choice:"json" default:"table" description:"output format"`
}

func (c *logsCommand) run(p *program, args []string) int {
	if len(args) == 0 || args[0] != "summary" && args[0] != "failed" || c.Step <= 0 {
		return p.usageError("logs summary|failed [--step 1s] [FILE...]")
	}
	log, err := readLogs(args[1:])
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	if args[0] == "failed" {
		for _, id := range log.Failed() {
			p.printf("%s\n", id)
		}
		return ExitOK
	}
	s := log.Summarize(c.Step)
	if c.Format == "json" {
		printJSON(p.out, s)
		return ExitOK
	}
	p.printf("%d lines of %d processes, %d requests, %d lines dropped by the daemons\n", s.Lines, s.Processes, s.Requests, s.Dropped)
	t := newTable(p.out, "FROM", "OUTCOME", "REASON", "REQUESTS")
	for _, n := range s.Counts {
		t.addRow(n.From.Format(trace.ClockFormat), n.Outcome, n.Reason, n.N)
	}
	t.flush()
	return ExitOK
}
