// Package trace finds out from the log lines of daemons why one request ended as it did.
//
// # Usage
//
//	log := trace.Log{}
//	log.Add(line) // of any number of processes, in any order
//	s := log.Trace("a278917a396a791f")
//	// s.Lines in time order, s.Decisive the one that decided, s.Cause in words
//
// # How the decisive line is chosen
//
// The line of the request gives its reason. Each reason points to what may have caused it:
// an entry without a configuration to the store, a lost answer to the target, a request
// that found no slot to the targets that stopped taking requests before. The cause is the
// last such line before the end of the request. When there is none the line of the request
// itself is decisive.
package trace

import (
	"fmt"
	"math"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

// Messages of the lines that a trace builds on. The daemons write them.
const (
	MessageRequest      = "request"
	MessageAttempt      = "attempt failed"
	MessageStoreLost    = "store is out of reach"
	MessagePlatformLost = "platform is out of reach"
	MessageEngineDied   = "engine died"
	MessageDropped      = "log lines were dropped"
)

const (
	// before is how far back from its end a request's cause is looked for: a version change
	// or a recovery keeps targets away that long.
	before = 10 * time.Second
	// near is the time around a request in which what happens to its target is taken for
	// related: a death is noticed by its other requests within it.
	near = 2 * time.Second
	// deadTargets is how many requests of a target that end alike within it tell of the
	// target and not of one answer.
	deadTargets = 3
	// always is for what holds until something else is said.
	always = time.Duration(math.MaxInt64)
)

// Log is the lines that a trace is made from.
type Log struct {
	lines  []Line
	sorted bool
}

// Add takes a line.
func (g *Log) Add(l Line) {
	g.lines = append(g.lines, l)
	g.sorted = false
}

// sort orders the lines by time.
func (g *Log) sort() {
	if !g.sorted {
		slices.SortStableFunc(g.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
		g.sorted = true
	}
}

// Story is what the logs say of one request.
type Story struct {
	ID    string
	Lines []Line // in time order
	// Decisive is the index in Lines of the line that decided, -1 without any line.
	Decisive int
	Cause    string
	Missing  []string
}

// Trace joins the lines of a request across processes and attempts.
func (g *Log) Trace(id string) Story {
	g.sort()
	s := Story{ID: id, Decisive: -1}
	var own []Line
	for _, l := range g.lines {
		if l.text("request") == id {
			own = append(own, l)
		}
	}
	s.Missing = g.missing(own)
	if len(own) == 0 {
		s.Cause = "no line of this request"
		return s
	}
	end := own[len(own)-1]
	for _, l := range own {
		if l.is(MessageRequest) {
			end = l
		}
	}
	cause, line := g.explain(end)
	s.Cause = cause
	s.Lines = append(own, g.around(end)...)
	if !slices.ContainsFunc(s.Lines, func(l Line) bool { return same(l, line) }) {
		s.Lines = append(s.Lines, line)
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s.Decisive = slices.IndexFunc(s.Lines, func(l Line) bool { return same(l, line) })
	return s
}

func same(a, b Line) bool {
	return a.Time.Equal(b.Time) && a.Instance == b.Instance && a.String() == b.String()
}

// missing says what the lines at hand cannot tell.
func (g *Log) missing(own []Line) []string {
	var out []string
	if !slices.ContainsFunc(own, func(l Line) bool { return l.is(MessageRequest) }) {
		out = append(out, "no line of its end: the log of the entry it was sent to is missing, or that entry ended first")
	}
	for _, l := range g.lines {
		if l.is(MessageDropped) && (len(own) == 0 || own[len(own)-1].Instance == l.Instance) {
			out = append(out, fmt.Sprintf("%s dropped %.0f lines of its log by %s", l.Instance, l.number("lines"), l.Time.Format(clock)))
		}
	}
	return out
}

const clock = "15:04:05.000"

// around returns what changed at the request's entry and target while it ran.
func (g *Log) around(end Line) []Line {
	var out []Line
	from, target := end.Time.Add(-end.ms("took")-near), end.text("target")
	for _, l := range g.lines {
		if l.Time.Before(from) || l.Time.After(end.Time.Add(near)) || l.text("request") != "" {
			continue
		}
		if l.Instance == end.Instance && !isTargetChange(l) || l.concerns(target) {
			out = append(out, l)
		}
	}
	return out
}

// explain returns the cause of a request's end and the line that shows it.
func (g *Log) explain(end Line) (string, Line) {
	if l, ok := g.last(end, end.ms("took")+near, func(l Line) bool {
		return l.Instance == end.Instance && l.is("process was paused", "process was paused: view is stale")
	}); ok && end.text("outcome") != fleet.OutcomeDone.String() {
		return "the entry's process stood still", l
	}
	return g.byReason(end)
}

// byReason explains the end of a request by the reason that its line gives.
func (g *Log) byReason(end Line) (string, Line) {
	sameInstance := func(messages ...string) func(Line) bool {
		return func(l Line) bool { return l.Instance == end.Instance && l.is(messages...) }
	}
	switch reason := fleet.Reason(end.text("reason")); reason {
	case "":
		return g.answered(end)
	case fleet.ReasonNoConfiguration:
		return g.shownBy("the entry knew no configuration", end, sameInstance(MessageStoreLost, MessagePlatformLost), ": it did not reach the store")
	case fleet.ReasonUnknownRoute, fleet.ReasonUnknownKey:
		return g.shownBy("the configuration in force does not allow it", end, sameInstance("configuration in force"), "")
	case fleet.ReasonCrashing:
		return g.shownBy("requests like it ended several targets", end, func(l Line) bool { return l.is(MessageEngineDied) }, "")
	case fleet.ReasonQueueFull, fleet.ReasonTooLate, fleet.ReasonNoTarget, fleet.ReasonBusy:
		return g.noRoom(end)
	case fleet.ReasonCallerGone:
		return "the caller left", end
	case fleet.ReasonTargetLost, fleet.ReasonEngineDied, fleet.ReasonEngineFailed, fleet.ReasonDeadline,
		fleet.ReasonServiceFailed, fleet.ReasonAnswerLost, fleet.ReasonRestarted:
		if target := end.text("target"); target != "" {
			return g.lost(end, target)
		}
		return g.noRoom(end)
	default:
		return string(reason), end
	}
}

// shownBy returns a cause with the last line before the end that fits, and what that line
// adds to the cause, or the end itself when there is none.
func (g *Log) shownBy(cause string, end Line, fits func(Line) bool, adds string) (string, Line) {
	if l, ok := g.last(end, always, fits); ok {
		return cause + adds, l
	}
	return cause, end
}

// answered explains a request that was answered, perhaps not by the first target.
func (g *Log) answered(end Line) (string, Line) {
	for _, l := range g.lines {
		if l.is(MessageAttempt) && l.text("request") == end.text("request") && l.text("target") != "" {
			cause, line := g.lost(l, l.text("target"))
			return "it was answered, after a failed attempt: " + cause, line
		}
	}
	return "it was answered", end
}

// isTargetChange tells whether a line says that a target takes more or fewer requests.
func isTargetChange(l Line) bool {
	return l.is("target changed", "target", "entry of a target is gone")
}

// closes tells whether a line says that a target takes no more requests.
func closes(l Line) bool {
	accepting, ok := l.Fields["accepting"].(bool)
	state := l.text("state")
	return ok && !accepting || l.is("entry of a target is gone", "older weights may not answer any more", "lapsed targets did not come back") ||
		l.is("target") && state != "ready" || l.is(MessageEngineDied, "agent detached")
}

// noRoom explains why a request found no slot: the targets that closed before, or too many
// requests.
func (g *Log) noRoom(end Line) (string, Line) {
	gone := map[string]bool{}
	var last Line
	for _, l := range g.lines {
		if l.Instance != end.Instance && !l.is(MessageEngineDied) || l.Time.After(end.Time) || l.Time.Before(end.Time.Add(-before)) {
			continue
		}
		target := l.text("target")
		switch {
		case closes(l):
			gone[target], last = true, l
		case isTargetChange(l):
			delete(gone, target)
		}
	}
	if len(gone) > 0 {
		return fmt.Sprintf("no slot was free; targets that took no requests: %d", len(gone)), last
	}
	return "no slot was free: more requests came than the targets take at once", end
}

// lost explains why a target gave no whole answer.
func (g *Log) lost(end Line, target string) (string, Line) {
	if l, ok := g.last(shifted(end, near), end.ms("took")+2*near, func(l Line) bool {
		return l.concerns(target) && (closes(l) || l.is("engine", MessageEngineDied, "sidecar stopped", "process was paused: looking at the engine anew"))
	}); ok {
		return "the target went away or stopped taking requests", l
	}
	alike, served := 0, 0
	for _, l := range g.lines {
		if !l.is(MessageRequest, MessageAttempt) || l.text("target") != target || l.Time.Sub(end.Time).Abs() > near {
			continue
		}
		if l.text("outcome") == fleet.OutcomeDone.String() {
			served++
		} else {
			alike++
		}
	}
	switch {
	case alike >= deadTargets && alike > served:
		return fmt.Sprintf("the target failed: %d of %d requests on it within %v", alike, alike+served, near), end
	case fleet.Reason(end.text("reason")) == fleet.ReasonDeadline:
		return "the target did not answer in time", end
	}
	return "the connection to the target ended before the whole answer", end
}

// shifted returns a line that is later.
func shifted(l Line, d time.Duration) Line {
	l.Time = l.Time.Add(d)
	return l
}

// last returns the last line up to end, at most d before it, that fits.
func (g *Log) last(end Line, d time.Duration, fits func(Line) bool) (Line, bool) {
	for i := len(g.lines) - 1; i >= 0; i-- {
		l := g.lines[i]
		if !l.Time.After(end.Time) && end.Time.Sub(l.Time) <= d && fits(l) {
			return l, true
		}
	}
	return Line{}, false
}
