package ticket

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/keys"
)

var now = time.Unix(1_700_000_000, 0)

func newTestTable(t testing.TB, limits Limits) (*Issuer, *keys.Ring, *Table) {
	t.Helper()
	ring, err := keys.NewRing("k", map[keys.ID][]byte{"k": []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return NewIssuer(ring), ring, NewTable("t1", 5, limits)
}

func issue(t testing.TB, issuer *Issuer, at time.Time) Ticket {
	t.Helper()
	_, tk, err := issuer.Issue(Ticket{Service: "orders", Target: "t1", Incarnation: 5}, time.Minute, at)
	assert.NilError(t, err)
	return tk
}

func TestForgedTicketsAreRejected(t *testing.T) {
	issuer, ring, _ := newTestTable(t, DefaultLimits)
	enc, _, err := issuer.Issue(Ticket{Service: "orders", Target: "t1", Incarnation: 5}, time.Minute, now)
	assert.NilError(t, err)
	_, err = Verify(ring, enc)
	assert.NilError(t, err)
	parts := strings.Split(enc, ".")
	_, err = Verify(ring, parts[0]+"A."+parts[1]+"."+parts[2])
	assert.Assert(t, err != nil)
	for _, bad := range []string{"", "a.b", "a.b.c", strings.Repeat("x", MaxLen+1), parts[0] + ".other." + parts[2]} {
		_, err = Verify(ring, bad)
		assert.Assert(t, err != nil, "%q", bad)
	}
}

func TestBegin(t *testing.T) {
	tests := map[string]struct {
		change  func(*Ticket)
		at      time.Time
		verdict Verdict
		outcome fleet.Outcome
		reason  Reason
	}{
		"runs":              {func(*Ticket) {}, now, VerdictRun, fleet.OutcomeDone, ReasonNone},
		"other target":      {func(tk *Ticket) { tk.Target = "t2" }, now, VerdictRefuse, fleet.OutcomeUnknown, ReasonOtherTarget},
		"other incarnation": {func(tk *Ticket) { tk.Incarnation = 4 }, now, VerdictRefuse, fleet.OutcomeUnknown, ReasonOtherIncarnation},
		"expired":           {func(*Ticket) {}, now.Add(2 * time.Minute), VerdictRefuse, fleet.OutcomeUnknown, ReasonExpired},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			issuer, _, table := newTestTable(t, DefaultLimits)
			tk := issue(t, issuer, now)
			tt.change(&tk)
			d := table.Begin(tk, time.Time{}, tt.at)
			assert.Equal(t, d.Verdict, tt.verdict)
			assert.Equal(t, d.Reason, tt.reason)
			if d.Verdict == VerdictRefuse {
				assert.Equal(t, d.Outcome, tt.outcome)
			}
		})
	}
}

func TestSecondAttemptJoinsThenGetsTheSameResult(t *testing.T) {
	issuer, _, table := newTestTable(t, DefaultLimits)
	tk := issue(t, issuer, now)
	assert.Equal(t, table.Begin(tk, time.Time{}, now).Verdict, VerdictRun)
	assert.Equal(t, table.Begin(tk, time.Time{}, now).Verdict, VerdictJoin)
	assert.Equal(t, table.Stop(tk, now).Outcome, fleet.OutcomeRunning)
	table.Finish(tk.ID, Result{Status: 201, Body: []byte("bale 7")})
	d := table.Begin(tk, time.Time{}, now.Add(59*time.Second))
	assert.Equal(t, d.Verdict, VerdictReplay)
	assert.Equal(t, string(d.Result.Body), "bale 7")
}

// TestOrderIsNotRunAfterItsDeadline guards against an agent that resumes after a
// pause and runs an order whose deadline has passed. A later attempt must not run
// the order either.
func TestOrderIsNotRunAfterItsDeadline(t *testing.T) {
	issuer, _, table := newTestTable(t, DefaultLimits)
	tk := issue(t, issuer, now)
	d := table.Begin(tk, now.Add(time.Second), now.Add(30*time.Second))
	assert.Equal(t, d.Outcome, fleet.OutcomeNotRun)
	assert.Equal(t, table.Begin(tk, time.Time{}, now.Add(31*time.Second)).Outcome, fleet.OutcomeNotRun)
}

// TestOrderRefusedByFullTableNeverRuns guards against an order that a full table
// reports as not run and runs on a later attempt, because the table has no space
// for a tombstone.
func TestOrderRefusedByFullTableNeverRuns(t *testing.T) {
	issuer, _, table := newTestTable(t, Limits{Orders: 2, Bytes: 1 << 10, Skew: time.Second})
	var refused []Ticket
	for range 20 {
		tk := issue(t, issuer, now)
		if d := table.Begin(tk, time.Time{}, now); d.Verdict == VerdictRefuse {
			assert.Equal(t, d.Outcome, fleet.OutcomeNotRun)
			refused = append(refused, tk)
			continue
		}
		table.Finish(tk.ID, Result{})
	}
	assert.Equal(t, len(refused), 18)
	assert.Assert(t, table.Len() <= 4)
	for _, tk := range refused {
		assert.Equal(t, table.Begin(tk, time.Time{}, now.Add(50*time.Second)).Verdict, VerdictRefuse)
	}
	later := issue(t, issuer, now.Add(2*time.Minute))
	assert.Equal(t, table.Begin(later, time.Time{}, now.Add(2*time.Minute)).Verdict, VerdictRun)
}

// BenchmarkCheck measures Verify and Begin of a repeated attempt for tables of different
// sizes.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("orders=%d", n), func(b *testing.B) {
			issuer, ring, table := newTestTable(b, DefaultLimits)
			encoded := make([]string, n)
			for j := range encoded {
				enc, tk, err := issuer.Issue(Ticket{Service: "orders", Target: "t1", Incarnation: 5}, time.Minute, now)
				assert.NilError(b, err)
				encoded[j] = enc
				table.Begin(tk, time.Time{}, now)
				table.Finish(tk.ID, Result{})
			}
			b.ReportAllocs()
			j := 0
			for b.Loop() {
				j++
				tk, _ := Verify(ring, encoded[j%n])
				table.Begin(tk, time.Time{}, now)
			}
		})
	}
}

// FuzzVerify searches for input that Verify accepts without the secret.
func FuzzVerify(f *testing.F) {
	_, ring, _ := newTestTable(f, DefaultLimits)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, s string) {
		if _, err := Verify(ring, s); err == nil {
			t.Fatalf("Verify accepted %q", s)
		}
	})
}
