package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

const (
	// defaultSilenceTimeout is how long a target may be silent within a response, or after it
	// was asked to resume one, before a replacement is started. A sound target may pause for a
	// second or so. Nothing is ended then: the replacement costs a retry and a slot.
	defaultSilenceTimeout = 2 * time.Second
	// Before the first token, requests wait in the queues of engines and for the evaluation of
	// their prompts, and nothing shows that they do. A target may then be silent for a part of
	// the time that the caller gives, but at most for a number of silence timeouts.
	firstTokenShare       = 4
	maxFirstTokenTimeouts = 5
	// replacementCheckInterval is how often a request with silent targets looks for another one.
	replacementCheckInterval = 250 * time.Millisecond
)

var (
	errResponseComplete   = errors.New("response is complete")
	errCallerDisconnected = errors.New("caller disconnected")
	errAttemptsFailed     = errors.New("no attempt is in progress")
)

// attempt runs a request on one target, or relays it to another entry, and passes its events to the
// request's goroutine.
type attempt struct {
	*dispatch.Attempt
	group         *attemptGroup
	ctx           context.Context
	cancel        context.CancelFunc
	send          sendFunc
	isRelay       bool
	isReplacement bool
	exclusive     bool      // the request runs as the only one on its target
	silentSince   time.Time // its start or last token
	over          bool      // it has failed or was superseded, and ends
}

// sendFunc sends a request and calls onEvent for every event of its response.
type sendFunc func(ctx context.Context, onEvent func(peer.GenerateEvent) error) error

// attemptEvent is an event of an attempt, or its end.
type attemptEvent struct {
	attempt *attempt
	event   peer.GenerateEvent
	ended   bool
	err     error
}

// run passes on the events of an attempt and then its end, which the request's goroutine awaits.
func (a *attempt) run() {
	err := a.send(a.ctx, func(ev peer.GenerateEvent) error {
		select {
		case a.group.events <- attemptEvent{attempt: a, event: ev}:
			return nil
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
	})
	a.group.events <- attemptEvent{attempt: a, ended: true, err: err}
}

// attemptGroup holds the attempts of a request that are in progress: one, and a replacement for as long as
// its target is silent. Only the request's goroutine uses the group, decides and sends to the
// caller, hence no lock guards them. reqMu is held only briefly and never during a send.
type attemptGroup struct {
	h        *requestHandler
	ctx      context.Context
	events   chan attemptEvent
	attempts dispatch.Attempts
	list     []*attempt       // those of attempts, in the order of their start
	current  fleet.InstanceID // the target that is reported
	failures int              // of attempts beside others
	failure  dispatch.Failure // of the last attempt
	check    *time.Timer      // for silent targets
	checkAt  time.Time
}

// attempt runs the request on a target, and on replacements while that target is silent, until the
// response is complete or all of them have failed. It reports whether the response is complete.
func (h *requestHandler) attempt(ctx context.Context) (dispatch.Failure, bool) {
	if daemon.HasCallerLeft(ctx) {
		h.state.StartAttempt("") // nothing is sent to a target
		return dispatch.Failure{Kind: dispatch.KindCallerDisconnected}, false
	}
	g := &attemptGroup{h: h, ctx: ctx, events: make(chan attemptEvent), check: time.NewTimer(time.Hour)}
	defer g.endAll()
	if failure, ok := g.startFirst(); !ok {
		return failure, false
	}
	for {
		var err error
		select {
		case ev := <-g.events:
			err = g.handle(ev)
		case <-g.check.C:
			g.checkSilence()
		}
		switch {
		case errors.Is(err, errResponseComplete):
			return dispatch.Failure{}, true
		case errors.Is(err, errCallerDisconnected):
			return dispatch.Failure{Kind: dispatch.KindCallerDisconnected}, false
		case errors.Is(err, errAttemptsFailed):
			return g.failure, false
		}
	}
}

// startFirst starts an attempt on a target or, if there is none, at another entry.
func (g *attemptGroup) startFirst() (dispatch.Failure, bool) {
	h := g.h
	if t, ok := h.chooseTarget(); ok {
		g.startOn(t, false)
		return dispatch.Failure{}, true
	}
	if !h.isModelConfigured() {
		h.state.StartAttempt("") // nothing is sent to a target
		return dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonUnknownModel, 0)}, false
	}
	if h.relayed || h.state.Sent() > 0 {
		return dispatch.Failure{Kind: dispatch.KindNoTarget}, false
	}
	in, ok := h.chooseRelay()
	if !ok {
		return dispatch.Failure{Kind: dispatch.KindNoTarget}, false
	}
	h.e.opt.Metrics.Count("relays", 1)
	g.start(in.ID, &attempt{isRelay: true, send: func(ctx context.Context, onEvent func(peer.GenerateEvent) error) error {
		return h.e.opt.Pool.Relay(ctx, in.Address, h.gen, onEvent)
	}})
	return dispatch.Failure{}, true
}

// startOn starts an attempt on a target that was chosen.
func (g *attemptGroup) startOn(t chosenTarget, isReplacement bool) {
	h := g.h
	h.attempts++
	req := h.gen
	req.Version, req.ResumeFrom, req.Incarnation, req.Exclusive = h.state.Pinned(), h.state.Sent(), t.Incarnation, t.exclusive
	if req.Version == "" {
		req.Version = t.Serving
	}
	send := func(ctx context.Context, onEvent func(peer.GenerateEvent) error) error {
		return h.e.opt.Pool.Generate(ctx, t.Address, req, onEvent)
	}
	g.start(t.ID, &attempt{send: send, isReplacement: isReplacement, exclusive: t.exclusive})
}

func (g *attemptGroup) start(id fleet.InstanceID, a *attempt) {
	a.group = g
	a.ctx, a.cancel = context.WithCancel(g.ctx)
	a.Attempt = g.attempts.Start(id, a.cancel)
	a.silentSince = g.h.e.now()
	g.list = append(g.list, a)
	if !a.isReplacement {
		g.setCurrent(a)
	}
	g.checkAfter(g.silenceTimeout())
	go a.run()
}

// setCurrent makes an attempt the one whose target is reported.
func (g *attemptGroup) setCurrent(a *attempt) {
	g.current = a.Target
	g.h.state.StartAttempt(a.Target)
	if !a.isRelay {
		g.h.target = a.Target
	}
}

// handle handles an event. It returns an error if the group has to end.
func (g *attemptGroup) handle(ev attemptEvent) error {
	a := ev.attempt
	switch {
	case ev.ended && a.over:
		g.remove(a)
		return nil
	case ev.ended:
		failure := g.h.callFailure(g.ctx, a, ev.err) // blames what runs on the target, also this request
		g.remove(a)
		return g.fail(a, failure)
	case a.over:
		return nil
	case ev.event.Refusal != nil:
		return g.fail(a, refusalFailure(ev.event.Refusal))
	}
	return g.forwardToken(a, ev.event)
}

// forwardToken sends one token to the caller. The attempt goes on with the response, and the others
// are canceled.
func (g *attemptGroup) forwardToken(a *attempt, ev peer.GenerateEvent) error {
	h := g.h
	if err := h.state.Token(dispatch.TokenEvent{Version: ev.Version, Index: ev.Index, CanResume: ev.CanResume}); err != nil {
		h.e.opt.Metrics.Count("mixed_tokens_stopped", 1)
		return g.fail(a, dispatch.Failure{Kind: dispatch.KindInvalidResponse})
	}
	g.attempts.Continue(a.Attempt)
	g.setCurrent(a)
	for _, other := range g.list {
		if !other.over && other.IsSuperseded() {
			other.over = true
			g.recordBeside(other, dispatch.Failure{Kind: dispatch.KindLost})
		}
	}
	h.recordLatency()
	t := caller.Token{Version: ev.Version, Index: ev.Index, Text: ev.Token, Done: ev.Done, FinishReason: ev.FinishReason}
	if err := h.send(t); err != nil {
		return errCallerDisconnected
	}
	if ev.Done {
		h.recordCompletion(a.exclusive)
		return errResponseComplete
	}
	a.silentSince = h.e.now()
	g.checkAfter(g.silenceTimeout())
	return nil
}

// fail records that an attempt has failed, and ends it.
func (g *attemptGroup) fail(a *attempt, failure dispatch.Failure) error {
	a.over = true
	a.cancel()
	if a.isReplacement && isWithoutWork(failure) {
		g.h.retryReserved = true
	}
	i := slices.IndexFunc(g.list, func(other *attempt) bool { return !other.over })
	if i < 0 {
		g.setCurrent(a)
		g.failure = failure
		return errAttemptsFailed
	}
	g.setCurrent(g.list[i])
	g.recordBeside(a, failure)
	g.failures++
	g.checkAfter(max(replacementCheckInterval, retry.Backoff(g.failures, g.h.e.jitter())))
	return nil
}

// isWithoutWork reports whether an attempt has certainly done no work. The retry that it took is then kept
// for the next one, as a refusal without work costs no retry.
func isWithoutWork(f dispatch.Failure) bool {
	return f.Kind == dispatch.KindNotSent || f.Kind == dispatch.KindRefused && f.Refusal.Outcome == fleet.OutcomeNotRun
}

// recordBeside records the failure of an attempt while the current one goes on.
func (g *attemptGroup) recordBeside(a *attempt, failure dispatch.Failure) {
	h := g.h
	h.state.FailedBeside(a.Target, g.current, failure)
	took := h.e.now().Sub(h.startedAt)
	if a.IsSuperseded() {
		h.e.log.requests.Info().Str("request", h.gen.RequestID).Str("target", string(a.Target)).Str("by", string(g.current)).
			Dur("took", took).Msg("attempt superseded")
		return
	}
	telemetry.FailedAttempt{
		Request: h.gen.RequestID, Target: a.Target, Beside: g.current, Failure: failure, Attempts: h.attempts,
		Events: h.state.Sent(), Took: took,
	}.Log(h.e.log.requests)
}

// silenceTimeout returns how long a target may be silent before a replacement is started.
func (g *attemptGroup) silenceTimeout() time.Duration {
	timeout := g.h.e.opt.SilenceTimeout
	if g.h.state.Sent() > 0 {
		return timeout
	}
	share := g.h.gen.Deadline.Sub(g.h.startedAt) / firstTokenShare
	return min(max(timeout, share), maxFirstTokenTimeouts*timeout)
}

func (g *attemptGroup) checkAfter(d time.Duration) {
	g.checkAt = g.h.e.now().Add(d)
	g.check.Reset(d)
}

// checkSilence starts a replacement if all targets are silent. A check that is late shows that this
// process was paused: what has arrived meanwhile is read first.
func (g *attemptGroup) checkSilence() {
	now := g.h.e.now()
	var since time.Time
	for _, a := range g.list {
		if !a.over && a.silentSince.After(since) {
			since = a.silentSince
		}
	}
	switch remaining := g.silenceTimeout() - now.Sub(since); {
	case remaining > 0:
		g.checkAfter(remaining)
	case now.Sub(g.checkAt) > replacementCheckInterval || !g.replace(now):
		g.checkAfter(replacementCheckInterval)
	}
}

// replace starts an attempt beside the silent ones if the request may have another one and a target
// with free capacity is there. A relayed request is replaced only by a target of this entry: the
// entry that it was relayed to replaces its own silent targets.
func (g *attemptGroup) replace(now time.Time) bool {
	h := g.h
	hasTime := now.Add(retry.MaxDelay).Before(h.gen.Deadline) && (h.state.Sent() > 0 || h.canStart())
	if !hasTime || !h.state.CanReplace(g.attempts.Len()) {
		return false
	}
	t, ok := h.chooseReplacement(g.attempts.Targets())
	if !ok {
		return false
	}
	h.e.opt.Metrics.Count("retries", 1)
	g.startOn(t, true)
	return true
}

// remove removes an attempt that has ended.
func (g *attemptGroup) remove(a *attempt) {
	a.cancel()
	g.attempts.End(a.Attempt)
	g.list = slices.DeleteFunc(g.list, func(other *attempt) bool { return other == a })
	if !a.isRelay {
		g.h.recordEnd(a.Target)
	}
}

// endAll cancels the attempts and waits until they have ended.
func (g *attemptGroup) endAll() {
	g.check.Stop()
	for _, a := range g.list {
		a.cancel()
	}
	for len(g.list) > 0 {
		if ev := <-g.events; ev.ended {
			g.remove(ev.attempt)
		}
	}
}

// recordCompletion reduces the blame of the request for crashes, to nothing if no other
// request ran on the target at the same time.
func (h *requestHandler) recordCompletion(exclusive bool) {
	h.e.reqMu.Lock()
	defer h.e.reqMu.Unlock()
	if exclusive {
		h.e.ledger.RecordProof(h.gen.Fingerprint, h.e.now())
		return
	}
	h.e.ledger.RecordSharedCompletion(h.gen.Fingerprint, h.e.now())
}

// callFailure translates the error of a call that ended without a complete response. If the
// connection to the target was lost, the requests that this entry ran there are blamed.
func (h *requestHandler) callFailure(parent context.Context, a *attempt, err error) dispatch.Failure {
	var lost *peer.ConnectionError
	notSent := errors.As(err, &lost) && lost.NotSent
	switch {
	case notSent && daemon.FailureKind(parent) == dispatch.KindStopping:
		return dispatch.Failure{Kind: dispatch.KindNotSent} // not run; the next attempt is not made
	case parent.Err() != nil:
		return dispatch.Failure{Kind: daemon.FailureKind(parent)}
	case notSent:
		return dispatch.Failure{Kind: dispatch.KindNotSent}
	case !h.e.now().Before(h.gen.Deadline.Truncate(time.Millisecond)):
		// The target's timer was faster than that of parent. It was told the deadline in ms.
		return dispatch.Failure{Kind: dispatch.KindDeadline}
	}
	if lost == nil || !lost.DeadlineExceeded { // by the clock of an instance that is ahead
		h.e.recordCrash(a.Target)
	}
	return dispatch.Failure{Kind: dispatch.KindLost}
}
