package entry

import (
	"context"
	"errors"
	"time"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/picker"
	"amaranthturn/core/retry"
	"amaranthturn/core/ticket"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// maxOrders bounds the orders of one entry in flight.
const maxOrders = 256

// stopTimeout bounds how long an entry tries to stop an order for good after its
// caller's deadline.
const stopTimeout = 2 * time.Second

// Entries implements caller.Service.
func (e *Entry) Entries(w fleet.Workspace, key string) (caller.EntryList, *fleet.Refusal) {
	e.memMu.Lock()
	list := e.table.List()
	e.memMu.Unlock()
	rows := membership.EntriesForCaller(list, e.self.Zone, e.mainPool(), key)
	if len(rows) == 0 && !e.leaving.Load() {
		rows = []fleet.Instance{e.self}
	}
	out := caller.EntryList{KeepMS: e.keep().Milliseconds()}
	for _, in := range rows {
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

// Bounds of how long callers keep an answer. The jitter keeps many callers from
// asking again at one time.
const (
	keepBase   = 20 * time.Second
	keepJitter = 20 * time.Second
)

func (e *Entry) keep() time.Duration {
	return keepBase + time.Duration(e.jitter()*float64(keepJitter))
}

// mainPool is the pool of the first model, whose targets most requests need.
func (e *Entry) mainPool() fleet.Pool {
	doc, _ := e.document()
	if doc == nil || len(doc.Defaults.Models) == 0 {
		return ""
	}
	return fleet.Pool(doc.Defaults.Models[0].Pool)
}

// Ticket implements caller.Service. Limits hold here, before there is a ticket:
// an order that is refused now has run nowhere.
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
	if e.orderCount() >= maxOrders {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonQueueFull, retry.MaxDelay)
	}
	a, ok := e.chooseService(s, nil)
	if !ok {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonNoTarget, retry.MaxDelay)
	}
	life := time.Duration(doc.Defaults.Limits.OrderSeconds) * time.Second
	enc, t, err := e.issuer.Issue(ticket.Ticket{
		Service: s, Workspace: w, Target: a.Instance, Incarnation: a.Incarnation,
	}, life, e.now())
	if err != nil {
		return caller.TicketResponse{}, fleet.NotRun(fleet.ReasonBadRequest, 0)
	}
	e.opt.Metrics.Count("tickets", 1)
	return caller.TicketResponse{Ticket: enc, Service: string(s), Target: string(t.Target), Expires: t.Expires}, nil
}

func (e *Entry) orderCount() int {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	return e.orders
}

// chooseService picks a live agent of a plain service.
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
	t, ok := e.picker.Choose(targets, picker.Query{Avoid: avoid}, now)
	e.reqMu.Unlock()
	if !ok {
		return nil, false
	}
	for _, a := range agents {
		if a.Instance == t.ID {
			return a, true
		}
	}
	return nil, false
}

// Order implements caller.Service.
func (e *Entry) Order(ctx context.Context, enc string, c caller.Call) (caller.Response, *fleet.Refusal) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	t, err := ticket.Verify(e.opt.Ring, enc)
	if err != nil || t.Service != c.Service {
		// No agent runs an order under a ticket that does not open.
		return caller.Response{}, fleet.NotRun(fleet.ReasonBadTicket, 0)
	}
	addr, ok := e.addressOf(t.Target)
	if !ok {
		return caller.Response{}, fleet.Unknown(fleet.ReasonTargetLost)
	}
	begun := e.now()
	var a caller.Response
	var refusal *fleet.Refusal
	if e.enterOrder() {
		a, refusal = e.runOrder(ctx, addr, enc, c)
		e.leaveOrder()
		e.countOrder(refusal)
	} else {
		a, refusal = e.stopOrder(addr, enc, fleet.ReasonQueueFull)
	}
	telemetry.Ended(e.log.orders.Info().Str("request", c.RequestID).Str("workspace", string(c.Workspace)).Str("target", string(t.Target)).
		Dur("took", e.now().Sub(begun)), refusal)
	return a, refusal
}

func (e *Entry) runOrder(ctx context.Context, addr, enc string, c caller.Call) (caller.Response, *fleet.Refusal) {
	_, reply, err := e.opt.Pool.RunOrder(ctx, addr, enc, callOf(c))
	if dispatch.AfterRun(err != nil) == dispatch.OrderStop {
		return e.stopOrder(addr, enc, fleet.ReasonStoppedBeforeStart)
	}
	if reply.Refusal != nil {
		return caller.Response{}, reply.Refusal
	}
	return caller.Response{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}, nil
}

// stopOrder asks the agent to make sure that the order never begins, and says
// what is then known. It goes on after the caller's deadline.
func (e *Entry) stopOrder(addr, enc string, why fleet.Reason) (caller.Response, *fleet.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	outcome, reply, err := e.opt.Pool.StopOrder(ctx, addr, enc)
	if reply.Refusal != nil && outcome != fleet.OutcomeNotRun {
		why = reply.Refusal.Reason
	}
	refusal := dispatch.AfterStop(err != nil, outcome, why)
	if refusal != nil {
		if refusal.Outcome == fleet.OutcomeNotRun {
			refusal.RetryAfter = retry.MaxDelay
		}
		return caller.Response{}, refusal
	}
	return caller.Response{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}, nil
}

func (e *Entry) countOrder(refusal *fleet.Refusal) {
	e.opt.Metrics.Count("orders_"+fleet.OutcomeOf(refusal).String(), 1)
}

func (e *Entry) enterOrder() bool {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	if e.orders >= maxOrders {
		return false
	}
	e.orders++
	return true
}

func (e *Entry) leaveOrder() {
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	e.orders--
}

// addressOf returns where an agent is reached, by its heartbeat or else the list.
func (e *Entry) addressOf(id fleet.InstanceID) (string, bool) {
	e.memMu.Lock()
	defer e.memMu.Unlock()
	if a, ok := e.table.Get(id); ok && a.Address != "" {
		return a.Address, true
	}
	in, ok := e.table.Instance(id)
	return in.Address, ok && in.Address != ""
}

// Call implements caller.Service: a repeatable call of a plain service.
func (e *Entry) Call(ctx context.Context, c caller.Call) (caller.Response, *fleet.Refusal) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	doc, _ := e.document()
	if doc == nil {
		return caller.Response{}, fleet.NotRun(fleet.ReasonNoConfiguration, time.Second)
	}
	row, ok := doc.FindService(c.Service)
	if !ok {
		return caller.Response{}, fleet.NotRun(fleet.ReasonUnknownService, 0)
	}
	if !row.Repeatable && !readOnly(c.Method) {
		return caller.Response{}, fleet.NotRun(fleet.ReasonNotRepeatable, 0)
	}
	return e.callService(ctx, c)
}

// readOnly tells whether a method may be repeated by its definition.
func readOnly(method string) bool { return method == "GET" || method == "HEAD" }

func (e *Entry) callService(ctx context.Context, c caller.Call) (caller.Response, *fleet.Refusal) {
	e.reqMu.Lock()
	e.budget.RecordRequest()
	e.workspaceBudget(c.Workspace).RecordRequest()
	e.reqMu.Unlock()
	f := &flight{e: e, gen: peer.GenerateRequest{Workspace: c.Workspace}}
	state := dispatch.NewRequest(dispatch.DefaultSettings, c.Deadline)
	for {
		reply, failure := e.callOnce(ctx, c, state)
		if failure == nil {
			return caller.Response{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}, nil
		}
		step := state.Failed(*failure, f.allowRetry, e.jitter(), e.now())
		if !step.Retry {
			return caller.Response{}, step.Refusal
		}
		if !node.Sleep(ctx, step.Wait) {
			return caller.Response{}, state.Failed(dispatch.Failure{Kind: f.ended(ctx)}, f.allowRetry, 0, e.now()).Refusal
		}
	}
}

func (e *Entry) callOnce(ctx context.Context, c caller.Call, state *dispatch.Request) (peer.Reply, *dispatch.Failure) {
	a, ok := e.chooseService(c.Service, state.Avoid())
	if !ok {
		return peer.Reply{}, &dispatch.Failure{Kind: dispatch.KindNoTarget}
	}
	state.StartAttempt(a.Instance)
	e.reqMu.Lock()
	e.picker.Started(a.Instance)
	e.reqMu.Unlock()
	reply, err := e.opt.Pool.Call(ctx, a.Address, callOf(c))
	e.reqMu.Lock()
	e.picker.Finished(a.Instance)
	e.reqMu.Unlock()
	var l *peer.LostError
	switch {
	case errors.As(err, &l) && l.NotSent:
		return reply, &dispatch.Failure{Kind: dispatch.KindNotSent}
	case err != nil && ctx.Err() != nil:
		return reply, &dispatch.Failure{Kind: dispatch.KindDeadline}
	case err != nil:
		return reply, &dispatch.Failure{Kind: dispatch.KindLost}
	case reply.Refusal != nil:
		return reply, &dispatch.Failure{Kind: dispatch.KindRefused, Refusal: reply.Refusal}
	}
	return reply, nil
}

func callOf(c caller.Call) peer.Call {
	return peer.Call{
		RequestID: c.RequestID, Workspace: c.Workspace, Service: c.Service, Method: c.Method, Path: c.Path,
		ContentType: c.ContentType, Body: c.Body, Deadline: c.Deadline,
	}
}
