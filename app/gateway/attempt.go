package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/app/daemon"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/bounded"
	"amaranthturn/io/target"
	"amaranthturn/platform"
)

// targetAttempt is one attempt to run a request on one target.
type targetAttempt struct {
	handler       *requestHandler
	service       *service
	target        roster.Target
	startVersions []roster.LoadedVersion // the target's weights when the attempt began
	startedAt     time.Time
	parent        context.Context // of the request
	ctx           context.Context // of the attempt
	cancel        context.CancelFunc
	slot          *dispatch.Attempt
	lastEventID   string // after which the attempt continues the stream
	version       uint64 // of the weights that the stream is pinned to
	repeated      bool   // an earlier attempt was made on the target

	result          loadbalance.Result
	prefillTokens   int
	crashed         bool
	answered        bool        // the target has answered, whatever it was
	connectedAt     time.Time   // when the connection of that answer was made
	completed       bool        // the response is complete and successful, and not the rest of another one
	isTrial         bool        // the request is known to crash targets
	headerReceived  bool        // the header of a successful response
	responseStarted bool        // guarded by the gateway's mu
	hasUnusedRetry  bool        // it took a retry from the budget and was not sent; guarded by the gateway's mu
	hasToken        bool        // it took a token of the target's limit; guarded by the gateway's mu
	sentAt          time.Time   // when the request was sent, zero before; guarded by the gateway's mu
	canceled        atomic.Bool // this entry canceled the attempt because it would crash the target or its weights became too old

	// Guarded by the handler's mu.
	progressAt time.Time // when the last event arrived or was written
	writing    bool      // an event or the end is being written to the caller
	stalled    bool      // the target was silent for too long at least once
}

// run runs the attempt to its end.
func (a *targetAttempt) run() {
	defer a.cancel()
	failure, done := a.send()
	a.end(failure, done)
}

// send sends the request to the target and forwards the response. It reports whether the response is
// complete.
func (a *targetAttempt) send() (dispatch.Failure, bool) {
	h := a.handler
	sent, notices, err := h.g.targets.Send(a.ctx, forward.Attempt{
		Call: h.call, Target: a.target.ID, Address: a.target.Address, Workspace: h.workspace, Remaining: h.remaining,
		LastEventID: a.lastEventID, Version: a.version,
		// On a connection that a target has answered the request on, a repetition of that
		// answer could not be told from the answer to this attempt.
		NewConnection: h.route.Kind == routeconfig.KindNonIdempotent || a.repeated,
		BeforeSend:    a.beforeSend,
	})
	h.g.recordNotices(a.target, h.call.ID, notices)
	a.recordLimit(notices)
	if err != nil {
		return a.transportFailure(err), false
	}
	verdict := forward.Classify(sent.Reply)
	a.connectedAt = sent.ConnectedAt
	a.answered = verdict != forward.VerdictWrongTarget && (sent.Signed || sent.NotRun)
	switch verdict {
	case forward.VerdictNoCapacity, forward.VerdictWrongTarget:
		defer sent.Close()
		sent.Discard(maxRejectionBytes, rejectionTimeout) // allows the connection to be reused
		a.result = loadbalance.ResultFull
		return dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonTargetBusy, h.retryAfter())}, false
	case forward.VerdictFailed:
		a.result = loadbalance.ResultFailed
		return a.targetFailure(sent), false
	}
	if !a.continuesStream(sent.Reply) {
		sent.Close()
		h.g.metrics.Count("streams_not_continued", 1)
		a.result = loadbalance.ResultFailed
		return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
	}
	if h.isStreaming() && sent.Status/100 == 2 {
		defer sent.Close()
		a.headerReceived = true
		return a.forwardEvents(sent)
	}
	return a.forwardFull(sent)
}

var (
	// errSuperseded reports that another attempt has continued the response.
	errSuperseded = errors.New("another attempt has continued the response")
	// errCanceled reports that this entry has canceled the attempt, which must not start the response.
	errCanceled = errors.New("attempt was canceled")
	// errWeightsTooOld reports that the weights of a target have become too old while the request was not sent.
	errWeightsTooOld = errors.New("weights of the target are too old")
	// errUnexpectedEvent reports an event that is not the next one of the stream.
	errUnexpectedEvent = errors.New("event is not the next one of the stream")
)

// beforeSend returns an error if the request must not be sent now that there is a connection.
func (a *targetAttempt) beforeSend() error {
	if a.isSuperseded() {
		return errSuperseded
	}
	if a.handler.endIfCallerLeft(a.parent) || a.ctx.Err() != nil {
		return a.ctx.Err()
	}
	g := a.handler.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := a.checkTarget(); err != nil {
		return err
	}
	if g.hasOldWeightsOnly(a.target, g.now()) {
		return errWeightsTooOld
	}
	if err := a.takeToken(); err != nil {
		return err
	}
	a.sentAt = g.now()
	if a.hasUnusedRetry {
		a.hasUnusedRetry = false
		g.metrics.Count("retries", 1)
	}
	return nil
}

const (
	// maxRejectionBytes and rejectionTimeout limit the body of a rejection that is read. The
	// request waits meanwhile.
	maxRejectionBytes = 64 << 10
	rejectionTimeout  = 50 * time.Millisecond
	// maxFailureBytes limits the error response of a target, which is kept during the next
	// attempt.
	maxFailureBytes = 256 << 10
)

// targetFailure stores the error response of a target, which is forwarded if the request is
// not repeatable or not retried.
func (a *targetAttempt) targetFailure(sent *platform.Response) dispatch.Failure {
	defer sent.Close()
	h := a.handler
	body, err := sent.ReadBody(maxFailureBytes)
	if err == nil && sent.Signed && sent.Status/100 == 5 && sent.Status != 503 {
		h.keepFailure(&targetResponse{sent.Reply, body})
	}
	if a.parent.Err() != nil {
		return dispatch.Failure{Kind: daemon.FailureKind(a.parent)}
	}
	return dispatch.Failure{Kind: dispatch.KindLost}
}

// forwardFull forwards a response after it was read completely.
func (a *targetAttempt) forwardFull(sent *platform.Response) (dispatch.Failure, bool) {
	defer sent.Close()
	body, err := sent.ReadBody(maxResponseBytes)
	if err != nil {
		return a.transportFailure(err), false
	}
	if !a.claimResponse(&targetResponse{sent.Reply, body}) {
		return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
	}
	a.completed = sent.Status/100 == 2
	a.handler.out.WriteResponse(sent.Reply, body)
	return dispatch.Failure{}, true
}

// forwardEvents forwards a stream's events as they arrive.
func (a *targetAttempt) forwardEvents(sent *platform.Response) (dispatch.Failure, bool) {
	h := a.handler
	reader := sent.Events()
	for {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return a.endOfEvents(sent.Reply)
		}
		if err != nil {
			return a.transportFailure(err), false
		}
		begins, err := a.claimEvent(ev.ID, sent.Reply)
		switch {
		case errors.Is(err, errUnexpectedEvent):
			h.g.metrics.Count("events_out_of_order", 1)
			a.result = loadbalance.ResultFailed
			return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
		case err != nil:
			return a.transportFailure(err), false
		case begins:
			h.out.WriteHeader(sent.Reply)
		}
		if err := h.out.WritePart(ev.Raw); err != nil {
			a.result = loadbalance.ResultUnknown
			return dispatch.Failure{Kind: dispatch.KindCallerDisconnected}, false
		}
		a.recordWritten()
	}
}

// endOfEvents handles the end of a response after a complete event, or without any. Only an
// event of this attempt shows that the target continued the stream and did not break off.
func (a *targetAttempt) endOfEvents(r forward.Reply) (dispatch.Failure, bool) {
	switch {
	case a.responseStarted && a.claimEnd(r):
		a.completed = a.lastEventID == ""
		return dispatch.Failure{}, true
	case a.parent.Err() != nil || a.isSuperseded():
	case a.responseStarted:
		// Nothing shows whether the stream is complete or its target crashed.
		a.result = loadbalance.ResultUnknown
		return dispatch.Failure{Kind: dispatch.KindLost}, false
	case !r.Unframed:
		// A complete response without an event is no sign of a crash.
		a.result = loadbalance.ResultFailed
		return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
	}
	return a.transportFailure(io.EOF), false
}

// pinnedVersion is passed to dispatch.Request as the version of every event. The stream keeps
// the actual version number and the target checks it.
const pinnedVersion fleet.Version = "pinned"

// mayStart reports whether the attempt has not been canceled before its first event. From then on, it is
// not.
func (a *targetAttempt) mayStart() bool {
	if a.responseStarted {
		return true
	}
	g := a.handler.g
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unstarted, a)
	return !a.canceled.Load()
}

// recordResponseStart records the first event of the target's response, which states the version of its
// weights or 0.
func (a *targetAttempt) recordResponseStart(version uint64) {
	h := a.handler
	if a.responseStarted {
		return
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	a.responseStarted = true
	delete(h.g.unstarted, a)
	now := h.g.now()
	if a.headerReceived {
		a.recordStartVersion(version, now)
		h.g.startTime.Record(now.Sub(a.startedAt))
		if h.g.parts.RecordBegun(h.call.SharedParts, now) {
			h.g.crashesChanged(now)
		}
	}
	a.service.balancer.RecordFirstEvent(a.target.ID, a.prefillTokens)
	a.prefillTokens = 0
}

// brokeBeforeFirstEvent reports whether the target ended the connection after the header of
// a stream and before its first event. A target that crashes when it begins to write a
// response shows this.
func (a *targetAttempt) brokeBeforeFirstEvent() bool {
	return a.headerReceived && !a.responseStarted && a.crashed
}

// watchUntilStarted adds an attempt to those that are canceled if they may not start any more. mu
// must be held.
func (g *Gateway) watchUntilStarted(a *targetAttempt) {
	if a.handler.isStreaming() { // other responses do not show with which weights they start
		a.startVersions = g.loadedVersions(a.target)
	}
	g.unstarted[a] = struct{}{}
}

// cancelOutdatedAttempts cancels the attempts that wait at a target whose weights have become
// too old to start a response. mu must be held.
func (g *Gateway) cancelOutdatedAttempts(now time.Time) {
	for a := range g.unstarted {
		if !g.isTooOldToStart(a, now) {
			continue
		}
		delete(g.unstarted, a)
		a.canceled.Store(true)
		a.cancel()
		a.logWeights(g.log.requests.Info(), now).Msg("attempt canceled: weights are too old")
	}
}

// logWeights adds to a log line what the entry knows of the weights of the attempt's target. mu of the
// gateway must be held.
func (a *targetAttempt) logWeights(ev *zerolog.Event, now time.Time) *zerolog.Event {
	g := a.handler.g
	for _, loaded := range a.startVersions {
		ev.Str("model", string(loaded.Model)).Uint64("version", loaded.Version)
		if d, ok := g.declared[loaded.Model]; ok {
			ev.Uint64("newest", d.Newest())
			if at := d.NewerDeclaredAt(loaded.Version); !at.IsZero() {
				ev.Dur("declared_ago", now.Sub(at))
			}
		}
	}
	if w, ok := g.loadWatches[a.target.Address]; ok && w.hasReported {
		ev.Dur("report_age", now.Sub(w.reportedAt))
	}
	return ev.Str("request", string(a.handler.call.ID)).Str("target", string(a.target.ID)).Dur("sent_ago", now.Sub(a.startedAt)).Dur("took", now.Sub(a.handler.startedAt))
}

// recordStartVersion reports a response that its target states to have begun on weights which are older
// than the entry knew, or which may not start a response any more. mu of the gateway must be held.
func (a *targetAttempt) recordStartVersion(stated uint64, now time.Time) {
	g := a.handler.g
	if stated == 0 {
		return
	}
	for _, loaded := range a.startVersions {
		d, ok := g.declared[loaded.Model]
		switch {
		case ok && stated < d.MinVersion(g.settings.Bounds.VersionChangeLimit, now):
			g.metrics.Count("responses_begun_late_on_old_weights", 1)
			a.logWeights(g.log.requests.Warn(), now).Uint64("stated", stated).Msg("response began on weights that are too old")
		case stated < loaded.Version:
			g.metrics.Count("versions_misreported", 1)
			a.logWeights(g.log.requests.Warn(), now).Uint64("stated", stated).Msg("response began on older weights than reported")
		}
	}
}

// isTooOldToStart reports whether the weights of an attempt's target are too old to start a
// response. A target that has loaded newer weights since counts with these. mu must be held.
func (g *Gateway) isTooOldToStart(a *targetAttempt, now time.Time) bool {
	for _, loaded := range a.startVersions {
		d, ok := g.declared[loaded.Model]
		if !ok {
			continue
		}
		version := loaded.Version
		for _, current := range g.loadedVersions(a.target) {
			if current.Model == loaded.Model {
				version = max(version, current.Version)
			}
		}
		if version < d.MinVersion(g.versionTimeline().Cancel(), now) {
			return true
		}
	}
	return false
}

// invalidResponses are the errors of responses that are invalid although their targets have not crashed,
// with the metrics that count them.
var invalidResponses = []struct {
	err    error
	metric string
}{
	{target.ErrMalformedEvent, "events_malformed"},
	{target.ErrUnidentified, "responses_unidentified"},
	{target.ErrBrokenHead, "responses_with_broken_head"},
}

// transportFailure returns the failure of an attempt that ended without a complete response.
func (a *targetAttempt) transportFailure(err error) dispatch.Failure {
	var notSent *target.NotSentError
	isNotSent := errors.As(err, &notSent)
	a.result = loadbalance.ResultUnknown
	switch {
	case a.parent.Err() != nil && isNotSent && daemon.FailureKind(a.parent) == dispatch.KindStopping:
		return dispatch.Failure{Kind: dispatch.KindNotSent} // the next attempt returns the context's failure
	case a.parent.Err() != nil:
		return dispatch.Failure{Kind: daemon.FailureKind(a.parent)}
	case errors.Is(err, errTargetPaused), errors.Is(err, errTargetLeaves), errors.Is(err, errTargetLimited), errors.Is(err, errWeightsTooOld), a.isSuperseded() && isNotSent:
		return dispatch.Failure{Kind: dispatch.KindNotSent}
	case a.isSuperseded():
		return dispatch.Failure{Kind: dispatch.KindLost}
	}
	a.result = loadbalance.ResultFailed
	for _, invalid := range invalidResponses {
		if errors.Is(err, invalid.err) {
			a.handler.g.metrics.Count(invalid.metric, 1)
			return dispatch.Failure{Kind: dispatch.KindInvalidResponse}
		}
	}
	switch {
	case isNotSent:
		return dispatch.Failure{Kind: dispatch.KindNotSent}
	case a.canceled.Load() && a.hasStalled():
		a.result = loadbalance.ResultUnknown // was recorded when it stalled
	}
	var tooLarge *bounded.TooLargeError
	if errors.As(err, &tooLarge) {
		a.handler.g.log.requests.Warn().Str("target", string(a.target.ID)).Err(err).Msg("response exceeds a limit")
	}
	a.crashed = !a.canceled.Load()
	return dispatch.Failure{Kind: dispatch.KindLost}
}
