package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/target"
	"amaranthturn/platform"
)

// targetAttempt is one attempt to run a request on one target.
type targetAttempt struct {
	handler         *requestHandler
	service         *service
	result          loadbalance.Result
	prefillTokens   int
	crashed         bool
	responseStarted bool        // guarded by the gateway's mu
	canceled        atomic.Bool // this entry canceled the attempt because the target stalled or its weights became too old
}

func (a *targetAttempt) run(parent context.Context, t roster.Target) (dispatch.Failure, bool) {
	h := a.handler
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	streaming := h.route.Kind == routeconfig.KindStreaming
	var stallTimer *time.Timer
	if streaming && h.route.Repeatable() {
		stallTimer = time.AfterFunc(firstEventTimeout, func() {
			a.canceled.Store(true)
			cancel()
		})
		defer stallTimer.Stop()
	}
	if d, ok := h.g.timeUntilTooOld(t); ok && streaming {
		// A request that is still in the engine's queue by then would start on weights that
		// are too old.
		versionTimer := time.AfterFunc(d, a.cancelUnlessStarted(cancel))
		defer versionTimer.Stop()
	}
	sent, err := h.g.targets.Send(ctx, forward.Attempt{
		Call: h.call, Target: t.ID, Address: t.Address, Workspace: h.workspace, Remaining: h.deadline.Sub(h.g.now()),
		LastEventID: h.stream.LastEventID(), Version: h.stream.Version(), NewConnection: h.route.Kind == routeconfig.KindNonIdempotent,
	})
	if err != nil {
		return a.transportFailure(parent, err), false
	}
	switch forward.Classify(sent.Reply) {
	case forward.VerdictNoCapacity, forward.VerdictWrongTarget:
		defer sent.Close()
		_, _ = io.Copy(io.Discard, io.LimitReader(sent.Body, maxRejectionBytes)) // allows the connection to be reused
		a.result = loadbalance.ResultFull
		return dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonTargetBusy, h.retryAfter())}, false
	case forward.VerdictFailed:
		a.result = loadbalance.ResultFailed
		return a.targetFailure(parent, sent), false
	}
	if streaming && sent.Status/100 == 2 {
		defer sent.Close()
		h.stream.SetVersion(sent.Version)
		return a.forwardEvents(parent, sent, stallTimer)
	}
	return a.forwardFull(parent, sent)
}

// cancelUnlessStarted returns a function that cancels the attempt unless its response has
// started.
func (a *targetAttempt) cancelUnlessStarted(cancel context.CancelFunc) func() {
	return func() {
		a.handler.g.mu.Lock()
		started := a.responseStarted
		a.handler.g.mu.Unlock()
		if !started {
			a.handler.g.log.requests.Info().Str("request", string(a.handler.call.ID)).Str("target", string(a.handler.target)).
				Dur("took", a.handler.g.now().Sub(a.handler.startedAt)).Msg("attempt canceled: weights are too old")
			a.canceled.Store(true)
			cancel()
		}
	}
}

// maxRejectionBytes limits the body of a rejection that is read.
const maxRejectionBytes = 64 << 10

// targetFailure stores the error response of a target, which is forwarded if the request is
// not repeatable or not retried.
func (a *targetAttempt) targetFailure(parent context.Context, sent *platform.Response) dispatch.Failure {
	defer sent.Close()
	h := a.handler
	body, err := io.ReadAll(io.LimitReader(sent.Body, maxResponseBytes))
	if err == nil && sent.Signed && sent.Status/100 == 5 && sent.Status != 503 && h.targetFailure == nil {
		h.targetFailure = &failedResponse{sent.Reply, body}
	}
	if parent.Err() != nil {
		return dispatch.Failure{Kind: h.contextFailureKind(parent)}
	}
	return dispatch.Failure{Kind: dispatch.KindLost}
}

// forwardFull forwards a response after it was read completely.
func (a *targetAttempt) forwardFull(parent context.Context, sent *platform.Response) (dispatch.Failure, bool) {
	defer sent.Close()
	body, err := io.ReadAll(io.LimitReader(sent.Body, maxResponseBytes))
	if err != nil {
		return a.transportFailure(parent, err), false
	}
	a.recordResponseStart()
	a.handler.responseStarted = true
	a.handler.out.WriteResponse(sent.Status, sent.Header, body)
	return dispatch.Failure{}, true
}

// forwardEvents forwards a stream's events as they arrive.
func (a *targetAttempt) forwardEvents(parent context.Context, sent *platform.Response, stallTimer *time.Timer) (dispatch.Failure, bool) {
	h := a.handler
	reader := target.NewEventReader(sent.Body)
	for {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if !h.responseStarted {
				return a.transportFailure(parent, err), false
			}
			return dispatch.Failure{}, true
		}
		if err != nil {
			return a.transportFailure(parent, err), false
		}
		if stallTimer != nil {
			stallTimer.Reset(nextEventTimeout)
		}
		if !h.stream.Accept(ev.ID) {
			h.g.metrics.Count("events_out_of_order", 1)
			a.result = loadbalance.ResultFailed
			return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
		}
		if !h.responseStarted {
			h.responseStarted = true
			h.out.WriteHeader(sent.Status, sent.Header)
		}
		a.recordResponseStart()
		// The index is only a count, because the IDs were checked above.
		_ = h.state.Token(dispatch.TokenEvent{Version: pinnedVersion, Index: h.state.Sent(), CanResume: h.route.Resumable})
		if err := h.out.WritePart(ev.Raw); err != nil {
			a.result = loadbalance.ResultUnknown
			return dispatch.Failure{Kind: dispatch.KindCallerDisconnected}, false
		}
	}
}

// pinnedVersion is passed to dispatch.Request as the version of every event. The stream keeps
// the actual version number and the target checks it.
const pinnedVersion fleet.Version = "pinned"

// recordResponseStart records the first event of a response.
func (a *targetAttempt) recordResponseStart() {
	h := a.handler
	if h.timeToFirstEvent == 0 {
		h.timeToFirstEvent = h.g.now().Sub(h.startedAt)
	}
	if a.responseStarted {
		return
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	a.responseStarted = true
	a.service.balancer.RecordFirstEvent(h.target, a.prefillTokens)
	a.prefillTokens = 0
}

// transportFailure returns the failure of an attempt that ended without a complete response.
func (a *targetAttempt) transportFailure(parent context.Context, err error) dispatch.Failure {
	var notSent *target.NotSentError
	switch {
	case parent.Err() != nil:
		a.result = loadbalance.ResultUnknown
		return dispatch.Failure{Kind: a.handler.contextFailureKind(parent)}
	case errors.As(err, &notSent):
		a.result = loadbalance.ResultFailed
		return dispatch.Failure{Kind: dispatch.KindNotSent}
	}
	a.result = loadbalance.ResultFailed
	a.crashed = !a.canceled.Load()
	return dispatch.Failure{Kind: dispatch.KindLost}
}
