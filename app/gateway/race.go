package gateway

import (
	"context"
	"slices"
	"time"

	"amaranthturn/app/telemetry"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
)

// race is the attempts of one request that are in progress: one, and beside it its replacements if
// its target is silent. The first of them that has the next event goes on. The fields are guarded by
// the handler's mu.
type race struct {
	ctx        context.Context // of the request
	service    *service
	attempts   dispatch.Attempts
	running    []*targetAttempt // the same
	ended      chan struct{}    // closed when no attempt is in progress
	last       attemptEnd       // of the last attempt that was not superseded
	stallTimer *time.Timer      // nil if the request is no stream that may be resumed
	checkAt    time.Time        // when stallTimer has to fire
	// failedReplacements is how many replacements failed since the last event.
	failedReplacements int
	// kept is a complete response that is no part of a stream. It was received while another
	// attempt was in progress, and is forwarded if that one fails.
	kept *keptResponse
}

type keptResponse struct {
	*targetResponse
	attempt *targetAttempt
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	target  fleet.InstanceID
	failure dispatch.Failure
	done    bool
}

func (h *requestHandler) isStreaming() bool { return h.route.Kind == routeconfig.KindStreaming }

// newAttempt returns an attempt on t that continues the response. mu must be held.
func (h *requestHandler) newAttempt(parent context.Context, svc *service, t roster.Target) *targetAttempt {
	h.state.StartAttempt(t.ID)
	a := &targetAttempt{
		handler: h, service: svc, target: t, parent: parent, prefillTokens: h.call.PromptTokens, startedAt: h.g.now(), progressAt: h.g.now(),
		lastEventID: h.stream.LastEventID(), version: h.stream.Version(), repeated: h.state.IsRepeated(),
	}
	a.ctx, a.cancel = context.WithCancel(parent)
	a.slot = h.race.attempts.Start(t.ID, a.cancel)
	return a
}

// startAttempt adds an attempt on t to those in progress. mu and Gateway.mu must be held.
func (h *requestHandler) startAttempt(t roster.Target) *targetAttempt {
	svc := h.race.service
	svc.balancer.RecordStart(t.ID, h.call.PromptTokens, h.g.now())
	a := h.newAttempt(h.race.ctx, svc, t)
	a.hasToken = h.g.limits.Take(noticeTarget(t), h.g.now())
	if len(h.race.running) == 0 {
		h.race.ended = make(chan struct{})
		h.race.last = attemptEnd{}
	}
	h.race.running = append(h.race.running, a)
	h.attempts++
	h.g.watchUntilStarted(a)
	return a
}

// runRace runs an attempt and waits until it and its replacements have ended. It reports whether the
// response is complete.
func (h *requestHandler) runRace(a *targetAttempt) (dispatch.Failure, bool) {
	a.run()
	<-h.race.ended
	last, kept := h.endRace()
	if kept != nil {
		h.out.WriteResponse(kept.Reply, kept.body)
		return dispatch.Failure{}, true
	}
	return last.failure, last.done
}

// endRace returns how the last attempt ended, and the response that was kept if it has to be used.
func (h *requestHandler) endRace() (attemptEnd, *keptResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopStallTimer()
	last := h.race.last
	if kept := h.race.kept; kept != nil && !last.done && !h.responseStarted.Load() {
		h.beginResponse(kept.attempt)
		return last, kept
	}
	h.state.StartAttempt(last.target)
	h.target = last.target
	return last, nil
}

// others returns the attempts in progress beside a that may continue the response. mu must be held.
func (h *requestHandler) others(a *targetAttempt) []*targetAttempt {
	return slices.DeleteFunc(slices.Clone(h.race.running), func(b *targetAttempt) bool { return b == a || b.slot.IsSuperseded() })
}

// continuesStream reports whether a reply may continue the stream.
func (a *targetAttempt) continuesStream(r forward.Reply) bool {
	h := a.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stream.IsContinuedBy(r)
}

// claimEvent decides that the attempt continues the stream with an event, which it has to write. It
// reports whether the event begins the response.
func (a *targetAttempt) claimEvent(id string, r forward.Reply) (bool, error) {
	h := a.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.slot.IsSuperseded() {
		return false, errSuperseded
	}
	if !a.mayStart() {
		return false, errCanceled
	}
	if !h.stream.Accept(id) {
		return false, errUnexpectedEvent
	}
	h.race.attempts.Continue(a.slot)
	h.race.failedReplacements = 0
	h.stream.SetVersion(r.Version)
	begins := !h.responseStarted.Load()
	if begins {
		h.stream.Begin(r)
	}
	h.beginResponse(a)
	a.recordResponseStart(r.Version)
	// The index is only a count, because the IDs were checked above.
	_ = h.state.Token(dispatch.TokenEvent{Version: pinnedVersion, Index: h.state.Sent(), CanResume: h.route.Resumable})
	a.writing = true
	return begins, nil
}

// beginResponse records that a part of an attempt's response is sent to the caller. mu must be held.
func (h *requestHandler) beginResponse(a *targetAttempt) {
	h.responseStarted.Store(true)
	h.target = a.target.ID
	if h.timeToFirstEvent == 0 {
		h.timeToFirstEvent = h.g.now().Sub(h.startedAt)
	}
}

// recordWritten records that an event was written. The time that its caller took is no silence of
// the target.
func (a *targetAttempt) recordWritten() {
	h := a.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	a.writing, a.progressAt = false, h.g.now()
}

// claimEnd decides whether the end of a reply's body ends the stream.
func (a *targetAttempt) claimEnd(r forward.Reply) bool {
	h := a.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stream.IsEndedBy(r) || !h.race.attempts.Continue(a.slot) {
		return false
	}
	a.writing = true // from now on, it has no silent target to replace
	return true
}

// claimResponse decides that the attempt answers the request with a complete response, which it has
// to write. While another attempt is in progress, the response is kept instead.
func (a *targetAttempt) claimResponse(r *targetResponse) bool {
	h := a.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case a.slot.IsSuperseded():
		return false
	case len(h.others(a)) > 0:
		if h.race.kept == nil && len(r.body) <= maxFailureBytes {
			h.race.kept = &keptResponse{r, a}
		}
		return false
	}
	a.writing = true
	h.beginResponse(a)
	a.recordResponseStart(r.Version)
	return true
}

// keepFailure keeps the error response of a target.
func (h *requestHandler) keepFailure(r *targetResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targetFailure == nil {
		h.targetFailure = r
	}
}

func (a *targetAttempt) isSuperseded() bool {
	a.handler.mu.Lock()
	defer a.handler.mu.Unlock()
	return a.slot.IsSuperseded()
}

func (a *targetAttempt) hasStalled() bool {
	a.handler.mu.Lock()
	defer a.handler.mu.Unlock()
	return a.stalled
}

// end records the end of the attempt. The last one in progress decides how the request goes on.
func (a *targetAttempt) end(failure dispatch.Failure, done bool) {
	h := a.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	failure = a.recordEnd(failure, done)
	h.race.attempts.End(a.slot)
	h.race.running = slices.DeleteFunc(h.race.running, func(b *targetAttempt) bool { return b == a })
	others := h.others(a)
	switch {
	case a.slot.IsSuperseded():
		h.state.FailedBeside(a.target.ID, h.target, failure)
		h.g.log.requests.Info().Str("request", string(h.call.ID)).Str("target", string(a.target.ID)).Str("by", string(h.target)).
			Dur("took", h.g.now().Sub(h.startedAt)).Msg("attempt superseded")
	case !done && len(others) > 0:
		h.state.FailedBeside(a.target.ID, others[0].target.ID, failure)
		h.logFailure(a.target.ID, failure, dispatch.Step{}, others[0].target.ID)
		h.replacementFailed()
	default:
		h.race.last = attemptEnd{target: a.target.ID, failure: failure, done: done}
	}
	if len(h.race.running) == 0 {
		close(h.race.ended)
	}
}

// recordEnd records the end of the attempt with the balancer and the ledgers, and returns its
// failure by what they know. The handler's mu must be held.
func (a *targetAttempt) recordEnd(failure dispatch.Failure, done bool) dispatch.Failure {
	h, g := a.handler, a.handler.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	delete(g.unstarted, a)
	if a.hasToken && a.sentAt.IsZero() {
		g.limits.Return(noticeTarget(a.target), now)
	}
	if a.hasUnusedRetry {
		g.budgets.Return(h.serviceName, now)
	}
	if done && a.result == loadbalance.ResultDone {
		a.service.balancer.RecordDuration(now.Sub(a.startedAt), now)
	}
	a.service.balancer.RecordEnd(a.target.ID, a.prefillTokens, a.result, now)
	if a.recordCrashes(done, now) {
		// Another attempt would probably crash another target.
		failure = dispatch.Failure{Kind: dispatch.KindRefused, Refusal: &fleet.Refusal{Outcome: fleet.OutcomeUnknown, Reason: fleet.ReasonCrashesTargets}}
	}
	return failure
}

// logFailure writes the log line of a failed attempt. The target beside is that of an attempt that
// goes on.
func (h *requestHandler) logFailure(target fleet.InstanceID, failure dispatch.Failure, step dispatch.Step, beside fleet.InstanceID) {
	telemetry.FailedAttempt{
		Request: string(h.call.ID), Service: h.serviceName, Target: target, Beside: beside, Failure: failure, Step: step, Attempts: h.attempts, Events: h.state.Sent(),
		Took: h.g.now().Sub(h.startedAt),
	}.Log(h.g.log.requests)
}
