package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthturn/app/node"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/admit"
	"amaranthturn/core/config"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/core/picker"
	"amaranthturn/core/retry"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// Constants of the request path.
const (
	// offerLife is how long a selection of targets is kept; leases run out
	// without a change of the table.
	offerLife = 200 * time.Millisecond
	// prefixBytes is how much of a body names its prefix.
	prefixBytes = 512
	// defaultCost is the work of a request that names no bound, in tokens.
	defaultCost = 64
	// firstEventTimeout bounds the silence before an answer's first token when the
	// deadline is far.
	firstEventTimeout = 30 * time.Second
)

// flight is one request under way.
type flight struct {
	e       *Entry
	gen     peer.GenerateRequest
	admit   admit.Request
	want    picker.VersionConstraint
	prefix  uint64
	state   *dispatch.Request
	metrics metricsOf
	begun   time.Time
	last    time.Time
	send    func(caller.Token) error
	relayed bool
	// target is the last one tried, attempts how many were.
	target   fleet.InstanceID
	attempts int
	alone    bool // the present attempt runs beside no other request
}

type metricsOf interface {
	Latency(name string, d time.Duration)
	Outcome(o fleet.Outcome)
}

// Generate implements caller.Service.
func (e *Entry) Generate(ctx context.Context, g caller.GenerateRequest, send func(caller.Token) error) *fleet.Refusal {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	f, refusal := e.newFlight(g, send)
	if refusal == nil {
		refusal = f.admitAndRun(ctx)
	}
	f.note(e, g, refusal)
	e.opt.Metrics.Requests(g.Workspace, g.Class).Outcome(fleet.OutcomeOf(refusal))
	return refusal
}

// note writes the line of a request; f is nil when it was refused before it was a flight.
func (f *flight) note(e *Entry, g caller.GenerateRequest, refusal *fleet.Refusal) {
	ev := e.log.requests.Info().Str("request", g.RequestID).Str("workspace", string(g.Workspace)).Str("model", string(g.Model))
	if f != nil {
		ev.Str("target", string(f.target)).Int("attempts", f.attempts).Dur("took", e.now().Sub(f.begun)).
			Int("events", f.state.Sent())
	}
	telemetry.Ended(ev, refusal)
}

func (e *Entry) newFlight(g caller.GenerateRequest, send func(caller.Token) error) (*flight, *fleet.Refusal) {
	doc, _ := e.document()
	if doc == nil {
		return nil, fleet.NotRun(fleet.ReasonNoConfiguration, time.Second)
	}
	fp := fingerprint(g)
	asked, ok := doc.VersionFor(g.Workspace, g.Model, fp)
	if !ok {
		return nil, fleet.NotRun(fleet.ReasonUnknownModel, 0)
	}
	limits := doc.LimitsFor(g.Workspace)
	if limits.HasMaxClass && g.Class < limits.MaxClass {
		return nil, fleet.NotRun(fleet.ReasonClassNotAllowed, 0)
	}
	wait := e.now().Add(limits.QueueWait)
	if g.Deadline.Before(wait) {
		wait = g.Deadline
	}
	cost := float64(g.MaxTokens)
	if cost <= 0 {
		cost = defaultCost
	}
	return &flight{
		e: e,
		gen: peer.GenerateRequest{
			RequestID: g.RequestID, Workspace: g.Workspace, Model: g.Model, Class: g.Class,
			Body: g.Body, Deadline: g.Deadline, Fingerprint: fp,
		},
		admit: admit.Request{Workspace: g.Workspace, Class: g.Class, Deadline: wait, Cost: cost},
		want: picker.VersionConstraint{
			Requested: asked, Default: doc.DefaultVersion(g.Model), Isolated: doc.IsolatedVersions(g.Model),
		},
		prefix:  xxhash.Sum64(g.Body[:min(len(g.Body), prefixBytes)]),
		state:   dispatch.NewRequest(dispatch.DefaultSettings, g.Deadline),
		metrics: e.opt.Metrics.Requests(g.Workspace, g.Class),
		begun:   e.now(),
		send:    send,
	}, nil
}

// fingerprint names a request by what it asks, so that it is known again when its
// caller sends it again.
func fingerprint(g caller.GenerateRequest) fleet.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(g.Workspace))
	_, _ = d.WriteString("\x00" + string(g.Model) + "\x00")
	_, _ = d.Write(g.Body)
	return fleet.Fingerprint(d.Sum64())
}

// admitAndRun waits for a slot and runs the request in it.
func (f *flight) admitAndRun(ctx context.Context) *fleet.Refusal {
	if f.restriction() == crashblame.Refuse {
		return fleet.NotRun(fleet.ReasonCrashesTargets, 0)
	}
	if refusal := f.enter(ctx); refusal != nil {
		return refusal
	}
	defer f.leave()
	f.metrics.Latency("queue_time", f.e.now().Sub(f.begun))
	return f.run(ctx)
}

func (f *flight) restriction() crashblame.Restriction {
	f.e.reqMu.Lock()
	defer f.e.reqMu.Unlock()
	return f.e.ledger.Restriction(f.gen.Fingerprint, f.e.now())
}

// enter takes a slot, waiting for one in the queue.
func (f *flight) enter(ctx context.Context) *fleet.Refusal {
	e := f.e
	e.reqMu.Lock()
	e.nextID++
	f.admit.ID = e.nextID
	e.budget.RecordRequest()
	e.workspaceBudget(f.gen.Workspace).RecordRequest()
	d := e.queue.Offer(f.admit, e.now())
	var turn chan admit.Verdict
	if d.Verdict == admit.Queued {
		turn = make(chan admit.Verdict, 1)
		e.waiters[f.admit.ID] = turn
	}
	e.reqMu.Unlock()
	switch d.Verdict {
	case admit.Admitted:
		return nil
	case admit.Refused:
		return fleet.NotRun(refusalReason(d.Cause), max(d.RetryAfter, retry.MaxDelay/2))
	}
	return f.await(ctx, turn)
}

func refusalReason(c admit.Cause) fleet.Reason {
	if c == admit.CauseQueueFull {
		return fleet.ReasonQueueFull
	}
	return fleet.ReasonDeadlineCannotBeMet
}

func (f *flight) await(ctx context.Context, turn chan admit.Verdict) *fleet.Refusal {
	select {
	case v := <-turn:
		if v == admit.Admitted {
			return nil
		}
		return fleet.NotRun(fleet.ReasonDeadlineCannotBeMet, retry.MaxDelay)
	case <-ctx.Done():
	}
	e := f.e
	e.reqMu.Lock()
	waiting := e.queue.Cancel(f.admit)
	delete(e.waiters, f.admit.ID)
	e.reqMu.Unlock()
	if !waiting && <-turn == admit.Admitted {
		f.leave()
	}
	return fleet.NotRun(fleet.ReasonDeadlinePassed, 0)
}

// leave gives the slot back and wakes those that it admits.
func (f *flight) leave() {
	e := f.e
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	admitted, expired := e.queue.Release(f.admit, float64(f.state.Sent()), e.now())
	e.wake(admitted, expired)
}

// wake tells waiting requests their turn. reqMu is held.
func (e *Entry) wake(admitted, expired []admit.Request) {
	e.wakeAll(admitted, admit.Admitted)
	e.wakeAll(expired, admit.Refused)
}

func (e *Entry) wakeAll(list []admit.Request, v admit.Verdict) {
	for _, r := range list {
		if turn, ok := e.waiters[r.ID]; ok {
			turn <- v
			delete(e.waiters, r.ID)
		}
	}
}

// workspaceBudget returns the retry budget of a workspace. reqMu is held.
func (e *Entry) workspaceBudget(w fleet.Workspace) *retry.Budget {
	b, ok := e.budgets[w]
	if !ok {
		if len(e.budgets) >= maxBudgets {
			return e.budget
		}
		b = retry.NewBudget(config.DefaultRetryShare, retryBurst/2)
		if doc, _ := e.document(); doc != nil {
			b.SetShare(doc.Defaults.Limits.RetryShare)
		}
		e.budgets[w] = b
	}
	return b
}

// maxBudgets bounds the workspaces with a retry budget of their own; callers
// choose the name.
const maxBudgets = 1024

func (f *flight) allowRetry() bool {
	f.e.reqMu.Lock()
	defer f.e.reqMu.Unlock()
	return f.e.workspaceBudget(f.gen.Workspace).Allow() && f.e.budget.Allow()
}

// run tries targets until the answer is whole or the request has to end.
func (f *flight) run(ctx context.Context) *fleet.Refusal {
	for {
		failure, done := f.attempt(ctx)
		if done {
			return nil
		}
		step := f.state.Failed(failure, f.allowRetry, f.e.jitter(), f.e.now())
		telemetry.Attempt{
			Request: f.gen.RequestID, Target: f.target, Failure: failure, Step: step, Attempts: f.attempts, Events: f.state.Sent(),
			Took: f.e.now().Sub(f.begun),
		}.Log(f.e.log.requests)
		if !step.Retry {
			return step.Refusal
		}
		f.e.opt.Metrics.Count("retries", 1)
		if !node.Sleep(ctx, step.Wait) {
			return f.state.Failed(dispatch.Failure{Kind: f.ended(ctx)}, f.allowRetry, 0, f.e.now()).Refusal
		}
		if f.restriction() == crashblame.Refuse {
			return f.state.Failed(dispatch.Failure{
				Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonCrashesTargets, 0),
			}, f.allowRetry, 0, f.e.now()).Refusal
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
func (f *flight) attempt(ctx context.Context) (dispatch.Failure, bool) {
	o, alone, ok := f.choose()
	if !ok {
		if f.relayed || f.state.Sent() > 0 {
			return dispatch.Failure{Kind: dispatch.KindNoTarget}, false
		}
		f.alone = false
		return f.relay(ctx)
	}
	defer f.finished(o)
	f.state.StartAttempt(o.ID)
	f.target = o.ID
	f.alone = alone
	f.attempts++
	req := f.gen
	req.Version, req.ResumeFrom, req.Incarnation, req.Alone = f.state.Pinned(), f.state.Sent(), o.Incarnation, alone
	if req.Version == "" {
		req.Version = o.Serving
	}
	return f.call(ctx, o.ID, func(ctx context.Context, each func(peer.Event) error) error {
		return f.e.opt.Pool.Generate(ctx, o.Address, req, each)
	})
}

var (
	errAnswerEnded = errors.New("answer is whole")
	errRefused     = errors.New("target refused")
	errCallerGone  = errors.New("caller is gone")
	errMixed       = errors.New("token cannot be given on")
)

// call passes the events of one attempt on and translates its end.
func (f *flight) call(parent context.Context, on fleet.InstanceID, run func(context.Context, func(peer.Event) error) error) (dispatch.Failure, bool) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := time.AfterFunc(firstEventTimeout, cancel)
	defer silence.Stop()
	var refusal *fleet.Refusal
	err := run(ctx, func(ev peer.Event) error {
		silence.Reset(firstEventTimeout)
		if ev.Refusal != nil {
			refusal = ev.Refusal
			return errRefused
		}
		return f.token(ev)
	})
	switch {
	case errors.Is(err, errAnswerEnded):
		f.whole()
		return dispatch.Failure{}, true
	case errors.Is(err, errRefused):
		return refusalFailure(refusal), false
	case errors.Is(err, errCallerGone):
		return dispatch.Failure{Kind: dispatch.KindCallerDisconnected}, false
	case errors.Is(err, errMixed):
		f.e.opt.Metrics.Count("mixed_tokens_stopped", 1)
		return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
	}
	return f.lost(parent, ctx, on, err), false
}

func refusalFailure(r *fleet.Refusal) dispatch.Failure {
	if r.Reason == fleet.ReasonEngineCrashed {
		return dispatch.Failure{Kind: dispatch.KindEngineCrashed}
	}
	return dispatch.Failure{Kind: dispatch.KindRefused, Refusal: r}
}

// token gives one token on to the caller.
func (f *flight) token(ev peer.Event) error {
	if err := f.state.Token(dispatch.TokenEvent{Version: ev.Version, Index: ev.Index, CanResume: ev.CanResume}); err != nil {
		return errMixed
	}
	f.measure()
	t := caller.Token{Version: ev.Version, Index: ev.Index, Text: ev.Token, Done: ev.Done, FinishReason: ev.Finish}
	if err := f.send(t); err != nil {
		return errCallerGone
	}
	if ev.Done {
		return errAnswerEnded
	}
	return nil
}

func (f *flight) measure() {
	now := f.e.now()
	if f.state.Sent() > 1 {
		f.metrics.Latency("token_gap", now.Sub(f.last))
		f.last = now
		return
	}
	delay := now.Sub(f.begun)
	f.last = now
	f.metrics.Latency("first_token", delay)
	f.e.reqMu.Lock()
	f.e.queue.Observe(delay, now)
	f.e.reqMu.Unlock()
}

// whole clears the request of suspicion: wholly when nothing else ran beside it.
func (f *flight) whole() {
	f.e.reqMu.Lock()
	defer f.e.reqMu.Unlock()
	f.e.ledger.RecordCompletion(f.gen.Fingerprint, f.alone, f.e.now())
}

// lost translates a broken call. A target that broke off by itself is blamed on
// what this entry ran there.
func (f *flight) lost(parent, ctx context.Context, on fleet.InstanceID, err error) dispatch.Failure {
	var l *peer.LostError
	switch {
	case parent.Err() != nil:
		return dispatch.Failure{Kind: f.ended(parent)}
	case errors.As(err, &l) && l.NotSent:
		return dispatch.Failure{Kind: dispatch.KindNotSent}
	}
	if ctx.Err() == nil {
		f.e.blame(on)
	}
	return dispatch.Failure{Kind: dispatch.KindLost}
}

// provisionalBlame is the blame of a connection that broke, until it is known whether the
// target died.
type provisionalBlame struct {
	run  fleet.Incarnation
	list []fleet.Fingerprint
	at   time.Time
}

// echoTime is how long heartbeats from before a death may still come in.
const echoTime = time.Second

// blame records the crash of a target once for all requests that ran there.
func (e *Entry) blame(on fleet.InstanceID) {
	e.memMu.Lock()
	var run fleet.Incarnation
	if a, ok := e.table.Get(on); ok {
		run = a.Incarnation
	}
	e.memMu.Unlock()
	e.reqMu.Lock()
	defer e.reqMu.Unlock()
	var list []fleet.Fingerprint
	for _, fp := range e.running[on] {
		list = append(list, fp)
	}
	delete(e.running, on)
	if len(list) > 0 {
		e.ledger.RecordCrash(list, e.now())
		e.provisional[on] = provisionalBlame{run: run, list: list, at: e.now()}
	}
}

// withdrawBlame takes blame back when the blamed run of a target answers again. reqMu is
// held.
func (e *Entry) withdrawBlame(r membership.Report, now time.Time) {
	a, ok := e.provisional[r.Instance]
	switch {
	case !ok:
	case r.Incarnation != a.run:
		delete(e.provisional, r.Instance)
	case now.Sub(a.at) > echoTime:
		e.ledger.RetractCrash(a.list, now)
		delete(e.provisional, r.Instance)
	}
}
