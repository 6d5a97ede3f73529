package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/config"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/picker"
	"amaranthturn/core/retry"
	"amaranthturn/core/shutdown"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// Constants of the request path.
const (
	// candidateTTL is how long the candidates of a model are cached. It is short because
	// leases expire without a change of the table's version.
	candidateTTL = 200 * time.Millisecond
	// prefixBytes is the length of the start of a body that identifies its prefix.
	prefixBytes = 512
	// defaultCostTokens is the assumed cost of a request without a token limit.
	defaultCostTokens = 64
)

// requestHandler is the state of one request that is being handled. It admits the request,
// forwards it to a target and retries it on other targets.
type requestHandler struct {
	e           *Entry
	doc         *config.Document // in force at its arrival
	gen         peer.GenerateRequest
	service     fleet.Service // of a call, which has no model
	admit       admit.Request
	constraint  picker.VersionConstraint // at its arrival
	prefixHash  uint64
	state       *dispatch.Request
	metrics     requestMetrics
	startedAt   time.Time
	lastTokenAt time.Time
	send        func(caller.Token) error
	relayed     bool
	// target is the target of the last attempt, attempts the number of attempts.
	target   fleet.InstanceID
	attempts int
	// retryReserved reports that a replacement has taken a retry and did no work.
	retryReserved bool
}

type requestMetrics interface {
	Latency(name string, d time.Duration)
	Outcome(o fleet.Outcome)
}

// Generate implements caller.Service.
func (e *Entry) Generate(ctx context.Context, g caller.GenerateRequest, send func(caller.Token) error) *fleet.Refusal {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	g.Deadline = g.Deadline.Add(-daemon.SinceReceipt(ctx))
	ctx, end := e.stop.RequestContext(ctx)
	defer end()
	h, refusal := e.newRequestHandler(g, send)
	if refusal == nil {
		refusal = h.admitAndRun(ctx)
	}
	h.logOutcome(e, g, refusal)
	e.opt.Metrics.Requests(g.Workspace, g.Class).Outcome(fleet.OutcomeOf(refusal))
	e.stop.RecordOutcome(refusal)
	return refusal
}

// logOutcome writes the log line of a request; h is nil if the request was refused before a
// requestHandler was created.
func (h *requestHandler) logOutcome(e *Entry, g caller.GenerateRequest, refusal *fleet.Refusal) {
	ev := e.log.requests.Info().Str("request", g.RequestID).Str("workspace", string(g.Workspace)).Str("model", string(g.Model))
	if h != nil {
		ev.Str("target", string(h.target)).Int("attempts", h.attempts).Dur("took", e.now().Sub(h.startedAt)).
			Int("events", h.state.Sent())
	}
	telemetry.LogOutcome(ev, refusal)
}

func (e *Entry) newRequestHandler(g caller.GenerateRequest, send func(caller.Token) error) (*requestHandler, *fleet.Refusal) {
	doc, _ := e.document()
	if doc == nil {
		return nil, fleet.NotRun(fleet.ReasonNoConfiguration, time.Second)
	}
	fp := fingerprint(g)
	versions, ok := versionsFor(doc, g.Workspace, g.Model, fp)
	if !ok {
		return nil, fleet.NotRun(fleet.ReasonUnknownModel, 0)
	}
	limits := doc.LimitsFor(g.Workspace)
	if limits.HasMaxClass && g.Class < limits.MaxClass {
		return nil, fleet.NotRun(fleet.ReasonClassNotAllowed, 0)
	}
	startedAt := e.now()
	cost := float64(g.MaxTokens)
	if cost <= 0 {
		cost = defaultCostTokens
	}
	return &requestHandler{
		e: e, doc: doc,
		gen: peer.GenerateRequest{
			RequestID: g.RequestID, Workspace: g.Workspace, Model: g.Model, Class: g.Class,
			Body: g.Body, Deadline: g.Deadline, Fingerprint: fp,
		},
		admit:      admit.Request{Workspace: g.Workspace, Class: g.Class, Deadline: queueDeadline(startedAt, limits.QueueWait, g.Deadline), Cost: cost},
		constraint: versions,
		prefixHash: xxhash.Sum64(g.Body[:min(len(g.Body), prefixBytes)]),
		state:      dispatch.NewRequest(dispatch.DefaultSettings, g.Deadline),
		metrics:    e.opt.Metrics.Requests(g.Workspace, g.Class),
		startedAt:  startedAt,
		send:       send,
	}, nil
}

// fingerprint identifies a request by its content, so that it is recognized if its caller
// sends it again.
func fingerprint(g caller.GenerateRequest) fleet.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(g.Workspace))
	_, _ = d.WriteString("\x00" + string(g.Model) + "\x00")
	_, _ = d.Write(g.Body)
	return fleet.Fingerprint(d.Sum64())
}

// admitAndRun waits for a slot and runs the request in it.
func (h *requestHandler) admitAndRun(ctx context.Context) *fleet.Refusal {
	if h.crashesTargets() {
		return fleet.NotRun(fleet.ReasonCrashesTargets, 0)
	}
	if !h.canStart() {
		return fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay)
	}
	if refusal := h.acquireSlot(ctx); refusal != nil {
		return refusal
	}
	defer h.releaseSlot()
	admittedAt := h.e.now()
	h.metrics.Latency("queue_time", admittedAt.Sub(h.startedAt))
	if h.crashesTargets() { // became known while the request waited
		return fleet.NotRun(fleet.ReasonCrashesTargets, 0)
	}
	refusal := h.run(ctx)
	if refusal == nil {
		h.e.stop.Record(h.stopGroup(), h.e.now().Sub(admittedAt))
	}
	return refusal
}

// stopGroup returns the requests that take a similar time.
func (h *requestHandler) stopGroup() shutdown.Group { return shutdown.Group("model/" + h.gen.Model) }

// canStart reports whether the request may be sent to a target if this process stops.
func (h *requestHandler) canStart() bool { return h.e.stop.CanStart(h.stopGroup(), h.gen.Deadline) }

func (h *requestHandler) deadline() time.Time { return h.gen.Deadline }

// acquireSlot acquires a slot, waiting in the queue if none is free.
func (h *requestHandler) acquireSlot(ctx context.Context) *fleet.Refusal {
	e := h.e
	e.reqMu.Lock()
	e.nextID++
	h.admit.ID = e.nextID
	h.recordRequest()
	d := e.queue.Offer(h.admit, e.now())
	var verdicts chan admit.Verdict
	if d.Verdict == admit.Queued {
		verdicts = make(chan admit.Verdict, 1)
		e.waiters[h.admit.ID] = waiter{h, verdicts}
		h.extendQueueWait()
	}
	e.reqMu.Unlock()
	switch d.Verdict {
	case admit.Admitted:
		return nil
	case admit.Refused:
		return fleet.NotRun(refusalReason(d.Cause), max(d.RetryAfter, retry.MaxDelay/2))
	}
	return h.awaitVerdict(ctx, verdicts)
}

func refusalReason(c admit.Cause) fleet.Reason {
	if c == admit.CauseQueueFull {
		return fleet.ReasonQueueFull
	}
	return fleet.ReasonDeadlineCannotBeMet
}

func (h *requestHandler) awaitVerdict(ctx context.Context, verdicts chan admit.Verdict) *fleet.Refusal {
	ctx, cancel := h.e.stop.StartContext(ctx, h.stopGroup(), h.deadline)
	defer cancel()
	select {
	case v := <-verdicts:
		if v == admit.Admitted {
			return nil
		}
		return fleet.NotRun(fleet.ReasonDeadlineCannotBeMet, retry.MaxDelay)
	case <-ctx.Done():
	}
	e := h.e
	e.reqMu.Lock()
	waiting := e.queue.Cancel(h.admit)
	delete(e.waiters, h.admit.ID)
	e.reqMu.Unlock()
	if !waiting && <-verdicts == admit.Admitted {
		h.releaseSlot()
	}
	if daemon.FailureKind(ctx) == dispatch.KindStopping {
		return fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay)
	}
	return fleet.NotRun(fleet.ReasonDeadlinePassed, 0)
}

// releaseSlot releases the slot and notifies the requests that are admitted as a result.
func (h *requestHandler) releaseSlot() {
	e := h.e
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	admitted, expired := e.queue.Release(h.admit, float64(h.state.Sent()), e.now())
	e.notifyWaiters(admitted, expired)
}

// notifyWaiters sends waiting requests their verdict. reqMu must be held.
func (e *Entry) notifyWaiters(admitted, expired []admit.Request) {
	e.sendVerdict(admitted, admit.Admitted)
	e.sendVerdict(expired, admit.Refused)
}

func (e *Entry) sendVerdict(list []admit.Request, v admit.Verdict) {
	for _, r := range list {
		if w, ok := e.waiters[r.ID]; ok {
			w.verdicts <- v
			delete(e.waiters, r.ID)
		}
	}
}

// run tries targets until the response is complete or the request must end.
func (h *requestHandler) run(ctx context.Context) *fleet.Refusal {
	startCtx, cancel := h.e.stop.StartContext(ctx, h.stopGroup(), h.deadline)
	defer cancel()
	for {
		failure, done := h.attempt(ctx)
		if done {
			return nil
		}
		if h.state.Sent() > 0 {
			startCtx = ctx // the response goes on until the answers are due
		}
		step := h.state.Failed(failure, h.allowRetry, h.e.jitter(), h.e.now())
		telemetry.FailedAttempt{
			Request: h.gen.RequestID, Target: h.target, Failure: failure, Step: step, Attempts: h.attempts, Events: h.state.Sent(),
			Took: h.e.now().Sub(h.startedAt),
		}.Log(h.e.log.requests)
		if step.AwaitsBudget {
			h.awaitBudget(startCtx)
			step = dispatch.Step{Retry: true}
		}
		if !step.Retry {
			return step.Refusal
		}
		h.e.opt.Metrics.Count("retries", 1)
		if !daemon.Sleep(startCtx, step.Wait) || startCtx.Err() != nil {
			h.state.StartAttempt("") // nothing is sent to a target
			return h.state.Failed(dispatch.Failure{Kind: daemon.FailureKind(startCtx)}, h.allowRetry, 0, h.e.now()).Refusal
		}
		if h.crashesTargets() {
			return h.state.Failed(dispatch.Failure{
				Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonCrashesTargets, 0),
			}, h.allowRetry, 0, h.e.now()).Refusal
		}
	}
}

// awaitBudget waits until the request may be retried or ctx ends.
func (h *requestHandler) awaitBudget(ctx context.Context) {
	for daemon.Sleep(ctx, dispatch.BudgetCheckInterval) {
		if h.allowRetry() {
			return
		}
	}
}

// isModelConfigured reports whether the configuration in force has the request's model. It may have
// been dropped while the request waited.
func (h *requestHandler) isModelConfigured() bool {
	doc, _ := h.e.document()
	_, ok := doc.VersionFor(h.gen.Workspace, h.gen.Model, h.gen.Fingerprint)
	return ok
}

func refusalFailure(r *fleet.Refusal) dispatch.Failure {
	if r.Reason == fleet.ReasonEngineCrashed {
		return dispatch.Failure{Kind: dispatch.KindEngineCrashed}
	}
	return dispatch.Failure{Kind: dispatch.KindRefused, Refusal: r}
}

func (h *requestHandler) recordLatency() {
	now := h.e.now()
	if h.state.Sent() > 1 {
		h.metrics.Latency("token_gap", now.Sub(h.lastTokenAt))
		h.lastTokenAt = now
		return
	}
	delay := now.Sub(h.startedAt)
	h.lastTokenAt = now
	h.metrics.Latency("first_token", delay)
	h.e.reqMu.Lock()
	h.e.queue.Observe(delay, now)
	h.e.reqMu.Unlock()
}
