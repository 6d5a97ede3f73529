package entry

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/crashblame"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/membership"
	"amaranthturn/core/retry"
	"amaranthturn/core/ticket"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

// when calls f before it replies.
func when(f func(a *scriptedAgent, r peer.GenerateRequest), next reply) reply {
	return func(ctx context.Context, a *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
		f(a, r)
		return next(ctx, a, r, send)
	}
}

// notResumable replies with tokens after which the response can't be resumed.
func notResumable(next reply) reply {
	return func(ctx context.Context, a *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
		return next(ctx, a, r, func(ev peer.GenerateEvent) error {
			ev.CanResume = false
			return send(ev)
		})
	}
}

func fillOthers(a *scriptedAgent, _ peer.GenerateRequest) {
	f := a.fleet
	f.e.reqMu.Lock()
	defer f.e.reqMu.Unlock()
	for _, other := range f.agents {
		if other != a {
			f.e.picker.RecordLoad(other.id, other.capacity, f.e.now().Add(time.Minute))
		}
	}
}

func useUpRetries(a *scriptedAgent, _ peer.GenerateRequest) {
	a.fleet.e.reqMu.Lock()
	defer a.fleet.e.reqMu.Unlock()
	a.fleet.e.budget = retry.NewBudget(0, 0)
}

func suspect(a *scriptedAgent, r peer.GenerateRequest) {
	a.fleet.e.reqMu.Lock()
	defer a.fleet.e.reqMu.Unlock()
	a.fleet.e.ledger.RecordCrash(crashblame.CrashOf(a.id, 1), []fleet.Fingerprint{r.Fingerprint}, a.fleet.e.now())
}

func beginStop(a *scriptedAgent, _ peer.GenerateRequest) {
	a.fleet.e.stop.Begin(silenceDeadline, time.Second)
}

// A silent target is not replaced where another attempt is not allowed, and keeps the response.
func TestReplacementNeedsAllThatARetryNeeds(t *testing.T) {
	beforeFirst, between := pauses(longPause, 0), pauses(shortPause, 3)
	for _, c := range []struct {
		name     string
		deadline time.Duration
		first    reply
		allowed  bool
	}{
		{"allowed_before_first", silenceDeadline, beforeFirst, true},
		{"allowed_between", silenceDeadline, between, true},
		{"no_free_target_before_first", silenceDeadline, when(fillOthers, beforeFirst), false},
		{"no_free_target_between", silenceDeadline, when(fillOthers, between), false},
		{"no_retry_before_first", silenceDeadline, when(useUpRetries, beforeFirst), false},
		{"no_retry_between", silenceDeadline, when(useUpRetries, between), false},
		{"suspect_before_first", silenceDeadline, when(suspect, beforeFirst), false},
		{"suspect_between", silenceDeadline, when(suspect, between), false},
		{"stop_before_first", silenceDeadline, when(beginStop, beforeFirst), false},
		{"stop_between", silenceDeadline, when(beginStop, between), true},
		{"not_resumable_before_first", silenceDeadline, notResumable(beforeFirst), true},
		{"not_resumable_between", silenceDeadline, notResumable(between), false},
		{"no_time_between", retry.MaxDelay + silenceTimeout/2, pauses(3*silenceTimeout, 3), false},
		{"short_pause_before_first", silenceDeadline, pauses(3*silenceTimeout, 0), false},
		{"short_pause_between", silenceDeadline, pauses(silenceTimeout/3, 0, 1, 2, 3, 4, 5), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newScriptedFleet(t, 2, c.first, neverAnswers)
			r := f.generate(t.Context(), c.deadline)
			r.assertComplete(t)
			assert.Equal(t, len(f.sent()) > 1, c.allowed, "%d requests", len(f.sent()))
			f.close()
		})
	}
}

// A request runs on at most one engine at a time as a suspect, and as often as it may do work.
func TestReplacementsAreLimited(t *testing.T) {
	t.Run("exclusive", func(t *testing.T) {
		f := newScriptedFleet(t, 3, neverAnswers)
		f.e.ledger.RecordCrash(crashblame.CrashOf("other", 1), []fleet.Fingerprint{fingerprint(caller.GenerateRequest{Workspace: "w", Model: stopModel, Body: []byte(generateBody)})}, f.e.now())
		r := f.generate(t.Context(), 2*time.Second)
		assert.Equal(t, r.refusal.Outcome, fleet.OutcomeUnknown)
		assert.Equal(t, len(f.sent()), 1)
		assert.Assert(t, f.sent()[0].req.Exclusive)
		f.close()
	})
	t.Run("attempts", func(t *testing.T) {
		f := newScriptedFleet(t, 5, pauses(time.Minute, 1), neverAnswers)
		r := f.generate(t.Context(), 3*time.Second)
		assert.Equal(t, r.refusal.Outcome, fleet.OutcomeUnknown)
		assert.Equal(t, r.refusal.Reason, fleet.ReasonDeadlinePassed)
		sent := f.sent()
		assert.Equal(t, len(sent), 3)
		for i, s := range sent {
			assert.Equal(t, s.req.ResumeFrom, min(i, 1))
			for _, other := range sent[:i] {
				assert.Assert(t, s.agent != other.agent)
			}
		}
		f.close()
	})
}

// A target that pauses again and again has a limited number of replacements, and goes on.
func TestSupersededAttemptsCount(t *testing.T) {
	f := newScriptedFleet(t, 5, pauses(shortPause, 1, 2, 3, 4, 5), neverAnswers)
	r := f.generate(t.Context(), 2*silenceDeadline)
	r.assertComplete(t)
	assert.Equal(t, len(f.sent()), 3)
	f.close()
}

// A token of an attempt that was superseded is dropped, even if it is the next one.
func TestTokenOfSupersededAttemptIsDropped(t *testing.T) {
	f := newScriptedFleet(t, 2, neverAnswers)
	var tokens []int
	h, refusal := f.e.newRequestHandler(caller.GenerateRequest{Model: stopModel, Deadline: time.Now().Add(silenceDeadline)}, func(t caller.Token) error {
		tokens = append(tokens, t.Index)
		return nil
	})
	assert.Assert(t, refusal == nil)
	g := &attemptGroup{h: h, ctx: t.Context(), events: make(chan attemptEvent), check: time.NewTimer(time.Hour)}
	_, ok := g.startFirst()
	assert.Assert(t, ok && g.replace(time.Now()))
	token := func(i int) peer.GenerateEvent {
		return peer.GenerateEvent{Version: stopVersion, Index: i, CanResume: true}
	}
	first, second := g.list[0], g.list[1]
	assert.NilError(t, g.handle(attemptEvent{attempt: second, event: token(0)}))
	assert.NilError(t, g.handle(attemptEvent{attempt: first, event: token(1)}))
	assert.NilError(t, g.handle(attemptEvent{attempt: first, event: peer.GenerateEvent{Refusal: fleet.Unknown(fleet.ReasonEngineFailed)}}))
	assert.NilError(t, g.handle(attemptEvent{attempt: second, event: token(1)}))
	assert.DeepEqual(t, tokens, []int{0, 1})
	g.endAll()
	f.close()
}

// A replacement that is refused without work has used no retry.
func TestReplacementRefusedWithoutWorkCostsNoRetry(t *testing.T) {
	f := newScriptedFleet(t, 3, pauses(time.Minute, 1), refuses(fleet.NotRun(fleet.ReasonTargetBusy, 0)), refuses(fleet.NotRun(fleet.ReasonTargetBusy, 0)), answers())
	f.e.budget = retry.NewBudget(0, 1)
	r := f.generate(t.Context(), silenceDeadline)
	r.assertComplete(t)
	assert.Equal(t, len(f.sent()), 4)
	assert.Assert(t, !f.e.budget.Allow())
	f.close()
}

// A target fails while its replacement has not yet been refused without work. The retry that the replacement
// took is that of the next attempt. It was kept for one more.
func TestRefusedReplacementsRetryIsUsedOnce(t *testing.T) {
	failsAfter := func(d time.Duration) reply {
		return func(ctx context.Context, _ *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
			if err := send(peer.GenerateEvent{Version: r.Version, Index: r.ResumeFrom, Token: tokenText(r.Version, r.ResumeFrom), CanResume: true}); err != nil {
				return err
			}
			daemon.Sleep(ctx, d)
			return send(peer.GenerateEvent{Refusal: fleet.Unknown(fleet.ReasonEngineFailed)})
		}
	}
	refusesLate := func(ctx context.Context, a *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
		daemon.Sleep(ctx, 4*silenceTimeout)
		return refuses(fleet.NotRun(fleet.ReasonTargetBusy, 0))(ctx, a, r, send)
	}
	f := newScriptedFleet(t, 4, failsAfter(2*silenceTimeout), refusesLate, failsAfter(0), answers())
	f.e.budget = retry.NewBudget(0, 1)
	r := f.generate(t.Context(), 2*time.Second)
	r.assertInOrder(t)
	assert.Equal(t, len(r.tokens), 2)
	assert.Equal(t, len(f.sent()), 3)
	f.close()
}

// Two targets of different versions run a request that has no token yet: the first token decides.
func TestFirstTokenPinsTheVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		second reply
		runs   int // the one whose version the response has
	}{{"replacement", answers(), 1}, {"silent_target", pauses(longPause, 0), 0}} {
		t.Run(c.name, func(t *testing.T) {
			f := newScriptedFleet(t, 2, pauses(longPause, 0), c.second)
			f.agents[1].version = "sha256:2"
			f.heartbeat(f.agents[1])
			r := f.generate(t.Context(), silenceDeadline)
			r.assertComplete(t)
			sent := f.sent()
			assert.Equal(t, len(sent), 2)
			assert.Assert(t, sent[0].req.Version != sent[1].req.Version)
			assert.Equal(t, r.tokens[0].Version, sent[c.runs].req.Version)
			f.close()
		})
	}
}

// All attempts end with their request, and nothing is sent after it has ended.
func TestAttemptsEndWithTheirRequest(t *testing.T) {
	verifyNoGoroutines(t)
	for _, c := range []struct {
		name     string
		deadline time.Duration
		end      func(f *scriptedFleet, leave context.CancelFunc)
		reason   fleet.Reason
	}{
		{"caller_leaves", silenceDeadline, func(_ *scriptedFleet, leave context.CancelFunc) { leave() }, fleet.ReasonCallerDisconnected},
		{"stop", silenceDeadline, func(f *scriptedFleet, _ context.CancelFunc) { f.e.stop.End() }, fleet.ReasonLeaving},
		{"deadline", 2 * time.Second, func(*scriptedFleet, context.CancelFunc) {}, fleet.ReasonDeadlinePassed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			var endedAt time.Time
			f := newScriptedFleet(t, 2, pauses(time.Minute, 1), when(func(a *scriptedAgent, _ peer.GenerateRequest) {
				endedAt = time.Now()
				c.end(a.fleet, leave)
			}, neverAnswers))
			r := f.generate(ctx, c.deadline)
			assert.Assert(t, r.refusal != nil)
			assert.Equal(t, r.refusal.Outcome, fleet.OutcomeUnknown)
			assert.Equal(t, r.refusal.Reason, c.reason)
			if c.deadline == silenceDeadline {
				assert.Assert(t, time.Since(endedAt) < time.Second, "%v", time.Since(endedAt))
			}
			r.assertInOrder(t)
			assert.Equal(t, len(f.sent()), 2)
			f.close()
		})
	}
}

// A check that comes late after a pause of this process reads what has arrived before it replaces a
// target.
func TestPauseOfTheEntryIsNoSilence(t *testing.T) {
	f := newScriptedFleet(t, 2, neverAnswers)
	h, refusal := f.e.newRequestHandler(caller.GenerateRequest{Model: stopModel, Deadline: time.Now().Add(silenceDeadline)}, nil)
	assert.Assert(t, refusal == nil)
	g := &attemptGroup{h: h, ctx: t.Context(), events: make(chan attemptEvent), check: time.NewTimer(time.Hour)}
	_, ok := g.startFirst()
	assert.Assert(t, ok)
	g.list[0].silentSince = time.Now().Add(-time.Hour)
	g.checkAt = time.Now().Add(-time.Second)
	g.checkSilence()
	assert.Equal(t, len(g.list), 1)
	g.checkSilence()
	assert.Equal(t, len(g.list), 2)
	g.endAll()
	f.close()
}

// The entry that a request was relayed to replaces a silent target.
func TestRelayedRequestOutlastsSilentTarget(t *testing.T) {
	for _, second := range []reply{answers(), refuses(fleet.NotRun(fleet.ReasonTargetBusy, 0)), neverAnswers} {
		f := newScriptedFleet(t, 2, pauses(shortPause, 2, 4), second)
		l := listen(t)
		rpc := grpc.NewServer(peer.ServerOptions(nil)...)
		peer.RegisterEntry(rpc, f.e)
		srv := &daemon.Server{Listener: l, GRPC: rpc}
		srv.Start()
		m := telemetry.NewMetrics("entry")
		doc := &config.Document{Defaults: config.Defaults{Models: []config.ModelConfig{{Name: stopModel, Version: stopVersion, Pool: "p"}}}}
		cfg := &settings.Entry{Common: settings.Common{Instance: "e0", Region: "r", Zone: "z"}, Concurrency: 8}
		e := New(Options{
			Settings: cfg, Clock: clock.System{}, Logs: f.e.opt.Logs, Metrics: m,
			Pool: peer.NewPool(peer.DialOptions{}), Seed: 1, SilenceTimeout: silenceTimeout,
		})
		doc.Defaults.Limits.QueuePerWorkspace, doc.Defaults.Limits.QueueMillis = 10, 10_000
		e.inForce.Store(&configInForce{doc: doc})
		e.table.SetList(relayList(l.Addr().String()), e.now())
		relaying := &scriptedFleet{t: t, e: e, metrics: m}
		r := relaying.generate(t.Context(), silenceDeadline)
		r.assertComplete(t)
		assert.Assert(t, len(f.sent()) > 1)
		relaying.close()
		f.close()
		rpc.Stop()
	}
}

// relayList has more entries than agents attach to, of which that at addr has the targets.
func relayList(addr string) []fleet.Instance {
	list := []fleet.Instance{{ID: "e1", Role: fleet.RoleEntry, Region: "r", Zone: "z", Pool: "p", Address: addr}}
	for i := range membership.AttachAllMaxEntries + 1 {
		list = append(list, fleet.Instance{ID: fleet.InstanceID("x" + string(rune('a'+i))), Role: fleet.RoleEntry, Region: "r", Zone: "y", Address: "127.0.0.1:1"})
	}
	return list
}

// RunOrder implements peer.AgentHandler.
func (a *scriptedAgent) RunOrder(ctx context.Context, _ string, _ peer.Call) (fleet.Outcome, peer.Reply) {
	a.fleet.next(a, peer.GenerateRequest{})
	daemon.Sleep(ctx, longPause)
	return fleet.OutcomeDone, peer.Reply{Status: 200}
}

// StopOrder implements peer.AgentHandler.
func (a *scriptedAgent) StopOrder(context.Context, string) (fleet.Outcome, peer.Reply) {
	a.fleet.next(a, peer.GenerateRequest{})
	return refusalReplyUnknown()
}

// An order whose target is silent is neither sent a second time nor stopped.
func TestSilentOrderIsSentOnce(t *testing.T) {
	f := newScriptedFleet(t, 2, neverAnswers)
	f.e.issuer, f.e.opt.Ring = newTestIssuer(t)
	encoded, _, err := f.e.issuer.Issue(ticket.Ticket{Service: stopService, Target: "a1", Incarnation: 1}, time.Minute, f.e.now())
	assert.NilError(t, err)
	response, refusal := f.e.Order(t.Context(), encoded, caller.Call{Service: stopService, Deadline: f.e.now().Add(silenceDeadline)})
	assert.Assert(t, refusal == nil, "%+v", refusal)
	assert.Equal(t, response.Status, 200)
	assert.Equal(t, len(f.sent()), 1)
	f.close()
}

func newTestIssuer(t *testing.T) (*ticket.Issuer, *keys.Ring) {
	ring, err := keys.NewRing("k", map[keys.ID][]byte{"k": []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return ticket.NewIssuer(ring), ring
}
