package trace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

// Count is how many requests ended in one way in one step of time.
type Count struct {
	From    time.Time
	Outcome string
	Reason  string // empty for those that were answered
	N       int
}

// Summary is what a log says of all its requests.
type Summary struct {
	Lines, Requests, Processes int
	Dropped                    int
	First, Last                time.Time
	Counts                     []Count // by time, then outcome and reason
}

// Summarize counts the ends of requests by outcome and reason in steps of time.
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
		case l.is(MessageDropped):
			s.Dropped += int(l.number("lines"))
		case l.is(MessageRequest):
			s.Requests++
			counts[Count{From: l.Time.Truncate(step), Outcome: l.text("outcome"), Reason: l.text("reason")}]++
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

// Failed returns the ids of the requests that were not answered, latest last.
func (g *Log) Failed() []string {
	g.sort()
	var out []string
	for _, l := range g.lines {
		if l.is(MessageRequest) && l.text("outcome") != fleet.OutcomeDone.String() {
			out = append(out, l.text("request"))
		}
	}
	return out
}

// Retried returns the ids of the requests of which an attempt failed in one way, in the
// order of the first failure.
func (g *Log) Retried(failure string) []string {
	g.sort()
	var out []string
	for _, l := range g.lines {
		if l.is(MessageAttempt) && l.text("failure") == failure && !slices.Contains(out, l.text("request")) {
			out = append(out, l.text("request"))
		}
	}
	return out
}
