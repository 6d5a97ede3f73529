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

// checks makes more than 10,000 steps of about 30 a check.
const checks = "400"

func TestMain(m *testing.M) { os.Exit(fixedseed.MainWith(m, checks)) }

// flaw breaks the decision logic on purpose, to show that the oracle sees it.
type flaw int

const (
	flawNone flaw = iota
	flawNoIncarnation
	flawNotRunOnTimeout
	flawRetryAfterSend
	flawStopWithoutTombstone
)

// world is callers, entries and one order service behind an agent, with a network
// that loses, delays and repeats messages. It holds what truly ran.
type world struct {
	t       *rapid.T
	flaw    flaw
	now     time.Time
	ring    *keys.Ring
	issuer  *ticket.Issuer
	inc     fleet.Incarnation
	table   *ticket.Table
	limits  ticket.Limits
	ran     map[string]int
	told    map[string]fleet.Outcome
	tickets map[string]string    // present ticket of each order
	wire    []message            // run requests on their way to the agent
	busy    map[ticket.ID]string // orders that the service runs now
}

type message struct {
	order, ticket string
	deadline      time.Time
}

const target = fleet.InstanceID("orders-1")

func newWorld(t *rapid.T, f flaw) *world {
	ring, err := keys.NewRing("k", map[keys.ID][]byte{"k": []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, flaw: f, now: time.Unix(1_700_000_000, 0), ring: ring, issuer: ticket.NewIssuer(ring), inc: 1,
		limits: ticket.Limits{Orders: 4, Bytes: 1 << 20, Skew: time.Second},
		ran:    map[string]int{}, told: map[string]fleet.Outcome{}, tickets: map[string]string{}, busy: map[ticket.ID]string{},
	}
	w.table = ticket.NewTable(target, w.inc, w.limits)
	return w
}

// send is a caller's attempt: it takes a new ticket only when it was told that the
// order was not run. The message may be lost, repeated or late.
func (w *world) send(t *rapid.T) {
	order := fmt.Sprintf("o%d", rapid.IntRange(0, 5).Draw(t, "order"))
	told, known := w.told[order]
	if known && told == fleet.OutcomeDone {
		return
	}
	if !known || told == fleet.OutcomeNotRun || w.tickets[order] == "" {
		enc, _, err := w.issuer.Issue(ticket.Ticket{Service: "orders", Target: target, Incarnation: w.inc}, time.Minute, w.now)
		if err != nil {
			t.Fatal(err)
		}
		w.tickets[order] = enc
	}
	m := message{order, w.tickets[order], w.now.Add(10 * time.Second)}
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		w.wire = append(w.wire, m)
	}
	w.told[order] = fleet.OutcomeUnknown
	if w.flaw == flawNotRunOnTimeout && rapid.Bool().Draw(t, "timeout") {
		w.told[order] = fleet.OutcomeNotRun
	}
}

// deliver hands any message on the wire to the agent.
func (w *world) deliver(t *rapid.T) {
	if len(w.wire) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.wire)-1).Draw(t, "message")
	m := w.wire[i]
	if rapid.Bool().Draw(t, "once") {
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	}
	k, err := ticket.Open(w.ring, m.ticket)
	if err != nil {
		t.Fatal(err)
	}
	if w.flaw == flawNoIncarnation {
		k.Incarnation = w.inc
	}
	d := w.table.Begin(k, m.deadline, w.now)
	if d.Verdict == ticket.VerdictRun {
		w.ran[m.order]++
		w.busy[k.ID] = m.order
	}
	w.answer(t, m, d)
}

// answer brings the agent's word to the caller, or loses it.
func (w *world) answer(t *rapid.T, m message, d ticket.Decision) {
	if rapid.Bool().Draw(t, "lost") || w.tickets[m.order] != m.ticket {
		return
	}
	switch d.Verdict {
	case ticket.VerdictAnswer:
		w.told[m.order] = fleet.OutcomeDone
	case ticket.VerdictRefuse:
		w.told[m.order] = d.Outcome
	}
}

// stop is an entry that gave up: it asks the agent to stop the order for good.
func (w *world) stop(t *rapid.T) {
	order := fmt.Sprintf("o%d", rapid.IntRange(0, 5).Draw(t, "order"))
	enc := w.tickets[order]
	if enc == "" || w.told[order] != fleet.OutcomeUnknown {
		return
	}
	k, err := ticket.Open(w.ring, enc)
	if err != nil {
		t.Fatal(err)
	}
	lost := rapid.Bool().Draw(t, "lost")
	var d ticket.Decision
	switch {
	case w.flaw == flawStopWithoutTombstone:
		d.Outcome = fleet.OutcomeNotRun
	case !lost:
		d = w.table.Stop(k, w.now)
	}
	r := dispatch.AfterStop(lost, d.Outcome, fleet.ReasonStopped)
	if r == nil {
		w.told[order] = fleet.OutcomeDone
		return
	}
	w.told[order] = r.Outcome
}

func (w *world) finish(t *rapid.T) {
	for id := range w.busy {
		switch rapid.IntRange(0, 3).Draw(t, "end") {
		case 0:
			w.table.FinishUnknown(id)
		default:
			w.table.Finish(id, ticket.Answer{Status: 200, Body: []byte("ok")})
		}
		delete(w.busy, id)
		return
	}
}

// restart is a new run of the agent that remembers nothing.
func (w *world) restart(*rapid.T) {
	w.inc++
	w.table = ticket.NewTable(target, w.inc, w.limits)
	w.busy = map[ticket.ID]string{}
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
}

// check is the oracle: at most once, and what is told is true.
func (w *world) check(*rapid.T) {
	for order, n := range w.ran {
		if n > 1 {
			w.t.Fatalf("order %s ran %d times", order, n)
		}
		if w.told[order] == fleet.OutcomeNotRun {
			w.t.Fatalf("order %s was told not_run and ran", order)
		}
	}
	for order, o := range w.told {
		if o == fleet.OutcomeDone && w.ran[order] == 0 {
			w.t.Fatalf("order %s was told done and never ran", order)
		}
	}
}

func orders(f flaw) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, f)
		t.Repeat(map[string]func(*rapid.T){
			"send": w.send, "deliver": w.deliver, "deliver_again": w.deliver, "stop": w.stop,
			"finish": w.finish, "restart": w.restart, "wait": w.wait, "": w.check,
		})
	}
}

// TestOrdersRunAtMostOnce drives callers, entries and an agent that restarts over a
// network that loses, repeats, delays and reorders.
func TestOrdersRunAtMostOnce(t *testing.T) { rapid.Check(t, orders(flawNone)) }

// TestOracleSeesBrokenOrders shows that the check of orders fails for broken logic.
func TestOracleSeesBrokenOrders(t *testing.T) {
	for name, f := range map[string]flaw{
		"no_incarnation": flawNoIncarnation, "not_run_on_timeout": flawNotRunOnTimeout, "stop_without_tombstone": flawStopWithoutTombstone,
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, caught(orders(f))) })
	}
}

// caught tells whether a property fails within the usual number of checks.
func caught(prop func(*rapid.T)) bool {
	tb := &quietTB{}
	done := make(chan struct{})
	go tb.run(prop, done)
	<-done
	return tb.failed
}

// quietTB takes a failure without failing the test that expects it.
type quietTB struct {
	testing.TB
	failed bool
}

func (q *quietTB) run(prop func(*rapid.T), done chan struct{}) {
	defer close(done)
	rapid.Check(q, prop)
}

func (q *quietTB) Helper()               {}
func (q *quietTB) Name() string          { return "broken" }
func (q *quietTB) Logf(string, ...any)   {}
func (q *quietTB) Log(...any)            {}
func (q *quietTB) Errorf(string, ...any) { q.failed = true }
func (q *quietTB) Error(...any)          { q.failed = true }
func (q *quietTB) Fatalf(string, ...any) { q.failed = true }
func (q *quietTB) Fatal(...any)          { q.failed = true }
func (q *quietTB) FailNow()              { q.failed = true }
func (q *quietTB) Fail()                 { q.failed = true }
func (q *quietTB) Failed() bool          { return q.failed }

// stream is one repeatable request against targets that break off, refuse, switch
// versions and answer out of turn. The oracle looks at what the caller was given.
func stream(f flaw) func(*rapid.T) {
	return func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := dispatch.NewRequest(dispatch.DefaultSettings, now.Add(time.Minute))
		s := &streamRun{t: t, flaw: f, r: r}
		for range 60 {
			r.Began(fleet.InstanceID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "target"))))
			s.attempt()
			step := r.Failed(s.failure(), func() bool { return rapid.Bool().Draw(t, "allow") }, 0.5, now)
			s.check()
			if !step.Retry {
				if step.Refusal.Outcome == fleet.OutcomeNotRun && s.worked {
					t.Fatalf("told not_run after a target worked")
				}
				return
			}
			now = now.Add(step.Wait)
		}
		t.Fatalf("a request was tried 60 times")
	}
}

type streamRun struct {
	t      *rapid.T
	flaw   flaw
	r      *dispatch.Request
	given  []dispatch.Event
	worked bool
}

// attempt is one target that sends some tokens, not always the right ones.
func (s *streamRun) attempt() {
	next := s.r.Sent()
	version := fleet.Version(rapid.SampledFrom([]string{"v1", "v2"}).Draw(s.t, "version"))
	for range rapid.IntRange(0, 4).Draw(s.t, "tokens") {
		s.worked = true
		ev := dispatch.Event{Version: version, Index: next, CanResume: rapid.Bool().Draw(s.t, "resume")}
		if rapid.IntRange(0, 9).Draw(s.t, "odd") == 0 {
			ev.Index++
		}
		err := s.r.Token(ev)
		if err != nil && s.flaw != flawRetryAfterSend {
			return
		}
		s.given = append(s.given, ev)
		next++
	}
}

func (s *streamRun) failure() dispatch.Failure {
	kind := dispatch.Kind(rapid.IntRange(0, 7).Draw(s.t, "kind"))
	switch kind {
	case dispatch.KindRefused:
		return dispatch.Failure{Kind: kind, Refusal: fleet.NotRun(fleet.ReasonBusy, 0)}
	case dispatch.KindNotSent, dispatch.KindNoTarget:
	default:
		s.worked = true
	}
	return dispatch.Failure{Kind: kind}
}

func (s *streamRun) check() {
	for i, ev := range s.given {
		if ev.Version != s.given[0].Version {
			s.t.Fatalf("token %d of %s after %s", i, ev.Version, s.given[0].Version)
		}
		if ev.Index != i {
			s.t.Fatalf("token %d in place of %d", ev.Index, i)
		}
	}
}

// TestStreamsAreNeverMixed drives one request over targets that fail in every way.
func TestStreamsAreNeverMixed(t *testing.T) { rapid.Check(t, stream(flawNone)) }

// TestOracleSeesMixedStreams shows that the check of streams fails for broken logic.
func TestOracleSeesMixedStreams(t *testing.T) {
	assert.Assert(t, caught(stream(flawRetryAfterSend)))
}
