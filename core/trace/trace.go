// Package trace determines from the log lines of daemons why a request ended as it did.
//
// # Usage
//
//	log := trace.Log{}
//	log.Add(line) // from any number of processes, in any order
//	r := log.Trace("a278917a396a791f")
//	// r.Lines: the lines in time order
//	// r.Decisive: the index of the line that shows the cause
//	// r.Cause: the cause as text
//
// # How the decisive line is chosen
//
// The log line of a request's end contains the reason. Each reason suggests possible causes:
// the store for an entry without a configuration, the target for a lost response, targets
// that stopped accepting requests for a request that found no free slot. The decisive line
// is the last line of such a cause before the end of the request, or the line of the
// request itself if there is none.
package trace

import (
	"fmt"
	"math"
	"slices"
	"time"

	"amaranthturn/core/fleet"
)

const (
	// causeWindow is how long before the end of a request its cause may lie. Targets are out
	// of service that long during a version change or a recovery.
	causeWindow = 10 * time.Second
	// relatedWindow is the time before and after a request in which events of its target are
	// considered related. The other requests of a crashed target fail within it.
	relatedWindow = 2 * time.Second
	// minTargetFailures is the number of failed requests to a target within relatedWindow
	// that indicates a failed target instead of a single lost response.
	minTargetFailures = 3
	// unlimited is the search window for states that last until the next change.
	unlimited = time.Duration(math.MaxInt64)
)

// Log is a collection of log lines.
type Log struct {
	lines  []Line
	sorted bool
}

// Add adds a line.
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

// RequestTrace is the result of tracing one request.
type RequestTrace struct {
	ID    string
	Lines []Line // in time order
	// Decisive is the index in Lines of the line that shows the cause, or -1 if the log has no
	// line of the request.
	Decisive int
	Cause    string
	Missing  []string // log lines that the trace lacks
}

// Trace collects the lines of a request from all processes and attempts and determines the
// cause of its end.
func (g *Log) Trace(id string) RequestTrace {
	g.sort()
	r := RequestTrace{ID: id, Decisive: -1}
	var own []Line
	end := -1 // index of the line of the request's end, or of its last line if there is none
	for i, l := range g.lines {
		if l.stringField("request") != id {
			continue
		}
		if end < 0 || l.hasMessage(MessageRequest) || !g.lines[end].hasMessage(MessageRequest) {
			end = i
		}
		own = append(own, l)
	}
	r.Missing = g.missing(own)
	if end < 0 {
		r.Cause = "no log line of this request"
		return r
	}
	cause, decisive := g.explain(end)
	r.Cause = cause
	for i, l := range g.lines {
		if i == decisive {
			r.Decisive = len(r.Lines)
		}
		if i == decisive || l.stringField("request") == id || isRelated(l, g.lines[end]) {
			r.Lines = append(r.Lines, l)
		}
	}
	return r
}

// missing describes the log lines that are missing to trace a request; own contains its
// lines.
func (g *Log) missing(own []Line) []string {
	var out []string
	if !slices.ContainsFunc(own, func(l Line) bool { return l.hasMessage(MessageRequest) }) {
		out = append(out, "no line of its end: the log of the entry it was sent to is missing, or that entry exited first")
	}
	for _, l := range g.lines {
		if l.hasMessage(MessageLinesDropped) && (len(own) == 0 || own[len(own)-1].Instance == l.Instance) {
			out = append(out, fmt.Sprintf("%s dropped %.0f lines of its log by %s", l.Instance, l.numberField("lines"), l.Time.Format(ClockFormat)))
		}
	}
	return out
}

// ClockFormat is the format in which the time of a line is printed.
const ClockFormat = "15:04:05.000"

// isRelated reports whether a line describes a change of a request's entry or target while
// the request was running; end is the line of its end.
func isRelated(l, end Line) bool {
	from := end.Time.Add(-end.durationField("took") - relatedWindow)
	if l.Time.Before(from) || l.Time.After(end.Time.Add(relatedWindow)) || l.stringField("request") != "" {
		return false
	}
	return l.Instance == end.Instance && !isTargetChange(l) || l.isAbout(end.stringField("target"))
}

// explain returns the cause of the end of a request and the index of the line that shows it;
// at is the index of the line of the end.
func (g *Log) explain(at int) (string, int) {
	end := g.lines[at]
	if i, ok := g.findLast(end.Time, end.durationField("took")+relatedWindow, func(l Line) bool {
		return l.Instance == end.Instance && l.hasMessage(MessageGatewayPaused, MessageEntryPaused)
	}); ok && end.stringField("outcome") != fleet.OutcomeDone.String() {
		return "the entry's process was paused", i
	}
	return g.explainReason(at)
}

// explainReason explains the end of a request based on the reason in its line.
func (g *Log) explainReason(at int) (string, int) {
	end := g.lines[at]
	sameInstance := func(messages ...string) func(Line) bool {
		return func(l Line) bool { return l.Instance == end.Instance && l.hasMessage(messages...) }
	}
	switch reason := fleet.Reason(end.stringField("reason")); reason {
	case "":
		return g.explainCompleted(at)
	case fleet.ReasonNoConfiguration:
		return g.explainByLast("the entry had no configuration", at, sameInstance(MessageStoreUnavailable, MessagePlatformUnavailable), ": it did not reach the store")
	case fleet.ReasonUnknownRoute, fleet.ReasonUnknownKey:
		return g.explainByLast("the configuration in force does not allow it", at, sameInstance(MessageConfiguration), "")
	case fleet.ReasonCrashesTargets:
		return g.explainByLast("requests like this one crashed several targets", at, func(l Line) bool { return l.hasMessage(MessageEngineCrashed) }, "")
	case fleet.ReasonQueueFull, fleet.ReasonDeadlineCannotBeMet, fleet.ReasonNoRoomForLate, fleet.ReasonNoTarget, fleet.ReasonTargetBusy:
		return g.explainNoSlot(at)
	case fleet.ReasonCallerDisconnected:
		return "the caller disconnected", at
	case fleet.ReasonTargetLost, fleet.ReasonEngineCrashed, fleet.ReasonEngineFailed, fleet.ReasonDeadlinePassed,
		fleet.ReasonServiceUnreachable, fleet.ReasonResultUnknown, fleet.ReasonTargetRestarted:
		if end.stringField("target") != "" {
			return g.explainTargetFailure(at)
		}
		return g.explainNoSlot(at)
	default:
		return string(reason), at
	}
}

// explainByLast returns the cause, followed by suffix, and the last matching line before the
// end. If no line matches, it returns the cause alone and the line of the end.
func (g *Log) explainByLast(cause string, at int, matches func(Line) bool, suffix string) (string, int) {
	if i, ok := g.findLast(g.lines[at].Time, unlimited, matches); ok {
		return cause + suffix, i
	}
	return cause, at
}

// explainCompleted explains a request with a complete response, possibly after a failed attempt.
func (g *Log) explainCompleted(at int) (string, int) {
	for i, l := range g.lines {
		if l.hasMessage(MessageAttemptFailed) && l.stringField("request") == g.lines[at].stringField("request") && l.stringField("target") != "" {
			cause, line := g.explainTargetFailure(i)
			return "it was answered, after a failed attempt: " + cause, line
		}
	}
	return "it was answered", at
}

// isTargetChange reports whether a line describes a change in the requests that a target accepts.
func isTargetChange(l Line) bool {
	return l.hasMessage(MessageTargetChanged, MessageTarget, MessageTargetRemoved)
}

// stopsAccepting reports whether a line shows that a target stopped accepting requests.
func stopsAccepting(l Line) bool {
	accepting, ok := l.Fields["accepting"].(bool)
	state := l.stringField("state")
	return ok && !accepting || l.hasMessage(MessageTargetRemoved, MessageWeightsTooOld, MessageNoNewerWeights, MessageTargetsExpired, MessageTargetShownRemoved) ||
		l.hasMessage(MessageTarget) && state != "ready" || l.hasMessage(MessageEngineCrashed, MessageAgentDetached)
}

// explainNoSlot explains why a request found no free slot: targets stopped accepting requests
// before, or there were too many requests.
func (g *Log) explainNoSlot(at int) (string, int) {
	end := g.lines[at]
	closed := map[string]bool{}
	last := at
	for i, l := range g.lines {
		if l.Instance != end.Instance && !l.hasMessage(MessageEngineCrashed) || l.Time.After(end.Time) || l.Time.Before(end.Time.Add(-causeWindow)) {
			continue
		}
		target := l.stringField("target")
		switch {
		case stopsAccepting(l):
			closed[target], last = true, i
		case isTargetChange(l):
			delete(closed, target)
		}
	}
	if len(closed) > 0 {
		return fmt.Sprintf("no slot was free; targets that took no requests: %d", len(closed)), last
	}
	return "no slot was free: more requests arrived than the targets accept at once", at
}

// explainTargetFailure explains why the target in a line did not return a full response.
func (g *Log) explainTargetFailure(at int) (string, int) {
	end := g.lines[at]
	target := end.stringField("target")
	if i, ok := g.findLast(end.Time.Add(relatedWindow), end.durationField("took")+2*relatedWindow, func(l Line) bool {
		return l.isAbout(target) && (stopsAccepting(l) || l.hasMessage(MessageEngine, MessageEngineCrashed, MessageSidecarStopped, MessageAgentPaused))
	}); ok {
		return "the target was removed, crashed or stopped accepting requests", i
	}
	failed, served := 0, 0
	for _, l := range g.lines {
		if !l.hasMessage(MessageRequest, MessageAttemptFailed) || l.stringField("target") != target || l.Time.Sub(end.Time).Abs() > relatedWindow {
			continue
		}
		if l.stringField("outcome") == fleet.OutcomeDone.String() {
			served++
		} else {
			failed++
		}
	}
	switch {
	case failed >= minTargetFailures && failed > served:
		return fmt.Sprintf("the target failed: %d of %d requests on it within %v", failed, failed+served, relatedWindow), at
	case fleet.Reason(end.stringField("reason")) == fleet.ReasonDeadlinePassed:
		return "the target did not respond in time", at
	}
	return "the connection to the target ended before the complete response", at
}

// findLast returns the index of the last matching line that is not after end and at most d
// before it.
func (g *Log) findLast(end time.Time, d time.Duration, matches func(Line) bool) (int, bool) {
	for i := len(g.lines) - 1; i >= 0; i-- {
		l := g.lines[i]
		if !l.Time.After(end) && end.Sub(l.Time) <= d && matches(l) {
			return i, true
		}
	}
	return 0, false
}
