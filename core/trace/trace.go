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
	end := -1 // index of the line of the request's end, or else of its last line
	for i, l := range g.lines {
		if l.text("request") != id {
			continue
		}
		if end < 0 || l.is(MessageRequest) || !g.lines[end].is(MessageRequest) {
			end = i
		}
		own = append(own, l)
	}
	s.Missing = g.missing(own)
	if end < 0 {
		s.Cause = "no line of this request"
		return s
	}
	cause, decisive := g.explain(end)
	s.Cause = cause
	for i, l := range g.lines {
		if i == decisive {
			s.Decisive = len(s.Lines)
		}
		if i == decisive || l.text("request") == id || isAround(l, g.lines[end]) {
			s.Lines = append(s.Lines, l)
		}
	}
	return s
}

// missing says what the lines at hand cannot tell.
func (g *Log) missing(own []Line) []string {
	var out []string
	if !slices.ContainsFunc(own, func(l Line) bool { return l.is(MessageRequest) }) {
		out = append(out, "no line of its end: the log of the entry it was sent to is missing, or that entry ended first")
	}
	for _, l := range g.lines {
		if l.is(MessageDropped) && (len(own) == 0 || own[len(own)-1].Instance == l.Instance) {
			out = append(out, fmt.Sprintf("%s dropped %.0f lines of its log by %s", l.Instance, l.number("lines"), l.Time.Format(ClockFormat)))
		}
	}
	return out
}

// ClockFormat is how the time of a line is shown.
const ClockFormat = "15:04:05.000"

// isAround tells whether a line says what changed at a request's entry or target while it
// ran; end is the line of its end.
func isAround(l, end Line) bool {
	from := end.Time.Add(-end.ms("took") - near)
	if l.Time.Before(from) || l.Time.After(end.Time.Add(near)) || l.text("request") != "" {
		return false
	}
	return l.Instance == end.Instance && !isTargetChange(l) || l.concerns(end.text("target"))
}

// explain returns the cause of the end of a request, of which at is the line, and the index
// of the line that shows it.
func (g *Log) explain(at int) (string, int) {
	end := g.lines[at]
	if i, ok := g.last(end.Time, end.ms("took")+near, func(l Line) bool {
		return l.Instance == end.Instance && l.is(MessageGatewayPaused, MessageEntryPaused)
	}); ok && end.text("outcome") != fleet.OutcomeDone.String() {
		return "the entry's process stood still", i
	}
	return g.byReason(at)
}

// byReason explains the end of a request by the reason that its line gives.
func (g *Log) byReason(at int) (string, int) {
	end := g.lines[at]
	sameInstance := func(messages ...string) func(Line) bool {
		return func(l Line) bool { return l.Instance == end.Instance && l.is(messages...) }
	}
	switch reason := fleet.Reason(end.text("reason")); reason {
	case "":
		return g.answered(at)
	case fleet.ReasonNoConfiguration:
		return g.shownBy("the entry knew no configuration", at, sameInstance(MessageStoreLost, MessagePlatformLost), ": it did not reach the store")
	case fleet.ReasonUnknownRoute, fleet.ReasonUnknownKey:
		return g.shownBy("the configuration in force does not allow it", at, sameInstance(MessageConfiguration), "")
	case fleet.ReasonCrashing:
		return g.shownBy("requests like it ended several targets", at, func(l Line) bool { return l.is(MessageEngineDied) }, "")
	case fleet.ReasonQueueFull, fleet.ReasonTooLate, fleet.ReasonNoTarget, fleet.ReasonBusy:
		return g.noRoom(at)
	case fleet.ReasonCallerGone:
		return "the caller left", at
	case fleet.ReasonTargetLost, fleet.ReasonEngineDied, fleet.ReasonEngineFailed, fleet.ReasonDeadline,
		fleet.ReasonServiceFailed, fleet.ReasonAnswerLost, fleet.ReasonRestarted:
		if end.text("target") != "" {
			return g.lost(at)
		}
		return g.noRoom(at)
	default:
		return string(reason), at
	}
}

// shownBy returns a cause with the last line before the end that fits, and what that line
// adds to the cause, or the end itself when there is none.
func (g *Log) shownBy(cause string, at int, fits func(Line) bool, adds string) (string, int) {
	if i, ok := g.last(g.lines[at].Time, always, fits); ok {
		return cause + adds, i
	}
	return cause, at
}

// answered explains a request that was answered, perhaps not by the first target.
func (g *Log) answered(at int) (string, int) {
	for i, l := range g.lines {
		if l.is(MessageAttempt) && l.text("request") == g.lines[at].text("request") && l.text("target") != "" {
			cause, line := g.lost(i)
			return "it was answered, after a failed attempt: " + cause, line
		}
	}
	return "it was answered", at
}

// isTargetChange tells whether a line says that a target takes more or fewer requests.
func isTargetChange(l Line) bool {
	return l.is(MessageTargetChanged, MessageTarget, MessageTargetGone)
}

// closes tells whether a line says that a target takes no more requests.
func closes(l Line) bool {
	accepting, ok := l.Fields["accepting"].(bool)
	state := l.text("state")
	return ok && !accepting || l.is(MessageTargetGone, MessageTooOld, MessageTargetsLapsed) ||
		l.is(MessageTarget) && state != "ready" || l.is(MessageEngineDied, MessageAgentDetached)
}

// noRoom explains why a request found no slot: the targets that closed before, or too many
// requests.
func (g *Log) noRoom(at int) (string, int) {
	end := g.lines[at]
	gone := map[string]bool{}
	last := at
	for i, l := range g.lines {
		if l.Instance != end.Instance && !l.is(MessageEngineDied) || l.Time.After(end.Time) || l.Time.Before(end.Time.Add(-before)) {
			continue
		}
		target := l.text("target")
		switch {
		case closes(l):
			gone[target], last = true, i
		case isTargetChange(l):
			delete(gone, target)
		}
	}
	if len(gone) > 0 {
		return fmt.Sprintf("no slot was free; targets that took no requests: %d", len(gone)), last
	}
	return "no slot was free: more requests came than the targets take at once", at
}

// lost explains why the target that a line names gave no whole answer.
func (g *Log) lost(at int) (string, int) {
	end := g.lines[at]
	target := end.text("target")
	if i, ok := g.last(end.Time.Add(near), end.ms("took")+2*near, func(l Line) bool {
		return l.concerns(target) && (closes(l) || l.is(MessageEngine, MessageEngineDied, MessageSidecarStopped, MessageAgentPaused))
	}); ok {
		return "the target went away or stopped taking requests", i
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
		return fmt.Sprintf("the target failed: %d of %d requests on it within %v", alike, alike+served, near), at
	case fleet.Reason(end.text("reason")) == fleet.ReasonDeadline:
		return "the target did not answer in time", at
	}
	return "the connection to the target ended before the whole answer", at
}

// last returns the index of the last line up to end, at most d before it, that fits.
func (g *Log) last(end time.Time, d time.Duration, fits func(Line) bool) (int, bool) {
	for i := len(g.lines) - 1; i >= 0; i-- {
		l := g.lines[i]
		if !l.Time.After(end) && end.Sub(l.Time) <= d && fits(l) {
			return i, true
		}
	}
	return 0, false
}
