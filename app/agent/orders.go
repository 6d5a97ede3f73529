package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthturn/core/fleet"
	"amaranthturn/core/retry"
	"amaranthturn/core/ticket"
	"amaranthturn/io/peer"
	"amaranthturn/io/service"
)

// orderTimeout limits how long the service may take for one order. An order continues
// after its caller disconnects. Otherwise it would be unknown whether it ran.
const orderTimeout = 2 * time.Minute

// orders runs orders under tickets, each at most once.
type orders struct {
	a       *Agent
	mu      sync.Mutex // guards table and running
	table   *ticket.Table
	running map[ticket.ID]*orderJob
}

func (o *orders) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Leave()
}

func (o *orders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Running()
}

// RunOrder implements peer.AgentHandler.
func (a *Agent) RunOrder(ctx context.Context, encoded string, c peer.Call) (fleet.Outcome, peer.Reply) {
	t, err := ticket.Verify(a.opt.Ring, encoded)
	if err != nil || t.Service != c.Service || a.opt.Service == nil {
		return refusalReply(fleet.NotRun(fleet.ReasonBadTicket, 0))
	}
	return a.orders.run(ctx, t, c)
}

// StopOrder implements peer.AgentHandler.
func (a *Agent) StopOrder(_ context.Context, encoded string) (fleet.Outcome, peer.Reply) {
	t, err := ticket.Verify(a.opt.Ring, encoded)
	if err != nil {
		return refusalReply(fleet.NotRun(fleet.ReasonBadTicket, 0))
	}
	o := a.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	return replyFromDecision(o.table.Stop(t, a.now()))
}

func (o *orders) run(ctx context.Context, t ticket.Ticket, c peer.Call) (fleet.Outcome, peer.Reply) {
	o.mu.Lock()
	d := o.table.Begin(t, c.Deadline, o.a.now())
	job := o.running[t.ID]
	if d.Verdict == ticket.VerdictRun {
		job = &orderJob{orders: o, ticket: t, call: c, done: make(chan struct{})}
		o.running[t.ID] = job
		go job.run()
	}
	o.mu.Unlock()
	if d.Verdict == ticket.VerdictReplay || d.Verdict == ticket.VerdictRefuse {
		return replyFromDecision(d)
	}
	select {
	case <-job.done:
	case <-ctx.Done():
		return refusalReply(fleet.Unknown(fleet.ReasonStillRunning))
	}
	return replyFromDecision(job.result)
}

// orderJob is the single run of an order.
type orderJob struct {
	orders *orders
	ticket ticket.Ticket
	call   peer.Call
	done   chan struct{} // closed when the order has ended
	// result is set before done is closed. The table forgets it when the ticket has expired.
	result ticket.Decision
}

func (j *orderJob) run() {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	reply, err := j.orders.a.opt.Service.Call(ctx, service.Request{
		Method: j.call.Method, Path: j.call.Path, ContentType: j.call.ContentType,
		RequestID: string(j.ticket.ID), Body: j.call.Body,
	})
	j.orders.mu.Lock()
	defer j.orders.mu.Unlock()
	switch {
	case errors.Is(err, service.ErrNotSent):
		j.orders.table.FinishNotRun(j.ticket.ID)
	case err != nil:
		j.orders.table.FinishUnknown(j.ticket.ID)
	default:
		j.orders.table.Finish(j.ticket.ID, ticket.Result{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body, Unframed: reply.Unframed})
	}
	j.result = j.orders.table.Result(j.ticket.ID)
	delete(j.orders.running, j.ticket.ID)
	close(j.done)
}

// replyFromDecision converts a decision of the ticket table into the reply to the entry.
func replyFromDecision(d ticket.Decision) (fleet.Outcome, peer.Reply) {
	switch d.Verdict {
	case ticket.VerdictReplay:
		return fleet.OutcomeDone, peer.Reply{Status: d.Result.Status, ContentType: d.Result.ContentType, Body: d.Result.Body, Unframed: d.Result.Unframed}
	case ticket.VerdictJoin:
		return fleet.OutcomeRunning, peer.Reply{Refusal: fleet.Unknown(fleet.ReasonStillRunning)}
	}
	r := &fleet.Refusal{Outcome: d.Outcome, Reason: refusalReason(d.Reason)}
	if d.Outcome == fleet.OutcomeNotRun {
		r.RetryAfter = retry.MaxDelay
	}
	return refusalReply(r)
}

func refusalReason(r ticket.Reason) fleet.Reason {
	switch r {
	case ticket.ReasonOtherIncarnation, ticket.ReasonOtherTarget:
		return fleet.ReasonTargetRestarted
	case ticket.ReasonExpired, ticket.ReasonResultUnknown:
		return fleet.ReasonResultUnknown
	case ticket.ReasonDeadlinePassed:
		return fleet.ReasonDeadlinePassed
	case ticket.ReasonTableFull:
		return fleet.ReasonQueueFull
	case ticket.ReasonLeaving:
		return fleet.ReasonLeaving
	}
	return fleet.ReasonStoppedBeforeStart
}

func refusalReply(r *fleet.Refusal) (fleet.Outcome, peer.Reply) {
	return r.Outcome, peer.Reply{Refusal: r}
}

// Call implements peer.AgentHandler. It runs a repeatable call on the service.
func (a *Agent) Call(ctx context.Context, c peer.Call) peer.Reply {
	now := a.now()
	switch {
	case a.opt.Service == nil:
		return peer.Reply{Refusal: fleet.NotRun(fleet.ReasonUnknownService, 0)}
	case a.leaving.Load():
		return peer.Reply{Refusal: fleet.NotRun(fleet.ReasonLeaving, retry.BaseDelay)}
	case !now.Before(c.Deadline):
		return peer.Reply{Refusal: fleet.NotRun(fleet.ReasonDeadlinePassed, 0)}
	}
	x, refusal := a.gate.admit(admission{}, now)
	if refusal != nil {
		return peer.Reply{Refusal: refusal}
	}
	defer a.gate.release(x)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	reply, err := a.opt.Service.Call(ctx, service.Request{
		Method: c.Method, Path: c.Path, ContentType: c.ContentType, RequestID: c.RequestID, Body: c.Body,
	})
	switch {
	case errors.Is(err, service.ErrNotSent):
		return peer.Reply{Refusal: fleet.NotRun(fleet.ReasonServiceUnreachable, retry.MaxDelay)}
	case err != nil:
		return peer.Reply{Refusal: fleet.Unknown(fleet.ReasonServiceUnreachable)}
	}
	return peer.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body, Unframed: reply.Unframed}
}
