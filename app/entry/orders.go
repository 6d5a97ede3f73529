package entry

import (
	"context"
	"errors"
	"time"

	"amaranthturn/app/daemon"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/picker"
	"amaranthturn/core/retry"
	"amaranthturn/core/shutdown"
	"amaranthturn/core/ticket"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// maxOrdersInFlight is the maximum number of orders that one entry runs at a time.
const maxOrdersInFlight = 256

// stopTimeout is the maximum time that an entry tries to stop an order permanently. It
// may extend past the caller's deadline.
const stopTimeout = 2 * time.Second

// exitStopTimeout applies instead when the process is about to exit. It is less than exitReserve.
const exitStopTimeout = 500 * time.Millisecond

// Entries implements caller.Service.
func (e *Entry) Entries(w fleet.Workspace, key string) (caller.EntryList, *fleet.Refusal) {
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	entries := membership.EntriesForCaller(list, e.self.Zone, e.mainPool(), key)
	if len(entries) == 0 && !e.leaving.Load() {
		entries = []fleet.Instance{e.self}
	}
	out := caller.EntryList{KeepMS: e.entryListTTL().Milliseconds()}
	for _, in := range entries {
		if in.ID == e.self.ID && e.leaving.Load() {
			continue
		}
		out.Entries = append(out.Entries, caller.EntryInfo{Instance: string(in.ID), Address: in.CallerAddress, Zone: string(in.Zone)})
	}
	if len(out.Entries) == 0 {
		return out, fleet.NotRun(fleet.ReasonLeaving, retry.MaxDelay)
	}
	return out, nil
}

// Limits of how long callers cache the entry list. The jitter prevents many callers from
// refreshing it at the same time.
const (
	entryListMinTTL    = 20 * time.Second
	entryListTTLJitter = 20 * time.Second
)

func (e *Entry) entryListTTL() time.Duration {
	return entryListMinTTL + time.Duration(e.jitter()*float64(entryListTTLJitter))
}

// mainPool returns the pool of the first model, whose targets most requests need.
func (e *Entry) mainPool() fleet.Pool {
	doc, _ := e.document()
	if doc == nil || len(doc.Defaults.Models) == 0 {
		return ""
	}
	return fleet.Pool(doc.Defaults.Models[0].Pool)
}

// Ticket implements caller.Service. Limits are enforced here, before a ticket is issued: an
// order that is refused at this point has not run anywhere.
func (e *Entry) Ticket(_ context.Context, w fleet.Workspace, s fleet.Service) (caller.TicketResponse, *fleet.Refusal) {
	doc, _ := e.document()
	if doc == nil {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonNoConfiguration, time.Second)
	}
	if _, ok := doc.FindService(s); !ok {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonUnknownService, 0)
	}
	if e.leaving.Load() {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonLeaving, retry.MaxDelay)
	}
	if e.orderCount() >= maxOrdersInFlight {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonQueueFull, retry.MaxDelay)
	}
	agent, ok := e.chooseService(s, nil)
	if !ok {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonNoTarget, retry.MaxDelay)
	}
	lifetime := time.Duration(doc.Defaults.Limits.OrderSeconds) * time.Second
	encoded, t, err := e.issuer.Issue(ticket.Ticket{
		Service: s, Workspace: w, Target: agent.Instance, Incarnation: agent.Incarnation,
	}, lifetime, e.now())
	if err != nil {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonBadRequest, 0)
	}
	e.opt.Metrics.Count("tickets", 1)
	return caller.TicketResponse{Ticket: encoded, Service: string(s), Target: string(t.Target), Expires: t.Expires}, nil
}

func (e *Entry) orderCount() int {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	return e.ordersInFlight
}

// chooseService picks a live agent of a service that is not a model.
func (e *Entry) chooseService(s fleet.Service, avoid []fleet.InstanceID) (*membership.Agent, bool) {
	now := e.now()
	e.memMu.Lock()
	agents := e.table.WithService(s, now)
	e.memMu.Unlock()
	targets := make([]picker.Target, 0, len(agents))
	for _, a := range agents {
		targets = append(targets, picker.NewTarget(a.Instance, max(1, a.Load.Capacity)))
	}
	picker.Sort(targets)
	e.reqMu.Lock()
	chosen, ok := e.picker.Choose(targets, picker.Query{Avoid: avoid}, now)
	e.reqMu.Unlock()
	if !ok {
		return nil, false
	}
	for _, a := range agents {
		if a.Instance == chosen.ID {
			return a, true
		}
	}
	return nil, false
}

// Order implements caller.Service.
func (e *Entry) Order(ctx context.Context, encoded string, c caller.Call) (caller.Response, *fleet.Refusal) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	c.Deadline = c.Deadline.Add(-daemon.SinceReceipt(ctx))
	t, err := ticket.Verify(e.opt.Ring, encoded)
	if err != nil || t.Service != c.Service {
		// No agent runs an order with a ticket that fails verification.
		return caller.Response{}, fleet.NotRun(fleet.ReasonBadTicket, 0)
	}
	addr, ok := e.addressOf(t.Target)
	if !ok {
		return caller.Response{}, fleet.Unknown(fleet.ReasonTargetLost)
	}
	ctx, end := e.stop.RequestContext(ctx)
	defer end()
	startedAt := e.now()
	var response caller.Response
	var refusal *fleet.Refusal
	switch {
	case !e.stop.CanStart(stopGroupOf(c), c.Deadline):
		response, refusal = e.stopOrder(addr, encoded, fleet.ReasonLeaving)
	case e.beginOrder():
		response, refusal = e.runOrder(ctx, addr, encoded, c)
		e.endOrder()
		e.countOrder(refusal)
	default:
		response, refusal = e.stopOrder(addr, encoded, fleet.ReasonQueueFull)
	}
	e.recordCall(c, startedAt, refusal)
	telemetry.LogOutcome(e.log.orders.Info().Str("request", c.RequestID).Str("workspace", string(c.Workspace)).Str("target", string(t.Target)).
		Dur("took", e.now().Sub(startedAt)), refusal)
	return response, refusal
}

// stopGroupOf returns the calls that take a similar time.
func stopGroupOf(c caller.Call) shutdown.Group { return shutdown.Group("service/" + c.Service) }

// recordCall records how a call or order ended.
func (e *Entry) recordCall(c caller.Call, startedAt time.Time, refusal *fleet.Refusal) {
	e.stop.RecordOutcome(refusal)
	if refusal == nil {
		e.stop.Record(stopGroupOf(c), e.now().Sub(startedAt))
	}
}

func (e *Entry) runOrder(ctx context.Context, addr, encoded string, c caller.Call) (caller.Response, *fleet.Refusal) {
	_, reply, err := e.opt.Pool.RunOrder(ctx, addr, encoded, peerCall(c))
	if dispatch.AfterRun(err != nil) == dispatch.OrderStop {
		return e.stopOrder(addr, encoded, fleet.ReasonStoppedBeforeStart)
	}
	if reply.Refusal != nil {
		return caller.Response{}, reply.Refusal
	}
	return responseOf(reply), nil
}

// stopOrder requests that the agent never starts the order, and returns the order's
// outcome as far as it is then known. It may continue past the caller's deadline.
func (e *Entry) stopOrder(addr, encoded string, reason fleet.Reason) (caller.Response, *fleet.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	limit := &exitLimit{ctx: ctx, cancel: cancel}
	defer context.AfterFunc(e.stop.Ended(), limit.run)()
	outcome, reply, err := e.opt.Pool.StopOrder(ctx, addr, encoded)
	if reply.Refusal != nil && outcome != fleet.OutcomeNotRun {
		reason = reply.Refusal.Reason
	}
	refusal := dispatch.AfterStop(err != nil, outcome, reason)
	if refusal != nil {
		if refusal.Outcome == fleet.OutcomeNotRun {
			refusal.RetryAfter = retry.MaxDelay
		}
		return caller.Response{}, refusal
	}
	return responseOf(reply), nil
}

func responseOf(r peer.Reply) caller.Response {
	return caller.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Unframed: r.Unframed}
}

// exitLimit limits how long an order is being stopped when the process is about to exit.
type exitLimit struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func (l *exitLimit) run() {
	if daemon.Sleep(l.ctx, exitStopTimeout) {
		l.cancel()
	}
}

func (e *Entry) countOrder(refusal *fleet.Refusal) {
	e.opt.Metrics.Count("orders_"+fleet.OutcomeOf(refusal).String(), 1)
}

func (e *Entry) beginOrder() bool {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	if e.ordersInFlight >= maxOrdersInFlight {
		return false
	}
	e.ordersInFlight++
	return true
}

func (e *Entry) endOrder() {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	e.ordersInFlight--
}

// addressOf returns the address of an agent from its heartbeat, or else from the instance
// list.
func (e *Entry) addressOf(id fleet.InstanceID) (string, bool) {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	if a, ok := e.table.Get(id); ok && a.Address != "" {
		return a.Address, true
	}
	in, ok := e.table.Instance(id)
	return in.Address, ok && in.Address != ""
}

// Call implements caller.Service. It runs a repeatable call of a service that is not a
// model.
func (e *Entry) Call(ctx context.Context, c caller.Call) (caller.Response, *fleet.Refusal) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	c.Deadline = c.Deadline.Add(-daemon.SinceReceipt(ctx))
	doc, _ := e.document()
	if doc == nil {
		return caller.Response{}, fleet.NotRun(fleet.ReasonNoConfiguration, time.Second)
	}
	service, ok := doc.FindService(c.Service)
	if !ok {
		return caller.Response{}, fleet.NotRun(fleet.ReasonUnknownService, 0)
	}
	if !service.Repeatable && !isReadOnly(c.Method) {
		return caller.Response{}, fleet.NotRun(fleet.ReasonNotRepeatable, 0)
	}
	ctx, end := e.stop.RequestContext(ctx)
	defer end()
	startedAt := e.now()
	response, refusal := e.callService(ctx, c)
	e.recordCall(c, startedAt, refusal)
	return response, refusal
}

// isReadOnly reports whether an HTTP method may be repeated by definition.
func isReadOnly(method string) bool { return method == "GET" || method == "HEAD" }

func (e *Entry) callService(ctx context.Context, c caller.Call) (caller.Response, *fleet.Refusal) {
	h := &requestHandler{e: e, gen: peer.GenerateRequest{Workspace: c.Workspace}, service: c.Service}
	e.reqMu.Lock()
	h.recordRequest()
	e.reqMu.Unlock()
	state := dispatch.NewRequest(dispatch.DefaultSettings, c.Deadline)
	startCtx, cancel := e.stop.StartContext(ctx, stopGroupOf(c), func() time.Time { return c.Deadline })
	defer cancel()
	for {
		if !e.stop.CanStart(stopGroupOf(c), c.Deadline) {
			state.StartAttempt("") // nothing is sent to a target
			return caller.Response{}, state.Failed(dispatch.Failure{Kind: dispatch.KindStopping}, h.allowRetry, 0, e.now()).Refusal
		}
		reply, failure := e.callOnce(ctx, c, state)
		if failure == nil {
			return responseOf(reply), nil
		}
		step := state.Failed(*failure, h.allowRetry, e.jitter(), e.now())
		if !step.Retry {
			return caller.Response{}, step.Refusal
		}
		if !daemon.Sleep(startCtx, step.Wait) {
			state.StartAttempt("") // nothing is sent to a target
			return caller.Response{}, state.Failed(dispatch.Failure{Kind: daemon.FailureKind(startCtx)}, h.allowRetry, 0, e.now()).Refusal
		}
	}
}

func (e *Entry) callOnce(ctx context.Context, c caller.Call, state *dispatch.Request) (peer.Reply, *dispatch.Failure) {
	agent, ok := e.chooseService(c.Service, state.Avoid())
	if !ok {
		return peer.Reply{}, &dispatch.Failure{Kind: dispatch.KindNoTarget}
	}
	state.StartAttempt(agent.Instance)
	e.reqMu.Lock()
	e.picker.RecordStart(agent.Instance)
	e.reqMu.Unlock()
	reply, err := e.opt.Pool.Call(ctx, agent.Address, peerCall(c))
	e.reqMu.Lock()
	e.picker.RecordEnd(agent.Instance)
	e.reqMu.Unlock()
	var lost *peer.ConnectionError
	switch {
	case errors.As(err, &lost) && lost.NotSent:
		return reply, &dispatch.Failure{Kind: dispatch.KindNotSent}
	case err != nil && ctx.Err() != nil:
		return reply, &dispatch.Failure{Kind: daemon.FailureKind(ctx)}
	case err != nil:
		return reply, &dispatch.Failure{Kind: dispatch.KindLost}
	case reply.Refusal != nil:
		return reply, &dispatch.Failure{Kind: dispatch.KindRefused, Refusal: reply.Refusal}
	}
	return reply, nil
}

func peerCall(c caller.Call) peer.Call {
	return peer.Call{
		RequestID: c.RequestID, Workspace: c.Workspace, Service: c.Service, Method: c.Method, Path: c.Path,
		ContentType: c.ContentType, Body: c.Body, Deadline: c.Deadline,
	}
}
