package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthturn/core/clock"
	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/shutdown"
)

// answerMargin is left at the end of a stop to write the answers of the requests that it ends.
const answerMargin = 200 * time.Millisecond

// ErrStopping is the cause of a context that ends since the process stops.
var ErrStopping = errors.New("process stops")

// RequestStop ends the requests of an entry that stops in time to answer them, and counts how they
// end.
type RequestStop struct {
	clock clock.Clock
	begun context.Context // ends when the stop begins
	ended context.Context // ends when the remaining requests have to end
	begin context.CancelFunc
	end   context.CancelFunc

	mu         sync.Mutex // guards all fields below
	plan       *shutdown.Plan
	inProgress int
	outcomes   map[fleet.Outcome]int // of the requests that ended since the stop began
	unfinished int                   // requests in progress when the remaining ones had to end
}

// NewRequestStop returns the stop of a process that does not stop yet.
func NewRequestStop(c clock.Clock) *RequestStop {
	s := &RequestStop{clock: c, plan: shutdown.NewPlan(), outcomes: map[fleet.Outcome]int{}}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop of a process that exits after grace. The reserve is left for its exit.
func (s *RequestStop) Begin(grace, reserve time.Duration) {
	s.mu.Lock()
	s.plan.Begin(s.clock.Now(), grace, reserve+answerMargin)
	s.mu.Unlock()
	s.begin()
}

// UntilAnswer returns a context that ends when the requests in progress have to be answered. It must
// be called after Begin.
func (s *RequestStop) UntilAnswer(parent context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithTimeout(parent, s.plan.AnswerBy().Sub(s.clock.Now()))
}

// Drain drains srv until the requests in progress have to be answered, ends those that remain and
// waits for their answers until ctx ends. It must be called after Begin.
func (s *RequestStop) Drain(ctx context.Context, srv *Server) error {
	answer, cancel := s.UntilAnswer(ctx)
	defer cancel()
	if srv.Drain(answer) == nil {
		return nil
	}
	s.End()
	return srv.Drain(ctx)
}

// End ends the requests in progress, and each later one when it arrives.
func (s *RequestStop) End() {
	s.mu.Lock()
	if s.ended.Err() == nil {
		s.unfinished = s.inProgress
	}
	s.mu.Unlock()
	s.end()
}

// Ended returns a context that ends when the remaining requests have to end.
func (s *RequestStop) Ended() context.Context { return s.ended }

// CanStart reports whether a request may be sent to a target.
func (s *RequestStop) CanStart(g shutdown.Group, deadline time.Time) bool {
	if s.begun.Err() == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.CanStart(g, deadline, s.clock.Now())
}

// latestStart returns how long a request may still be sent to a target. The stop must have begun.
func (s *RequestStop) latestStart(g shutdown.Group, deadline time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return s.plan.LatestStart(g, deadline, now).Sub(now)
}

// RequestContext returns the context of a request, which ends with ErrStopping as its cause when the
// request has to end. It has ended if the caller has left already.
func (s *RequestStop) RequestContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	if HasCallerLeft(parent) {
		cancel(context.Canceled)
	}
	stop := context.AfterFunc(s.ended, func() { cancel(ErrStopping) })
	s.count(1)
	return ctx, func() {
		stop()
		cancel(nil)
		s.count(-1)
	}
}

func (s *RequestStop) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress += n
}

// StartContext returns a context for a wait before a request is sent to a target. It ends with
// ErrStopping as its cause when the request may not be sent any more. The deadline of the request may
// be raised meanwhile.
func (s *RequestStop) StartContext(parent context.Context, g shutdown.Group, deadline func() time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &startWait{stop: s, group: g, deadline: deadline, ctx: ctx, cancel: cancel}
	stop := context.AfterFunc(s.begun, w.run)
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// startWait ends a context when a request may not be sent to a target any more.
type startWait struct {
	stop     *RequestStop
	group    shutdown.Group
	deadline func() time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func (w *startWait) run() {
	for {
		deadline := w.deadline()
		if !Sleep(w.ctx, w.stop.latestStart(w.group, deadline)) {
			return
		}
		if w.deadline().Equal(deadline) {
			w.cancel(ErrStopping)
			return
		}
	}
}

// FailureKind classifies the end of a request's context. One whose deadline may be raised ends with
// context.DeadlineExceeded as its cause.
func FailureKind(ctx context.Context) dispatch.Kind {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrStopping):
		return dispatch.KindStopping
	case errors.Is(cause, context.DeadlineExceeded):
		return dispatch.KindDeadline
	}
	return dispatch.KindCallerDisconnected
}

// Record records a request that was completed in the time since its admission.
func (s *RequestStop) Record(g shutdown.Group, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Record(g, took, s.clock.Now())
}

// RecordOutcome counts a request that ends during a stop.
func (s *RequestStop) RecordOutcome(r *fleet.Refusal) {
	if s.begun.Err() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[fleet.OutcomeOf(r)]++
}

// Log adds the outcomes of the requests that ended during the stop to a log line.
func (s *RequestStop) Log(ev *zerolog.Event) *zerolog.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range []fleet.Outcome{fleet.OutcomeDone, fleet.OutcomeNotRun, fleet.OutcomeUnknown} {
		ev.Int(o.String(), s.outcomes[o])
	}
	return ev.Int("ended_by_stop", s.unfinished).Int("unanswered", s.inProgress)
}
