package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
	"amaranthturn/io/target"
	"amaranthturn/platform"
)

// exchange is one attempt on one target.
type exchange struct {
	f       *flight
	s       *service
	result  loadbalance.Result
	unread  int
	crashed bool
	begun   bool        // guarded by the gateway's mu
	gaveUp  atomic.Bool // this entry ended the attempt for the target's silence
}

func (x *exchange) run(parent context.Context, t roster.Target) (dispatch.Failure, bool) {
	f := x.f
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	streaming := f.route.Kind == routeconfig.KindStreaming
	var silence *time.Timer
	if streaming && f.route.Repeatable() {
		silence = time.AfterFunc(firstEvent, func() {
			x.gaveUp.Store(true)
			cancel()
		})
		defer silence.Stop()
	}
	if d, ok := f.g.oldSoon(t); ok && streaming {
		// A request that still waits in the engine's queue then would begin on weights that
		// are too old.
		old := time.AfterFunc(d, x.cancelUnbegun(cancel))
		defer old.Stop()
	}
	sent, err := f.g.targets.Send(ctx, forward.Attempt{
		Call: f.call, Target: t.ID, Address: t.Address, Workspace: f.workspace, Remaining: f.deadline.Sub(f.g.now()),
		LastEventID: f.stream.LastEventID(), Version: f.stream.Version(), NewConnection: f.route.Kind == routeconfig.KindNonIdempotent,
	})
	if err != nil {
		return x.lost(parent, err), false
	}
	switch forward.Classify(sent.Reply) {
	case forward.VerdictNoCapacity, forward.VerdictWrongTarget:
		defer sent.Close()
		_, _ = io.Copy(io.Discard, io.LimitReader(sent.Body, maxSmall)) // keeps the connection
		x.result = loadbalance.ResultFull
		return dispatch.Failure{Kind: dispatch.KindRefused, Refusal: fleet.NotRun(fleet.ReasonTargetBusy, f.returnTime())}, false
	case forward.VerdictFailed:
		x.result = loadbalance.ResultFailed
		return x.failed(parent, sent), false
	}
	if streaming && sent.Status/100 == 2 {
		defer sent.Close()
		f.stream.SetVersion(sent.Version)
		return x.events(parent, sent, silence)
	}
	return x.whole(parent, sent)
}

// cancelUnbegun returns a function that ends the attempt unless its answer has begun.
func (x *exchange) cancelUnbegun(cancel context.CancelFunc) func() {
	return func() {
		x.f.g.mu.Lock()
		begun := x.begun
		x.f.g.mu.Unlock()
		if !begun {
			x.gaveUp.Store(true)
			cancel()
		}
	}
}

// maxSmall bounds the body of a rejection.
const maxSmall = 64 << 10

// failed keeps a target's own failure, to pass it back when the request may not be or is
// not repeated.
func (x *exchange) failed(parent context.Context, sent *platform.Response) dispatch.Failure {
	defer sent.Close()
	f := x.f
	body, err := io.ReadAll(io.LimitReader(sent.Body, maxAnswer))
	if err == nil && sent.Signed && sent.Status/100 == 5 && sent.Status != 503 && f.held == nil {
		f.held = &failure{sent.Reply, body}
	}
	if parent.Err() != nil {
		return dispatch.Failure{Kind: f.ended(parent)}
	}
	return dispatch.Failure{Kind: dispatch.KindLost}
}

// whole passes an answer back that is read to its end before.
func (x *exchange) whole(parent context.Context, sent *platform.Response) (dispatch.Failure, bool) {
	defer sent.Close()
	body, err := io.ReadAll(io.LimitReader(sent.Body, maxAnswer))
	if err != nil {
		return x.lost(parent, err), false
	}
	x.began()
	x.f.answered = true
	x.f.out.WriteResponse(sent.Status, sent.Header, body)
	return dispatch.Failure{}, true
}

// events passes a stream's events back as they come.
func (x *exchange) events(parent context.Context, sent *platform.Response, silence *time.Timer) (dispatch.Failure, bool) {
	f := x.f
	rd := target.NewEventReader(sent.Body)
	for {
		ev, err := rd.Next()
		if errors.Is(err, io.EOF) {
			if !f.answered {
				return x.lost(parent, err), false
			}
			return dispatch.Failure{}, true
		}
		if err != nil {
			return x.lost(parent, err), false
		}
		if silence != nil {
			silence.Reset(nextEvent)
		}
		if !f.stream.Accept(ev.ID) {
			f.g.metrics.Count("events_out_of_order", 1)
			x.result = loadbalance.ResultFailed
			return dispatch.Failure{Kind: dispatch.KindInvalidResponse}, false
		}
		if !f.answered {
			f.answered = true
			f.out.WriteHead(sent.Status, sent.Header)
		}
		x.began()
		// The index only counts: the ids were checked above.
		_ = f.state.Token(dispatch.TokenEvent{Version: pinned, Index: f.state.Sent(), CanResume: f.route.Resumable})
		if err := f.out.WritePart(ev.Raw); err != nil {
			x.result = loadbalance.ResultUnknown
			return dispatch.Failure{Kind: dispatch.KindCallerDisconnected}, false
		}
	}
}

// pinned stands for the version in the request's state; the number is kept by the stream
// and checked by the target.
const pinned fleet.Version = "pinned"

// began notes the first sign of an answer.
func (x *exchange) began() {
	f := x.f
	if f.first == 0 {
		f.first = f.g.now().Sub(f.begun)
	}
	if x.begun {
		return
	}
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	x.begun = true
	x.s.board.RecordFirstEvent(f.target, x.unread)
	x.unread = 0
}

// lost translates the end of an attempt without a whole answer.
func (x *exchange) lost(parent context.Context, err error) dispatch.Failure {
	var notSent *target.NotSentError
	switch {
	case parent.Err() != nil:
		x.result = loadbalance.ResultUnknown
		return dispatch.Failure{Kind: x.f.ended(parent)}
	case errors.As(err, &notSent):
		x.result = loadbalance.ResultFailed
		return dispatch.Failure{Kind: dispatch.KindNotSent}
	}
	x.result = loadbalance.ResultFailed
	x.crashed = !x.gaveUp.Load()
	return dispatch.Failure{Kind: dispatch.KindLost}
}
