package loadbalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/admit"
	"amaranthturn/core/fleet"
	"amaranthturn/core/loadbalance"
)

// A target with one slot runs a request of another entry and is idle after that. The rest of the
// estimate must not keep this entry from it.
func TestTargetWithOneSlotBecomesFree(t *testing.T) {
	for _, slots := range []int{1, 2, 4} {
		b := newTestBalancer(1, slots)
		now := t0
		b.RecordReport(id(0), slots, 0, now)
		for range 300 {
			now = now.Add(200 * time.Millisecond)
			b.RecordReport(id(0), 0, 0, now)
		}
		assert.Check(t, b.FreeSlots(now) == slots, "%d slots, idle for a minute: %d free", slots, b.FreeSlots(now))
	}
}

// The only entry of a target has its requests in flight in a report that is older than their end.
// They are no other entry's requests.
func TestOwnEndedRequestsAreNotOthers(t *testing.T) {
	b := newTestBalancer(1, 4)
	b.SetEntries(1)
	for range 4 {
		b.RecordStart(id(0), 0, t0)
	}
	for range 4 {
		b.RecordEnd(id(0), 0, loadbalance.ResultDone, t0)
	}
	b.RecordReport(id(0), 4, 0, t0.Add(2*time.Millisecond)) // taken before their end
	now := t0.Add(200 * time.Millisecond)
	b.RecordReport(id(0), 0, 0, now)
	assert.Equal(t, b.FreeSlots(now), 4, "the target is idle and has one entry")
}

// shortRun is a request that runs on a target.
type shortRun struct {
	request admit.Request
	target  int
	end     time.Time
}

// oneEntry is one entry with requests of a fixed length on targets whose agents read the load 100 ms
// apart and report it 200 ms apart.
type oneEntry struct {
	now                   time.Time
	length                time.Duration
	balancer              *loadbalance.Balancer
	queue                 *admit.Queue
	running               []shortRun
	on, polled            []int
	asked, rejected, busy int
}

func newOneEntry(settings loadbalance.Settings, targets, slots int, length time.Duration) *oneEntry {
	e := &oneEntry{now: t0, length: length, on: make([]int, targets), polled: make([]int, targets)}
	e.balancer = loadbalance.NewBalancer(settings, rand.New(rand.NewPCG(3, 4)))
	e.balancer.SetEntries(1)
	var list []loadbalance.Target
	for i := range targets {
		list = append(list, loadbalance.Target{ID: id(i), Slots: slots, SameZone: true, Home: true, Engine: loadbalance.Engine{ReportsLoad: true}})
	}
	e.balancer.SetTargets(list)
	limit := loadbalance.AdmissionLimit{Balancer: e.balancer, Now: func() time.Time { return e.now }}
	e.queue = admit.NewQueue(limit, func(fleet.Workspace) admit.Limits { return admit.Limits{Weight: 1, MaxQueued: 64} })
	return e
}

func (e *oneEntry) start(r admit.Request) {
	target, ok := e.balancer.Choose(loadbalance.Query{}, e.now)
	if !ok {
		target, _ = e.balancer.Choose(loadbalance.Query{AllowFull: true}, e.now)
	}
	e.balancer.RecordStart(target, 0, e.now)
	for i := range e.on {
		if id(i) == target {
			e.on[i]++
			e.running = append(e.running, shortRun{r, i, e.now.Add(e.length)})
		}
	}
}

func (e *oneEntry) notify(admitted, expired []admit.Request) {
	e.rejected += len(expired)
	for _, r := range admitted {
		e.start(r)
	}
}

func (e *oneEntry) endRequests() {
	for len(e.running) > 0 && !e.running[0].end.After(e.now) { // all take the same time
		x := e.running[0]
		e.running = e.running[1:]
		e.on[x.target]--
		e.balancer.RecordEnd(id(x.target), 0, loadbalance.ResultDone, e.now)
		e.notify(e.queue.Release(x.request, 1, e.now))
	}
}

func (e *oneEntry) report(ms int) {
	for i := range e.on {
		if (ms+37*i)%100 == 0 {
			e.polled[i] = e.on[i]
		}
		if (ms+37*i)%200 == 150 {
			e.balancer.RecordReport(id(i), e.polled[i], 0, e.now)
		}
	}
	e.notify(e.queue.Tick(e.now))
}

func (e *oneEntry) offer() {
	e.asked++
	r := admit.Request{ID: admit.RequestID(e.asked), Workspace: "w", Cost: 1, Deadline: e.now.Add(140 * time.Millisecond)}
	switch e.queue.Offer(r, e.now).Verdict {
	case admit.Admitted:
		e.start(r)
	case admit.Refused:
		e.rejected++
	}
}

// shortRequests returns the shares of requests refused and of slots taken.
func shortRequests(settings loadbalance.Settings, targets, slots int, length time.Duration, load float64) (refused, taken float64) {
	const ms = 20_000
	e := newOneEntry(settings, targets, slots, length)
	random := rand.New(rand.NewPCG(3, 4))
	rate := load * float64(targets*slots) / length.Seconds()
	for i := range ms {
		e.now = e.now.Add(time.Millisecond)
		e.endRequests()
		e.report(i)
		if random.Float64() < rate/1000 {
			e.offer()
		}
		e.busy += len(e.running)
	}
	return float64(e.rejected) / float64(e.asked), float64(e.busy) / float64(ms*targets*slots)
}

// One entry alone must not refuse requests while under half of the slots are taken.
func TestOneEntryAloneUsesItsSlots(t *testing.T) {
	immediate := loadbalance.DefaultSettings
	immediate.FreedShare = 1
	for _, slots := range []int{1, 2, 4, 6, 16} {
		for _, length := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
			for _, load := range []float64{0.3, 0.6} {
				if load*float64(2*slots)/length.Seconds() > 300 {
					continue
				}
				refused, taken := shortRequests(loadbalance.DefaultSettings, 2, slots, length, load)
				before, _ := shortRequests(immediate, 2, slots, length, load)
				msg := fmt.Sprintf("2 targets, %d slots, %v a request, load %.1f: refused %.3f, slots taken %.2f; refused with all freed slots %.3f",
					slots, length, load, refused, taken, before)
				t.Log(msg)
				assert.Check(t, refused <= before+0.05, msg)
			}
		}
	}
}

var (
	single    = size{engines: []int{1}, entries: []int{1}}
	oneZone   = size{engines: []int{4}, entries: []int{1}}
	deltaloom = size{engines: []int{3, 3, 3}, entries: []int{2, 2, 2}}
	grown52   = size{engines: []int{18, 17, 17}, entries: []int{15, 14, 15}}
	grown34   = size{engines: []int{9, 8, 9, 8}, entries: []int{12, 11, 10, 11}}
)

// Systems of other sizes under steady loads below and above their capacity.
func TestSteadyLoadsBySize(t *testing.T) {
	for name, s := range map[string]size{"single": single, "oneZone": oneZone, "deltaloom": deltaloom, "grown52": grown52} {
		for _, load := range []float64{0.4, 0.7, 1.1, 2} {
			end := warmUp + 8*time.Second
			var out []outcome
			for _, p := range policies() {
				if p.name != "present" && p.name != "freed slots at once" && p.name != "decaying reports" {
					continue
				}
				r := newReplay(s, p, returning(load), 1)
				r.run(end)
				out = append(out, r.outcome(warmUp, end))
			}
			best := max(out[0].inAimRate(), out[1].inAimRate(), out[2].inAimRate())
			t.Logf("%s load %.1f: present %v begun first %.2f | decaying %.0f | at once %.0f", name, load, &out[0],
				float64(out[0].begunFirst)/float64(max(1, out[0].asked)), out[1].inAimRate(), out[2].inAimRate())
			assert.Check(t, out[0].inAimRate() >= minGoodput*best, "%s load %.1f: in aim %.1f a second, best of three policies %.1f", name, load, out[0].inAimRate(), best)
		}
	}
}

// Load that rises again after an overload and a pause finds all slots.
func TestLoadAfterOverloadBySize(t *testing.T) {
	for name, s := range map[string]size{"single": single, "oneZone": oneZone, "deltaloom": deltaloom, "small": small, "grown52": grown52} {
		steps := returning(0)
		steps.load = func(e time.Duration) float64 {
			if e < 8*time.Second {
				return 2
			}
			return 0.6
		}
		end := 14 * time.Second
		var out []outcome
		for _, p := range policies() {
			if p.name != "present" && p.name != "freed slots at once" && p.name != "decaying reports" {
				continue
			}
			r := newReplay(s, p, steps, 1)
			r.run(end)
			out = append(out, r.outcome(10*time.Second, end))
		}
		best := max(out[0].inAimRate(), out[1].inAimRate(), out[2].inAimRate())
		t.Logf("%s: present %v | decaying %v | at once %v", name, &out[0], &out[1], &out[2])
		assert.Check(t, out[0].inAimRate() >= minGoodput*best, "%s: in aim %.1f a second, best of three %.1f", name, out[0].inAimRate(), best)
	}
}

// All engines restart at a load below capacity.
func TestAllTargetsRestart(t *testing.T) {
	for name, s := range map[string]size{"single": single, "oneZone": oneZone, "deltaloom": deltaloom, "small": small, "grown52": grown52} {
		x := returning(0.7)
		x.lost, x.crashAt, x.backAt = sum(s.engines), 6*time.Second, 6500*time.Millisecond
		end := 9500 * time.Millisecond
		var out []outcome
		for _, p := range policies() {
			if p.name != "present" && p.name != "freed slots at once" && p.name != "decaying reports" {
				continue
			}
			r := newReplay(s, p, x, 1)
			r.run(end)
			out = append(out, r.outcome(x.backAt, end))
		}
		best := max(out[0].inAimRate(), out[1].inAimRate(), out[2].inAimRate())
		t.Logf("%s: present %v | decaying %v | at once %v", name, &out[0], &out[1], &out[2])
		assert.Check(t, out[0].inAimRate() >= minGoodput*best, "%s: in aim %.1f a second, best of three %.1f", name, out[0].inAimRate(), best)
	}
}

// The criterion of TestOverloadWithManyEntries with as many entries and fewer engines.
func TestOverloadWithNearlyAsManyEntriesAsTargets(t *testing.T) {
	const end = warmUp + 8*time.Second
	for name, s := range map[string]size{"44 entries, 52 engines": grown52, "44 entries, 34 engines": grown34} {
		best := bestRate() / small.capacity() * s.capacity()
		for _, load := range []float64{1.1, 1.3, 2} {
			r := newReplay(s, present, returning(load), 1)
			r.run(end)
			o := r.outcome(warmUp, end)
			t.Logf("%s, load %.1f: %v", name, load, &o)
			assert.Check(t, o.inAimRate() >= minGoodput*best, "%s, load %.1f: %v; best %.0f", name, load, &o, best)
		}
	}
}

// Beyond 62 entries the reports of other zones come less often than every 5 s, and count for less
// between two of them.
func TestOverloadWithMoreEntriesThanReportHoldCovers(t *testing.T) {
	wide := size{engines: []int{36, 34, 34}, entries: []int{30, 30, 30}}
	const load, end = 1.3, warmUp + 8*time.Second
	best := bestRate() / small.capacity() * wide.capacity()
	r := newReplay(wide, present, returning(load), 1)
	r.run(end)
	o := r.outcome(warmUp, end)
	assert.Check(t, wide.reportPeriod(0, 1) <= loadbalance.DefaultSettings.ReportHold, "an interval of reports of %v", wide.reportPeriod(0, 1))
	assert.Check(t, o.inAimRate() >= minGoodput*best, "%v; best %.0f", &o, best)
}

// Many entries, and fewer slots than entries: what an overload leaves of the estimates must not keep
// the targets half empty while requests are refused.
func TestOverloadLeavesNoSlotsUnused(t *testing.T) {
	for name, s := range map[string]size{"44 entries, 52 engines": grown52, "60 entries, 104 engines": {engines: []int{36, 34, 34}, entries: []int{20, 20, 20}}} {
		x := returning(1.3)
		x.lost, x.crashAt, x.backAt = sum(s.engines)/5, 5*time.Second, 8*time.Second
		const from, to = 14 * time.Second, 20 * time.Second
		r := newReplay(s, present, x, 1)
		r.run(to)
		o := r.outcome(from, to)
		answered := float64(o.inAim+o.late) / o.seconds
		t.Logf("%s: %v", name, &o)
		assert.Check(t, answered >= minGoodput*s.capacity(), "%s: answered %.0f a second of a capacity of %.0f: %v", name, answered, s.capacity(), &o)
	}
}

// A target held twice as many requests as it has slots for a moment, and a third of them from then on.
// Reports of other zones come every 3.5 s with 44 entries.
func TestPeakOfATargetIsForgottenByAll(t *testing.T) {
	const slots, period = 12, 3520 * time.Millisecond
	b := newTestBalancer(1, slots)
	now := t0
	b.RecordReport(id(0), 2*slots, 0, now)
	for range 3 {
		now = now.Add(period)
		b.RecordReport(id(0), slots/3, 0, now)
	}
	assert.Assert(t, b.FreeSlots(now) > 0, "%v after the peak, with %d of %d slots taken", now.Sub(t0), slots/3, slots)
	for range 3 {
		now = now.Add(period)
		b.RecordReport(id(0), slots/3, 0, now)
	}
	assert.Check(t, b.FreeSlots(now) >= slots/3, "%v after the peak: %d free", now.Sub(t0), b.FreeSlots(now))
}
