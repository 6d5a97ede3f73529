package trace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

// Count is the number of requests with the same outcome and reason in one time step.
type Count struct {
	From    time.Time
	Outcome string
	Reason  string // empty for requests with a complete response
	N       int
}

// Summary summarizes all requests of a log.
type Summary struct {
	Lines, Requests, Processes int
	Dropped                    int
	First, Last                time.Time
	Counts                     []Count // sorted by time, outcome and reason
}

// Summarize counts finished requests by time step, outcome and reason.
func (g *Log) Summarize(step time.Duration) Summary {
	g.sort()
	s := Summary{Lines: len(g.lines)}
	if len(g.lines) > 0 {
		s.First, s.Last = g.lines[0].Time, g.lines[len(g.lines)-1].Time
	}
	processes := map[string]bool{}
	counts := map[Count]int{}
	for _, l := range g.lines {
		processes[l.Instance] = true
		switch {
		case l.hasMessage(MessageLinesDropped):
			s.Dropped += int(l.numberField("lines"))
		case l.hasMessage(MessageRequest):
			s.Requests++
			counts[Count{From: l.Time.Truncate(step), Outcome: l.stringField("outcome"), Reason: l.stringField("reason")}]++
		}
	}
	s.Processes = len(processes)
	for _, c := range slices.SortedFunc(maps.Keys(counts), func(a, b Count) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	}) {
		c.N = counts[c]
		s.Counts = append(s.Counts, c)
	}
	return s
}

// Failed returns the ids of the requests without a complete response, ordered by time of their end.
func (g *Log) Failed() []string {
	g.sort()
	var out []string
	for _, l := range g.lines {
		if l.hasMessage(MessageRequest) && l.stringField("outcome") != fleet.OutcomeDone.String() {
			out = append(out, l.stringField("request"))
		}
	}
	return out
}

// Retried returns the ids of the requests with an attempt that failed in the given way,
// ordered by time of the first such failure.
func (g *Log) Retried(failure string) []string {
	g.sort()
	var out []string
	for _, l := range g.lines {
		if l.hasMessage(MessageAttemptFailed) && l.stringField("failure") == failure && !slices.Contains(out, l.stringField("request")) {
			out = append(out, l.stringField("request"))
		}
	}
	return out
}
