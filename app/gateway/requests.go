package gateway

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/retry"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/core/shutdown"
)

// Constants of the request path.
const (
	// baseRetryAfter and retryAfterJitter determine when a refused caller should retry. The
	// retries are spread over time and come after more than a second, in which added targets
	// can start to serve.
	baseRetryAfter   = 800 * time.Millisecond
	retryAfterJitter = 800 * time.Millisecond
	// retryAfterShare and retryJitterShare apply instead if they are longer. They are shares
	// of the time for which the caller still waits: a returning caller finds more room after a
	// longer time, and needs time for the response.
	retryAfterShare  = 0.2
	retryJitterShare = 0.3
	// maxRefusals is how many targets without free slots one request is sent to.
	maxRefusals = 2
	// lateReadTime is the time from the receipt of a request until it is read that a log line mentions.
	lateReadTime = 100 * time.Millisecond
	// maxResponseBytes limits a response that is read completely before it is forwarded.
	maxResponseBytes = 32 << 20
)

// errTruncated reports that a response was started and cannot be completed.
var errTruncated = errors.New("response truncated")

// requestHandler is the state of one request that is being handled. Its mu is acquired before
// Gateway.mu.
type requestHandler struct {
	requestLimits
	g                *Gateway
	call             *forward.Call
	out              forward.Responder
	configVersion    uint64 // of the configuration by which the route was resolved
	route            *routeconfig.Route
	serviceName      fleet.Service
	engine           *routeconfig.Engine // of the service, nil for a plain one
	workspace        fleet.Workspace
	class            fleet.Class
	state            *dispatch.Request
	stream           *forward.Stream
	fingerprint      fleet.Fingerprint
	startedAt        time.Time     // when the request was received
	unread           time.Duration // since then, when it was read
	queueWait        time.Duration
	timeToFirstEvent time.Duration // until the first event or the response
	responseStarted  atomic.Bool   // the response header was sent to the caller
	attempts         int
	target           fleet.InstanceID // of the last attempt, or of the one that goes on
	targetFailure    *targetResponse  // an error, forwarded if no other attempt succeeds

	mu   sync.Mutex // while attempts are in progress, guards race, state, stream and what they change
	race race
}

// targetResponse is the complete response of a target.
type targetResponse struct {
	forward.Reply
	body []byte
}

// Serve implements platform.Gateway.
func (g *Gateway) Serve(ctx context.Context, c *forward.Call, out forward.Responder) error {
	ctx, end := g.stop.RequestContext(ctx)
	defer end()
	unread := daemon.SinceReceipt(ctx)
	h := &requestHandler{g: g, call: c, out: out, unread: unread, startedAt: g.now().Add(-unread)}
	refusal := h.prepare()
	if refusal == nil {
		out.SetDeadline(h.deadline)
		ctx := h.startDeadline(ctx)
		defer h.endDeadline()
		refusal = h.admitAndRun(ctx)
		h.recordRefusal(refusal)
	}
	h.logOutcome(refusal)
	switch {
	case refusal == nil:
		return nil
	case h.responseStarted.Load():
		return errTruncated
	}
	out.Refuse(*refusal)
	return nil
}

// prepare resolves the request's route, workspace and service by the configuration in force.
func (h *requestHandler) prepare() *fleet.Refusal {
	doc := h.g.doc.Load()
	if doc == nil {
		return fleet.NotRun(fleet.ReasonNoConfiguration, baseRetryAfter)
	}
	h.configVersion = doc.Version
	r, ok := doc.Match(h.call.Host, h.call.Path)
	if !ok {
		return fleet.NotRun(fleet.ReasonUnknownRoute, 0)
	}
	h.route = r
	priority := r.Priority
	if doc.NeedsKey(r) {
		w, ok := doc.Workspace(h.call.Key)
		if !ok {
			return fleet.NotRun(fleet.ReasonUnknownKey, 0)
		}
		h.workspace, priority = w.Name, w.Priority
	}
	if h.call.ID == "" {
		return fleet.NotRun(fleet.ReasonBadRequest, 0)
	}
	h.g.mu.Lock()
	random := h.g.random.Float64()
	h.g.mu.Unlock()
	if h.serviceName, ok = r.Pick(random); !ok {
		return fleet.NotRun(fleet.ReasonUnknownService, baseRetryAfter)
	}
	if svc, ok := doc.Service(h.serviceName); ok {
		h.engine = svc.Engine
	}
	h.class = classOf(priority)
	h.requestLimits = requestLimits{deadline: dispatch.NewDeadline(h.startedAt, forward.Timeout(r, h.call)), latencyObjective: r.LatencyObjective}
	h.stream = forward.NewStream(h.call.LastEventID)
	h.fingerprint = fingerprint(h.workspace, h.call)
	h.state = dispatch.NewRequestUntil(dispatch.Settings{
		MaxAttempts: maxAttempts(r), MaxRefusals: maxRefusals,
		AtMostOnce: !r.Repeatable(), ChargeRefusals: true,
	}, h.deadline)
	return nil
}

// classOf maps a priority, of which 0 is the highest.
func classOf(priority int) fleet.Class {
	return fleet.Classes[min(max(priority, 0), len(fleet.Classes)-1)]
}

// fingerprint identifies a request by its content, so that a repetition is recognized.
func fingerprint(w fleet.Workspace, c *forward.Call) fleet.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{string(w), c.Method, c.Host, c.URI} {
		_, _ = d.WriteString(s + "\x00") // a hash returns no error
	}
	_, _ = d.Write(c.Body)
	return fleet.Fingerprint(d.Sum64())
}

// admitAndRun waits for a slot and runs the request in it.
func (h *requestHandler) admitAndRun(ctx context.Context) *fleet.Refusal {
	g := h.g
	if !h.canStart() {
		return fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay)
	}
	now := g.now()
	if !now.Before(h.deadline.Time()) { // it was read too late
		return fleet.NotRun(fleet.ReasonDeadlinePassed, 0)
	}
	g.mu.Lock()
	if h.crashesTargets(now) && !h.isTrialDue(now) {
		g.mu.Unlock()
		return fleet.NotRun(fleet.ReasonCrashesTargets, 0)
	}
	if !g.isConfigured(h.serviceName) { // it was removed since the route was resolved
		g.mu.Unlock()
		return fleet.NotRun(fleet.ReasonUnknownService, baseRetryAfter)
	}
	svc := g.service(h.serviceName)
	queueDeadline := h.queueDeadline(svc, now)
	if refusal := h.refuseWhileShedding(svc, queueDeadline, now); refusal != nil {
		g.mu.Unlock()
		return refusal
	}
	if refusal := h.refuseBeyondLimits(svc, queueDeadline, now); refusal != nil {
		svc.lastRequestAt = now
		g.mu.Unlock()
		return refusal
	}
	g.nextID++
	req := admit.Request{ID: g.nextID, Workspace: h.workspace, Class: h.class, Deadline: queueDeadline, Cost: h.cost()}
	req.Late = h.hasReturned(now)
	g.budgets.RecordRequest(h.serviceName, now)
	svc.lastRequestAt = now
	decision := svc.queue.Offer(req, now)
	var verdict chan admit.Verdict
	if decision.Verdict == admit.Queued {
		verdict = make(chan admit.Verdict, 1)
		g.waiters[req.ID] = verdict
		h.queued = &queuedRequest{svc, req, now}
	}
	g.mu.Unlock()
	switch decision.Verdict {
	case admit.Refused:
		return fleet.NotRun(reasonOf(decision.Cause), h.retryAfter())
	case admit.Queued:
		if refusal := h.awaitVerdict(ctx, svc, req, verdict); refusal != nil {
			return refusal
		}
	}
	admittedAt := g.now()
	h.queueWait = admittedAt.Sub(now)
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.notifyWaiters(svc.queue.Release(req, req.Cost, g.now()))
	}()
	refusal := h.run(ctx, svc)
	if refusal == nil {
		g.stop.Record(h.stopGroup(), g.now().Sub(admittedAt))
	}
	return refusal
}

// stopGroup returns the requests that take a similar time.
func (h *requestHandler) stopGroup() shutdown.Group { return shutdown.Group(h.route.Name) }

// canStart reports whether the request may be sent to a target if this process stops.
func (h *requestHandler) canStart() bool {
	return h.responseStarted.Load() || h.g.stop.CanStart(h.stopGroup(), h.deadline.Time())
}

// reasonOf returns the reason of a refusal on arrival.
func reasonOf(c admit.Cause) fleet.Reason {
	switch c {
	case admit.CauseDeadlineUnreachable:
		return fleet.ReasonDeadlineCannotBeMet
	case admit.CauseNoRoomForLate:
		return fleet.ReasonNoRoomForLate
	}
	return fleet.ReasonQueueFull
}

// hasReturned reports whether the caller comes back after a refusal. An interrupted stream that is
// resumed has been partly served and is not late. Gateway.mu must be held.
func (h *requestHandler) hasReturned(now time.Time) bool {
	if h.call.Timeout == 0 || h.call.LastEventID != "" || h.call.OutlastsTimeout(h.route) {
		return false
	}
	return h.g.patience.HasReturned(h.callerGroup(), forward.Timeout(h.route, h.call), now)
}

func (h *requestHandler) callerGroup() admit.CallerGroup {
	return admit.CallerGroup{Route: h.route.Name, Workspace: h.workspace, Limit: h.route.Timeout}
}

// recordRefusal remembers that the caller was told to come back.
func (h *requestHandler) recordRefusal(r *fleet.Refusal) {
	if r == nil || r.Outcome != fleet.OutcomeNotRun || r.RetryAfter == 0 || h.route == nil {
		return
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	h.g.patience.RecordRefusal(h.route.Name, h.g.now())
}

// cost estimates the work of a request. The unit is the prefill of one token.
func (h *requestHandler) cost() float64 {
	const outputTokenCost = 10 // work of generating a token, in prefill tokens
	outputTokens := h.call.MaxOutputTokens
	if h.call.OutputTokensHint > 0 {
		outputTokens = min(max(outputTokens, 1), h.call.OutputTokensHint)
	}
	return float64(max(1, h.call.PromptTokens+outputTokenCost*outputTokens))
}

func (h *requestHandler) retryAfter() time.Duration {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	return h.chooseRetryAfter()
}

// chooseRetryAfter returns when a caller that is refused now should come back. Gateway.mu must be held.
func (h *requestHandler) chooseRetryAfter() time.Duration {
	left := float64(h.deadline.Time().Sub(h.g.now()))
	base := max(baseRetryAfter, time.Duration(retryAfterShare*left))
	jitter := max(retryAfterJitter, time.Duration(retryJitterShare*left))
	return base + jitter/2 + time.Duration(h.g.random.Float64()*float64(jitter))
}

func (h *requestHandler) awaitVerdict(ctx context.Context, svc *service, req admit.Request, verdict chan admit.Verdict) *fleet.Refusal {
	ctx, cancel := h.g.stop.StartContext(ctx, h.stopGroup(), h.deadline.Time)
	defer cancel()
	select {
	case v := <-verdict:
		switch {
		case v == admit.Admitted:
			return nil
		case !h.g.isConfigured(h.serviceName):
			return fleet.NotRun(fleet.ReasonUnknownService, baseRetryAfter)
		}
		return fleet.NotRun(fleet.ReasonDeadlineCannotBeMet, h.retryAfter())
	case <-ctx.Done():
	}
	g := h.g
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, req.ID)
	if !svc.queue.Cancel(req) {
		select {
		case v := <-verdict:
			if v == admit.Admitted {
				g.notifyWaiters(svc.queue.Release(req, 0, g.now()))
			}
		default:
		}
	}
	if daemon.FailureKind(ctx) == dispatch.KindStopping {
		return fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay)
	}
	return fleet.NotRun(fleet.ReasonDeadlinePassed, 0)
}

// run tries targets until the response is complete or the request has to end.
func (h *requestHandler) run(ctx context.Context, svc *service) *fleet.Refusal {
	startCtx, cancel := h.g.stop.StartContext(ctx, h.stopGroup(), h.deadline.Time)
	defer cancel()
	for {
		failure, done := h.attempt(ctx, startCtx, svc)
		if done {
			return nil
		}
		if h.responseStarted.Load() {
			startCtx = ctx // the response goes on until the answers are due
		}
		h.g.mu.Lock()
		step := h.state.Failed(failure, h.allowRetry, h.g.random.Float64(), h.g.now())
		h.g.mu.Unlock()
		h.logFailure(h.target, failure, step, "")
		if step.AwaitsBudget && h.awaitBudget(startCtx) {
			step = dispatch.Step{Retry: true}
		}
		if !step.Retry {
			if h.targetFailure != nil && !h.responseStarted.Load() {
				h.out.WriteResponse(h.targetFailure.Reply, h.targetFailure.body)
				return nil
			}
			return step.Refusal
		}
		h.g.metrics.Count("retries", 1)
		daemon.Sleep(startCtx, step.Wait) // the next attempt returns the failure of a context that has ended
	}
}

// maxBudgetWait is how long a begun stream waits for a retry. Callers give up a stream that is
// silent for longer, and the request keeps its place in admission meanwhile.
const maxBudgetWait = 2 * time.Second

// awaitBudget waits until the budget allows a retry, and reports whether the request goes on: with
// the retry, or to end because its context has ended.
func (h *requestHandler) awaitBudget(parent context.Context) bool {
	ctx, cancel := context.WithTimeout(parent, maxBudgetWait)
	defer cancel()
	for daemon.Sleep(ctx, dispatch.BudgetCheckInterval) {
		h.g.mu.Lock()
		allowed := h.allowRetry()
		h.g.mu.Unlock()
		if allowed {
			return true
		}
	}
	return parent.Err() != nil
}

// attempt runs the request on one target and reports whether the response is complete. Nothing is
// sent if startCtx has ended.
func (h *requestHandler) attempt(ctx, startCtx context.Context, svc *service) (dispatch.Failure, bool) {
	if h.endIfCallerLeft(ctx) || startCtx.Err() != nil {
		h.state.StartAttempt("") // nothing is sent to a target
		return dispatch.Failure{Kind: daemon.FailureKind(startCtx)}, false
	}
	if !h.canStart() {
		h.state.StartAttempt("")
		return dispatch.Failure{Kind: dispatch.KindStopping}, false
	}
	a, failure := h.beginAttempt(ctx, svc)
	if a == nil {
		h.state.StartAttempt("")
		return failure, false
	}
	return h.runRace(a)
}

// beginAttempt adds an attempt on a target to those in progress, of which there are none. If there is
// no target, it returns the failure.
func (h *requestHandler) beginAttempt(ctx context.Context, svc *service) (*targetAttempt, dispatch.Failure) {
	g := h.g
	h.mu.Lock()
	defer h.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	crashesTargets := h.crashesTargets(now)
	if crashesTargets && !h.isTrialDue(now) { // became known while the request waited
		return nil, dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonCrashesTargets, 0)}
	}
	target, ok := h.chooseTarget(svc)
	if !ok {
		refusal := cmp.Or(h.refuseWhileShedding(svc, now, now), h.refuseBeyondLimits(svc, now, now))
		if !g.isConfigured(h.serviceName) {
			refusal = fleet.NotRun(fleet.ReasonUnknownService, baseRetryAfter)
		}
		if h.isVersionReplaced(now) {
			refusal = fleet.Unknown(fleet.ReasonVersionReplaced)
		}
		if refusal != nil {
			return nil, dispatch.Failure{Kind: dispatch.KindRefused, Refusal: refusal}
		}
		return nil, dispatch.Failure{Kind: dispatch.KindNoTarget}
	}
	h.race.ctx, h.race.service = ctx, svc
	h.target = target.ID
	h.startStallTimer()
	a := h.startAttempt(target)
	if crashesTargets {
		a.beginTrial(now)
	}
	return a, dispatch.Failure{}
}

// chooseTarget selects the target of an attempt. mu must be held.
func (h *requestHandler) chooseTarget(svc *service) (roster.Target, bool) {
	now := h.g.now()
	q := loadbalance.Query{Avoid: h.state.Avoid(), IsEligible: h.pinnedTargets()}
	id, ok := svc.balancer.Choose(q, now)
	if !ok {
		q.AllowFull = true // the load has changed since the request was admitted
		if id, ok = svc.balancer.Choose(q, now); !ok {
			return roster.Target{}, false
		}
	}
	return h.g.roster.Get(id)
}

// endIfCallerLeft ends the request if its caller has left, and reports whether it did. It is called before
// anything is sent to a target.
func (h *requestHandler) endIfCallerLeft(ctx context.Context) bool {
	if !daemon.HasCallerLeft(ctx) {
		return false
	}
	h.cancel(context.Canceled)
	h.g.metrics.Count("callers_left_before_send", 1)
	h.g.log.requests.Info().Str("request", string(h.call.ID)).Int("attempts", h.attempts).Dur("waited", h.queueWait).
		Dur("took", h.g.now().Sub(h.startedAt)).Msg("caller has left before its request is sent")
	return true
}

// logOutcome writes the log line of a request and updates the metrics.
func (h *requestHandler) logOutcome(refusal *fleet.Refusal) {
	m := h.g.metrics.Requests(h.workspace, h.class)
	m.Outcome(fleet.OutcomeOf(refusal))
	h.g.stop.RecordOutcome(refusal)
	if refusal == nil {
		m.Latency("first_answer", h.timeToFirstEvent)
	}
	ev := h.g.log.requests.Info()
	if h.route != nil {
		ev.Str("route", h.route.Name)
	}
	if h.configVersion != 0 {
		ev.Uint64("config_version", h.configVersion)
	}
	if h.unread >= lateReadTime {
		ev.Dur("unread", h.unread)
	}
	telemetry.LogOutcome(ev.Str("request", string(h.call.ID)).Str("workspace", string(h.workspace)).Str("target", string(h.target)).
		Int("attempts", h.attempts).Dur("waited", h.queueWait).Dur("first", h.timeToFirstEvent).Dur("took", h.g.now().Sub(h.startedAt)).
		Bool("begun", h.responseStarted.Load()), refusal)
}
