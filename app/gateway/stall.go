package gateway

import (
	"slices"
	"time"

	"amaranthturn/core/loadbalance"
	"amaranthturn/core/retry"
	"amaranthturn/core/roster"
)

// stallTimes are the times after which a request looks for a replacement of a silent target.
type stallTimes struct {
	// timeout is how long a target may be silent before its stream is also sent to another
	// target. It is several objectives long, because a slower response is late but still useful,
	// and longer than the second or so that a sound target may pause.
	timeout time.Duration
	// checkInterval is how often a stalled request looks for another target.
	checkInterval time.Duration
}

var defaultStallTimes = stallTimes{timeout: 2 * time.Second, checkInterval: 250 * time.Millisecond}

// maxCheckDelay is how late a check may be that follows a late one.
const maxCheckDelay = time.Minute

// maxCheckDoublings limits the time until a stalled request looks for another target after
// replacements have failed.
const maxCheckDoublings = 3

// startStallTimer watches for silent targets if the request is a stream that may be resumed. mu must
// be held.
func (h *requestHandler) startStallTimer() {
	if h.isStreaming() && h.route.Repeatable() {
		h.race.checkAt = h.g.now().Add(h.g.stall.timeout)
		h.race.stallTimer = time.AfterFunc(h.g.stall.timeout, h.checkStall)
	}
}

// scheduleStallCheck schedules the next check. mu must be held.
func (h *requestHandler) scheduleStallCheck(wait time.Duration) {
	if h.race.stallTimer != nil {
		h.race.checkAt = h.g.now().Add(wait)
		h.race.stallTimer.Reset(wait)
	}
}

// stopStallTimer stops watching for silent targets. A check that is about to run does nothing, since
// no attempt is in progress. mu must be held.
func (h *requestHandler) stopStallTimer() {
	if h.race.stallTimer != nil {
		h.race.stallTimer.Stop()
	}
}

// checkStall starts an attempt on another target if all those in progress are silent. They go on,
// since a sound target may pause.
func (h *requestHandler) checkStall() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.others(nil)) == 0 {
		return
	}
	now := h.g.now()
	if late := now.Sub(h.race.checkAt); late > h.g.stall.checkInterval {
		// This process was paused. What the targets have sent meanwhile is read first.
		h.scheduleStallCheck(h.g.stall.checkInterval)
		h.race.checkAt = now.Add(maxCheckDelay)
		return
	}
	silent := h.silence(now)
	switch kept := h.race.kept; {
	case silent < h.g.stall.timeout:
		h.scheduleStallCheck(h.g.stall.timeout - silent)
	case kept != nil && !h.responseStarted.Load() && silent >= 2*h.g.stall.timeout:
		h.target = kept.attempt.target.ID
		h.race.attempts.Continue(kept.attempt.slot)
	default:
		h.scheduleStallCheck(h.replaceSilent(now))
	}
}

// silence returns how long all attempts in progress have been silent, and records the targets that
// have been for too long. mu must be held.
func (h *requestHandler) silence(now time.Time) time.Duration {
	silent := time.Duration(0)
	for i, a := range h.others(nil) {
		d := now.Sub(a.progressAt)
		if a.writing {
			d = 0
		}
		if i == 0 || d < silent {
			silent = d
		}
		if d >= h.g.stall.timeout && !a.stalled {
			a.stalled = true
			h.g.mu.Lock()
			a.service.balancer.RecordFailure(a.target.ID, now)
			h.g.mu.Unlock()
		}
	}
	return silent
}

// replaceSilent starts an attempt beside the silent ones if another target has a free slot, the
// budget a retry, and enough time is left. It returns the time until the next check. mu must be held.
func (h *requestHandler) replaceSilent(now time.Time) time.Duration {
	g := h.g
	if !h.state.CanReplace(h.race.attempts.Len()) || !h.canStart() || !now.Add(retry.MaxDelay).Before(h.deadline.Time()) {
		return g.stall.timeout
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.crashesTargets(now) {
		return g.stall.timeout
	}
	t, ok := h.chooseReplacement(now)
	if !ok || !h.allowRetry() {
		return g.stall.checkInterval
	}
	beside := h.others(nil)[0]
	a := h.startAttempt(t)
	a.hasUnusedRetry = true
	g.log.requests.Info().Str("request", string(h.call.ID)).Str("target", string(t.ID)).Str("beside", string(beside.target.ID)).
		Int("events", h.state.Sent()).Dur("took", now.Sub(h.startedAt)).Msg("target is silent: attempt on another one")
	go a.run()
	return g.stall.timeout
}

// chooseReplacement selects a target beside those in progress. Targets that failed the request are
// used again if there is no other, like after a failed attempt. A response that has not begun waits at a
// full target rather than at a silent one, of which nobody knows whether it goes on before the caller
// leaves. mu and Gateway.mu must be held.
func (h *requestHandler) chooseReplacement(now time.Time) (roster.Target, bool) {
	inProgress := h.race.attempts.Targets()
	q := loadbalance.Query{Avoid: slices.Concat(inProgress, h.state.Avoid()), Reporting: true, IsEligible: h.pinnedTargets()}
	id, ok := h.race.service.balancer.Choose(q, now)
	if !ok && h.race.failedReplacements > 0 {
		id, ok = h.race.service.balancer.Choose(loadbalance.Query{Avoid: inProgress, Reporting: true, IsEligible: q.IsEligible}, now)
	}
	if !ok && h.state.Sent() == 0 {
		q.AllowFull = true
		id, ok = h.race.service.balancer.Choose(q, now)
	}
	if !ok {
		return roster.Target{}, false
	}
	return h.g.roster.Get(id)
}

// replacementFailed schedules the next check after an attempt failed beside a silent one. mu must be
// held.
func (h *requestHandler) replacementFailed() {
	h.race.failedReplacements++
	h.scheduleStallCheck(h.g.stall.checkInterval << min(h.race.failedReplacements, maxCheckDoublings))
}

// allowRetry takes a retry from the budget. Gateway.mu must be held.
func (h *requestHandler) allowRetry() bool { return h.g.budgets.Allow(h.serviceName, h.g.now()) }
