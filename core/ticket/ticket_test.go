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

func scene(t testing.TB, limits Limits) (*Issuer, *keys.Ring, *Table) {
	t.Helper()
	ring, err := keys.NewRing("k", map[keys.ID][]byte{"k": []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return NewIssuer(ring), ring, NewTable("t1", 5, limits)
}

func issue(t testing.TB, i *Issuer, at time.Time) Ticket {
	t.Helper()
	_, k, err := i.Issue(Ticket{Service: "orders", Target: "t1", Incarnation: 5}, time.Minute, at)
	assert.NilError(t, err)
	return k
}

func TestForgedTicketsDoNotOpen(t *testing.T) {
	i, ring, _ := scene(t, DefaultLimits)
	enc, _, err := i.Issue(Ticket{Service: "orders", Target: "t1", Incarnation: 5}, time.Minute, now)
	assert.NilError(t, err)
	_, err = Open(ring, enc)
	assert.NilError(t, err)
	parts := strings.Split(enc, ".")
	_, err = Open(ring, parts[0]+"A."+parts[1]+"."+parts[2])
	assert.Assert(t, err != nil)
	for _, bad := range []string{"", "a.b", "a.b.c", strings.Repeat("x", MaxLen+1), parts[0] + ".other." + parts[2]} {
		_, err = Open(ring, bad)
		assert.Assert(t, err != nil, "%q", bad)
	}
}

func TestTable(t *testing.T) {
	rows := map[string]struct {
		change  func(*Ticket)
		at      time.Time
		verdict Verdict
		outcome fleet.Outcome
		reason  Reason
	}{
		"runs":              {func(*Ticket) {}, now, VerdictRun, fleet.OutcomeDone, ReasonNone},
		"other target":      {func(k *Ticket) { k.Target = "t2" }, now, VerdictRefuse, fleet.OutcomeUnknown, ReasonOtherTarget},
		"other incarnation": {func(k *Ticket) { k.Incarnation = 4 }, now, VerdictRefuse, fleet.OutcomeUnknown, ReasonOtherIncarnation},
		"expired":           {func(*Ticket) {}, now.Add(2 * time.Minute), VerdictRefuse, fleet.OutcomeUnknown, ReasonExpired},
	}
	for name, r := range rows {
		t.Run(name, func(t *testing.T) {
			i, _, table := scene(t, DefaultLimits)
			k := issue(t, i, now)
			r.change(&k)
			d := table.Begin(k, time.Time{}, r.at)
			assert.Equal(t, d.Verdict, r.verdict)
			assert.Equal(t, d.Reason, r.reason)
			if d.Verdict == VerdictRefuse {
				assert.Equal(t, d.Outcome, r.outcome)
			}
		})
	}
}

func TestSecondAttemptJoinsThenGetsTheSameAnswer(t *testing.T) {
	i, _, table := scene(t, DefaultLimits)
	k := issue(t, i, now)
	assert.Equal(t, table.Begin(k, time.Time{}, now).Verdict, VerdictRun)
	assert.Equal(t, table.Begin(k, time.Time{}, now).Verdict, VerdictJoin)
	assert.Equal(t, table.Stop(k, now).Outcome, fleet.OutcomeRunning)
	table.Finish(k.ID, Answer{Status: 201, Body: []byte("bale 7")})
	d := table.Begin(k, time.Time{}, now.Add(59*time.Second))
	assert.Equal(t, d.Verdict, VerdictAnswer)
	assert.Equal(t, string(d.Answer.Body), "bale 7")
}

// TestPausedAgentFindsTheDeadlinePassed: what woke up late runs nothing, and nothing
// later runs it either.
func TestPausedAgentFindsTheDeadlinePassed(t *testing.T) {
	i, _, table := scene(t, DefaultLimits)
	k := issue(t, i, now)
	d := table.Begin(k, now.Add(time.Second), now.Add(30*time.Second))
	assert.Equal(t, d.Outcome, fleet.OutcomeNotRun)
	assert.Equal(t, table.Begin(k, time.Time{}, now.Add(31*time.Second)).Outcome, fleet.OutcomeNotRun)
}

// TestFullTableStaysTruthful: what a full table refused never runs later, although it
// has no room to remember it.
func TestFullTableStaysTruthful(t *testing.T) {
	i, _, table := scene(t, Limits{Orders: 2, Bytes: 1 << 10, Skew: time.Second})
	var refused []Ticket
	for range 20 {
		k := issue(t, i, now)
		if d := table.Begin(k, time.Time{}, now); d.Verdict == VerdictRefuse {
			assert.Equal(t, d.Outcome, fleet.OutcomeNotRun)
			refused = append(refused, k)
			continue
		}
		table.Finish(k.ID, Answer{})
	}
	assert.Equal(t, len(refused), 18)
	assert.Assert(t, table.Len() <= 4)
	for _, k := range refused {
		assert.Equal(t, table.Begin(k, time.Time{}, now.Add(50*time.Second)).Verdict, VerdictRefuse)
	}
	later := issue(t, i, now.Add(2*time.Minute))
	assert.Equal(t, table.Begin(later, time.Time{}, now.Add(2*time.Minute)).Verdict, VerdictRun)
}

// BenchmarkCheck measures opening a ticket and asking the table as orders grow.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("orders=%d", n), func(b *testing.B) {
			i, ring, table := scene(b, DefaultLimits)
			encs := make([]string, n)
			for j := range encs {
				enc, k, err := i.Issue(Ticket{Service: "orders", Target: "t1", Incarnation: 5}, time.Minute, now)
				assert.NilError(b, err)
				encs[j] = enc
				table.Begin(k, time.Time{}, now)
				table.Finish(k.ID, Answer{})
			}
			b.ReportAllocs()
			j := 0
			for b.Loop() {
				j++
				k, _ := Open(ring, encs[j%n])
				table.Begin(k, time.Time{}, now)
			}
		})
	}
}

// FuzzOpen looks for input that opens without the secret.
func FuzzOpen(f *testing.F) {
	_, ring, _ := scene(f, DefaultLimits)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, s string) {
		if _, err := Open(ring, s); err == nil {
			t.Fatalf("%q opened", s)
		}
	})
}
