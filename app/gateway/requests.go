package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
)

// Constants of the request path.
const (
	// waitShare is the part of a route's objective that a request may wait for a slot: the
	// rest is needed to read its prompt beside the requests that run.
	waitShare = 0.35
	// returnAfter and returnSpread are when a refused caller is asked to come back: not
	// all at once, and after a second in which added targets can begin to serve.
	returnAfter  = 800 * time.Millisecond
	returnSpread = 800 * time.Millisecond
	// maxRefusals is how many targets without room one request is offered to.
	maxRefusals = 2
	// maxAnswer bounds an answer that is read whole before it is passed back.
	maxAnswer = 32 << 20
	// firstEvent and nextEvent bound a stream's silence before it goes on elsewhere. They
	// are several objectives long: a slower answer is late and still of use.
	firstEvent = 2 * time.Second
	nextEvent  = 1500 * time.Millisecond
)

// errCut tells that an answer was begun and cannot be completed.
var errCut = errors.New("answer is broken off")

// flight is one request under way.
type flight struct {
	g         *Gateway
	call      *forward.Call
	out       forward.Responder
	doc       *routeconfig.Document
	route     *routeconfig.Route
	svc       fleet.Service
	workspace fleet.Workspace
	class     fleet.Class
	state     *dispatch.Request
	stream    *forward.Stream
	print     fleet.Fingerprint
	begun     time.Time
	deadline  time.Time
	waited    time.Duration
	first     time.Duration // to the first event or the answer
	answered  bool          // the head of an answer was given
	attempts  int
	target    fleet.InstanceID
	held      *failure // passed back when nothing else works
}

// failure is a target's own failure, whole.
type failure struct {
	forward.Reply
	body []byte
}

// Serve implements platform.Gateway.
func (g *Gateway) Serve(ctx context.Context, c *forward.Call, out forward.Responder) error {
	f := &flight{g: g, call: c, out: out, begun: g.now()}
	refusal := f.prepare()
	if refusal == nil {
		ctx, cancel := context.WithDeadline(ctx, f.deadline)
		defer cancel()
		refusal = f.admitAndRun(ctx)
	}
	f.note(refusal)
	switch {
	case refusal == nil:
		return nil
	case f.answered:
		return errCut
	}
	out.Refuse(*refusal)
	return nil
}

// prepare finds out what the request is, by the configuration in force.
func (f *flight) prepare() *fleet.Refusal {
	f.doc = f.g.doc.Load()
	if f.doc == nil {
		return fleet.NotRun(fleet.ReasonNoConfiguration, returnAfter)
	}
	r, ok := f.doc.Match(f.call.Host, f.call.Path)
	if !ok {
		return fleet.NotRun(fleet.ReasonUnknownRoute, 0)
	}
	f.route = r
	priority := r.Priority
	if f.doc.NeedsKey(r) {
		w, ok := f.doc.Workspace(f.call.Key)
		if !ok {
			return fleet.NotRun(fleet.ReasonUnknownKey, 0)
		}
		f.workspace, priority = w.Name, w.Priority
	}
	if f.call.ID == "" {
		return fleet.NotRun(fleet.ReasonBadRequest, 0)
	}
	f.g.mu.Lock()
	draw := f.g.random.Float64()
	f.g.mu.Unlock()
	if f.svc, ok = r.Pick(draw); !ok {
		return fleet.NotRun(fleet.ReasonUnknownService, returnAfter)
	}
	f.class = classOf(priority)
	f.deadline = f.begun.Add(forward.Timeout(r, f.call))
	f.stream = forward.NewStream(f.call.LastEventID)
	f.print = fingerprint(f.workspace, f.call)
	f.state = dispatch.NewRequest(dispatch.Settings{
		MaxAttempts: max(1, r.MaxAttempts), MaxRefusals: maxRefusals,
		AtMostOnce: !r.Repeatable(), ChargeRefusals: true,
	}, f.deadline)
	return nil
}

// classOf maps a priority, of which 0 is the highest.
func classOf(priority int) fleet.Class {
	return fleet.Classes[min(max(priority, 0), len(fleet.Classes)-1)]
}

// fingerprint names a request by what it asks, so that it is known when it comes again.
func fingerprint(w fleet.Workspace, c *forward.Call) fleet.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{string(w), c.Method, c.Host, c.URI} {
		_, _ = d.WriteString(s + "\x00") // a hash never fails
	}
	_, _ = d.Write(c.Body)
	return fleet.Fingerprint(d.Sum64())
}

// admitAndRun waits for a slot and runs the request in it.
func (f *flight) admitAndRun(ctx context.Context) *fleet.Refusal {
	g := f.g
	now := g.now()
	wait := now.Add(time.Duration(waitShare * float64(f.route.Objective)))
	if f.deadline.Before(wait) {
		wait = f.deadline
	}
	req := admit.Request{Workspace: f.workspace, Class: f.class, Deadline: wait, Cost: f.cost()}
	g.mu.Lock()
	if g.ledger.Restriction(f.print, now) == crashblame.Refuse {
		g.mu.Unlock()
		return fleet.NotRun(fleet.ReasonCrashesTargets, 0)
	}
	g.nextID++
	req.ID = g.nextID
	g.budget.RecordRequest()
	s := g.service(f.svc)
	d := s.queue.Offer(req, now)
	var turn chan admit.Verdict
	if d.Verdict == admit.Queued {
		turn = make(chan admit.Verdict, 1)
		g.waiters[req.ID] = turn
	}
	g.mu.Unlock()
	switch d.Verdict {
	case admit.Refused:
		return fleet.NotRun(fleet.ReasonQueueFull, f.returnTime())
	case admit.Queued:
		if refusal := f.await(ctx, s, req, turn); refusal != nil {
			return refusal
		}
	}
	f.waited = g.now().Sub(now)
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wake(s.queue.Release(req, req.Cost, g.now()))
	}()
	return f.run(ctx, s)
}

// cost estimates the work of a request, in tokens of which reading one is the unit.
func (f *flight) cost() float64 {
	const writing = 10 // the work of writing a token, in read ones
	answer := f.call.MaxOutputTokens
	if f.call.OutputTokensHint > 0 {
		answer = min(max(answer, 1), f.call.OutputTokensHint)
	}
	return float64(max(1, f.call.PromptTokens+writing*answer))
}

func (f *flight) returnTime() time.Duration { return returnAfter + f.g.spread(returnSpread) }

func (f *flight) await(ctx context.Context, s *service, req admit.Request, turn chan admit.Verdict) *fleet.Refusal {
	select {
	case v := <-turn:
		if v == admit.Admitted {
			return nil
		}
		return fleet.NotRun(fleet.ReasonDeadlineCannotBeMet, f.returnTime())
	case <-ctx.Done():
	}
	g := f.g
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, req.ID)
	if !s.queue.Cancel(req) {
		select {
		case v := <-turn:
			if v == admit.Admitted {
				g.wake(s.queue.Release(req, 0, g.now()))
			}
		default:
		}
	}
	return fleet.NotRun(fleet.ReasonDeadlinePassed, 0)
}

// run tries targets until the answer is whole or the request has to end.
func (f *flight) run(ctx context.Context, s *service) *fleet.Refusal {
	for {
		fail, done := f.attempt(ctx, s)
		if done {
			return nil
		}
		f.g.mu.Lock()
		step := f.state.Failed(fail, f.g.budget.Allow, f.g.random.Float64(), f.g.now())
		f.g.mu.Unlock()
		telemetry.Attempt{
			Request: string(f.call.ID), Target: f.target, Failure: fail, Step: step, Attempts: f.attempts, Events: f.state.Sent(),
			Took: f.g.now().Sub(f.begun),
		}.Log(f.g.log.requests)
		if !step.Retry {
			if f.held != nil && !f.answered {
				f.out.WriteResponse(f.held.Status, f.held.Header, f.held.body)
				return nil
			}
			return step.Refusal
		}
		f.g.metrics.Count("retries", 1)
		if !node.Sleep(ctx, step.Wait) {
			continue // the next attempt ends with the context's reason
		}
	}
}

func (f *flight) ended(ctx context.Context) dispatch.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return dispatch.KindDeadline
	}
	return dispatch.KindCallerDisconnected
}

// attempt runs the request on one target and tells whether the answer is whole.
func (f *flight) attempt(ctx context.Context, s *service) (dispatch.Failure, bool) {
	g := f.g
	if ctx.Err() != nil {
		f.state.StartAttempt("") // nothing is sent any more
		return dispatch.Failure{Kind: f.ended(ctx)}, false
	}
	g.mu.Lock()
	t, ok := f.choose(s)
	if ok {
		s.board.RecordStart(t.ID, f.call.PromptTokens)
	}
	g.mu.Unlock()
	if !ok {
		f.state.StartAttempt("")
		return dispatch.Failure{Kind: dispatch.KindNoTarget}, false
	}
	f.attempts++
	f.target = t.ID
	f.state.StartAttempt(t.ID)
	x := &exchange{f: f, s: s, unread: f.call.PromptTokens}
	fail, done := x.run(ctx, t)
	g.mu.Lock()
	s.board.RecordEnd(t.ID, x.unread, x.result, g.now())
	if x.crashed {
		g.ledger.RecordCrash([]fleet.Fingerprint{f.print}, g.now())
	}
	if done {
		g.ledger.RecordCompletion(f.print, false, g.now())
	}
	g.mu.Unlock()
	return fail, done
}

// choose picks the target. mu is held.
func (f *flight) choose(s *service) (roster.Target, bool) {
	now := f.g.now()
	q := loadbalance.Query{Avoid: f.state.Avoid()}
	id, ok := s.board.Choose(q, now)
	if !ok {
		q.AllowFull = true // the slot was admitted by a view that has changed since
		if id, ok = s.board.Choose(q, now); !ok {
			return roster.Target{}, false
		}
	}
	return f.g.roster.Get(id)
}

// note writes the line of a request and counts it.
func (f *flight) note(refusal *fleet.Refusal) {
	m := f.g.metrics.Requests(f.workspace, f.class)
	m.Outcome(fleet.OutcomeOf(refusal))
	if refusal == nil {
		m.Latency("first_answer", f.first)
	}
	ev := f.g.log.requests.Info()
	if f.route != nil {
		ev.Str("route", f.route.Name)
	}
	if f.doc != nil {
		ev.Uint64("config_version", f.doc.Version)
	}
	telemetry.Ended(ev.Str("request", string(f.call.ID)).Str("workspace", string(f.workspace)).Str("target", string(f.target)).
		Int("attempts", f.attempts).Dur("waited", f.waited).Dur("first", f.first).Dur("took", f.g.now().Sub(f.begun)).
		Bool("begun", f.answered), refusal)
}
