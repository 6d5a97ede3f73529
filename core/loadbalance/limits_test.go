package loadbalance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/fleet"
	"amaranthturn/core/ratelimit"
)

// fixedLimits allows each target in it a number of requests.
type fixedLimits map[fleet.InstanceID]float64

func (l fixedLimits) Available(id fleet.InstanceID, _ fleet.Incarnation, _ time.Time) (float64, bool) {
	n, ok := l[id]
	return n, ok
}

func (l fixedLimits) ShareOf(id fleet.InstanceID, _ fleet.Incarnation) ratelimit.Share {
	if _, ok := l[id]; !ok {
		return ratelimit.Share{}
	}
	return ratelimit.Share{Rate: 2, Entries: 1}
}

func limitedBalancer(limits fixedLimits, targets ...Target) *Balancer {
	b := NewBalancer(DefaultSettings, rand.New(rand.NewPCG(1, 1)))
	b.SetRateLimits(limits)
	b.SetTargets(targets)
	return b
}

// A limited target is used whenever its limit allows a request, and never else, not even for a request
// that may wait at a full target.
func TestLimitedTargetIsUsedAsFarAsItsLimitAllows(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limits := fixedLimits{"limited": 1}
	b := limitedBalancer(limits, Target{ID: "limited", Slots: 4}, Target{ID: "home", Slots: 4, SameZone: true, Home: true})
	id, ok := b.Choose(Query{}, now)
	assert.Assert(t, ok)
	assert.Equal(t, id, fleet.InstanceID("limited"))
	assert.Equal(t, b.FreeSlots(now), 5)
	limits["limited"] = 0.9
	assert.Equal(t, b.FreeSlots(now), 4)
	for range 4 {
		id, _ := b.Choose(Query{AllowFull: true}, now)
		assert.Equal(t, id, fleet.InstanceID("home"))
		b.RecordStart(id, 0, now)
	}
	_, ok = b.Choose(Query{}, now)
	assert.Assert(t, !ok)
	limits["limited"] = 9
	assert.Equal(t, b.FreeSlots(now), 4, "the slots still count")
}

// The limits are the capacity of a service only if each open target has one.
func TestLimitsAsCapacity(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limits := fixedLimits{"a": 1.5, "b": 0.25}
	a, other := Target{ID: "a", Slots: 4}, Target{ID: "b", Slots: 4}
	paused := Target{ID: "paused", Slots: 4, NotBefore: now.Add(time.Second)}
	closed := Target{ID: "closed", Slots: 4, Engine: Engine{Closed: true}}
	throughput, limited := limitedBalancer(limits, a, other, paused, closed).Limited(now)
	assert.Assert(t, limited)
	assert.Equal(t, throughput, Throughput{Requests: 1.75, Rate: 4})
	_, limited = limitedBalancer(limits, a, Target{ID: "c", Slots: 4}).Limited(now)
	assert.Assert(t, !limited)
	_, limited = limitedBalancer(limits, paused).Limited(now)
	assert.Assert(t, !limited, "a pause has an end of its own")
}
