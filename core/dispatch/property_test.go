package dispatch_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
	"amaranthturn/core/ticket"
	"amaranthturn/internal/fixedseed"
)

// rapidChecks is the number of checks per property. Each has about 30 steps, so that a
// property runs more than 10,000 steps.
const rapidChecks = "400"

func TestMain(m *testing.M) { os.Exit(fixedseed.MainWithChecks(m, rapidChecks)) }

// mutation selects a deliberate fault in the decision logic, which the oracle must detect.
type mutation int

const (
	mutationNone mutation = iota
	mutationNoIncarnation
	mutationNotRunOnTimeout
	mutationRetryAfterSend
	mutationStopWithoutTombstone
)

// orderSimulation simulates callers, entries and one order service behind an agent, with a
// network that loses, delays and repeats messages. It records which orders really ran.
type orderSimulation struct {
	t         *rapid.T
	mutation  mutation
	now       time.Time
	ring      *keys.Ring
	issuer    *ticket.Issuer
	inc       fleet.Incarnation
	table     *ticket.Table
	limits    ticket.Limits
	runs      map[string]int           // number of runs of each order
	reported  map[string]fleet.Outcome // outcome that the caller last received
	tickets   map[string]string        // current ticket of each order
	inTransit []message                // run requests in transit to the agent
	running   map[ticket.ID]string     // orders that the service is running
}

type message struct {
	order, ticket string
	deadline      time.Time
}

const target = fleet.InstanceID("orders-1")

func newOrderSimulation(t *rapid.T, fault mutation) *orderSimulation {
	ring, err := keys.NewRing("k", map[keys.ID][]byte{"k": []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	s := &orderSimulation{
		t: t, mutation: fault, now: time.Unix(1_700_000_000, 0), ring: ring, issuer: ticket.NewIssuer(ring), inc: 1,
		limits: ticket.Limits{Orders: 4, Bytes: 1 << 20, Skew: time.Second},
		runs:   map[string]int{}, reported: map[string]fleet.Outcome{}, tickets: map[string]string{}, running: map[ticket.ID]string{},
	}
	s.table = ticket.NewTable(target, s.inc, s.limits)
	return s
}

// send is a caller's attempt. It requests a new ticket only if it received not_run for the
// order. The message may be lost, repeated or late.
func (s *orderSimulation) send(t *rapid.T) {
	order := fmt.Sprintf("o%d", rapid.IntRange(0, 5).Draw(t, "order"))
	outcome, known := s.reported[order]
	if known && outcome == fleet.OutcomeDone {
		return
	}
	if !known || outcome == fleet.OutcomeNotRun || s.tickets[order] == "" {
		enc, _, err := s.issuer.Issue(ticket.Ticket{Service: "orders", Target: target, Incarnation: s.inc}, time.Minute, s.now)
		if err != nil {
			t.Fatal(err)
		}
		s.tickets[order] = enc
	}
	m := message{order, s.tickets[order], s.now.Add(10 * time.Second)}
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		s.inTransit = append(s.inTransit, m)
	}
	s.reported[order] = fleet.OutcomeUnknown
	if s.mutation == mutationNotRunOnTimeout && rapid.Bool().Draw(t, "timeout") {
		s.reported[order] = fleet.OutcomeNotRun
	}
}

// deliver passes any message in transit to the agent.
func (s *orderSimulation) deliver(t *rapid.T) {
	if len(s.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "message")
	m := s.inTransit[i]
	if rapid.Bool().Draw(t, "once") {
		s.inTransit = append(s.inTransit[:i:i], s.inTransit[i+1:]...)
	}
	k, err := ticket.Verify(s.ring, m.ticket)
	if err != nil {
		t.Fatal(err)
	}
	if s.mutation == mutationNoIncarnation {
		k.Incarnation = s.inc
	}
	d := s.table.Begin(k, m.deadline, s.now)
	if d.Verdict == ticket.VerdictRun {
		s.runs[m.order]++
		s.running[k.ID] = m.order
	}
	s.respond(t, m, d)
}

// respond delivers the agent's decision to the caller, or loses it.
func (s *orderSimulation) respond(t *rapid.T, m message, d ticket.Decision) {
	if rapid.Bool().Draw(t, "lost") || s.tickets[m.order] != m.ticket {
		return
	}
	switch d.Verdict {
	case ticket.VerdictReplay:
		s.reported[m.order] = fleet.OutcomeDone
	case ticket.VerdictRefuse:
		s.reported[m.order] = d.Outcome
	}
}

// stop is an entry that gave up on an order and requests the agent to stop it.
func (s *orderSimulation) stop(t *rapid.T) {
	order := fmt.Sprintf("o%d", rapid.IntRange(0, 5).Draw(t, "order"))
	enc := s.tickets[order]
	if enc == "" || s.reported[order] != fleet.OutcomeUnknown {
		return
	}
	k, err := ticket.Verify(s.ring, enc)
	if err != nil {
		t.Fatal(err)
	}
	lost := rapid.Bool().Draw(t, "lost")
	var d ticket.Decision
	switch {
	case s.mutation == mutationStopWithoutTombstone:
		d.Outcome = fleet.OutcomeNotRun
	case !lost:
		d = s.table.Stop(k, s.now)
	}
	r := dispatch.AfterStop(lost, d.Outcome, fleet.ReasonStoppedBeforeStart)
	if r == nil {
		s.reported[order] = fleet.OutcomeDone
		return
	}
	s.reported[order] = r.Outcome
}

func (s *orderSimulation) finish(t *rapid.T) {
	for id := range s.running {
		switch rapid.IntRange(0, 3).Draw(t, "end") {
		case 0:
			s.table.FinishUnknown(id)
		default:
			s.table.Finish(id, ticket.Result{Status: 200, Body: []byte("ok")})
		}
		delete(s.running, id)
		return
	}
}

// restart starts a new incarnation of the agent without the previous state.
func (s *orderSimulation) restart(*rapid.T) {
	s.inc++
	s.table = ticket.NewTable(target, s.inc, s.limits)
	s.running = map[ticket.ID]string{}
}

func (s *orderSimulation) wait(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
}

// check is the oracle: each order runs at most once, and each reported outcome is true.
func (s *orderSimulation) check(*rapid.T) {
	for order, n := range s.runs {
		if n > 1 {
			s.t.Fatalf("order %s ran %d times", order, n)
		}
		if s.reported[order] == fleet.OutcomeNotRun {
			s.t.Fatalf("order %s: reported not_run, but it ran", order)
		}
	}
	for order, o := range s.reported {
		if o == fleet.OutcomeDone && s.runs[order] == 0 {
			s.t.Fatalf("order %s: reported done, but it never ran", order)
		}
	}
}

func orderProperty(fault mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newOrderSimulation(t, fault)
		t.Repeat(map[string]func(*rapid.T){
			"send": s.send, "deliver": s.deliver, "deliver_again": s.deliver, "stop": s.stop,
			"finish": s.finish, "restart": s.restart, "wait": s.wait, "": s.check,
		})
	}
}

// TestOrdersRunAtMostOnce simulates callers, entries and an agent that restarts, over a
// network that loses, repeats, delays and reorders messages.
func TestOrdersRunAtMostOnce(t *testing.T) { rapid.Check(t, orderProperty(mutationNone)) }

// TestOracleDetectsBrokenOrders checks that the order property fails for each mutation.
func TestOracleDetectsBrokenOrders(t *testing.T) {
	for name, fault := range map[string]mutation{
		"no_incarnation": mutationNoIncarnation, "not_run_on_timeout": mutationNotRunOnTimeout, "stop_without_tombstone": mutationStopWithoutTombstone,
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, fails(orderProperty(fault))) })
	}
}

// fails reports whether a property fails within rapidChecks checks.
func fails(prop func(*rapid.T)) bool {
	tb := &recordingTB{}
	done := make(chan struct{})
	go tb.run(prop, done)
	<-done
	return tb.failed
}

// recordingTB records a failure without failing the test that expects it.
type recordingTB struct {
	testing.TB
	failed bool
}

func (tb *recordingTB) run(prop func(*rapid.T), done chan struct{}) {
	defer close(done)
	rapid.Check(tb, prop)
}

func (tb *recordingTB) Helper()               {}
func (tb *recordingTB) Name() string          { return "broken" }
func (tb *recordingTB) Logf(string, ...any)   {}
func (tb *recordingTB) Log(...any)            {}
func (tb *recordingTB) Errorf(string, ...any) { tb.failed = true }
func (tb *recordingTB) Error(...any)          { tb.failed = true }
func (tb *recordingTB) Fatalf(string, ...any) { tb.failed = true }
func (tb *recordingTB) Fatal(...any)          { tb.failed = true }
func (tb *recordingTB) FailNow()              { tb.failed = true }
func (tb *recordingTB) Fail()                 { tb.failed = true }
func (tb *recordingTB) Failed() bool          { return tb.failed }

// streamProperty runs one repeatable request against targets that disconnect, refuse,
// switch versions and send tokens out of order. The oracle checks the tokens that the
// caller received.
func streamProperty(fault mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
		s := &streamRun{t: t, mutation: fault, r: r}
		for range 60 {
			r.StartAttempt(fleet.InstanceID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "target"))))
			s.attempt()
			step := r.Failed(s.failure(), func() bool { return rapid.Bool().Draw(t, "allow") }, 0.5, now)
			s.check()
			if !step.Retry {
				if step.Refusal.Outcome == fleet.OutcomeNotRun && s.didWork {
					t.Fatalf("reported not_run after a target did work")
				}
				return
			}
			now = now.Add(step.Wait)
		}
		t.Fatalf("request still retried after 60 attempts")
	}
}

type streamRun struct {
	t        *rapid.T
	mutation mutation
	r        *dispatch.Request
	received []dispatch.TokenEvent
	didWork  bool
}

// attempt is one target that sends up to 4 tokens, some with a wrong version or index.
func (s *streamRun) attempt() {
	next := s.r.Sent()
	version := fleet.Version(rapid.SampledFrom([]string{"v1", "v2"}).Draw(s.t, "version"))
	for range rapid.IntRange(0, 4).Draw(s.t, "tokens") {
		s.didWork = true
		ev := dispatch.TokenEvent{Version: version, Index: next, CanResume: rapid.Bool().Draw(s.t, "resume")}
		if rapid.IntRange(0, 9).Draw(s.t, "odd") == 0 {
			ev.Index++
		}
		err := s.r.Token(ev)
		if err != nil && s.mutation != mutationRetryAfterSend {
			return
		}
		s.received = append(s.received, ev)
		next++
	}
}

func (s *streamRun) failure() dispatch.Failure {
	kind := dispatch.Kind(rapid.IntRange(0, int(dispatch.KindStopping)).Draw(s.t, "kind"))
	switch kind {
	case dispatch.KindRefused:
		return dispatch.Failure{Kind: kind, Refusal: fleet.NotRun(fleet.ReasonTargetBusy, 0)}
	case dispatch.KindNotSent, dispatch.KindNoTarget:
	default:
		s.didWork = true
	}
	return dispatch.Failure{Kind: kind}
}

func (s *streamRun) check() {
	for i, ev := range s.received {
		if ev.Version != s.received[0].Version {
			s.t.Fatalf("token %d has version %s after version %s", i, ev.Version, s.received[0].Version)
		}
		if ev.Index != i {
			s.t.Fatalf("got token %d, want token %d", ev.Index, i)
		}
	}
}

// TestStreamsAreNeverMixed runs one request against targets that fail in every way.
func TestStreamsAreNeverMixed(t *testing.T) { rapid.Check(t, streamProperty(mutationNone)) }

// TestOracleDetectsMixedStreams checks that the stream property fails for broken logic.
func TestOracleDetectsMixedStreams(t *testing.T) {
	assert.Assert(t, fails(streamProperty(mutationRetryAfterSend)))
}
