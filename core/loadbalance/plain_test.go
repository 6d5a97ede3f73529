package loadbalance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthturn/core/admit"
	"amaranthturn/core/fleet"
	"amaranthturn/core/loadbalance"
)

// plainLoad is a load of a service whose targets have slots and a queue, and whose load nobody
// reports.
type plainLoad struct {
	targets, slots, queue int
	entries               int
	work                  time.Duration // mean, log-normal
	spread                float64
	load                  float64 // of new requests, as a multiple of the capacity
	objective, timeout    time.Duration
}

func (l plainLoad) capacity() float64 { return float64(l.targets*l.slots) / l.work.Seconds() }

type plainTarget struct {
	running int
	waiting []*plainCall
}

type plainCall struct {
	admit.Request
	asked, sent time.Time
	entry       *plainEntry
	target      int
	attempts    int
	sends       int
	answered    time.Time
	refused     bool
}

type plainEntry struct {
	balancer *loadbalance.Balancer
	queue    *admit.Queue
	waiting  map[admit.RequestID]*plainCall
}

// plainReplay runs the admission of several entries before plain targets, with a clock of its own.
type plainReplay struct {
	plainLoad
	random   *rand.Rand
	now, end time.Time
	actions  actionHeap
	order    int
	all      []*plainCall
	back     []*plainTarget
	front    []*plainEntry
	arrivals int // at targets
	rejected int // of them
}

func newPlainReplay(l plainLoad, unreported bool, seed uint64) *plainReplay {
	r := &plainReplay{plainLoad: l, random: rand.New(rand.NewPCG(seed, 3)), now: t0}
	var list []loadbalance.Target
	for i := range l.targets {
		r.back = append(r.back, &plainTarget{})
		list = append(list, loadbalance.Target{ID: id(i), Slots: l.slots, SameZone: true})
	}
	for range l.entries {
		b := loadbalance.NewBalancer(loadbalance.DefaultSettings, r.random)
		b.SetEntries(l.entries)
		b.SetUnreported(unreported)
		b.SetTargets(list)
		q := admit.NewQueue(loadbalance.AdmissionLimit{Balancer: b, Now: func() time.Time { return r.now }}, func(fleet.Workspace) admit.Limits {
			return admit.Limits{Weight: 1, MaxQueued: 64}
		})
		r.front = append(r.front, &plainEntry{balancer: b, queue: q, waiting: map[admit.RequestID]*plainCall{}})
	}
	return r
}

func (r *plainReplay) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.actions, timedAction{r.now.Add(d), r.order, do})
}

func (r *plainReplay) run(d time.Duration) {
	r.end = r.now.Add(d)
	r.scheduleArrival()
	r.tick()
	for len(r.actions) > 0 {
		a := heap.Pop(&r.actions).(timedAction)
		r.now = a.at
		a.do()
	}
}

func (r *plainReplay) tick() {
	for _, e := range r.front {
		r.apply(e)(e.queue.Tick(r.now))
	}
	if r.now.Before(r.end.Add(r.timeout)) {
		r.after(tickInterval, r.tick)
	}
}

func (r *plainReplay) scheduleArrival() {
	r.after(time.Duration(r.random.ExpFloat64()/(r.capacity()*r.load)*float64(time.Second)), func() {
		if r.now.After(r.end) {
			return
		}
		r.scheduleArrival()
		c := &plainCall{asked: r.now}
		c.Workspace = fleet.Workspace(fmt.Sprintf("w%d", r.random.IntN(workspaces)))
		c.Cost = 1
		r.all = append(r.all, c)
		r.offer(c)
	})
}

func (r *plainReplay) offer(c *plainCall) {
	c.entry = r.front[r.random.IntN(len(r.front))]
	c.attempts++
	c.sends = 0
	r.order++
	c.ID = admit.RequestID(r.order)
	c.Late = c.attempts > 1
	c.Deadline = r.now.Add(loadbalance.MaxWait(r.objective, c.entry.balancer.ExpectedDuration()))
	c.entry.waiting[c.ID] = c
	switch c.entry.queue.Offer(c.Request, r.now).Verdict {
	case admit.Admitted:
		r.send(c)
	case admit.Refused:
		r.refuse(c)
	}
}

func (r *plainReplay) apply(e *plainEntry) func(admitted, expired []admit.Request) {
	return func(admitted, expired []admit.Request) {
		for _, a := range admitted {
			r.send(e.waiting[a.ID])
		}
		for _, x := range expired {
			r.refuse(e.waiting[x.ID])
		}
	}
}

// refuse lets the caller come back once, after a part of the time that it still waits.
func (r *plainReplay) refuse(c *plainCall) {
	delete(c.entry.waiting, c.ID)
	if left := r.timeout - r.now.Sub(c.asked); c.attempts == 1 && left > 0 {
		r.after(time.Duration((0.2+0.3*r.random.Float64())*float64(left)), func() { r.offer(c) })
		return
	}
	c.refused = true
}

// send sends a request to a target, and to up to two others after rejections.
func (r *plainReplay) send(c *plainCall) {
	delete(c.entry.waiting, c.ID)
	b := c.entry.balancer
	target, ok := b.Choose(loadbalance.Query{}, r.now)
	if !ok {
		target, ok = b.Choose(loadbalance.Query{AllowFull: true}, r.now)
	}
	if !ok {
		r.apply(c.entry)(c.entry.queue.Release(c.Request, 0, r.now))
		r.refuse(c)
		return
	}
	for i := range r.back {
		if id(i) == target {
			c.target = i
		}
	}
	c.sent = r.now
	c.sends++
	b.RecordStart(target, 0, r.now)
	r.after(networkDelay, func() { r.arrive(c) })
}

func (r *plainReplay) arrive(c *plainCall) {
	t := r.back[c.target]
	r.arrivals++
	switch {
	case t.running < r.slots:
		t.running++
		r.start(c)
	case len(t.waiting) < r.queue:
		t.waiting = append(t.waiting, c)
	default:
		r.reject(c)
	}
}

func (r *plainReplay) reject(c *plainCall) {
	r.rejected++
	r.after(networkDelay, func() {
		c.entry.balancer.RecordEnd(id(c.target), 0, loadbalance.ResultFull, r.now)
		if c.sends < 3 && r.now.Sub(c.asked) < r.timeout {
			r.send(c)
			return
		}
		r.apply(c.entry)(c.entry.queue.Release(c.Request, 0, r.now))
		r.refuse(c)
	})
}

func (r *plainReplay) start(c *plainCall) {
	variance := math.Log(1 + r.spread*r.spread)
	work := math.Exp(math.Log(float64(r.work)) - variance/2 + math.Sqrt(variance)*r.random.NormFloat64())
	r.after(time.Duration(work), func() {
		r.after(networkDelay, func() { r.answer(c) })
		t := r.back[c.target]
		for len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			if r.now.Sub(next.asked) < r.timeout {
				r.start(next)
				return
			}
			r.reject(next)
		}
		t.running--
	})
}

func (r *plainReplay) answer(c *plainCall) {
	c.answered = r.now
	b := c.entry.balancer
	b.RecordDuration(r.now.Sub(c.sent), r.now)
	b.RecordEnd(id(c.target), 0, loadbalance.ResultDone, r.now)
	r.apply(c.entry)(c.entry.queue.Release(c.Request, 1, r.now))
}

type plainOutcome struct {
	inAim    float64 // share of the capacity, or of what was asked if that is less
	late     float64 // share of the requests
	rejected float64 // share of the arrivals at targets
}

func (o plainOutcome) String() string {
	return fmt.Sprintf("in aim %.2f, late %.2f, rejected %.2f", o.inAim, o.late, o.rejected)
}

// replayPlain replays a load for sixty times the mean work, and counts from a quarter of it on.
func replayPlain(l plainLoad, unreported bool) plainOutcome {
	r := newPlainReplay(l, unreported, 1)
	d := max(20*time.Second, 60*l.work)
	r.run(d)
	inAim, late, asked := 0, 0, 0
	for _, c := range r.all {
		if c.asked.Sub(t0) < d/4 {
			continue
		}
		asked++
		switch took := c.answered.Sub(c.asked); {
		case c.answered.IsZero() || took > l.timeout:
		case took <= l.objective:
			inAim++
		default:
			late++
		}
	}
	possible := math.Min(float64(asked), l.capacity()*(d-d/4).Seconds())
	return plainOutcome{
		inAim: float64(inAim) / possible, late: float64(late) / float64(asked), rejected: float64(r.rejected) / float64(max(1, r.arrivals)),
	}
}

// deskLoad returns a load of three targets of six slots whose callers wait for twice to five
// times the work.
func deskLoad(work, objective, timeout time.Duration, entries int, load float64) plainLoad {
	return plainLoad{
		targets: 3, slots: 6, queue: 24, entries: entries, work: work, spread: 0.5, load: load, objective: objective, timeout: timeout,
	}
}

func slowDesk(entries int, load float64) plainLoad {
	return deskLoad(4500*time.Millisecond, 9*time.Second, 15*time.Second, entries, load)
}

func fastDesk(entries int, load float64) plainLoad {
	return deskLoad(60*time.Millisecond, 300*time.Millisecond, 1500*time.Millisecond, entries, load)
}

// minInAim is the share of what plain targets can do that is answered in aim at any load.
const minInAim = 0.85

var plainLoads = []float64{0.5, 0.8, 1, 1.3, 2, 3.3, 4}

func checkInAim(t *testing.T, desk func(entries int, load float64) plainLoad, entries ...int) {
	t.Helper()
	for _, n := range entries {
		for _, load := range plainLoads {
			l := desk(n, load)
			o := replayPlain(l, true)
			t.Logf("%d entries, load %.1f: %s", n, load, o)
			if o.inAim < minInAim {
				t.Errorf("%d entries, load %.1f: %.2f answered in aim, want %.2f", n, load, o.inAim, minInAim)
			}
		}
	}
}

// Overloaded targets that nobody reports the load of queued requests past their objectives.
func TestOverloadOfPlainTargets(t *testing.T) { checkInAim(t, fastDesk, 7, 8) }

// The same with work that takes half of the objective.
func TestOverloadOfSlowPlainTargets(t *testing.T) { checkInAim(t, slowDesk, 7, 8) }

// The same with more entries than slots.
func TestOverloadOfPlainTargetsWithManyEntries(t *testing.T) {
	checkInAim(t, fastDesk, 44)
	checkInAim(t, slowDesk, 44)
}

// Most requests to overloaded plain targets were rejected there, and sent to the next full one.
func TestFullPlainTargetsAreNotSentTo(t *testing.T) {
	const maxRejected = 0.2
	for _, load := range plainLoads {
		for _, l := range []plainLoad{slowDesk(8, load), fastDesk(8, load), slowDesk(44, load)} {
			if o := replayPlain(l, true); o.rejected > maxRejected {
				t.Errorf("work %s, %d entries, load %.1f: %.2f of the arrivals rejected", l.work, l.entries, load, o.rejected)
			}
		}
	}
}

// BenchmarkPlainTargets compares the window with a limit of all slots for each entry.
func BenchmarkPlainTargets(b *testing.B) {
	for _, unreported := range []bool{true, false} {
		for _, load := range plainLoads {
			for _, l := range []plainLoad{slowDesk(8, load), fastDesk(8, load)} {
				b.Run(fmt.Sprintf("window=%t/work=%s/load=%.1f", unreported, l.work, load), func(b *testing.B) {
					var o plainOutcome
					for b.Loop() {
						o = replayPlain(l, unreported)
					}
					b.ReportMetric(o.inAim, "in_aim_share")
					b.ReportMetric(o.late, "late_share")
					b.ReportMetric(o.rejected, "rejected_share")
				})
			}
		}
	}
}
