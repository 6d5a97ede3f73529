package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/membership"
	"amaranthturn/io/caller"
	"amaranthturn/io/peer"
)

const (
	silenceTimeout = 150 * time.Millisecond
	// shortPause and longPause are longer than a response may be silent before a replacement
	// is started: within it, and before its first token. They leave time for a late check.
	shortPause      = 6 * silenceTimeout
	longPause       = 9 * silenceTimeout
	silenceDeadline = 4 * time.Second
	silenceTokens   = 6
)

// reply is how an agent treats one request.
type reply func(ctx context.Context, a *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error

// scriptedAgent runs the n-th request of its fleet with the n-th reply.
type scriptedAgent struct {
	peer.AgentHandler
	fleet    *scriptedFleet
	id       fleet.InstanceID
	version  fleet.Version
	capacity int
	listener *connListener
}

// Generate implements peer.AgentHandler.
func (a *scriptedAgent) Generate(ctx context.Context, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
	return a.fleet.next(a, r)(ctx, a, r, send)
}

// connListener remembers its connections, so that a test can break them.
type connListener struct {
	net.Listener
	mu    sync.Mutex // guards conns
	conns []net.Conn
}

func (l *connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, c)
	}
	return c, err
}

func (l *connListener) breakAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// verifyNoGoroutines checks that no goroutine is left after a test and its subtests.
func verifyNoGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

// run is one request that an agent was sent.
type run struct {
	agent fleet.InstanceID
	req   peer.GenerateRequest
}

// scriptedFleet is an entry with agents that reply as a test says.
type scriptedFleet struct {
	t       *testing.T
	e       *Entry
	metrics *telemetry.Metrics
	servers []*grpc.Server
	agents  []*scriptedAgent

	mu      sync.Mutex // guards the fields below
	replies []reply    // of the requests in the order of their arrival; the last repeats
	runs    []run
	bodies  int // of generateUnlike
}

func (f *scriptedFleet) next(a *scriptedAgent, r peer.GenerateRequest) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{a.id, r})
	return f.replies[min(len(f.runs), len(f.replies))-1]
}

func (f *scriptedFleet) sent() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

func newScriptedFleet(t *testing.T, agents int, replies ...reply) *scriptedFleet {
	f := &scriptedFleet{t: t, replies: replies, metrics: telemetry.NewMetrics("entry")}
	cfg := &settings.Entry{Common: settings.Common{Instance: "e1", Region: "r", Zone: "z"}, Concurrency: 64}
	f.e = New(Options{
		Settings: cfg, Clock: clock.System{}, Logs: telemetry.NewLogs(io.Discard, settings.Log{}, "e1"), Metrics: f.metrics,
		Pool: peer.NewPool(peer.DialOptions{}), Seed: 1, SilenceTimeout: silenceTimeout,
	})
	doc := &config.Document{Defaults: config.Defaults{Models: []config.ModelConfig{{Name: stopModel, Version: stopVersion}}}}
	doc.Defaults.Limits.QueuePerWorkspace, doc.Defaults.Limits.QueueMillis = 10, 10_000
	f.e.inForce.Store(&configInForce{doc: doc})
	for i := range agents {
		a := &scriptedAgent{fleet: f, id: fleet.InstanceID(fmt.Sprintf("a%d", i+1)), version: stopVersion, capacity: 8}
		a.listener = &connListener{Listener: listen(t)}
		rpc := grpc.NewServer(peer.ServerOptions(nil)...)
		peer.RegisterAgent(rpc, a)
		srv := &daemon.Server{Listener: a.listener, GRPC: rpc}
		srv.Start()
		f.servers, f.agents = append(f.servers, rpc), append(f.agents, a)
		f.heartbeat(a)
	}
	return f
}

func (f *scriptedFleet) heartbeat(a *scriptedAgent) {
	f.e.table.RecordHeartbeat(membership.Report{
		Instance: a.id, Incarnation: 1, Zone: "z", Address: a.listener.Addr().String(), Load: membership.Load{Capacity: a.capacity},
		Models: []membership.ModelState{{Model: stopModel, Serving: a.version, Loaded: []fleet.Version{a.version}}},
	}, f.e.now().Add(time.Minute))
}

// close stops all servers and checks that nothing is left of the requests.
func (f *scriptedFleet) close() {
	f.e.inFlight.Wait() // a relayed request ends after its last token has arrived
	f.e.reqMu.Lock()
	for _, a := range f.agents {
		assert.Equal(f.t, f.e.picker.InFlight(a.id), 0, "%s", a.id)
		assert.Equal(f.t, len(f.e.running[a.id]), 0, "%s", a.id)
	}
	assert.Equal(f.t, f.e.queue.InFlight(), 0)
	f.e.reqMu.Unlock()
	f.e.opt.Pool.Close()
	for _, s := range f.servers {
		s.Stop()
	}
	_ = f.metrics.Close()
}

// response is what a caller received.
type response struct {
	tokens  []caller.Token
	refusal *fleet.Refusal
	took    time.Duration
}

// generate sends a request, which has the same content each time.
func (f *scriptedFleet) generate(ctx context.Context, deadline time.Duration) response {
	return f.generateBody(ctx, deadline, generateBody)
}

// generateUnlike sends a request with content of its own.
func (f *scriptedFleet) generateUnlike(ctx context.Context, deadline time.Duration) response {
	f.mu.Lock()
	f.bodies++
	body := fmt.Sprintf(`{"model":"m","messages":[{"content":"%d"}]}`, f.bodies)
	f.mu.Unlock()
	return f.generateBody(ctx, deadline, body)
}

func (f *scriptedFleet) generateBody(ctx context.Context, deadline time.Duration, body string) response {
	var r response
	over := false
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(deadline))
	defer cancel()
	r.refusal = f.e.Generate(ctx, caller.GenerateRequest{
		RequestID: "r", Workspace: "w", Model: stopModel, Body: []byte(body), Deadline: start.Add(deadline),
	}, func(t caller.Token) error {
		assert.Check(f.t, !over, "sent after the return")
		r.tokens = append(r.tokens, t)
		return nil
	})
	over = true
	r.took = time.Since(start)
	return r
}

// assertInOrder checks that each token was received once, in order and of one version.
func (r response) assertInOrder(t *testing.T) {
	t.Helper()
	for i, token := range r.tokens {
		assert.Equal(t, token.Index, i)
		assert.Equal(t, token.Text, tokenText(token.Version, i))
		assert.Equal(t, token.Version, r.tokens[0].Version)
		assert.Equal(t, token.Done, i == silenceTokens-1)
	}
}

func (r response) assertComplete(t *testing.T) {
	t.Helper()
	assert.Assert(t, r.refusal == nil, "%+v after %d tokens in %v", r.refusal, len(r.tokens), r.took)
	r.assertInOrder(t)
	assert.Equal(t, len(r.tokens), silenceTokens)
}

func tokenText(v fleet.Version, i int) string { return fmt.Sprintf("%s/%d", v, i) }

// pauses returns a reply that pauses before the tokens with these indexes and goes on.
func pauses(d time.Duration, before ...int) reply {
	return func(ctx context.Context, _ *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
		for i := r.ResumeFrom; i < silenceTokens; i++ {
			if slices.Contains(before, i) && !daemon.Sleep(ctx, d) {
				return ctx.Err()
			}
			ev := peer.GenerateEvent{Version: r.Version, Index: i, Token: tokenText(r.Version, i), Done: i == silenceTokens-1, CanResume: true}
			if err := send(ev); err != nil {
				return err
			}
		}
		return nil
	}
}

// answers replies with all tokens at once.
func answers() reply { return pauses(0) }

func refuses(refusal *fleet.Refusal) reply {
	return func(_ context.Context, _ *scriptedAgent, _ peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
		return send(peer.GenerateEvent{Refusal: refusal})
	}
}

func breaksConnection(_ context.Context, a *scriptedAgent, _ peer.GenerateRequest, _ func(peer.GenerateEvent) error) error {
	a.listener.breakAll()
	return errors.New("broken")
}

func neverAnswers(ctx context.Context, _ *scriptedAgent, _ peer.GenerateRequest, _ func(peer.GenerateEvent) error) error {
	<-ctx.Done()
	return ctx.Err()
}

func answersOtherVersion(_ context.Context, _ *scriptedAgent, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
	v := fleet.Version("sha256:2")
	return send(peer.GenerateEvent{Version: v, Index: r.ResumeFrom, Token: tokenText(v, r.ResumeFrom), CanResume: true})
}

// A target that paused lost its response although no other target took it.
func TestPausedTargetKeepsItsResponse(t *testing.T) {
	verifyNoGoroutines(t)
	beforeFirst, between := pauses(longPause, 0), pauses(shortPause, 3)
	for _, c := range []struct {
		name   string
		agents int
		first  reply
		second reply
	}{
		{"before_first/absent", 1, beforeFirst, answers()},
		{"before_first/refuses_not_run", 2, beforeFirst, refuses(fleet.NotRun(fleet.ReasonTargetBusy, 0))},
		{"before_first/refuses_not_run_for_all", 2, beforeFirst, refuses(fleet.NotRun(fleet.ReasonBadRequest, 0))},
		{"before_first/refuses_unknown", 2, beforeFirst, refuses(fleet.Unknown(fleet.ReasonEngineFailed))},
		{"before_first/engine_crashes", 2, beforeFirst, refuses(fleet.Unknown(fleet.ReasonEngineCrashed))},
		{"before_first/breaks_connection", 2, beforeFirst, breaksConnection},
		{"before_first/never_answers", 2, beforeFirst, neverAnswers},
		{"before_first/answers", 2, beforeFirst, answers()},
		{"before_first/pauses_too", 2, beforeFirst, pauses(longPause, 0, 3)},
		{"between/absent", 1, between, answers()},
		{"between/refuses_not_run", 2, between, refuses(fleet.NotRun(fleet.ReasonTargetBusy, 0))},
		{"between/refuses_not_run_for_all", 2, between, refuses(fleet.NotRun(fleet.ReasonBadRequest, 0))},
		{"between/refuses_unknown", 2, between, refuses(fleet.Unknown(fleet.ReasonEngineFailed))},
		{"between/engine_crashes", 2, between, refuses(fleet.Unknown(fleet.ReasonEngineCrashed))},
		{"between/breaks_connection", 2, between, breaksConnection},
		{"between/never_answers", 2, between, neverAnswers},
		{"between/other_version", 2, between, answersOtherVersion},
		{"between/answers", 2, between, answers()},
		{"between/pauses_too", 2, between, pauses(longPause, 0, 3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newScriptedFleet(t, c.agents, c.first, c.second)
			r := f.generate(t.Context(), silenceDeadline)
			r.assertComplete(t)
			assert.Assert(t, r.took < 2*longPause, "%v", r.took)
			assert.Equal(t, len(f.sent()) > 1, c.agents > 1, "replacements: %d", len(f.sent())-1)
			breaks := strings.HasSuffix(c.name, "breaks_connection")
			assert.Equal(t, len(f.e.ledger.Exchange(f.e.now())) > 0, breaks, "a canceled attempt is no crash")
			f.close()
		})
	}
}
