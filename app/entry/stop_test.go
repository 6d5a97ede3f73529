package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"amaranthturn/app/daemon"
	"amaranthturn/app/settings"
	"amaranthturn/app/telemetry"
	"amaranthturn/core/clock"
	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/membership"
	"amaranthturn/core/ticket"
	"amaranthturn/io/caller"
	"amaranthturn/io/operator"
	"amaranthturn/io/peer"
)

// hangingAgent begins every request and never ends one.
type hangingAgent struct {
	peer.AgentHandler
	begun  chan struct{}
	tokens int // sent before a generation hangs
	refuse bool
	cut    chan struct{} // if set, a generation breaks off when it is closed, and can be resumed
}

// Generate implements peer.AgentHandler.
func (a *hangingAgent) Generate(ctx context.Context, r peer.GenerateRequest, send func(peer.GenerateEvent) error) error {
	if r.ResumeFrom > 0 {
		return send(peer.GenerateEvent{Version: r.Version, Index: r.ResumeFrom, Token: "u", Done: true})
	}
	for i := range a.tokens {
		if err := send(peer.GenerateEvent{Version: r.Version, Index: i, Token: "t", CanResume: a.cut != nil}); err != nil {
			return err
		}
	}
	a.begun <- struct{}{}
	if a.cut != nil {
		<-a.cut
		return errors.New("broken off")
	}
	if a.refuse {
		return send(peer.GenerateEvent{Refusal: fleet.NotRun(fleet.ReasonTargetBusy, 0)})
	}
	<-ctx.Done()
	return ctx.Err()
}

// Call implements peer.AgentHandler.
func (a *hangingAgent) Call(ctx context.Context, _ peer.Call) peer.Reply {
	a.begun <- struct{}{}
	<-ctx.Done()
	return peer.Reply{Refusal: fleet.Unknown(fleet.ReasonServiceUnreachable)}
}

// RunOrder implements peer.AgentHandler.
func (a *hangingAgent) RunOrder(ctx context.Context, _ string, _ peer.Call) (fleet.Outcome, peer.Reply) {
	a.begun <- struct{}{}
	<-ctx.Done()
	return refusalReplyUnknown()
}

// StopOrder implements peer.AgentHandler.
func (a *hangingAgent) StopOrder(context.Context, string) (fleet.Outcome, peer.Reply) {
	return refusalReplyUnknown()
}

func refusalReplyUnknown() (fleet.Outcome, peer.Reply) {
	return fleet.OutcomeRunning, peer.Reply{Refusal: fleet.Unknown(fleet.ReasonStillRunning)}
}

// stopEnv is an entry with one agent and a grace period of two seconds.
type stopEnv struct {
	t      *testing.T
	e      *Entry
	s      *server
	agent  *hangingAgent
	addr   string
	ticket string
	grace  time.Duration
}

const (
	stopModel   = "m"
	stopVersion = "sha256:1"
	stopService = "desk"
)

func newStopEnv(t *testing.T, agent *hangingAgent, concurrency int) *stopEnv {
	agent.begun = make(chan struct{}, 100)
	ring, err := keys.NewRing("k", map[keys.ID][]byte{"k": []byte("0123456789abcdef")})
	assert.NilError(t, err)
	m := telemetry.NewMetrics("entry")
	cfg := &settings.Entry{Common: settings.Common{Instance: "e1", Region: "r", Zone: "z", StopGraceSeconds: 2}, Concurrency: concurrency}
	e := New(Options{
		Settings: cfg, Clock: clock.System{}, Logs: telemetry.NewLogs(io.Discard, settings.Log{}, "e1"), Metrics: m,
		Pool: peer.NewPool(peer.DialOptions{}), Ring: ring, Seed: 1,
	})
	doc := &config.Document{Defaults: config.Defaults{
		Models:   []config.ModelConfig{{Name: stopModel, Version: stopVersion}},
		Services: []config.ServiceConfig{{Name: stopService, Repeatable: true}},
	}}
	doc.Defaults.Limits.QueuePerWorkspace, doc.Defaults.Limits.QueueMillis = 10, 10_000
	e.inForce.Store(&configInForce{doc: doc})
	l := listen(t)
	rpc := grpc.NewServer(peer.ServerOptions(nil)...)
	peer.RegisterAgent(rpc, agent)
	agents := &daemon.Server{Listener: l, GRPC: rpc}
	agents.Start()
	t.Cleanup(rpc.Stop)
	e.table.RecordHeartbeat(membership.Report{
		Instance: "a1", Incarnation: 1, Address: l.Addr().String(), Load: membership.Load{Capacity: 8}, Services: []fleet.Service{stopService},
		Models: []membership.ModelState{{Model: stopModel, Serving: stopVersion, Loaded: []fleet.Version{stopVersion}}},
	}, e.now().Add(time.Minute))
	encoded, _, err := e.issuer.Issue(ticket.Ticket{Service: stopService, Target: "a1", Incarnation: 1}, time.Minute, e.now())
	assert.NilError(t, err)
	callers := listen(t)
	s := &server{
		e: e, loops: daemon.NewLoops(), callers: daemon.NewHTTPServer(callers, caller.NewHandler(e, e.now)),
		operators: daemon.NewHTTPServer(listen(t), operator.NewHandler(m.Handler(), e, e)), peers: &daemon.Server{GRPC: grpc.NewServer()},
	}
	s.callers.Start()
	return &stopEnv{t: t, e: e, s: s, agent: agent, addr: callers.Addr().String(), ticket: encoded, grace: 2 * time.Second}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// stopping is a stop that runs in the background.
type stopping struct {
	env  *stopEnv
	done chan struct{}
}

func (env *stopEnv) stop() <-chan struct{} {
	s := &stopping{env: env, done: make(chan struct{})}
	go s.run()
	return s.done
}

func (s *stopping) run() {
	ctx, cancel := context.WithTimeout(context.Background(), s.env.grace)
	defer cancel()
	_ = s.env.s.stop(ctx)
	close(s.done)
}

// exchange is a request that was sent in the background.
type exchange struct {
	env    *stopEnv
	path   string
	body   string
	status int
	got    string
	err    error
	done   chan struct{}
}

func (env *stopEnv) send(path, body string) *exchange {
	x := &exchange{env: env, path: path, body: body, done: make(chan struct{})}
	go x.run()
	return x
}

func (x *exchange) run() {
	defer close(x.done)
	req, err := http.NewRequest(http.MethodPost, "http://"+x.env.addr+x.path, strings.NewReader(x.body))
	if err != nil {
		x.err = err
		return
	}
	req.Header.Set(caller.HeaderTicket, x.env.ticket)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		x.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	x.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	x.got, x.err = string(body), err
}

// assertAnswered checks that a request got its answer before the process exited.
func (x *exchange) assertAnswered(exited <-chan struct{}, status int, parts ...string) {
	t := x.env.t
	t.Helper()
	select {
	case <-x.done:
	case <-exited:
		select {
		case <-x.done: // the answer was on its way
		case <-time.After(200 * time.Millisecond):
			t.Fatal("the process exited before the answer")
		}
	}
	assert.NilError(t, x.err)
	assert.Equal(t, x.status, status, x.got)
	for _, part := range parts {
		assert.Assert(t, strings.Contains(x.got, part), x.got)
	}
}

const (
	generatePath = "/v1/chat/completions"
	generateBody = `{"model":"m","messages":[{}]}`
	streamBody   = `{"model":"m","messages":[{}],"stream":true}`
	orderPath    = "/v1/orders/" + stopService + "/x"
	callPath     = "/v1/services/" + stopService + "/x"
)

// Requests that run at an agent when the grace period ends got no answer.
func TestStopAnswersRequestsInProgress(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		tokens, status   int
		parts            []string
	}{
		{"generation", generatePath, generateBody, 0, 502, []string{"unknown", "instance_leaving"}},
		{"stream", generatePath, streamBody, 0, 502, []string{"unknown", "instance_leaving"}},
		{"begun stream", generatePath, streamBody, 1, 200, []string{"event: error", "unknown", "instance_leaving"}},
		{"call", callPath, "x", 0, 502, []string{"unknown", "instance_leaving"}},
		{"order", orderPath, "x", 0, 502, []string{"unknown", "still_running"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newStopEnv(t, &hangingAgent{tokens: c.tokens}, 8)
			x := env.send(c.path, c.body)
			<-env.agent.begun
			x.assertAnswered(env.stop(), c.status, c.parts...)
			assert.Assert(t, !strings.Contains(x.got, "[DONE]"), x.got)
		})
	}
}

// Requests that arrive during a stop, or that wait for a slot, were kept whatever time they may take.
func TestStopRefusesWhatCannotEnd(t *testing.T) {
	env := newStopEnv(t, &hangingAgent{}, 1)
	running := env.send(generatePath, generateBody)
	<-env.agent.begun
	queued := env.send(generatePath, generateBody)
	for range 100 {
		env.e.reqMu.Lock()
		n := env.e.queue.Queued()
		env.e.reqMu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	startedAt := time.Now()
	exited := env.stop()
	queued.assertAnswered(exited, http.StatusServiceUnavailable, "not_run", "instance_leaving")
	for !env.e.IsLeaving() {
		time.Sleep(time.Millisecond)
	}
	env.send(generatePath, generateBody).assertAnswered(exited, http.StatusServiceUnavailable, "not_run", "instance_leaving")
	env.send(callPath, "x").assertAnswered(exited, http.StatusServiceUnavailable, "not_run", "instance_leaving")
	assert.Assert(t, time.Since(startedAt) < 400*time.Millisecond, "%v", time.Since(startedAt))
	assert.Equal(t, len(env.agent.begun), 0)
	running.assertAnswered(exited, http.StatusBadGateway, "unknown", "instance_leaving")
}

// A request that an agent has turned away ends as not run when there is no time for another attempt.
func TestStopDoesNotSendAgainWhatCannotEnd(t *testing.T) {
	env := newStopEnv(t, &hangingAgent{refuse: true}, 8)
	x := env.send(generatePath, generateBody)
	<-env.agent.begun
	x.assertAnswered(env.stop(), http.StatusServiceUnavailable, "not_run")
}

// A begun stream whose agent broke off during a stop was ended although it could go on at an agent.
func TestStopResumesBegunStream(t *testing.T) {
	env := newStopEnv(t, &hangingAgent{tokens: 1, cut: make(chan struct{})}, 8)
	x := env.send(generatePath, streamBody)
	<-env.agent.begun
	exited := env.stop()
	for !env.e.IsLeaving() {
		time.Sleep(time.Millisecond)
	}
	close(env.agent.cut)
	x.assertAnswered(exited, http.StatusOK, `"content":"u"`, "[DONE]")
}

// A body that does not arrive in time is refused before the process exits.
func TestStopAnswersRequestWhoseBodyIsRead(t *testing.T) {
	env := newStopEnv(t, &hangingAgent{}, 8)
	c, err := net.Dial("tcp", env.addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST "+generatePath+" HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	exited := env.stop()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(env.grace)))
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 503 "), string(got))
	assert.Assert(t, strings.Contains(string(got), "instance_leaving"), string(got))
	<-exited
}
