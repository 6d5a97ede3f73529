package loadbalance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthturn/core/loadbalance"
)

// soloEntry is the one entry of several that gets requests for plain targets. Its requests
// never wait at a target.
type soloEntry struct {
	balancer *loadbalance.Balancer
	limit    loadbalance.AdmissionLimit
	now      time.Time
	pending  []soloCall
}

type soloCall struct {
	target int
	sent   time.Time
	doneAt time.Time
}

func newSoloEntry(entries, targets, slots int, seed uint64) *soloEntry {
	e := &soloEntry{now: t0}
	e.balancer = loadbalance.NewBalancer(loadbalance.DefaultSettings, rand.New(rand.NewPCG(seed, 5)))
	var list []loadbalance.Target
	for i := range targets {
		list = append(list, loadbalance.Target{ID: id(i), Slots: slots, SameZone: true})
	}
	e.balancer.SetEntries(entries)
	e.balancer.SetUnreported(true)
	e.balancer.SetTargets(list)
	e.limit = loadbalance.AdmissionLimit{Balancer: e.balancer, Now: func() time.Time { return e.now }}
	return e
}

// step admits what the limit allows and ends what is done, and returns the requests in flight.
func (e *soloEntry) step(targets int, work func() time.Duration) int {
	rest := e.pending[:0]
	for _, c := range e.pending {
		if c.doneAt.After(e.now) {
			rest = append(rest, c)
			continue
		}
		e.balancer.RecordDuration(e.now.Sub(c.sent), e.now)
		e.balancer.RecordEnd(id(c.target), 0, loadbalance.ResultDone, e.now)
	}
	e.pending = rest
	for len(e.pending) < e.limit.Value() {
		chosen, ok := e.balancer.Choose(loadbalance.Query{}, e.now)
		if !ok {
			break
		}
		for i := range targets {
			if id(i) == chosen {
				e.pending = append(e.pending, soloCall{target: i, sent: e.now, doneAt: e.now.Add(work())})
			}
		}
		e.balancer.RecordStart(chosen, 0, e.now)
	}
	return len(e.pending)
}

// One entry with all requests used a part of the slots although responses never became slower.
func TestOneOfSeveralEntriesUsesFreePlainTargets(t *testing.T) {
	const entries, targets, slots, wantShare = 8, 3, 6, 0.85
	for _, c := range []struct {
		name string
		work func(random *rand.Rand) time.Duration
	}{
		{"equal", func(*rand.Rand) time.Duration { return 100 * time.Millisecond }},
		{"exponential", func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(100*time.Millisecond)) }},
		{"log-normal", func(r *rand.Rand) time.Duration {
			return time.Duration(math.Exp(0.5*r.NormFloat64()-0.125) * float64(100*time.Millisecond))
		}},
		{"reads and writes", func(r *rand.Rand) time.Duration {
			if r.IntN(4) == 0 {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 7))
			e := newSoloEntry(entries, targets, slots, 1)
			sum, n := 0, 0
			for range 120 * 200 {
				e.now = e.now.Add(5 * time.Millisecond)
				inFlight := e.step(targets, func() time.Duration { return c.work(random) })
				if e.now.Sub(t0) > 20*time.Second {
					sum, n = sum+inFlight, n+1
				}
			}
			used := float64(sum) / float64(n) / (targets * slots)
			t.Logf("%.2f of the slots used", used)
			if used < wantShare {
				t.Errorf("%.2f of the slots used, want %.2f", used, wantShare)
			}
		})
	}
}
