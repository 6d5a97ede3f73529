package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthturn/core/dispatch"
	"amaranthturn/core/fleet"
	"amaranthturn/core/forward"
	"amaranthturn/core/gossip"
	"amaranthturn/core/loadbalance"
	"amaranthturn/core/notice"
	"amaranthturn/core/ratelimit"
	"amaranthturn/core/roster"
	"amaranthturn/core/routeconfig"
)

// learnLimit lets an entry learn a limit from another one.
func learnLimit(g *Gateway, t notice.Target, rate ratelimit.Rate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mergeLimits([]ratelimit.Limit{{Target: t, Revision: 1, IsInForce: true, Rate: rate}}, g.now())
}

// A limit becomes known while a connection to its target is being made: the attempt needs a token, too.
func TestAttemptThatWasDiallingWhenTheLimitBecameKnown(t *testing.T) {
	for name, wait := range map[string]time.Duration{"no token": 0, "a token": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			g, c := newTestGateway(t)
			l := newCountingListener(t)
			a := newPlainAttempt(t.Context(), g, c, l.Addr().String())
			learnLimit(g, noticeTarget(a.target), 1)
			c.t = c.t.Add(wait)
			failure, _ := a.send()
			assert.Equal(t, l.bytes.Load() == 0, wait == 0)
			if wait == 0 {
				assert.Equal(t, failure.Kind, dispatch.KindNotSent)
				assert.Equal(t, a.result, loadbalance.ResultUnknown, "the target has not failed")
			}
		})
	}
}

// limitedGateway returns an entry with one target that has a limit.
func limitedGateway(t *testing.T, rate ratelimit.Rate) (*Gateway, *fakeClock, notice.Target) {
	g, c := newTestGateway(t)
	g.doc.Store(routeconfig.New(1, nil, []routeconfig.Service{{Name: "s", MaxConns: 10}}, routeconfig.Limits{}, nil))
	chosen := roster.Target{ID: "a", Service: "s", Zone: "z", Address: "127.0.0.1:1", State: roster.StateReady, Incarnation: 5, Slots: 4}
	g.roster.Update(chosen)
	learnLimit(g, noticeTarget(chosen), rate)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshBalancers(c.t)
	return g, c, noticeTarget(chosen)
}

func (g *Gateway) tokens(t notice.Target) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, _ := g.limits.Available(t.ID, t.Incarnation, g.now())
	return int(n)
}

// An attempt that took a token and could not be sent leaves it to the next one.
func TestTokenOfAnUnsentAttemptIsReturned(t *testing.T) {
	g, c, target := limitedGateway(t, 1)
	c.t = c.t.Add(1500 * time.Millisecond)
	a := newPlainAttempt(t.Context(), g, c, "127.0.0.1:1") // nobody listens
	h := a.handler
	h.serviceName = "s"
	h.race.ctx, h.race.service = t.Context(), g.service("s")
	g.mu.Lock()
	h.mu.Lock()
	listed, _ := g.roster.Get("a")
	a = h.startAttempt(listed)
	h.mu.Unlock()
	g.mu.Unlock()
	assert.Equal(t, g.tokens(target), 0)
	failure, done := a.send()
	a.end(failure, done)
	assert.Equal(t, g.tokens(target), 1)
}

// All targets of a service have limits. What they don't take in time is refused at once, and its caller
// is told when they do.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	g, c, _ := limitedGateway(t, 1)
	c.t = c.t.Add(time.Second)
	a := newPlainAttempt(t.Context(), g, c, "127.0.0.1:1")
	h, svc := a.handler, g.service("s")
	h.deadline = dispatch.NewDeadline(c.t, 6*time.Second)
	until := c.t.Add(100 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Assert(t, h.refuseBeyondLimits(svc, until, c.t) == nil, "the limit allows one request")
	assert.Assert(t, g.limits.Take(noticeTarget(a.target), c.t))
	c.t = c.t.Add(950 * time.Millisecond)
	assert.Assert(t, h.refuseBeyondLimits(svc, c.t.Add(100*time.Millisecond), c.t) == nil, "it allows one in 50 ms")
	assert.Assert(t, h.refuseBeyondLimits(svc, c.t.Add(20*time.Millisecond), c.t) != nil)
	assert.Assert(t, g.limits.Take(noticeTarget(a.target), c.t.Add(50*time.Millisecond)))
	c.t = c.t.Add(50 * time.Millisecond)
	refusal := h.refuseBeyondLimits(svc, c.t.Add(100*time.Millisecond), c.t)
	assert.Equal(t, refusal.Outcome, fleet.OutcomeNotRun)
	assert.Equal(t, refusal.Reason, fleet.ReasonTargetsLimited)
	assert.Assert(t, refusal.RetryAfter >= 990*time.Millisecond, "%v", refusal.RetryAfter)
}

// An entry to which no share of a limit belongs refuses at once, too, if there is no other target.
func TestEntryWithoutAShareRefusesAtOnce(t *testing.T) {
	g, c, target := limitedGateway(t, 0.5)
	for i := range 60 {
		g.entryList.Merge([]gossip.Record{{Instance: fleet.InstanceID(rune('A' + i)), Incarnation: 1, Address: "10.0.0.9:1"}}, c.t)
	}
	g.mu.Lock()
	g.divideLimits(c.t)
	g.mu.Unlock()
	assert.Equal(t, g.limits.ShareOf(target.ID, target.Incarnation).Rate, ratelimit.Rate(0))
	c.t = c.t.Add(time.Minute)
	a := newPlainAttempt(t.Context(), g, c, "127.0.0.1:1")
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := a.handler.refuseBeyondLimits(g.service("s"), c.t.Add(time.Second), c.t)
	assert.Equal(t, refusal.Reason, fleet.ReasonTargetsLimited)
	assert.Assert(t, refusal.RetryAfter > 0)
}

// An answer without the header ends a limit only if its request was sent after the last one with it.
func TestAnswerThatWasOvertakenEndsNoLimit(t *testing.T) {
	g, c, target := limitedGateway(t, 1)
	early := newPlainAttempt(t.Context(), g, c, "127.0.0.1:1")
	early.sentAt = c.t.Add(-time.Second)
	early.recordLimit(forward.Notices{IsUnlimited: true})
	_, limited := g.limits.Available(target.ID, target.Incarnation, c.t)
	assert.Assert(t, limited)
	late := newPlainAttempt(t.Context(), g, c, "127.0.0.1:1")
	late.sentAt = c.t.Add(time.Second)
	late.recordLimit(forward.Notices{IsUnlimited: true})
	_, limited = g.limits.Available(target.ID, target.Incarnation, c.t)
	assert.Assert(t, !limited)
}

// An entry that gets no requests for the service of a limited target leaves the limit to others, and takes
// its share as soon as it gets one.
func TestLimitIsLeftToEntriesWithRequests(t *testing.T) {
	g, c, target := limitedGateway(t, 0.5)
	g.entryList.Merge([]gossip.Record{{Instance: "e0", Incarnation: 1, Address: "10.0.0.9:1"}, {Instance: "e2", Incarnation: 1, Address: "10.0.0.8:1", Idle: []fleet.Service{"s"}}}, c.t)
	share := func() ratelimit.Rate {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.maxEntries = 3
		g.divideLimits(c.t)
		return g.limits.ShareOf(target.ID, target.Incarnation).Rate
	}
	c.t = c.t.Add(idleAfter + time.Second)
	g.entryList.Merge([]gossip.Record{{Instance: "e0", Incarnation: 1, Sequence: 9, Address: "10.0.0.9:1"}}, c.t)
	assert.Equal(t, share(), ratelimit.Rate(0))
	g.entryList.Merge([]gossip.Record{{Instance: "e0", Incarnation: 1, Sequence: 10, Address: "10.0.0.9:1", Idle: []fleet.Service{"s"}}}, c.t)
	g.service("s").lastRequestAt = c.t
	assert.Equal(t, share(), ratelimit.Rate(0.5))
}
