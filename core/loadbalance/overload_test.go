package loadbalance_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/admit"
	"amaranthturn/core/loadbalance"
)

// present is the policy of app/gateway.
var present = policy{name: "present", settings: loadbalance.DefaultSettings, limit: freeSlots, waitShare: 0.35, newFirst: true}

func freeSlots(b *loadbalance.Balancer, now func() time.Time) admit.Limiter {
	return loadbalance.AdmissionLimit{Balancer: b, Now: now}
}

// policies are the present policy and simple ones to compare it with.
func policies() []policy {
	decaying := loadbalance.DefaultSettings
	decaying.ReportHold, decaying.FreedShare = 0, 1
	immediate := loadbalance.DefaultSettings
	immediate.FreedShare = 1
	alike := present
	alike.name, alike.newFirst = "returning callers like new ones", false
	return []policy{
		present, alike,
		{name: "decaying reports", settings: decaying, limit: freeSlots, waitShare: 0.35},
		{name: "freed slots at once", settings: immediate, limit: freeSlots, waitShare: 0.35},
		{name: "no queue at entries", settings: loadbalance.DefaultSettings, waitShare: 0.35, limit: unlimited},
		{name: "fixed number per entry", settings: loadbalance.DefaultSettings, waitShare: 0.35, limit: fixedNumber},
		{name: "long queue at entries", settings: loadbalance.DefaultSettings, limit: freeSlots, waitShare: 2},
	}
}

func unlimited(*loadbalance.Balancer, func() time.Time) admit.Limiter {
	return admit.NewLimit(admit.LimitSettings{}, 1<<20)
}

// fixedNumber gives each of the 7 entries an equal part of the slots of 14 engines.
func fixedNumber(*loadbalance.Balancer, func() time.Time) admit.Limiter {
	return admit.NewLimit(admit.LimitSettings{}, 14*engineSlots/7)
}

func steady(load float64) traffic {
	return traffic{load: func(time.Duration) float64 { return load }}
}

// returning is a load whose callers come back once after a refusal, as app/gateway tells them.
func returning(load float64) traffic {
	t := steady(load)
	t.returns, t.retryMin, t.retrySpread = true, 1750*time.Millisecond, 1800*time.Millisecond
	return t
}

const (
	replayTime = 20 * time.Second
	warmUp     = 8 * time.Second
)

func replaySteady(p policy, t traffic, seed uint64) outcome {
	r := newReplay(small, p, t, seed)
	r.run(replayTime)
	return r.outcome(warmUp, replayTime)
}

// minGoodput is the share of the best rate of answers in aim that any load must reach, or the
// share of the requests if these are fewer.
const minGoodput = 0.85

// bestRate returns the highest rate of answers in aim, by any policy near the capacity.
var bestRate = sync.OnceValue(func() float64 {
	best := 0.0
	for _, p := range policies() {
		o := replaySteady(p, steady(1.1), 1)
		best = max(best, o.inAimRate())
	}
	return best
})

// Entries that discount old reports together send each engine more than it has slots for, and
// every request waits there past its objective.
func TestOverloadDoesNotQueueAtTargets(t *testing.T) {
	best := bestRate()
	for _, load := range []float64{0.8, 1.1, 1.3, 2, 3} {
		for seed := range uint64(2) {
			o := replaySteady(present, steady(load), seed+1)
			goal := minGoodput * min(best, small.capacity()*load)
			t.Logf("load %.1f: %v", load, &o)
			assert.Check(t, o.inAimRate() >= goal, "load %.1f: in aim %.0f a second, best %.0f, goal %.0f", load, o.inAimRate(), best, goal)
		}
	}
}

// Callers that were refused come back past their objective. If they get the slots of new requests,
// these are refused, come back as well, and half of all responses are late.
func TestReturningCallersDoNotDisplaceNewOnes(t *testing.T) {
	best := bestRate()
	for _, load := range []float64{0.8, 1.1, 1.3, 2, 3} {
		o := replaySteady(present, returning(load), 1)
		goal := minGoodput * min(best, small.capacity()*load)
		t.Logf("load %.1f: %v; begun at the first attempt %.2f", load, &o, float64(o.begunFirst)/float64(o.asked))
		assert.Check(t, o.inAimRate() >= goal, "load %.1f: in aim %.0f a second, best %.0f, goal %.0f", load, o.inAimRate(), best, goal)
	}
}

// Engines that restart under full load are empty, and all entries see it. If each of them fills all
// slots, the requests of many entries wait there past their objective.
func TestRestartedTargetsAreNotFlooded(t *testing.T) {
	best := bestRate()
	for _, load := range []float64{1.1, 1.3, 2} {
		crashing := returning(load)
		crashing.lost, crashing.crashAt, crashing.backAt = 5, 8*time.Second, 11*time.Second
		inAim := 0.0
		const seeds = 4
		for seed := range uint64(seeds) {
			r := newReplay(small, present, crashing, seed+1)
			end := crashing.backAt + 2*time.Second
			r.run(end)
			o := r.outcome(crashing.backAt, end)
			t.Logf("load %.1f: %v", load, &o)
			inAim += o.inAimRate() / seeds
		}
		assert.Check(t, inAim >= minGoodput*best, "load %.1f: in aim %.0f a second, best %.0f", load, inAim, best)
	}
}

// With many entries the reports of other zones are seconds old, and an entry has less than one
// request on an engine.
func TestOverloadWithManyEntries(t *testing.T) {
	best := bestRate() / small.capacity() * grown.capacity()
	const load, end = 1.3, warmUp + 8*time.Second
	r := newReplay(grown, present, returning(load), 1)
	r.run(end)
	o := r.outcome(warmUp, end)
	assert.Check(t, o.inAimRate() >= minGoodput*best, "%v; best %.0f", &o, best)
}

// After an overload the engines are available at once to the requests of all entries, although
// an entry counts only a share of the slots that others free.
func TestOverloadEndsWithItsLoad(t *testing.T) {
	const overloadEnd, requestTime = 12 * time.Second, 1300 * time.Millisecond
	burst := returning(0)
	burst.load = func(elapsed time.Duration) float64 {
		if elapsed < overloadEnd {
			return 2
		}
		return 0.75
	}
	r := newReplay(small, present, burst, 3)
	r.run(replayTime)
	o := r.outcome(overloadEnd+2*requestTime, replayTime)
	t.Log(&o)
	assert.Assert(t, float64(o.inAim) >= 0.95*float64(o.asked), "%v", &o)
}

// No zone and no entry pays for the others, although the zones have unequal numbers of entries
// and engines for the same number of requests, and large requests are served as often as others.
func TestOverloadIsSharedFairly(t *testing.T) {
	for _, load := range []float64{1.3, 2} {
		o := replaySteady(present, returning(load), 1)
		all := o.bySize[1].ratio()
		assert.Check(t, o.bySize[0].ratio() >= all/2, "load %.1f: largest tenth %.2f, all %.2f", load, o.bySize[0].ratio(), all)
		for i, s := range o.byZone {
			assert.Check(t, s.ratio() >= all*3/4, "load %.1f: zone %d %.2f, all %.2f", load, i, s.ratio(), all)
		}
		for i, s := range o.byEntry {
			assert.Check(t, s.ratio() >= all/2, "load %.1f: entry %d %.2f, all %.2f", load, i, s.ratio(), all)
		}
	}
}

func BenchmarkOverload(b *testing.B) {
	for _, p := range policies() {
		for _, load := range []float64{0.8, 1.1, 1.3, 2, 3} {
			b.Run(fmt.Sprintf("%s/%.1f", p.name, load), func(b *testing.B) {
				for range b.N {
					r := newReplay(small, p, returning(load), 1)
					r.run(replayTime)
					o := r.outcome(warmUp, replayTime)
					asked := float64(o.asked)
					b.ReportMetric(float64(o.inAim)/asked, "in_aim_share")
					b.ReportMetric(o.inAimRate(), "in_aim_rate")
					b.ReportMetric(float64(o.late)/asked, "late_share")
					b.ReportMetric(float64(o.refusedTwice)/asked, "refused_twice")
					b.ReportMetric(r.freeTime.Seconds()/(replayTime.Seconds()*float64(len(r.engines)*engineSlots)), "unused_room")
					b.ReportMetric(float64(o.wait(0.5).Milliseconds()), "wait_ms_p50")
					b.ReportMetric(float64(o.wait(0.99).Milliseconds()), "wait_ms_p99")
				}
			})
		}
	}
}
